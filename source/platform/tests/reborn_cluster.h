#pragma once

#include "platform/tests/test_cluster.h"

#include <algorithm>

namespace rattanpond::platform {

/// Stopped runs continue for about the longest time that the users' site files allow.
inline constexpr base::milliseconds kStopTime{ 380 };

/// Orders without an answer are carried out within this time of their call; the users' sites take
/// longer.
inline constexpr base::milliseconds kLateOrderBound{ 5000 };

/// A cluster one worker of which crashes and starts again under its identifier.
struct reborn_cluster : test_cluster
{
  explicit reborn_cluster(base::milliseconds aWork, int aSides = 2, int aRacks = 1)
    : test_cluster{ cluster_options{ .mSides = aSides, .mRacks = aRacks } }
  {
    for (auto const& side : mSides) {
      side->mWorker.mWork = aWork;
      side->mWorker.mFaults.mStopGrace = kStopTime;
    }
    for (auto const& front : mFronts) {
      front->mSettings.mLateOrderBound = kLateOrderBound;
    }
    BOOST_REQUIRE(RunUntil([&] { return IsReady(); }));
  }

  /// Replaces the process of a front.
  void ReplaceFront(std::size_t aIndex)
  {
    RestartFront(aIndex).mSettings.mLateOrderBound = kLateOrderBound;
  }

  test_side& ChosenSide() { return *mSides[mChosen]; }
  fake_worker& Chosen() { return ChosenSide().mWorker; }

  /// Chooses the worker that has received the most starts, which the next ones go to as well.
  void ChooseBusiest()
  {
    auto const busiest = std::ranges::max_element(
      mSides, {}, [](auto const& aSide) { return aSide->mWorker.mStartCalls; });
    mChosen = static_cast<std::size_t>(busiest - mSides.begin());
  }

  /// Whether the scheduler can start a task on each worker.
  bool IsReady()
  {
    return std::ranges::all_of(
      mSides, [](auto const& aSide) { return aSide->Agent().Dump().at("state") == "ready"; });
  }

  void Submit(int aJob, std::string const& aBody = JobBody(1, 1))
  {
    mPaths.push_back("/u/" + JobId(aJob));
    BOOST_TEST(Call(Standby(), "POST", mPaths.back(), aBody) == 200U);
  }

  /// Orders to all workers are delayed until the chosen one starts again.
  void DelayOrders(base::milliseconds aDelay)
  {
    for (auto const& side : mSides) {
      side->mWorker.mFaults.mOrderDelay = aDelay;
      side->mWorker.mFaults.mOrdersOutliveCrash = true;
    }
  }

  /// The next incarnation has no room, so that whatever starts again starts elsewhere.
  void Rebirth()
  {
    Chosen().Crash();
    Chosen().mAccelerators = 0;
    for (auto const& side : mSides) {
      side->mWorker.mFaults.mOrderDelay = base::milliseconds{ 0 };
    }
    ChosenSide().SendHeartbeat();
  }

  /// Chooses the worker that the first start is sent to.
  void AwaitStartCall()
  {
    BOOST_REQUIRE(RunUntil([&] {
      ChooseBusiest();
      return Chosen().mStartCalls > 0;
    }));
  }

  void CheckDone()
  {
    for (auto const& path : mPaths) {
      BOOST_TEST(ReachesState(path, "done"));
    }
    RunFor(base::milliseconds{ 300 });
    BOOST_TEST(mRecorder.ActiveRuns() == 0U);
    RequireNoFaults(*this);
  }

  std::vector<std::string> mPaths;
  std::size_t mChosen = 0;
};

} // namespace rattanpond::platform
