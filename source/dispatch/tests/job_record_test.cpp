#include "dispatch/job_record.h"
#include "dispatch/lease_terms.h"
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
  job.mSteps[1].mAfter = { 0 };
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
  BOOST_TEST(!job.IsWholeDone());
}

// Guards against a state that reads differently after a takeover.
BOOST_AUTO_TEST_CASE(stored_state_is_read_back_whole)
{
  rc::check("state round trip", [] {
    job_record written{ "job", TwoSteps() };
    written.ForEachTask([](task_position const&, tracked_task& aTask) {
      aTask.mState.mStatus = static_cast<task_status>(*rc::gen::inRange(0, 3));
      aTask.mState.mRun = *rc::gen::inRange<std::uint32_t>(0, 9);
      aTask.mState.mWorker = *rc::gen::element<std::string>("", "w1", "w2");
      aTask.mState.mWorkerBorn = *rc::gen::inRange<std::int64_t>(0, 2'000'000'000'000);
      aTask.mState.mFailures = *rc::gen::inRange<std::uint32_t>(0, 4);
      aTask.mState.mCheckpoint = *rc::gen::element<std::string>("", "00ab");
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

BOOST_AUTO_TEST_CASE(unreadable_state_changes_nothing)
{
  job_record job{ "job", TwoSteps() };
  job.Find({ 0, 0, 1 })->mState.mRun = 4;
  for (auto const* const bad : { "", "{}", "[1]", "[0,[[1]]]", "[9,[]]", "null" }) {
    BOOST_TEST(!job.ApplyState(bad), bad);
  }
  BOOST_TEST(job.Find({ 0, 0, 1 })->mState.mRun == 4U);
  // A task that the job does not have is passed over.
  BOOST_TEST(job.ApplyState(R"([1,[[0,7,0,1,1,"w",1,0,""]]])"));
}

// Guards against a takeover while the store, and not the holder, is silent.
BOOST_AUTO_TEST_CASE(silence_of_the_store_is_not_silence_of_the_holder)
{
  term_lease lease;
  lease.StoreAnswered(At(0));
  lease.Seen(1, At(0));
  BOOST_TEST(!lease.IsVacant(At(2000), milliseconds{ 0 }));
  BOOST_TEST(lease.IsVacant(At(2001), milliseconds{ 0 }));
  lease.StoreFailed();
  BOOST_TEST(!lease.IsVacant(At(9000), milliseconds{ 0 }));
  lease.StoreAnswered(At(9000));
  BOOST_TEST(!lease.IsVacant(At(11'000), milliseconds{ 0 }));
  BOOST_TEST(lease.IsVacant(At(11'001), milliseconds{ 0 }));
  lease.Seen(2, At(11'001));
  BOOST_TEST(!lease.IsVacant(At(13'000), milliseconds{ 0 }));
  lease.Released();
  BOOST_TEST(lease.IsVacant(At(11'002), milliseconds{ 0 }));
}

BOOST_AUTO_TEST_CASE(a_lease_lapses_for_certain_on_the_slowest_clock)
{
  BOOST_TEST(RealTime(milliseconds{ 9800 }).count() == 10'000);
  BOOST_TEST(CertainLapse(milliseconds{ 10'000 }) >= kContactLife + RealTime(kLeaseLength));
  // The platform shortens longer leases.
  BOOST_TEST(CertainLapse(milliseconds{ 1000 }) < CertainLapse(milliseconds{ 10'000 }));
}

// Load pattern: a store outage of unknown length. Guards against callers that use up their attempts
// before it ends, and against long waits after a short one.
BOOST_AUTO_TEST_CASE(callers_come_back_after_as_long_as_the_outage_has_lasted)
{
  BOOST_TEST(RetryAfter(milliseconds{ 0 }).count() == 1);
  BOOST_TEST(RetryAfter(milliseconds{ 1800 }).count() == 2);
  BOOST_TEST(RetryAfter(milliseconds{ 60'000 }) == kLongestRetry);
}

// Load pattern: tasks on some workers stand still while heartbeats go on. Guards against runs that
// hold their accelerators until the lease ends, and against stopping long runs that progress
// slowly.
BOOST_AUTO_TEST_CASE(a_run_without_progress_is_stalled)
{
  run_progress const shortRun{ .mSince = At(0), .mExpected = milliseconds{ 5000 } };
  BOOST_TEST(!IsStalled(shortRun, At(2400)));
  BOOST_TEST(IsStalled(shortRun, At(2401)));
  run_progress const member{ .mSince = At(0),
                             .mExpected = milliseconds{ 5000 },
                             .mMayWaitForMembers = true };
  BOOST_TEST(!IsStalled(member, At(2401)));
  BOOST_TEST(IsStalled(member, At(4501)));
  run_progress const hours{ .mSince = At(0), .mExpected = milliseconds{ 3'600'000 } };
  BOOST_TEST(!IsStalled(hours, At(300'000)));
  // A declared time that is far too short does not condemn a run that moves on at a steady pace.
  run_progress const steady{ .mSince = At(0),
                             .mExpected = milliseconds{ 500 },
                             .mLastInterval = milliseconds{ 2000 } };
  BOOST_TEST(!IsStalled(steady, At(6000)));
}

// Guards against further tasks on a worker on which one stands still.
BOOST_AUTO_TEST_CASE(a_worker_rests_after_a_stalled_run)
{
  worker_health health;
  health.Stalled(At(0));
  BOOST_TEST(health.IsResting(At(1)));
  BOOST_TEST(!health.IsResting(At(0) + worker_health::kRest));
}

// Guards against one worker that attracts work because it fails it quickly, and against blaming it
// for one job that fails everywhere.
BOOST_AUTO_TEST_CASE(a_worker_rests_after_failures_of_different_jobs)
{
  worker_health health;
  health.Failed("poison", At(0));
  health.Failed("poison", At(10));
  BOOST_TEST(!health.IsResting(At(20)));
  health.Failed("other", At(30));
  BOOST_TEST(health.IsResting(At(40)));
  BOOST_TEST(!health.IsResting(At(30) + worker_health::kRest));
  health.Succeeded();
  health.Failed("third", At(20'000));
  BOOST_TEST(!health.IsResting(At(20'001)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace rattanpond::dispatch
