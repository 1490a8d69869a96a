#include "platform/tests/test_cluster.h"

namespace rattanpond::platform {

using base::milliseconds;

namespace {

/// Attempts of a gang in the queues of the test configuration.
constexpr std::size_t kAttempts = 3;

/// A cluster with one gang, whose members have equal demands.
struct gang_cluster
{
  gang_cluster(int aSides, std::uint32_t aMembers, int aAccelerators)
    : mCluster{ 2, aSides }
    , mMembers{ aMembers }
    , mBody{ JobBody(static_cast<int>(aMembers), aAccelerators, true) }
  {
    mCluster.mRecorder.Declare(mId + ".0.0", { .mCount = aMembers, .mIsGang = true });
    mCluster.mRecorder.SetMaximumAttempts(kAttempts);
  }

  void SetFailing(std::function<bool(std::string const&, std::uint32_t)> const& aFails)
  {
    for (auto const& side : mCluster.mSides) {
      side->mWorker.mFaults.mFailsMember = aFails;
    }
  }

  void Submit() { BOOST_TEST(mCluster.Call(*mCluster.Holder(), "POST", mPath, mBody) == 200U); }

  std::string Member(std::size_t aIndex) const { return mId + ".0.0." + std::to_string(aIndex); }

  /// Waits until all members work in their run of this number.
  bool IsAtWorkIn(std::size_t aRun)
  {
    return mCluster.RunUntil([&] {
      return mCluster.mRecorder.ActiveRuns() == mMembers &&
             mCluster.mRecorder.Starts(Member(0)) == aRun;
    });
  }

  void RequireStarts(std::size_t aRuns) const
  {
    for (std::size_t member = 0; member < mMembers; ++member) {
      BOOST_TEST(mCluster.mRecorder.Starts(Member(member)) == aRuns);
    }
    RequireNoFaults(mCluster);
  }

