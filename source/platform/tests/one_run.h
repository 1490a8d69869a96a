#pragma once

#include "dispatch/lease_timing.h"
#include "platform/tests/test_cluster.h"

#include <boost/asio/detached.hpp>

namespace rattanpond::platform {

/// A cluster with one run on one of two sides.
struct one_run
{
  /// Longest time from the loss of the holder to the takeover by another one.
  static constexpr base::milliseconds kTakeover{ 2500 };

  explicit one_run(int aFronts)
    : mCluster{ aFronts, 2 }
  {
    for (auto const& side : mCluster.mSides) {
      side->mWorker.mWork = base::milliseconds{ 60'000 };
      side->mWorker.mProgressTime = base::milliseconds{ 60'000 };
    }
    BOOST_TEST(mCluster.Call(*mCluster.Holder(), "POST", "/u/" + mId, JobBody(1, 8)) == 200U);
    BOOST_REQUIRE(mCluster.RunUntil([&] { return mCluster.mRecorder.ActiveRuns() == 1; }));
    // The run is listed and stored, and its lease is renewed.
    mCluster.RunFor(base::milliseconds{ 1500 });
  }

  std::size_t Starts() const { return mCluster.mRecorder.Starts(mId + ".0.0.0"); }

  test_side& BusySide()
  {
    return *mCluster.mSides[mCluster.mSides[0]->mWorker.mStarted > 0 ? 0 : 1];
  }

  /// The worker, and the side next to it, end for good.
  void LoseBusySide()
  {
    mLostAt = base::Now();
    auto& side = BusySide();
    side.mIsFrozen = true;
    side.mSendsHeartbeats = false;
    side.mWorker.Crash();
    side.mWorker.StopListening();
  }

  test_front& FreezeHolder()
  {
    auto& former = *mCluster.Holder();
    former.mIsFrozen = true;
    BOOST_REQUIRE(mCluster.RunUntil([&] { return mCluster.Holder() != nullptr; }, kTakeover));
    return former;
  }

  void ReleaseTerm()
  {
    auto& former = *mCluster.Holder();
    boost::asio::co_spawn(
      former.mContext, [&former] { return former.mScheduler.Release(); }, boost::asio::detached);
    BOOST_REQUIRE(mCluster.RunUntil(
      [&] { return mCluster.Holder() != nullptr && mCluster.Holder() != &former; }, kTakeover));
  }

  base::milliseconds TimeUntil(base::time_point aTime) const { return aTime - base::Now(); }

  base::milliseconds ExpiryBound() const
  {
    return dispatch::LeaseExpiryBound(mCluster.mFronts[0]->mSettings.mMaximumLease);
  }

  test_cluster mCluster;
  std::string mId = JobId(51);
  base::time_point mLostAt{};
};

} // namespace rattanpond::platform
