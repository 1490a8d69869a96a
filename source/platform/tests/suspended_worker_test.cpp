#include "platform/tests/test_cluster.h"

namespace rattanpond::platform {

using base::milliseconds;

BOOST_AUTO_TEST_SUITE(suspended_worker_test)

// Guards against two runs at once: a worker is cut off from its side, and their machine is
// suspended meanwhile. The worker's clock, and its lease, stand still during that time; the side
// took the lease for expired, and the task started again beside its first run. The front that has
// started it may be lost as well.
BOOST_AUTO_TEST_CASE(a_lease_outlasts_a_suspension_of_the_worker)
{
  constexpr milliseconds kLease{ 3000 };
  constexpr milliseconds kSuspension{ 2500 };
  for (auto const isHolderLost : { false, true }) {
    BOOST_TEST_CONTEXT("holder lost: " << isHolderLost)
    {
      test_cluster cluster{ cluster_options{ .mSides = 2, .mMaximumLease = kLease } };
      for (auto const& side : cluster.mSides) {
        side->mWorker.mWork = milliseconds{ 7000 };
      }
      auto const path = "/u/" + JobId(1);
      auto const task = JobId(1) + ".0.0.0";
      BOOST_TEST(cluster.Call(cluster.Standby(), "POST", path, JobBody(1, 1)) == 200U);
      BOOST_REQUIRE(cluster.RunUntil([&] { return cluster.mRecorder.Starts(task) == 1; }));
      cluster.RunFor(milliseconds{ 1000 });
      auto& side = *cluster.mSides[cluster.mSides[0]->mWorker.mStarted > 0 ? 0 : 1];
      side.mWorker.mFaults.mIsDown = true;
      side.mSendsHeartbeats = false;
      cluster.RunFor(milliseconds{ 400 });
      side.mWorker.Suspend();
      side.mIsFrozen = true;
      if (isHolderLost) {
        cluster.RestartFront(cluster.Holder() == cluster.mFronts[0].get() ? 0U : 1U);
      }
      cluster.RunFor(kSuspension);
      side.mWorker.Resume();
      side.mIsFrozen = false;
      BOOST_TEST(cluster.RunUntil([&] { return cluster.mRecorder.Starts(task) == 2; }));
      BOOST_TEST(side.mWorker.mLeaseExpirations == 1U);
      side.mWorker.mFaults.mIsDown = false;
      side.mSendsHeartbeats = true;
      BOOST_TEST(cluster.ReachesState(path, "done"));
      RequireNoFaults(cluster);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace rattanpond::platform
