#include "platform/tests/test_cluster.h"

namespace rattanpond::platform {

using base::milliseconds;

BOOST_AUTO_TEST_SUITE(silent_worker_test)

// Guards against work that is stopped because nobody has heard of its progress: the worker's run
// lists could not be read for a while, and the run is taken for one that stands still.
BOOST_AUTO_TEST_CASE(runs_of_a_worker_that_is_silent_for_a_while_go_on)
{
  test_cluster cluster{ 2, 1 };
  auto& worker = cluster.mSides[0]->mWorker;
  // The listed percentage is that of a run that takes 100 s, so it is 0 until the worker is silent.
  worker.mProgressTime = milliseconds{ 100'000 };
  worker.mWork = milliseconds{ 9000 };
  auto const path = "/u/" + JobId(1);
  auto body = base::json::parse(JobBody(4, 1));
  body["steps"][0]["estimate_ms"] = 9000;
  BOOST_TEST(cluster.Call(cluster.Standby(), "POST", path, body.dump()) == 200U);
  BOOST_REQUIRE(cluster.RunUntil([&] { return cluster.mRecorder.ActiveRuns() == 4U; }));
  cluster.RunFor(milliseconds{ 300 });
  auto const stops = worker.mStopCalls;
  worker.mFaults.mIsUnresponsive = true;
  cluster.RunFor(milliseconds{ 4000 });
  worker.mFaults.mIsUnresponsive = false;
  BOOST_TEST(cluster.ReachesState(path, "done"));
  std::uint64_t stalls = 0;
  for (auto const& front : cluster.mFronts) {
    stalls += front->mMetrics.Counter("rattanpond_stalled_runs").Value();
  }
  BOOST_TEST(stalls == 0U);
  BOOST_TEST(worker.mStopCalls == stops);
  BOOST_TEST(worker.mStarted == 4U);
  RequireNoFaults(cluster);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace rattanpond::platform
