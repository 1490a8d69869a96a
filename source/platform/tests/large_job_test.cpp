#include "platform/tests/test_cluster.h"

namespace rattanpond::platform {

using base::milliseconds;

namespace {

constexpr int kLargeJob = 1000;
/// Tasks whose parts need two transactions, so that the first one leaves the state stored in part.
constexpr std::size_t kTwoTransactions = 13 * dispatch::job_parts::kTasksPerPart;

std::string SmallTasks(std::size_t aCount, int aMillicores = 500)
{
  base::json const step{ { "count", aCount }, { "cpu", aMillicores }, { "mem_mb", 100 } };
  return base::json{ { "spec", "x" }, { "steps", { step } } }.dump();
}

struct large_job_cluster : test_cluster
{
  explicit large_job_cluster(milliseconds aWork = milliseconds{ 300 })
  {
    for (auto const& side : mSides) {
      side->mWorker.mWork = aWork;
    }
  }

  /// Number of runs that have begun.
  std::size_t Started() const
  {
    std::size_t started = 0;
    for (auto const& side : mSides) {
      started += side->mWorker.mStarted;
    }
    return started;
  }

  /// Rows of the dispatch table whose keys begin with a prefix.
  std::size_t Rows(std::string const& aPrefix)
  {
    return mStore.Keys(dispatch::kDispatchTable, aPrefix).size();
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(large_job_test)

// Guards against a scheduler that stores nothing more for any job, since the state of one job is
// larger than a row of the store.
BOOST_AUTO_TEST_CASE(a_job_of_many_tasks_holds_up_no_other)
{
  large_job_cluster cluster;
  auto const large = "/b/" + JobId(kLargeJob);
  BOOST_TEST(cluster.Call(cluster.Standby(), "POST", large, SmallTasks(2000)) == 200U);
  auto const first = "/u/" + JobId(1);
  BOOST_TEST(cluster.Call(cluster.Standby(), "POST", first, JobBody(1, 1)) == 200U);
  BOOST_TEST(cluster.ReachesState(first, "done"));
  BOOST_TEST(cluster.State(large) == "running");
  for (int job = 2; job <= 5; ++job) {
    auto const path = "/u/" + JobId(job);
    BOOST_TEST(cluster.Call(cluster.Standby(), "POST", path, JobBody(1, 1)) == 200U);
    BOOST_TEST(cluster.ReachesState(path, "done"));
  }
  BOOST_TEST(cluster.ReachesState(large, "done", milliseconds{ 40'000 }));
  BOOST_TEST(cluster.mStore.mRejectedCalls == 0U);
  RequireNoFaults(cluster);
}

// Guards against tasks of a large job that are lost or run again after a takeover, since the new
// scheduler misreads the rows of its parts; and against parts that are never removed.
BOOST_AUTO_TEST_CASE(a_large_job_goes_on_after_changes_of_the_scheduler)
{
  large_job_cluster cluster{ milliseconds{ 500 } };
  auto const large = "/b/" + JobId(kLargeJob);
  BOOST_TEST(cluster.Call(cluster.Standby(), "POST", large, SmallTasks(1200)) == 200U);
  for (std::size_t part : { 2U, 5U }) {
    BOOST_REQUIRE(cluster.RunUntil([&] { return cluster.Rows(dispatch::kPartPrefix) > part; }));
    auto& next = cluster.RestartFront(cluster.Holder() == cluster.mFronts[0].get() ? 0U : 1U);
    next.mSettings.mStatusRetention = milliseconds{ 500 };
    BOOST_REQUIRE(cluster.RunUntil([&] { return cluster.Holder() != nullptr; }));
  }
  BOOST_TEST(cluster.ReachesState(large, "done", milliseconds{ 40'000 }));
  RequireNoFaults(cluster);
  for (auto const& front : cluster.mFronts) {
    front->mSettings.mStatusRetention = milliseconds{ 500 };
  }
  BOOST_TEST(cluster.RunUntil([&] {
    return cluster.Rows(dispatch::kPartPrefix) + cluster.Rows(dispatch::kStatePrefix) +
             cluster.Rows(dispatch::kJobPrefix) ==
           0;
  }));
}

// Guards against a holder that steps down for ever: all fronts were lost while the first state of a
// large job was being stored, and the next holder took its parts for those of another process.
BOOST_AUTO_TEST_CASE(a_state_that_is_stored_in_part_stops_no_scheduler)
{
  large_job_cluster cluster;
  auto const large = "/b/" + JobId(kLargeJob);
  auto const other = "/u/" + JobId(1);
  for (auto const& front : cluster.mFronts) {
    front->mStoreEndpoint.mOnTransaction = [](fake_row_store::client_transaction const& aCall) {
      return aCall.Writes(dispatch::kStatePrefix) ? fake_row_store::transaction_fault::refused
                                                  : fake_row_store::transaction_fault::none;
    };
  }
  BOOST_TEST(cluster.Call(cluster.Standby(), "POST", large, SmallTasks(kTwoTransactions, 50)) ==
             200U);
  BOOST_REQUIRE(cluster.RunUntil([&] { return cluster.Rows(dispatch::kPartPrefix) > 0; }));
  BOOST_REQUIRE(cluster.Rows(dispatch::kStatePrefix) == 0U);
  cluster.RestartFront(0);
  cluster.RestartFront(1);
  // So that the next plan differs.
  cluster.mSides[0]->mWorkerState = "draining";
  cluster.mSides[0]->SendHeartbeat("draining");
  BOOST_REQUIRE(cluster.RunUntil([&] { return cluster.Holder() != nullptr; }));
  auto const term = cluster.Holder()->mScheduler.Dump().at("term").get<std::uint64_t>();
  BOOST_TEST(cluster.Call(cluster.Standby(), "POST", other, JobBody(2, 8)) == 200U);
  BOOST_TEST(cluster.ReachesState(other, "done"));
  BOOST_TEST(cluster.ReachesState(large, "done", milliseconds{ 40'000 }));
  BOOST_REQUIRE(cluster.Holder() != nullptr);
  BOOST_TEST(cluster.Holder()->mScheduler.Dump().at("term").get<std::uint64_t>() == term);
  RequireNoFaults(cluster);
}

// Guards against tasks that run twice: a standby read the tables in full while the first state of a
// large job was being stored, and did not know the parts that it had read.
BOOST_AUTO_TEST_CASE(a_state_that_is_read_in_part_is_completed_by_what_follows)
{
  large_job_cluster cluster{ milliseconds{ 6000 } };
  auto const large = "/b/" + JobId(kLargeJob);
  auto isHeld = true;
  for (auto const& front : cluster.mFronts) {
    front->mStoreEndpoint.mOnTransaction = [&](fake_row_store::client_transaction const& aCall) {
      return isHeld && aCall.Writes(dispatch::kStatePrefix)
               ? fake_row_store::transaction_fault::held
               : fake_row_store::transaction_fault::none;
    };
  }
  BOOST_TEST(cluster.Call(cluster.Standby(), "POST", large, SmallTasks(kTwoTransactions, 50)) ==
             200U);
  BOOST_REQUIRE(cluster.RunUntil([&] { return cluster.Rows(dispatch::kPartPrefix) > 0; }));
  auto& standby = cluster.Standby();
  auto const reads = standby.mStoreEndpoint.mTableReads;
  cluster.mStore.DiscardHistory();
  cluster.mStore.Put(dispatch::kDispatchTable, "note", "x");
  BOOST_REQUIRE(cluster.RunUntil([&] { return standby.mStoreEndpoint.mTableReads > reads; }));
  cluster.RunFor(milliseconds{ 300 });
  isHeld = false;
  BOOST_REQUIRE(cluster.RunUntil([&] { return cluster.Started() == kTwoTransactions; }));
  cluster.Holder()->mIsFrozen = true;
  BOOST_REQUIRE(cluster.RunUntil([&] { return cluster.Holder() == &standby; }));
  BOOST_TEST(cluster.RunUntil(
    [&] {
      return cluster.Call(standby, "GET", large) == 200U &&
             base::json::parse(cluster.mLastBody).at("state") == "done";
    },
    milliseconds{ 30'000 }));
  BOOST_TEST(cluster.Started() == kTwoTransactions);
  RequireNoFaults(cluster);
}

// Guards against tasks that run again after an update of the program: the former version has stored
// the state of a job with many tasks in one row.
BOOST_AUTO_TEST_CASE(a_state_in_one_row_is_taken_over)
{
  large_job_cluster cluster;
  constexpr int kTasks = 150;
  constexpr int kDone = 140;
  base::json tasks = base::json::array();
  for (int index = 0; index < kDone; ++index) {
    tasks.push_back({ 0, 0, index, 2, 1, "side-0", 1, 0, "" });
  }
  cluster.mStore.Put(dispatch::kDispatchTable, dispatch::kStatePrefix + JobId(kLargeJob),
                     base::json::array({ 1, tasks }).dump());
  dispatch::job_description job{ .mQueue = "bulk", .mService = "service", .mWorkspace = "t" };
  job.mSteps.push_back({ .mCount = kTasks, .mDemand = { .mMillicores = 500 } });
  cluster.mStore.Put(dispatch::kDispatchTable, dispatch::kJobPrefix + JobId(kLargeJob),
                     base::Encode(job).dump());
  // The next holder reads the state of the former one.
  cluster.RestartFront(cluster.Holder() == cluster.mFronts[0].get() ? 0U : 1U);
  BOOST_REQUIRE(cluster.RunUntil([&] { return cluster.Holder() != nullptr; }));
  BOOST_TEST(cluster.ReachesState("/b/" + JobId(kLargeJob), "done"));
  std::size_t started = 0;
  for (auto const& side : cluster.mSides) {
    started += side->mWorker.mStarted;
  }
  BOOST_TEST(started == static_cast<std::size_t>(kTasks - kDone));
  RequireNoFaults(cluster);
}

// Guards against a scheduler that repeats a rejected transaction for ever: whatever the store does
// not take of one job, the others go on, and the job does too once the store takes it.
BOOST_AUTO_TEST_CASE(a_job_that_the_store_rejects_holds_up_no_other)
{
  large_job_cluster cluster;
  auto isRejected = true;
  auto const bad = JobId(7);
  for (auto const& front : cluster.mFronts) {
    front->mStoreEndpoint.mOnTransaction = [&](fake_row_store::client_transaction const& aCall) {
      return isRejected && aCall.Writes(dispatch::kStatePrefix + bad)
               ? fake_row_store::transaction_fault::rejected
               : fake_row_store::transaction_fault::none;
    };
  }
  BOOST_TEST(cluster.Call(cluster.Standby(), "POST", "/u/" + bad, JobBody(1, 1)) == 200U);
  for (int job = 1; job <= 5; ++job) {
    auto const path = "/u/" + JobId(job);
    BOOST_TEST(cluster.Call(cluster.Standby(), "POST", path, JobBody(1, 1)) == 200U);
    BOOST_TEST(cluster.ReachesState(path, "done", milliseconds{ 3000 }));
  }
  BOOST_TEST(cluster.mStore.mRejectedCalls > 0U);
  BOOST_TEST(cluster.mStore.mRejectedCalls < 20U);
  isRejected = false;
  BOOST_TEST(cluster.ReachesState("/u/" + bad, "done"));
  RequireNoFaults(cluster);
}

// Guards against a caller who is told to come back for a job that can never be stored.
BOOST_AUTO_TEST_CASE(a_description_that_fits_in_no_row_is_refused_for_good)
{
  large_job_cluster cluster;
  auto const submit = [&](int aJob, std::string const& aLabel) {
    base::json step{ { "count", 1 }, { "cpu", 500 }, { "mem_mb", 100 }, { "estimate_ms", 900 } };
    if (!aLabel.empty()) {
      step["required_label"] = aLabel;
    }
    base::json body{ { "spec", "x" }, { "steps", base::json::array() } };
    for (std::size_t index = 0; index < dispatch::kMaximumSteps; ++index) {
      body["steps"].push_back(step);
    }
    return cluster.Call(cluster.Standby(), "POST", "/u/" + JobId(aJob), body.dump());
  };
  BOOST_TEST(submit(1, "") == 200U);
  BOOST_TEST(submit(2, std::string(400, 'a')) == 400U);
  BOOST_TEST(cluster.State("/u/" + JobId(2)) == "410");
  BOOST_TEST(cluster.mStore.mRejectedCalls == 0U);
  BOOST_TEST(cluster.ReachesState("/u/" + JobId(1), "done"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace rattanpond::platform
