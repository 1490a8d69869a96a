#include "platform/tests/test_cluster.h"

namespace rattanpond::platform {

using base::milliseconds;

namespace {

std::size_t Runs(test_cluster const& aCluster)
{
  return aCluster.mRecorder.ActiveRuns();
}

} // namespace

BOOST_AUTO_TEST_SUITE(shrinking_worker_test)

// Guards against starts by the former room of a worker that has shrunk since they were planned: the
// transaction of the starts takes long.
BOOST_AUTO_TEST_CASE(starts_planned_before_a_worker_shrank_are_not_ordered)
{
  test_cluster cluster{ 1, 1 };
  auto& side = *cluster.mSides[0];
  auto& endpoint = cluster.mFronts[0]->mStoreEndpoint;
  bool isHeld = true;
  bool isReached = false;
  endpoint.mOnTransaction = [&](fake_row_store::client_transaction const& aTransaction) {
    if (!aTransaction.Writes(dispatch::kStatePrefix) || !isHeld) {
      return fake_row_store::transaction_fault::none;
    }
    isReached = true;
    return fake_row_store::transaction_fault::held;
  };
  side.mWorker.mWork = milliseconds{ 20'000 };
  BOOST_TEST(cluster.Call(*cluster.mFronts[0], "POST", "/b/" + JobId(1), JobBody(8, 1)) == 200U);
  BOOST_REQUIRE(cluster.RunUntil([&] { return isReached; }));
  side.mWorker.mAccelerators = 2;
  side.SendHeartbeat();
  cluster.RunFor(milliseconds{ 300 });
  isHeld = false;
  cluster.RunFor(milliseconds{ 2500 });
  BOOST_TEST(Runs(cluster) == 2U);
  // The room grows again.
  side.mWorker.mAccelerators = 6;
  side.SendHeartbeat();
  BOOST_TEST(cluster.RunUntil([&] { return Runs(cluster) == 6; }, milliseconds{ 3000 }));
  cluster.RunFor(milliseconds{ 500 });
  BOOST_TEST(Runs(cluster) == 6U);
  RequireNoFaults(cluster);
}

// Guards against starts that were on their way to the side while its worker shrank.
BOOST_AUTO_TEST_CASE(starts_ordered_before_a_worker_shrank_are_not_carried_out)
{
  test_cluster cluster{ { .mFronts = 1, .mSides = 1, .mLinkPath = link_path::relayed } };
  auto& side = *cluster.mSides[0];
  side.mWorker.mWork = milliseconds{ 20'000 };
  cluster.RunFor(milliseconds{ 1200 });
  side.mIsFrozen = true;
  BOOST_TEST(cluster.Call(*cluster.mFronts[0], "POST", "/b/" + JobId(2), JobBody(8, 1)) == 200U);
  auto const starts = [&] {
    return cluster.mFronts[0]->mMetrics.Counter("rattanpond_starts").Value();
  };
  BOOST_REQUIRE(cluster.RunUntil([&] { return starts() == 8U; }));
  side.mWorker.mAccelerators = 2;
  side.SendHeartbeat();
  side.mIsFrozen = false;
  cluster.RunFor(milliseconds{ 400 });
  BOOST_TEST(Runs(cluster) <= 2U);
  BOOST_TEST(cluster.RunUntil([&] { return Runs(cluster) == 2; }, milliseconds{ 6000 }));
  RequireNoFaults(cluster);
}

// Guards against a start beside a listed run that no task has any more: what is being stopped uses
// its worker as well.
BOOST_AUTO_TEST_CASE(a_run_that_no_task_has_uses_its_worker)
{
  test_cluster cluster{ 2, 1 };
  auto& side = *cluster.mSides[0];
  side.mWorker.mWork = milliseconds{ 20'000 };
  side.mWorker.mFaults.mDropsStops = true;
  cluster.RunFor(milliseconds{ 300 });
  side.mWorker.AddUnorderedRun(JobId(9) + ".0.0.0", 1);
  BOOST_REQUIRE(cluster.RunUntil([&] { return side.mWorker.mStopCalls > 0; }));
  auto const path = "/b/" + JobId(3);
  BOOST_TEST(cluster.Call(cluster.Standby(), "POST", path, JobBody(1, 8)) == 200U);
  cluster.RunFor(milliseconds{ 1500 });
  BOOST_TEST(Runs(cluster) == 1U);
  side.mWorker.mFaults.mDropsStops = false;
  BOOST_TEST(cluster.ReachesState(path, "running"));
  BOOST_TEST(Runs(cluster) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace rattanpond::platform
