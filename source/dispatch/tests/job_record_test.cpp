#include "dispatch/failure_history.h"
#include "dispatch/job_record.h"
#include "dispatch/lease_timing.h"
#include "dispatch/retry_advice.h"
#include "dispatch/run_progress.h"
#include "dispatch/term_lease.h"
#include "dispatch/worker_health.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

namespace rattanpond::dispatch {

namespace {

using base::milliseconds;
using base::time_point;

job_description TwoSteps()
{
  job_description job{ .mQueue = "queue" };
  job.mSteps.resize(2);
  job.mSteps[0].mCount = 2;
  job.mSteps[1].mCount = 3;
  job.mSteps[1].mDependencies = { 0 };
  return job;
}

time_point At(std::int64_t aMilliseconds)
{
  return time_point{ milliseconds{ aMilliseconds } };
}

} // namespace

BOOST_AUTO_TEST_SUITE(job_record_test)

BOOST_AUTO_TEST_CASE(task_names_are_parsed_strictly)
{
  auto const parsed = ParseTaskName("5c0e7a21d94b36f8.2.1.17");
  BOOST_REQUIRE(parsed.has_value());
  BOOST_TEST(parsed->mJob == "5c0e7a21d94b36f8");
  BOOST_TEST(parsed->mPosition.mOccurrence == 2U);
  BOOST_TEST(parsed->mPosition.mStep == 1U);
  BOOST_TEST(parsed->mPosition.mIndex == 17U);
  BOOST_TEST(TaskName(parsed->mJob, parsed->mPosition) == "5c0e7a21d94b36f8.2.1.17");
  for (auto const* const bad : { "", "a", "a.1", "a.1.2", "a.1.2.x", "a.1.2.3.4", ".1.2.3",
                                 "a.1.2.", "a.-1.2.3", "a.1.2.99999999999" }) {
    BOOST_TEST(!ParseTaskName(bad).has_value(), bad);
  }
}

BOOST_AUTO_TEST_CASE(a_step_waits_for_the_steps_before_it)
{
  job_record job{ "job", TwoSteps() };
  BOOST_TEST(job.IsStepReady(0, 0));
  BOOST_TEST(!job.IsStepReady(0, 1));
  for (auto& task : job.Tasks(0, 0)) {
    task.mState.mStatus = task_status::done;
  }
  BOOST_TEST(job.IsStepReady(0, 1));
  BOOST_TEST(!job.IsDone());
}

// Guards against a new holder that decodes another state than the previous one stored.
BOOST_AUTO_TEST_CASE(stored_state_survives_a_round_trip)
{
  rc::check("state round trip", [] {
    job_record written{ "job", TwoSteps() };
    written.ForEachTask([](task_position const&, tracked_task& aTask) {
      aTask.mState.mStatus = static_cast<task_status>(*rc::gen::inRange(0, 3));
      aTask.mState.mRun = *rc::gen::inRange<std::uint32_t>(0, 9);
      aTask.mState.mWorker = *rc::gen::element<std::string>("", "w1", "w2");
      aTask.mState.mWorkerIncarnationStart = *rc::gen::inRange<std::int64_t>(0, 2'000'000'000'000);
      aTask.mState.mFailures = *rc::gen::inRange<std::uint32_t>(0, 4);
      aTask.mState.mCheckpoint = *rc::gen::element<std::string>("", "00ab");
      aTask.mState.mLateStartUntilMs = *rc::gen::element<std::int64_t>(0, 86'400'000);
      for (auto count = *rc::gen::inRange(0, 3); count > 0; --count) {
        aTask.mState.mSuspectedCrashes.push_back(
          { .mWorker = *rc::gen::element<std::string>("w1", "w2"),
            .mWorkerIncarnationStart = *rc::gen::inRange<std::int64_t>(0, 2'000'000'000'000),
            .mRun = *rc::gen::inRange<std::uint32_t>(0, 9),
            .mIsAlone = *rc::gen::arbitrary<bool>() });
      }
    });
    written.SetPhase(job_phase::running);
    job_record read{ "job", TwoSteps() };
    RC_ASSERT(read.ApplyState(written.EncodeState()));
    RC_ASSERT(read.Phase() == job_phase::running);
    written.ForEachTask([&](task_position const& aPosition, tracked_task const& aTask) {
      RC_ASSERT(read.Find(aPosition)->mState == aTask.mState);
    });
  });
}

// Guards against a failed run of a gang that the next holder counts again, and against a state that
// earlier versions of the program cannot read.
BOOST_AUTO_TEST_CASE(the_last_failed_run_of_a_gang_is_stored)
{
  auto description = TwoSteps();
  description.mSteps[1].mIsGang = true;
  job_record written{ "job", description };
  for (auto& member : written.Tasks(0, 1)) {
    member.mState = { .mStatus = task_status::active, .mRun = 4, .mWorker = "w" };
  }
  auto& first = written.Tasks(0, 1).front().mState;
  BOOST_TEST(first.CountGangFailure(4));
  BOOST_TEST(!first.CountGangFailure(4));
  job_record read{ "job", description };
  BOOST_REQUIRE(read.ApplyState(written.EncodeState()));
  written.ForEachTask([&](task_position const& aPosition, tracked_task const& aTask) {
    BOOST_TEST((read.Find(aPosition)->mState == aTask.mState));
  });
  auto& known = read.Tasks(0, 1).front().mState;
  BOOST_TEST(!known.CountGangFailure(4));
  BOOST_TEST(known.CountGangFailure(5));
  BOOST_TEST(known.mFailures == 2U);
  // Like an earlier version, a record without the gang has no use for its entry.
  job_record earlier{ "job", TwoSteps() };
  BOOST_REQUIRE(earlier.ApplyState(written.EncodeState()));
  BOOST_TEST(earlier.Find({ 0, 1, 0 })->mState.mFailures == 1U);
  BOOST_TEST(earlier.Find({ 0, 1, 2 })->mState.mRun == 4U);
}

// Guards against a late start that the next holder does not know of, and against a state that
// earlier versions of the program cannot read: they ignore entries of tasks that the job does not
// have.
BOOST_AUTO_TEST_CASE(the_time_of_a_late_start_is_stored_with_an_index_beyond_the_tasks)
{
  job_record written{ "job", TwoSteps() };
  written.Tasks(0, 1)[2].mState = {
    .mRun = 4, .mWorker = "w", .mIdentifier = "i", .mLateStartUntilMs = 77
  };
  job_record read{ "job", TwoSteps() };
  BOOST_REQUIRE(read.ApplyState(written.EncodeState()));
  BOOST_TEST((read.Find({ 0, 1, 2 })->mState == written.Find({ 0, 1, 2 })->mState));
  BOOST_TEST(written.EncodeState() ==
             R"([0,[[0,1,2,0,4,"w",0,0,""],[0,1,6,0,0,"",77,0,""],[0,1,9,0,0,"i",0,0,""]]])");
}

BOOST_AUTO_TEST_CASE(unreadable_state_changes_nothing)
{
  job_record job{ "job", TwoSteps() };
  job.Find({ 0, 0, 1 })->mState.mRun = 4;
  for (auto const* const bad : { "", "{}", "[1]", "[0,[[1]]]", "[9,[]]", "null" }) {
    BOOST_TEST(!job.ApplyState(bad), bad);
  }
  BOOST_TEST(job.Find({ 0, 0, 1 })->mState.mRun == 4U);
  // A task that the job does not have is ignored.
  BOOST_TEST(job.ApplyState(R"([1,[[0,7,0,1,1,"w",1,0,""]]])"));
}

// Guards against a takeover when term heartbeats are missing because the store does not respond.
BOOST_AUTO_TEST_CASE(store_outage_does_not_vacate_the_term)
{
  auto const limit = kTermHeartbeatTimeout.count();
  term_lease lease;
  lease.SetStoreAvailable(At(0));
  lease.RecordVersion(1, At(0));
  BOOST_TEST(!lease.IsVacant(At(limit), milliseconds{ 0 }));
  BOOST_TEST(lease.IsVacant(At(limit + 1), milliseconds{ 0 }));
  lease.SetStoreUnavailable();
  BOOST_TEST(!lease.IsVacant(At(9000), milliseconds{ 0 }));
  lease.SetStoreAvailable(At(9000));
  BOOST_TEST(!lease.IsVacant(At(9000 + limit), milliseconds{ 0 }));
  BOOST_TEST(lease.IsVacant(At(9001 + limit), milliseconds{ 0 }));
  lease.RecordVersion(2, At(20'000));
  BOOST_TEST(!lease.IsVacant(At(20'000 + limit), milliseconds{ 0 }));
  lease.SetReleased();
  BOOST_TEST(lease.IsVacant(At(20'001), milliseconds{ 0 }));
  // The specified limit from the failure of the holder to the next start of a task is 3 s.
  BOOST_TEST(kTermHeartbeatInterval + kTermHeartbeatTimeout < milliseconds{ 2500 });
}

BOOST_AUTO_TEST_CASE(lease_expiry_bound_covers_the_slowest_clock)
{
  BOOST_TEST(MaximumRealTime(milliseconds{ 9800 }).count() == 10'000);
  BOOST_TEST(LeaseExpiryBound(milliseconds{ 10'000 }) >=
             kLeaseRenewalWindow + MaximumRealTime(kLeaseLength));
  // A lease that is longer than the platform's maximum is shortened to it.
  BOOST_TEST(LeaseExpiryBound(milliseconds{ 1000 }) < LeaseExpiryBound(milliseconds{ 10'000 }));
}

// During a store outage of unknown length, callers that retry too early use up their attempts
// before it ends. Callers that retry too late lose time after a short outage.
BOOST_AUTO_TEST_CASE(retry_delay_follows_the_duration_of_the_outage)
{
  BOOST_TEST(RetryAfter(milliseconds{ 0 }).count() == 1);
  BOOST_TEST(RetryAfter(milliseconds{ 1800 }).count() == 2);
  BOOST_TEST(RetryAfter(milliseconds{ 60'000 }) == kMaximumRetryDelay);
}

// Tasks on some workers stall while the worker heartbeats go on. Guards against stalled runs that
// keep their accelerators until the lease expires, and against stopping long runs that progress
// slowly.
BOOST_AUTO_TEST_CASE(a_run_without_progress_is_stalled)
{
  run_progress const shortRun{ .mLastProgressAt = At(0), .mExpectedRunTime = milliseconds{ 5000 } };
  BOOST_TEST(!IsStalled(shortRun, At(2400)));
  BOOST_TEST(IsStalled(shortRun, At(2401)));
  run_progress const member{ .mLastProgressAt = At(0),
                             .mExpectedRunTime = milliseconds{ 5000 },
                             .mMayWaitForMembers = true };
  BOOST_TEST(!IsStalled(member, At(2401)));
  BOOST_TEST(IsStalled(member, At(4501)));
  run_progress const hours{ .mLastProgressAt = At(0),
                            .mExpectedRunTime = milliseconds{ 3'600'000 } };
  BOOST_TEST(!IsStalled(hours, At(300'000)));
  // A run with steady progress is not stalled, even if the declared run time is far too short.
  run_progress const steady{ .mLastProgressAt = At(0),
                             .mExpectedRunTime = milliseconds{ 500 },
                             .mLastInterval = milliseconds{ 2000 } };
  BOOST_TEST(!IsStalled(steady, At(6000)));
}

// A task that takes five minutes and declares two seconds progresses by one percent every three
// seconds. Guards against stopping each of its runs as stalled.
BOOST_AUTO_TEST_CASE(a_task_that_stalls_again_gets_more_time)
{
  base::time_point const now{ milliseconds{ 100'000 } };
  run_progress progress{ .mLastProgressAt = now - milliseconds{ 3000 },
                         .mExpectedRunTime = milliseconds{ 2000 } };
  BOOST_TEST(IsStalled(progress, now));
  progress.mPreviousStalls = 1;
  BOOST_TEST(!IsStalled(progress, now));
  progress.mPreviousStalls = 100;
  BOOST_TEST(IsStalled(progress, now + milliseconds{ 3'600'000 }));
}

// Guards against starting further tasks on a worker on which a run has stalled.
BOOST_AUTO_TEST_CASE(a_stalled_run_quarantines_its_worker)
{
  worker_health health;
  health.Stalled(At(0));
  BOOST_TEST(health.IsQuarantined(At(1)));
  BOOST_TEST(!health.IsQuarantined(At(0) + worker_health::kQuarantineDuration));
}

// One worker fails each task that it starts while many tasks of one job are waiting. Guards against
// a worker that receives ever more tasks because it fails them quickly.
BOOST_AUTO_TEST_CASE(failures_of_different_tasks_quarantine_a_worker)
{
  worker_health health;
  health.Failed("job.0.0.1", At(0));
  health.Failed("job.0.0.1", At(10));
  BOOST_TEST(!health.IsQuarantined(At(20)));
  health.Failed("job.0.0.2", At(30));
  BOOST_TEST(health.IsQuarantined(At(40)));
  BOOST_TEST(!health.IsQuarantined(At(30) + worker_health::kQuarantineDuration));
  health.Succeeded();
  health.Failed("other.0.0.0", At(20'000));
  BOOST_TEST(!health.IsQuarantined(At(20'001)));
}

// Guards against urgent jobs that fail for good: four workers of 51 failed all tasks within 100 ms,
// and both attempts of an urgent gang met one of them, although tasks of another job had just
// failed on several (further-grown, trouble-1, seed 11; ten urgent jobs on one day of the large
// deployment).
BOOST_AUTO_TEST_CASE(a_worker_that_fails_tasks_at_once_is_suspect_until_a_success)
{
  worker_health health;
  BOOST_TEST(!health.IsSuspect(At(0)));
  health.FailedEarly(At(0));
  BOOST_TEST(health.IsSuspect(At(1)));
  BOOST_TEST(!health.IsQuarantined(At(1)));
  health.Succeeded();
  BOOST_TEST(!health.IsSuspect(At(2)));
  // A quarantined worker has to prove itself afterwards.
  health.Failed("job.0.0.1", At(10));
  health.Failed("job.0.0.2", At(10));
  auto const after = At(10) + worker_health::kQuarantineDuration;
  BOOST_TEST(!health.IsQuarantined(after));
  BOOST_TEST(health.IsSuspect(after));
  BOOST_TEST(!health.IsSuspect(after + worker_health::kSuspicionDuration));
}

// Guards against jobs that fail everywhere and make all workers suspect.
BOOST_AUTO_TEST_CASE(a_job_makes_only_a_few_workers_suspect)
{
  failure_history history;
  for (auto const* const worker : { "w1", "w2", "w3" }) {
    BOOST_TEST(history.IsWorkerSuspect("poison", worker));
    history.Failed("poison", worker);
  }
  BOOST_TEST(!history.IsWorkerSuspect("poison", "w4"));
  BOOST_TEST(history.IsWorkerSuspect("poison", "w3"));
  BOOST_TEST(history.IsWorkerSuspect("other", "w4"));
}

// Guards against work that is lost again and again on a worker that goes down and up by turns: each
// new incarnation looked sound.
BOOST_AUTO_TEST_CASE(a_flapping_worker_is_suspect_until_a_success)
{
  worker_health health;
  health.Lost(At(0));
  health.Replaced();
  BOOST_TEST(!health.IsSuspect(At(1)));
  health.Lost(At(3000));
  health.Replaced();
  BOOST_TEST(health.IsSuspect(At(3001)));
  health.Succeeded();
  BOOST_TEST(!health.IsSuspect(At(3002)));
  // Losses far apart are not flapping.
  worker_health steady;
  steady.Lost(At(0));
  steady.Replaced();
  steady.Lost(At(30'000));
  steady.Replaced();
  BOOST_TEST(!steady.IsSuspect(At(30'001)));
}

// Many submitted jobs fail on every worker. Guards against quarantining workers because of them.
BOOST_AUTO_TEST_CASE(failures_on_several_workers_do_not_indicate_a_worker_fault)
{
  failure_history history;
  BOOST_TEST(history.IndicatesWorkerFault("poison", "w1"));
  history.Failed("poison", "w1");
  BOOST_TEST(history.IndicatesWorkerFault("poison", "w1"));
  BOOST_TEST(!history.IndicatesWorkerFault("poison", "w2"));
  history.Failed("poison", "w2");
  BOOST_TEST(!history.IndicatesWorkerFault("poison", "w1"));
  BOOST_TEST(history.IndicatesWorkerFault("other", "w1"));
  history.RemoveJob("poison");
  BOOST_TEST(history.IndicatesWorkerFault("poison", "w2"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace rattanpond::dispatch