  test_cluster mCluster;
  std::size_t mMembers;
  std::string mBody;
  std::string mId = JobId(61);
  std::string mPath = "/b/" + mId;
};

} // namespace

BOOST_AUTO_TEST_SUITE(gang_failure_test)

// Guards against a gang whose job is shown as failed although it has attempts left: each member
// that failed in the same run used up an attempt.
BOOST_AUTO_TEST_CASE(members_that_fail_in_one_run_use_up_one_attempt)
{
  gang_cluster gang{ 3, 3, 8 };
  gang.SetFailing([](std::string const&, std::uint32_t aRun) { return aRun == 1; });
  gang.Submit();
  BOOST_TEST(gang.mCluster.ReachesState(gang.mPath, "done"));
  gang.RequireStarts(2);
}

// Guards against the opposite: a gang whose members fail together in every run has no more runs
// than its queue allows.
BOOST_AUTO_TEST_CASE(a_gang_that_always_fails_has_all_its_attempts_and_no_more)
{
  gang_cluster gang{ 2, 4, 4 };
  gang.SetFailing([](std::string const&, std::uint32_t) { return true; });
  gang.Submit();
  BOOST_TEST(gang.mCluster.ReachesState(gang.mPath, "failed"));
  gang.mCluster.RunFor(milliseconds{ 1000 });
  gang.RequireStarts(kAttempts);
}

// Guards against attempts that are counted by member instead of by run: in each run another member
// fails.
BOOST_AUTO_TEST_CASE(members_that_fail_by_turns_use_up_the_attempts_of_their_gang)
{
  gang_cluster gang{ 3, 3, 8 };
  gang.SetFailing([&](std::string const& aTask, std::uint32_t aRun) {
    return aTask == gang.Member(aRun % gang.mMembers);
  });
  gang.Submit();
  BOOST_TEST(gang.mCluster.ReachesState(gang.mPath, "failed"));
  gang.mCluster.RunFor(milliseconds{ 1000 });
  gang.RequireStarts(kAttempts);
}

// Guards against a count that ends with the scheduler: in each run the holder is lost after it has
// stored the failure of one member, and the next holder receives that of the other one.
BOOST_AUTO_TEST_CASE(a_run_is_counted_once_across_a_change_of_the_holder)
{
  gang_cluster gang{ 2, 2, 8 };
  auto& cluster = gang.mCluster;
  for (auto const& side : cluster.mSides) {
    side->mWorker.mWork = milliseconds{ 3000 };
  }
  gang.SetFailing([](std::string const&, std::uint32_t) { return true; });
  gang.Submit();
  auto& first = *cluster.mSides[0];
  auto& second = *cluster.mSides[1];
  for (std::size_t run = 1; run <= kAttempts; ++run) {
    BOOST_REQUIRE(gang.IsAtWorkIn(run));
    cluster.RunFor(milliseconds{ 500 });
    second.mIsFrozen = true;
    BOOST_REQUIRE(cluster.RunUntil([&] { return cluster.mRecorder.ActiveRuns() == 0; }));
    BOOST_REQUIRE(cluster.RunUntil([&] {
      return !first.mWorker.ListsEnd(gang.Member(0)) && !first.mWorker.ListsEnd(gang.Member(1));
    }));
    cluster.RestartFront(cluster.Holder() == cluster.mFronts[0].get() ? 0 : 1);
    BOOST_REQUIRE(cluster.RunUntil([&] { return cluster.Holder() != nullptr; }));
    second.mIsFrozen = false;
  }
  BOOST_TEST(cluster.ReachesState(gang.mPath, "failed"));
  cluster.RunFor(milliseconds{ 1000 });
  gang.RequireStarts(kAttempts);
}

// Guards against a start after the last attempt: the holder was lost after it had counted the last
// failed run of a large gang, and before it had stored that the job has failed.
BOOST_AUTO_TEST_CASE(a_run_that_was_counted_before_can_be_the_last_one)
{
  // Stored in three parts. A quarter of the members fills a worker, so that no side has to carry
  // out all starts within the time for which an order is valid.
  constexpr std::uint32_t kMembers = 132;
  constexpr int kMillicores = 64'000 / 33;
  gang_cluster gang{ 4, kMembers, 0 };
  auto& cluster = gang.mCluster;
  for (auto const& side : cluster.mSides) {
    side->mWorker.mWork = milliseconds{ 3000 };
  }
  gang.mBody = base::json{
    { "spec", "x" },
    { "steps",
      { { { "count", kMembers }, { "cpu", kMillicores }, { "mem_mb", 10 }, { "gang", true } } } }
  }.dump();
  gang.SetFailing(
    [&](std::string const& aTask, std::uint32_t) { return aTask == gang.Member(kMembers - 1); });
  gang.Submit();
  for (std::size_t run = 1; run <= kAttempts; ++run) {
    BOOST_REQUIRE(gang.IsAtWorkIn(run));
  }
  auto isPhaseRejected = true;
  for (auto const& front : cluster.mFronts) {
    front->mStoreEndpoint.mOnTransaction = [&](fake_row_store::client_transaction const& aCall) {
      return isPhaseRejected && aCall.Writes(dispatch::kStatePrefix)
               ? fake_row_store::transaction_fault::rejected
               : fake_row_store::transaction_fault::none;
    };
  }
  BOOST_REQUIRE(cluster.RunUntil([&] { return cluster.mRecorder.ActiveRuns() == 0; }));
  cluster.RunFor(milliseconds{ 600 });
  isPhaseRejected = false;
  cluster.RestartFront(cluster.Holder() == cluster.mFronts[0].get() ? 0 : 1);
  BOOST_REQUIRE(cluster.RunUntil([&] { return cluster.Holder() != nullptr; }));
  BOOST_TEST(cluster.ReachesState(gang.mPath, "failed"));
  gang.RequireStarts(kAttempts);
}

// Guards against the same, and against a start after a success, if the workers list no end any
// more: what the former holder has stored of the tasks decides.
BOOST_AUTO_TEST_CASE(a_stored_last_attempt_and_a_stored_success_are_final)
{
  struct stored_job
  {
    bool mIsGang = false;
    base::json mTasks;
    std::string mPhase;
  };
  // Fields: occurrence, step, index, status, run, worker, its incarnation, failures, checkpoint.
  std::vector<stored_job> const jobs{
    { false, { { 0, 0, 0, 0, 3, "side-0", 1, 3, "" } }, "failed" },
    { true,
      { { 0, 0, 0, 0, 3, "side-0", 1, 3, "" }, { 0, 0, 1, 0, 3, "side-1", 1, 0, "" } },
      "failed" },
    { true,
      { { 0, 0, 0, 2, 1, "side-0", 1, 0, "" }, { 0, 0, 1, 0, 1, "side-1", 1, 0, "" } },
      "done" },
  };
  test_cluster cluster;
  for (std::size_t index = 0; index < jobs.size(); ++index) {
    auto const id = JobId(static_cast<int>(70 + index));
    dispatch::job_description job{ .mQueue = "bulk", .mService = "service", .mWorkspace = "t" };
    job.mSteps.push_back({ .mCount = static_cast<std::uint32_t>(jobs[index].mTasks.size()),
                           .mDemand = { .mMillicores = 500 },
                           .mIsGang = jobs[index].mIsGang });
    cluster.mStore.Put(dispatch::kDispatchTable, dispatch::kStatePrefix + id,
                       base::json::array({ 1, jobs[index].mTasks }).dump());
    cluster.mStore.Put(dispatch::kDispatchTable, dispatch::kJobPrefix + id,
                       base::Encode(job).dump());
  }
  cluster.RestartFront(cluster.Holder() == cluster.mFronts[0].get() ? 0 : 1);
  BOOST_REQUIRE(cluster.RunUntil([&] { return cluster.Holder() != nullptr; }));
  for (std::size_t index = 0; index < jobs.size(); ++index) {
    auto const id = JobId(static_cast<int>(70 + index));
    BOOST_TEST(cluster.ReachesState("/b/" + id, jobs[index].mPhase, milliseconds{ 4000 }));
    BOOST_TEST(cluster.mRecorder.Starts(id + ".0.0.0") == 0U);
    BOOST_TEST(cluster.mRecorder.Starts(id + ".0.0.1") == 0U);
  }
}

// Guards against a sound worker that stands idle for seconds: two members of a gang failed there in
// one run, which counted as the failures of two tasks.
BOOST_AUTO_TEST_CASE(a_failed_run_of_a_gang_is_one_failure_for_its_worker)
{
  gang_cluster gang{ 4, 2, 4 };
  auto& cluster = gang.mCluster;
  for (auto const& side : cluster.mSides) {
    side->mWorker.mWork = milliseconds{ 1000 };
  }
  gang.SetFailing([](std::string const&, std::uint32_t aRun) { return aRun == 1; });
  gang.Submit();
  BOOST_TEST(cluster.ReachesState(gang.mPath, "done"));
  // Tasks that take up all workers.
  auto const next = JobId(62);
  cluster.mRecorder.Declare(next + ".0.0", { .mCount = 4 });
  BOOST_TEST(cluster.Call(*cluster.Holder(), "POST", "/b/" + next, JobBody(4, 8)) == 200U);
  BOOST_TEST(cluster.RunUntil([&] { return cluster.mRecorder.ActiveRuns() == 4; },
                              dispatch::worker_health::kQuarantineDuration / 6));
  gang.RequireStarts(2);
}

// Guards against workers that stay suspect although a gang has succeeded on them: the first end
// counted for the whole gang, but only for its own worker.
BOOST_AUTO_TEST_CASE(a_gang_that_is_done_clears_the_workers_of_all_its_members)
{
  gang_cluster gang{ 6, 2, 8 };
  auto& cluster = gang.mCluster;
  for (auto const& side : cluster.mSides) {
    side->mWorker.mWorkOf = [&](std::string const& aTask) {
      return aTask.starts_with(gang.mId) ? dispatch::worker_health::kEarlyFailure / 2
                                         : milliseconds{ 20'000 };
    };
    side->mWorker.mProgressTime = milliseconds{ 20'000 };
  }
  auto const others = JobId(62);
  cluster.mRecorder.Declare(others + ".0.0", { .mCount = 4 });
  BOOST_TEST(cluster.Call(*cluster.Holder(), "POST", "/b/" + others, JobBody(4, 8)) == 200U);
  BOOST_REQUIRE(cluster.RunUntil([&] { return cluster.mRecorder.ActiveRuns() == 4; }));
  gang.SetFailing([](std::string const&, std::uint32_t aRun) { return aRun == 1; });
  gang.Submit();
  BOOST_TEST(cluster.ReachesState(gang.mPath, "done"));
  gang.SetFailing({});
  auto const next = JobId(63);
  cluster.mRecorder.Declare(next + ".0.0", { .mCount = 2, .mIsGang = true });
  BOOST_TEST(cluster.Call(*cluster.Holder(), "POST", "/b/" + next, gang.mBody) == 200U);
  // A gang waits for that long for workers that are not suspect.
  BOOST_TEST(cluster.RunUntil([&] { return cluster.mRecorder.Starts(next + ".0.0.0") == 1; },
                              dispatch::kLongestPreference / 2));
  RequireNoFaults(cluster);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace rattanpond::platform
