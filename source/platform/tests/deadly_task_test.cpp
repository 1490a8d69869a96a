#include "platform/tests/test_cluster.h"

namespace rattanpond::platform {

using base::milliseconds;

namespace {

/// A task that crashes its workers may be started three times more after three crashes.
constexpr std::size_t kMaximumStarts = 5;

void MakeDeadly(test_cluster& aCluster, std::string const& aJob)
{
  for (auto const& side : aCluster.mSides) {
    side->mWorker.mFaults.mDeadlyJob = aJob;
  }
}

std::size_t Crashes(test_cluster const& aCluster)
{
  std::size_t crashes = 0;
  for (auto const& side : aCluster.mSides) {
    crashes += side->mWorker.mCrashes;
  }
  return crashes;
}

} // namespace

BOOST_AUTO_TEST_SUITE(deadly_task_test)

// Guards against a task that crashes one worker after the other without end.
BOOST_AUTO_TEST_CASE(a_task_that_crashes_its_workers_is_given_up)
{
  test_cluster cluster;
  MakeDeadly(cluster, JobId(1));
  BOOST_TEST(cluster.Call(cluster.Standby(), "POST", "/u/" + JobId(1), JobBody(1, 1)) == 200U);
  BOOST_TEST(cluster.ReachesState("/u/" + JobId(1), "failed"));
  BOOST_TEST(cluster.mRecorder.Starts(JobId(1) + ".0.0.0") <= kMaximumStarts);
  BOOST_TEST(Crashes(cluster) >= 2U);
  cluster.RunFor(milliseconds{ 1000 });
  BOOST_TEST(cluster.mRecorder.ActiveRuns() == 0U);
  RequireNoFaults(cluster);
}

// Guards against the same by a gang and by many tasks of one job.
BOOST_AUTO_TEST_CASE(a_job_of_deadly_tasks_is_given_up)
{
  for (auto const isGang : { true, false }) {
    test_cluster cluster;
    MakeDeadly(cluster, JobId(2));
    auto const path = "/b/" + JobId(2);
    BOOST_TEST(cluster.Call(cluster.Standby(), "POST", path, JobBody(6, 4, isGang)) == 200U);
    BOOST_TEST(cluster.ReachesState(path, "failed"));
    for (int index = 0; index < 6; ++index) {
      BOOST_TEST(cluster.mRecorder.Starts(JobId(2) + ".0.0." + std::to_string(index)) <=
                 kMaximumStarts);
    }
    RequireNoFaults(cluster);
  }
}

// Guards against a count of crashes that ends with the scheduler: each crash is followed by the
// loss of the holder.
BOOST_AUTO_TEST_CASE(the_count_of_crashes_outlives_the_scheduler)
{
  test_cluster cluster{ 2, 3 };
  MakeDeadly(cluster, JobId(3));
  auto const path = "/u/" + JobId(3);
  BOOST_TEST(cluster.Call(cluster.Standby(), "POST", path, JobBody(1, 1)) == 200U);
  for (std::size_t crash = 1; crash <= kMaximumStarts + 1; ++crash) {
    if (!cluster.RunUntil([&] { return Crashes(cluster) >= crash; }, milliseconds{ 4000 })) {
      break;
    }
    auto const index = cluster.Holder() == cluster.mFronts[0].get() ? 0U : 1U;
    cluster.RestartFront(index);
    BOOST_REQUIRE(cluster.RunUntil([&] { return cluster.Holder() != nullptr; }));
  }
  BOOST_TEST(cluster.ReachesState(path, "failed"));
  BOOST_TEST(cluster.mRecorder.Starts(JobId(3) + ".0.0.0") <= kMaximumStarts);
  RequireNoFaults(cluster);
}

// Guards against an innocent job that is shown as failed, as it ran beside a deadly one.
BOOST_AUTO_TEST_CASE(jobs_beside_a_deadly_one_are_done)
{
  test_cluster cluster;
  MakeDeadly(cluster, JobId(4));
  std::vector<std::string> innocent;
  for (int job = 5; job < 11; ++job) {
    innocent.push_back("/b/" + JobId(job));
    BOOST_TEST(cluster.Call(cluster.Standby(), "POST", innocent.back(), JobBody(2, 1)) == 200U);
  }
  BOOST_TEST(cluster.Call(cluster.Standby(), "POST", "/u/" + JobId(4), JobBody(3, 1)) == 200U);
  for (auto const& path : innocent) {
    BOOST_TEST(cluster.ReachesState(path, "done"));
  }
  BOOST_TEST(cluster.ReachesState("/u/" + JobId(4), "failed"));
  RequireNoFaults(cluster);
}

// Guards against tasks that start one after the other for good, once their worker was lost under
// all of them: they end before their probation does.
BOOST_AUTO_TEST_CASE(short_tasks_start_together_again_after_a_crash)
{
  test_cluster cluster{ 2, 1 };
  auto& worker = cluster.mSides[0]->mWorker;
  worker.mWork = milliseconds{ 1000 };
  auto const path = "/u/" + JobId(13);
  BOOST_TEST(cluster.Call(cluster.Standby(), "POST", path, JobBody(8, 1)) == 200U);
  BOOST_REQUIRE(cluster.RunUntil([&] { return cluster.mRecorder.ActiveRuns() == 8; }));
  worker.Crash();
  // Two rounds of 1 s, in place of eight.
  BOOST_TEST(cluster.ReachesState(path, "done", milliseconds{ 6000 }));
  RequireNoFaults(cluster);
}

// Guards against a job that is given up for crashes that it did not cause: its worker is lost again
// and again after it has worked there for a while.
BOOST_AUTO_TEST_CASE(a_job_whose_workers_crash_later_goes_on)
{
  test_cluster cluster{ 2, 2 };
  for (auto const& side : cluster.mSides) {
    side->mWorker.mWork = milliseconds{ 60'000 };
    side->mWorker.mProgressTime = milliseconds{ 60'000 };
  }
  MakeDeadly(cluster, JobId(12));
  for (auto const& side : cluster.mSides) {
    side->mWorker.mFaults.mCrashDelay = milliseconds{ 4500 };
  }
  auto const path = "/u/" + JobId(12);
  BOOST_TEST(cluster.Call(cluster.Standby(), "POST", path, JobBody(1, 8)) == 200U);
  BOOST_REQUIRE(cluster.RunUntil([&] { return Crashes(cluster) >= 6; }, milliseconds{ 45'000 }));
  BOOST_TEST(cluster.State(path) == "running");
  RequireNoFaults(cluster);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace rattanpond::platform
