#include "platform/tests/test_cluster.h"

namespace rattanpond::platform {

namespace asio = boost::asio;
using base::milliseconds;

BOOST_AUTO_TEST_SUITE(flow_test)

BOOST_AUTO_TEST_CASE(a_job_runs_from_submission_to_done)
{
  test_cluster cluster;
  auto const path = "/u/" + JobId(1);
  BOOST_TEST(cluster.Call(cluster.Standby(), "POST", path, JobBody(3, 1)) == 200U);
  // A repeat at another front is the same job.
  BOOST_TEST(cluster.Call(*cluster.Holder(), "POST", path, JobBody(3, 1)) == 200U);
  BOOST_TEST(cluster.Ends(path, "done"));
  BOOST_TEST(cluster.mJournal.Starts(JobId(1) + ".0.0.0") == 1U);
  BOOST_TEST(cluster.mJournal.TasksStarted() == 3U);
  BOOST_TEST(cluster.Call(cluster.Standby(), "GET", "/u/" + JobId(9)) == 410U);
  BOOST_TEST(cluster.Call(cluster.Standby(), "GET", "/none/" + JobId(9)) == 404U);
  BOOST_TEST(cluster.Call(cluster.Standby(), "GET", path, "", "other") == 401U);
  RequireNoFaults(cluster);
}

// Guards against a second run while an order without an answer is still on its way.
BOOST_AUTO_TEST_CASE(late_orders_never_run_a_task_twice)
{
  test_cluster cluster{ 2, 2 };
  cluster.mSides[0]->mWorker.mFaults.mLateOrders = milliseconds{ 1500 };
  auto const path = "/u/" + JobId(2);
  BOOST_TEST(cluster.Call(cluster.Standby(), "POST", path, JobBody(8, 2)) == 200U);
  cluster.For(milliseconds{ 2500 });
  cluster.mSides[0]->mWorker.mFaults.mLateOrders = milliseconds{ 0 };
  BOOST_TEST(cluster.Ends(path, "done"));
  RequireNoFaults(cluster);
}

// Guards against starts without the ticket that the queue's policy asks for, and against a job that
// waits for ever when the service turns a question away.
BOOST_AUTO_TEST_CASE(an_advised_queue_starts_only_where_it_may)
{
  test_cluster cluster{ 2, 3 };
  cluster.mAdvice.mGood = { "i-side-2" };
  cluster.mAdvice.mRefusals = 1;
  for (auto const& side : cluster.mSides) {
    side->mWorker.mFaults.mTicket = "ticket-" + side->mWorker.Id();
  }
  auto const path = "/a/" + JobId(18);
  BOOST_TEST(cluster.Call(cluster.Standby(), "POST", path, JobBody(3, 4)) == 200U);
  BOOST_TEST(cluster.Ends(path, "done"));
  BOOST_TEST(cluster.mSides[0]->mWorker.mStarted == 0U);
  BOOST_TEST(cluster.mSides[1]->mWorker.mStarted == 0U);
  BOOST_TEST(cluster.mSides[2]->mWorker.mStarted == 3U);
  for (auto const& side : cluster.mSides) {
    BOOST_TEST(side->mWorker.mTicketRefusals == 0U);
  }
  // One refused question, and one that names all three workers.
  BOOST_TEST(cluster.mAdvice.mQuestions == 2U);
  RequireNoFaults(cluster);
}

// Found in an incident (tkp-permits, inc-57ae): all machines lost power, and work of 12 s on whole
// workers began again from nothing, though the workers had listed checkpoints all the while.
BOOST_AUTO_TEST_CASE(listed_checkpoints_outlive_the_scheduler_and_the_worker)
{
  test_cluster cluster{ 2, 1 };
  auto& worker = cluster.mSides[0]->mWorker;
  worker.mWork = milliseconds{ 60'000 };
  worker.mCheckpoint = "half-way";
  base::json const step{ { "count", 1 }, { "cpu", 60'000 },         { "mem_mb", 1000 },
                         { "gpu", 8 },   { "estimate_ms", 60'000 }, { "checkpointable", true } };
  auto const body = base::json{ { "spec", "x" }, { "steps", { step } } }.dump();
  BOOST_TEST(cluster.Call(cluster.Standby(), "POST", "/u/" + JobId(19), body) == 200U);
  BOOST_REQUIRE(cluster.Until([&] { return cluster.mJournal.Live() == 1; }));
  BOOST_TEST(worker.mResumedFrom.empty());
  cluster.For(milliseconds{ 4500 });
  auto const started = worker.mStarted;
  cluster.Holder()->mIsFrozen = true;
  worker.Crash();
  BOOST_REQUIRE(cluster.Until([&] { return worker.mStarted > started; }));
  BOOST_TEST(worker.mResumedFrom == "half-way");
  RequireNoFaults(cluster);
}

// A worker that refuses connections answers each stop within a millisecond; one scheduler sent
// 7,000 stops in a few seconds and logged as many lines.
BOOST_AUTO_TEST_CASE(stops_to_a_worker_that_is_gone_are_spaced)
{
  test_cluster cluster{ 1, 1 };
  auto& worker = cluster.mSides[0]->mWorker;
  worker.mWork = milliseconds{ 20'000 };
  auto const path = "/u/" + JobId(17);
  BOOST_TEST(cluster.Call(*cluster.Holder(), "POST", path, JobBody(1, 1)) == 200U);
  BOOST_REQUIRE(cluster.Until([&] { return cluster.mJournal.Live() == 1; }));
  worker.StopListening();
  BOOST_TEST(cluster.Call(*cluster.Holder(), "DELETE", path) == 200U);
  cluster.For(milliseconds{ 4000 });
  auto const stops = cluster.Holder()->mMetrics.Counter("rattanpond_stops").Value();
  BOOST_TEST(stops >= 2U);
  BOOST_TEST(stops <= 6U);
}

// Found on a grown day: a worker answered its lists and cut off each stop of eight runs that were
// not current any more. Each result brought a report and each report the next stops, 7,256 in 3 s.
BOOST_AUTO_TEST_CASE(stops_of_unwanted_runs_are_spaced)
{
  test_cluster cluster{ 1, 1 };
  auto& worker = cluster.mSides[0]->mWorker;
  cluster.For(milliseconds{ 300 });
  worker.mWork = milliseconds{ 20'000 };
  worker.mFaults.mCutsStops = true;
  worker.Plant(JobId(31) + ".0.0.0", 1);
  BOOST_REQUIRE(cluster.Until([&] { return worker.mStopCalls > 0; }));
  cluster.For(milliseconds{ 4000 });
  // Each order is tried four times.
  BOOST_TEST(worker.mStopCalls >= 8U);
  BOOST_TEST(worker.mStopCalls <= 16U);
  worker.mFaults.mCutsStops = false;
  BOOST_TEST(cluster.Until([&] { return cluster.mJournal.Live() == 0; }, milliseconds{ 3000 }));
}

// Found on arla-sched, scale-1: the member of a gang on the faster worker had done its share and
// waited for the other one. It was taken for stalled and the whole gang was stopped just before its
// end.
BOOST_AUTO_TEST_CASE(a_member_that_waits_for_its_gang_is_not_stalled)
{
  test_cluster cluster{ 1, 2 };
  for (auto const& side : cluster.mSides) {
    side->mWorker.mWork = milliseconds{ 8000 };
    side->mWorker.mShareTime = milliseconds{ 8000 };
  }
  cluster.mSides[0]->mWorker.mShareTime = milliseconds{ 2000 };
  base::json const step{ { "count", 2 }, { "cpu", 1000 },         { "mem_mb", 1000 },
                         { "gpu", 8 },   { "estimate_ms", 8000 }, { "gang", true } };
  auto const path = "/b/" + JobId(34);
  auto const body = base::json{ { "spec", "x" }, { "steps", { step } } }.dump();
  BOOST_TEST(cluster.Call(*cluster.Holder(), "POST", path, body) == 200U);
  BOOST_REQUIRE(cluster.Until([&] { return cluster.mJournal.Live() == 2; }));
  BOOST_TEST(cluster.Until([&] { return cluster.mJournal.Live() == 0; }));
  BOOST_TEST(cluster.mJournal.Starts(JobId(34) + ".0.0.0") == 1U);
  BOOST_TEST(cluster.mJournal.Starts(JobId(34) + ".0.0.1") == 1U);
  for (auto const& side : cluster.mSides) {
    BOOST_TEST(side->mWorker.mStopCalls == 0U);
  }
  RequireNoFaults(cluster);
}

// Guards against a gang that is held up until the lease ends by a member that never begins: the
// others move on, so it does not wait for them.
BOOST_AUTO_TEST_CASE(a_member_that_never_begins_is_stalled)
{
  test_cluster cluster{ 1, 2 };
  for (auto const& side : cluster.mSides) {
    side->mWorker.mWork = milliseconds{ 12'000 };
    side->mWorker.mShareTime = milliseconds{ 12'000 };
  }
  cluster.mSides[0]->mWorker.mShareTime = milliseconds{ 60'000'000 };
  base::json const step{ { "count", 2 }, { "cpu", 1000 },           { "mem_mb", 1000 },
                         { "gpu", 8 },   { "estimate_ms", 12'000 }, { "gang", true } };
  auto const body = base::json{ { "spec", "x" }, { "steps", { step } } }.dump();
  BOOST_TEST(cluster.Call(*cluster.Holder(), "POST", "/b/" + JobId(35), body) == 200U);
  BOOST_REQUIRE(cluster.Until([&] { return cluster.mJournal.Live() == 2; }));
  BOOST_TEST(
    cluster.Until([&] { return cluster.mSides[0]->mWorker.mStopCalls > 0; }, milliseconds{ 7000 }));
}

// Guards against work that is lost or doubled when the scheduler ends, and against a takeover that
// takes longer than stated.
BOOST_AUTO_TEST_CASE(a_standby_adopts_running_work)
{
  test_cluster cluster;
  for (auto const& side : cluster.mSides) {
    side->mWorker.mWork = milliseconds{ 4000 };
  }
  auto const path = "/u/" + JobId(3);
  BOOST_TEST(cluster.Call(cluster.Standby(), "POST", path, JobBody(3, 2)) == 200U);
  BOOST_REQUIRE(cluster.Until([&] { return cluster.mJournal.Live() == 3; }));
  auto* const former = cluster.Holder();
  former->mIsFrozen = true;
  auto const frozenAt = base::Now();
  BOOST_REQUIRE(cluster.Until([&] { return cluster.Holder() != nullptr; }));
  BOOST_TEST((base::Now() - frozenAt).count() < 3000);
  cluster.For(milliseconds{ 500 });
  // The frozen holder wakes with its old beliefs.
  former->mIsFrozen = false;
  BOOST_TEST(cluster.Until([&] { return !former->mScheduler.IsHolder(); }));
  BOOST_TEST(cluster.Ends(path, "done"));
  BOOST_TEST(cluster.mJournal.Starts(JobId(3) + ".0.0.0") == 1U);
  RequireNoFaults(cluster);
}

// Guards against a scheduler that goes on without the store, and against standbys that wait while
// the store turns only the holder away.
BOOST_AUTO_TEST_CASE(a_holder_that_the_store_turns_away_is_replaced)
{
  test_cluster cluster;
  auto* const former = cluster.Holder();
  former->mDoor.mBehaviour = fake_row_store::behaviour::refuses;
  BOOST_REQUIRE(cluster.Until([&] {
    return cluster.mFronts[0].get() == former ? cluster.mFronts[1]->mScheduler.IsHolder()
                                              : cluster.mFronts[0]->mScheduler.IsHolder();
  }));
  auto& next = cluster.mFronts[0].get() == former ? *cluster.mFronts[1] : *cluster.mFronts[0];
  BOOST_TEST(cluster.Call(next, "POST", "/u/" + JobId(4), JobBody(2, 1)) == 200U);
  BOOST_TEST(cluster.Until([&] { return cluster.mJournal.TasksStarted() == 2; }));
  // The one that is turned away admits no key once its configuration is too old; what it passes on
  // is served by the other.
  BOOST_TEST(cluster.Until(
    [&] { return cluster.Call(*former, "GET", "/u/" + JobId(4), "", kKey, via::here) == 503U; }));
  BOOST_TEST(!former->mCallers.IsReady());
  BOOST_TEST(cluster.Call(*former, "GET", "/u/" + JobId(4)) == 200U);
  BOOST_TEST(cluster.Call(*former, "POST", "/u/" + JobId(20), JobBody(1, 1)) == 200U);
  BOOST_TEST(cluster.Call(*former, "POST", "/u/" + JobId(21), JobBody(1, 1), "other") == 401U);
  former->mDoor.mBehaviour = fake_row_store::behaviour::serves;
  BOOST_TEST(cluster.Until([&] { return !former->mScheduler.IsHolder(); }));
  BOOST_TEST(cluster.Until([&] { return former->mCallers.IsReady(); }));
  RequireNoFaults(cluster);
}

// Guards against a refusal of a job that is accepted after all, and against a double start when
// answers of the store are lost.
BOOST_AUTO_TEST_CASE(lost_answers_of_the_store_change_nothing)
{
  test_cluster cluster;
  auto& standby = cluster.Standby();
  standby.mDoor.mBehaviour = fake_row_store::behaviour::loses_answers;
  auto const path = "/u/" + JobId(5);
  auto const status = cluster.Call(standby, "POST", path, JobBody(2, 1), kKey, via::here);
  BOOST_TEST(status == 504U);
  standby.mDoor.mBehaviour = fake_row_store::behaviour::serves;
  auto* const holder = cluster.Holder();
  BOOST_REQUIRE(holder != nullptr);
  holder->mDoor.mBehaviour = fake_row_store::behaviour::loses_answers;
  cluster.For(milliseconds{ 700 });
  holder->mDoor.mBehaviour = fake_row_store::behaviour::serves;
  BOOST_TEST(cluster.Call(*cluster.mFronts[0], "POST", path, JobBody(2, 1)) == 200U);
  BOOST_TEST(cluster.Until([&] { return cluster.mJournal.TasksStarted() == 2; }));
  BOOST_TEST(cluster.Until([&] { return cluster.mJournal.Live() == 0; }));
  RequireNoFaults(cluster);
}

// A refusal is true: a store that refuses has done nothing, and nothing of the job runs later.
BOOST_AUTO_TEST_CASE(a_refused_job_never_runs)
{
  test_cluster cluster;
  auto& standby = cluster.Standby();
  standby.mDoor.mBehaviour = fake_row_store::behaviour::refuses;
  auto const path = "/u/" + JobId(6);
  BOOST_TEST(cluster.Call(standby, "POST", path, JobBody(1, 1), kKey, via::here) == 503U);
  cluster.For(milliseconds{ 500 });
  BOOST_TEST(cluster.mJournal.TasksStarted() == 0U);
}

// Found on a grown day (arla-sched-grown, trouble-2, slow store): a front that the store refused
// passed a submission on, heard nothing in time, and said that the job had not run; the other
// front's transaction took effect afterwards.
BOOST_AUTO_TEST_CASE(a_passed_on_job_without_an_outcome_is_not_refused)
{
  test_cluster cluster;
  auto& standby = cluster.Standby();
  auto& holder = *cluster.Holder();
  standby.mDoor.mBehaviour = fake_row_store::behaviour::refuses;
  holder.mDoor.mBehaviour = fake_row_store::behaviour::loses_answers;
  BOOST_TEST(cluster.Call(standby, "POST", "/u/" + JobId(32), JobBody(1, 1)) == 504U);
  holder.mDoor.mBehaviour = fake_row_store::behaviour::serves;
  holder.mIsFrozen = true;
  BOOST_TEST(cluster.Call(standby, "POST", "/u/" + JobId(33), JobBody(1, 1)) == 504U);
  holder.mIsFrozen = false;
  standby.mDoor.mBehaviour = fake_row_store::behaviour::serves;
  // The first took effect, so that a refusal would have been untrue.
  BOOST_TEST(cluster.Until([&] { return cluster.mJournal.Starts(JobId(32) + ".0.0.0") == 1; }));
  RequireNoFaults(cluster);
}

// Guards against a key that hands in work after it was taken away, at a front that does not hear of
// it: the acceptance itself is conditional on the configuration.
BOOST_AUTO_TEST_CASE(a_revoked_key_is_refused_by_the_store)
{
  test_cluster cluster;
  // Not a step in between: the front still holds the first version.
  cluster.mStore.Put(kOperatorTable, kConfigurationKey, Configuration(2, "key-2"));
  BOOST_TEST(cluster.Call(cluster.Standby(), "POST", "/u/" + JobId(7), JobBody(1, 1)) == 401U);
  BOOST_TEST(cluster.Call(cluster.Standby(), "POST", "/u/" + JobId(7), JobBody(1, 1), "key-2") ==
             200U);
  // An older version never comes back.
  cluster.mStore.Put(kOperatorTable, kConfigurationKey, Configuration(1));
  cluster.For(milliseconds{ 200 });
  BOOST_TEST(cluster.Call(cluster.Standby(), "GET", "/u/" + JobId(7)) == 401U);
}

BOOST_AUTO_TEST_CASE(lost_history_is_read_again)
{
  test_cluster cluster;
  cluster.mStore.ForgetHistory();
  cluster.mStore.Put(kOperatorTable, kConfigurationKey, Configuration(3, "key-3"));
  cluster.mStore.ForgetHistory();
  BOOST_TEST(cluster.Until([&] {
    return cluster.Call(cluster.Standby(), "POST", "/u/" + JobId(8), JobBody(1, 1), "key-3") ==
           200U;
  }));
  BOOST_TEST(cluster.Until([&] { return cluster.mJournal.TasksStarted() == 1; }));
}

// Guards against starts in a domain that the operators have taken out, also when the order to take
// it out and the start race.
BOOST_AUTO_TEST_CASE(nothing_starts_in_an_evacuated_domain)
{
  test_cluster cluster{ 2, 2 };
  cluster.For(milliseconds{ 300 });
  cluster.mStore.Put(kOperatorTable, std::string{ kEvacuationPrefix } + "zone-0", "{}");
  BOOST_TEST(cluster.Call(cluster.Standby(), "POST", "/u/" + JobId(10), JobBody(2, 8)) == 200U);
  cluster.For(milliseconds{ 1500 });
  BOOST_TEST(cluster.mJournal.TasksStarted() == 2U);
  BOOST_TEST(cluster.mSides[0]->mWorker.mStarted == 0U);
  cluster.mStore.Remove(kOperatorTable, std::string{ kEvacuationPrefix } + "zone-0");
  BOOST_TEST(cluster.Call(cluster.Standby(), "POST", "/u/" + JobId(11), JobBody(2, 8)) == 200U);
  BOOST_TEST(cluster.Until([&] { return cluster.mSides[0]->mWorker.mStarted > 0; }));
}

BOOST_AUTO_TEST_CASE(a_cancelled_job_stops_and_never_starts_again)
{
  test_cluster cluster;
  for (auto const& side : cluster.mSides) {
    side->mWorker.mWork = milliseconds{ 5000 };
  }
  auto const path = "/b/" + JobId(12);
  BOOST_TEST(cluster.Call(cluster.Standby(), "POST", path, JobBody(6, 8)) == 200U);
  BOOST_REQUIRE(cluster.Until([&] { return cluster.mJournal.Live() == 3; }));
  BOOST_TEST(cluster.Call(cluster.Standby(), "DELETE", path) == 200U);
  BOOST_TEST(cluster.Call(*cluster.Holder(), "DELETE", path) == 200U);
  BOOST_TEST(cluster.Until([&] { return cluster.mJournal.Live() == 0; }, milliseconds{ 2000 }));
  cluster.For(milliseconds{ 500 });
  BOOST_TEST(cluster.mJournal.TasksStarted() == 3U);
  BOOST_TEST(cluster.State(path) == "cancelled");
}

// Guards against a guarantee that waits behind borrowed work for longer than the reclaim bound.
BOOST_AUTO_TEST_CASE(a_guarantee_is_reclaimed_from_borrowed_work)
{
  test_cluster cluster{ 2, 2 };
  for (auto const& side : cluster.mSides) {
    side->mWorker.mWork = milliseconds{ 6000 };
  }
  BOOST_TEST(cluster.Call(cluster.Standby(), "POST", "/b/" + JobId(13), JobBody(2, 8)) == 200U);
  BOOST_REQUIRE(cluster.Until([&] { return cluster.mJournal.Live() == 2; }));
  cluster.For(milliseconds{ 300 });
  auto const asked = base::Now();
  BOOST_TEST(cluster.Call(cluster.Standby(), "POST", "/u/" + JobId(14), JobBody(1, 8, true)) ==
             200U);
  BOOST_TEST(cluster.Until([&] { return cluster.mJournal.Starts(JobId(14) + ".0.0.0") == 1; }));
  BOOST_TEST((base::Now() - asked).count() < 2900);
  RequireNoFaults(cluster);
}

// Guards against tasks of a crashed worker that wait for a lease although its next life is known,
// and against ends of the former life that are taken for those of the new one.
BOOST_AUTO_TEST_CASE(work_of_a_reborn_worker_starts_again)
{
  test_cluster cluster{ 2, 1 };
  cluster.mSides[0]->mWorker.mWork = milliseconds{ 1500 };
  auto const path = "/u/" + JobId(15);
  BOOST_TEST(cluster.Call(cluster.Standby(), "POST", path, JobBody(2, 1)) == 200U);
  BOOST_REQUIRE(cluster.Until([&] { return cluster.mJournal.Live() == 2; }));
  cluster.mSides[0]->mWorker.Crash();
  BOOST_TEST(cluster.Ends(path, "done"));
  BOOST_TEST(cluster.mJournal.Starts(JobId(15) + ".0.0.0") == 2U);
  RequireNoFaults(cluster);
}

// Guards against starts on a worker that has said that it drains.
BOOST_AUTO_TEST_CASE(a_draining_worker_gets_no_new_work)
{
  test_cluster cluster{ 2, 2 };
  cluster.For(milliseconds{ 300 });
  cluster.mSides[1]->mWorkerState = "draining";
  cluster.mSides[1]->Beat("draining");
  auto const before = cluster.mSides[1]->mWorker.mStarted;
  BOOST_TEST(cluster.Call(cluster.Standby(), "POST", "/b/" + JobId(16), JobBody(4, 4)) == 200U);
  cluster.For(milliseconds{ 800 });
  BOOST_TEST(cluster.mSides[1]->mWorker.mStarted == before);
}

// A job that always fails is shown as failed after its attempts, and does not take the workers with
// it.
BOOST_AUTO_TEST_CASE(a_job_that_always_fails_ends_after_its_attempts)
{
  test_cluster cluster{ 2, 3 };
  for (auto const& side : cluster.mSides) {
    side->mWorker.mFaults.mFailsAll = true;
  }
  auto const path = "/u/" + JobId(17);
  BOOST_TEST(cluster.Call(cluster.Standby(), "POST", path, JobBody(1, 1)) == 200U);
  BOOST_TEST(cluster.Ends(path, "failed"));
  BOOST_TEST(cluster.mJournal.Starts(JobId(17) + ".0.0.0") == 3U);
  for (auto const& side : cluster.mSides) {
    side->mWorker.mFaults.mFailsAll = false;
  }
  BOOST_TEST(cluster.Call(cluster.Standby(), "POST", "/u/" + JobId(18), JobBody(1, 1)) == 200U);
  BOOST_TEST(cluster.Ends("/u/" + JobId(18), "done"));
}

// Guards against leases that lapse while the scheduler is away for less than stated.
BOOST_AUTO_TEST_CASE(work_outlives_the_loss_of_all_fronts)
{
  test_cluster cluster{ 2, 2 };
  for (auto const& side : cluster.mSides) {
    side->mWorker.mWork = milliseconds{ 9000 };
  }
  auto const path = "/u/" + JobId(19);
  BOOST_TEST(cluster.Call(cluster.Standby(), "POST", path, JobBody(2, 4)) == 200U);
  BOOST_REQUIRE(cluster.Until([&] { return cluster.mJournal.Live() == 2; }));
  for (auto const& front : cluster.mFronts) {
    front->mIsFrozen = true;
  }
  cluster.For(milliseconds{ 7000 });
  BOOST_TEST(cluster.mJournal.Live() == 2U);
  for (auto const& front : cluster.mFronts) {
    front->mIsFrozen = false;
  }
  BOOST_TEST(cluster.Ends(path, "done"));
  BOOST_TEST(cluster.mJournal.Starts(JobId(19) + ".0.0.0") == 1U);
  RequireNoFaults(cluster);
}

// Guards against leases that a holder goes on renewing after it may have been replaced: the next
// holder would start their tasks a second time.
BOOST_AUTO_TEST_CASE(a_holder_without_the_store_renews_no_leases_for_ever)
{
  test_cluster cluster{ 2, 1 };
  cluster.mSides[0]->mWorker.mWork = milliseconds{ 60'000 };
  BOOST_TEST(cluster.Call(cluster.Standby(), "POST", "/u/" + JobId(30), JobBody(1, 1)) == 200U);
  BOOST_REQUIRE(cluster.Until([&] { return cluster.mJournal.Live() == 1; }));
  for (auto const& front : cluster.mFronts) {
    front->mDoor.mBehaviour = fake_row_store::behaviour::refuses;
  }
  cluster.For(milliseconds{ 9000 });
  // Work outlives an outage of the store.
  BOOST_TEST(cluster.mSides[0]->mWorker.mLapses == 0U);
  BOOST_TEST(
    cluster.Until([&] { return cluster.mSides[0]->mWorker.mLapses == 1; }, milliseconds{ 12'000 }));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace rattanpond::platform
