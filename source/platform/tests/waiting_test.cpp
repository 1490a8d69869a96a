#include "platform/tests/test_cluster.h"

namespace rattanpond::platform {

using base::milliseconds;

namespace {

double OverdueTasks(test_cluster& aCluster)
{
  return aCluster.Holder()->mMetrics.Gauge("rattanpond_tasks_with_overdue_start").Value();
}

} // namespace

BOOST_AUTO_TEST_SUITE(waiting_test)

// Guards against a task that waits although workers are free, and nothing tells that it does, or
// what for: no log line, metric or dump spoke of waiting tasks when a job of the users was lost.
BOOST_AUTO_TEST_CASE(a_task_that_waits_beside_free_workers_is_shown_with_its_obstacle)
{
  test_cluster cluster{ 2, 3 };
  auto const path = "/a/" + JobId(51);
  // No worker is permitted.
  BOOST_TEST(cluster.Call(*cluster.Holder(), "POST", path, JobBody(2, 1)) == 200U);
  // A job that starts in time is not shown.
  BOOST_TEST(cluster.Call(*cluster.Holder(), "POST", "/b/" + JobId(52), JobBody(2, 1)) == 200U);
  cluster.RunFor(milliseconds{ 2000 });
  BOOST_TEST(OverdueTasks(cluster) == 0);
  BOOST_TEST(cluster.RunUntil([&] { return OverdueTasks(cluster) == 2; }, milliseconds{ 5000 }));
  auto const dump = cluster.Holder()->mScheduler.Dump().at("overdue_starts");
  BOOST_REQUIRE(dump.size() == 1U);
  BOOST_TEST(dump.at(0).at("task").get<std::string>() == JobId(51) + ".0.0.0");
  BOOST_TEST(dump.at(0).at("tasks").get<int>() == 2);
  BOOST_TEST(dump.at(0).at("waiting_ms").get<int>() >= 3000);
  BOOST_TEST(dump.at(0).at("workers").at("permit").get<int>() == 3);
  BOOST_TEST(cluster.Standby().mScheduler.Dump().at("overdue_starts").empty());
  BOOST_TEST(cluster.Call(*cluster.Holder(), "DELETE", path) == 200U);
  BOOST_TEST(cluster.RunUntil([&] { return OverdueTasks(cluster) == 0; }, milliseconds{ 3000 }));
}

// Guards against a job that is lost by the users' rule: nothing of it runs for 3 s, since the rack
// of its data is in use, while most of the workers are idle.
BOOST_AUTO_TEST_CASE(a_task_leaves_the_rack_of_its_data_in_time)
{
  test_cluster cluster{ 1, 3 };
  cluster.mSides[1]->mRack = "r2";
  cluster.mSides[2]->mRack = "r2";
  for (auto const& side : cluster.mSides) {
    side->mWorker.mWork = milliseconds{ 20'000 };
    side->mWorker.mProgressTime = milliseconds{ 20'000 };
  }
  cluster.RunFor(milliseconds{ 1200 });
  auto const submit =
    [&](int aNumber, int aAccelerators) {
      base::json const step{ { "count", 1 },           { "cpu", 1000 },
                             { "mem_mb", 1000 },       { "gpu", aAccelerators },
                             { "estimate_ms", 20000 }, { "data_rack", "r1" } };
      auto const body = base::json{ { "spec", "x" }, { "steps", { step } } }.dump();
      BOOST_TEST(cluster.Call(*cluster.Holder(), "POST", "/b/" + JobId(aNumber), body) == 200U);
    };
  submit(53, 1);
  BOOST_REQUIRE(cluster.RunUntil([&] { return cluster.mSides[0]->mWorker.mStarted == 1; }));
  submit(54, 8);
  cluster.RunFor(milliseconds{ 1000 });
  BOOST_TEST(cluster.mRecorder.Starts(JobId(54) + ".0.0.0") == 0U);
  BOOST_TEST(cluster.RunUntil([&] { return cluster.mRecorder.Starts(JobId(54) + ".0.0.0") == 1; },
                              milliseconds{ 2000 }));
  RequireNoFaults(cluster);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace rattanpond::platform
