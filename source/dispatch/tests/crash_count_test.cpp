#include "dispatch/job_record.h"
#include "dispatch/placement_decision.h"

#include <boost/test/unit_test.hpp>

namespace rattanpond::dispatch {

using base::milliseconds;

namespace {

constexpr resources kWholeWorker{ 64'000, 262'144, 8 };
constexpr base::time_point kStart{ milliseconds{ 100'000 } };

worker_snapshot Worker(std::string aName, bool aHasRuns)
{
  worker_snapshot worker{ .mWorker = std::move(aName),
                          .mService = "service",
                          .mCapacity = kWholeWorker,
                          .mFree = kWholeWorker,
                          .mHasRuns = aHasRuns };
  if (aHasRuns) {
    worker.mFree.mAccelerators -= 1;
  }
  return worker;
}

waiting_group Group(std::string aJob, job_step const& aStep)
{
  return { .mJob = std::move(aJob),
           .mIndexes = { 0 },
           .mShape = &aStep,
           .mService = "service",
           .mPriority = 1,
           .mWaitingSince = kStart };
}

crash_count Count(std::uint32_t aCrashes, std::uint32_t aAlone)
{
  return { .mCrashes = aCrashes, .mAlone = aAlone };
}

} // namespace

BOOST_AUTO_TEST_SUITE(crash_count_test)

// Guards against a job that is given up for crashes beside other runs, and against a task that is
// never alone and crashes workers without end.
BOOST_AUTO_TEST_CASE(a_task_is_the_cause_only_after_crashes_alone)
{
  BOOST_TEST(!Count(2, 2).IsCause());
  BOOST_TEST(!Count(3, 1).IsCause());
  BOOST_TEST(!Count(4, 0).IsCause());
  BOOST_TEST(Count(3, 2).IsCause());
  BOOST_TEST(Count(5, 0).IsCause());
  BOOST_TEST(!Count(0, 0).MustRunAlone(false));
  BOOST_TEST(Count(1, 0).MustRunAlone(false));
  BOOST_TEST(!Count(1, 1).MustRunAlone(true));
  BOOST_TEST(Count(2, 0).MustRunAlone(true));
}

// Guards against a count that is lost with the holder, and against a state row that earlier
// versions of the program cannot read although nothing is suspect.
BOOST_AUTO_TEST_CASE(the_count_is_stored_with_the_state)
{
  job_description description{ .mQueue = "q" };
  description.mSteps.resize(1);
  description.mSteps[0].mCount = 2;
  job_record written{ "job", description };
  auto& state = written.Find({ 0, 0, 1 })->mState;
  state.mRun = 4;
  auto const plain = written.EncodeState();
  BOOST_TEST(plain.starts_with("[0,["));
  state.mCrashes = Count(2, 1);
  job_record read{ "job", description };
  BOOST_REQUIRE(read.ApplyState(written.EncodeState()));
  BOOST_TEST((read.Find({ 0, 0, 1 })->mState == state));
  BOOST_TEST((read.Find({ 0, 0, 0 })->mState == task_state{}));
  BOOST_REQUIRE(read.ApplyState(plain));
  BOOST_TEST((read.Find({ 0, 0, 1 })->mState.mCrashes == crash_count{}));
  BOOST_TEST(!read.ApplyState("[[0,[]],[[0,0,1]]]"));
}

// Guards against a suspicion that is lost with the holder, or that earlier versions of the program
// read as a crash or not at all: they ignore entries of tasks that the job does not have.
BOOST_AUTO_TEST_CASE(a_suspected_crash_is_stored_apart_from_the_count)
{
  job_description description{ .mQueue = "q" };
  description.mSteps.resize(1);
  description.mSteps[0].mCount = 2;
  job_record written{ "job", description };
  auto& state = written.Find({ 0, 0, 1 })->mState;
  state.mRun = 4;
  state.mSuspectedCrashes = {
    { .mWorker = "w", .mWorkerIncarnationStart = 77, .mRun = 3, .mIsAlone = true }
  };
  BOOST_TEST(written.EncodeState() == R"([0,[[0,0,1,0,4,"",0,0,""],[0,0,8,0,3,"w",77,1,""]]])");
  job_record read{ "job", description };
  BOOST_REQUIRE(read.ApplyState(written.EncodeState()));
  BOOST_TEST((read.Find({ 0, 0, 1 })->mState == state));
  BOOST_TEST((read.Find({ 0, 0, 0 })->mState == task_state{}));
}

// Guards against a job that is given up for crashes that are only suspected, and against a task
// that crashes workers without end while none of the crashes is certain.
BOOST_AUTO_TEST_CASE(suspected_crashes_hold_a_task_but_fail_no_job)
{
  task_state state;
  for (std::uint32_t run = 1; run <= 4; ++run) {
    state.mSuspectedCrashes.push_back({ .mWorker = "w", .mRun = run, .mIsAlone = true });
  }
  BOOST_TEST(!state.mCrashes.IsCause());
  BOOST_TEST(state.PossibleCrashes().MustRunAlone(true));
  BOOST_TEST(!state.AwaitsCrashes());
  state.mCrashes = Count(1, 0);
  BOOST_TEST(state.AwaitsCrashes());
  BOOST_TEST(!state.mCrashes.IsCause());
  state.mSuspectedCrashes.clear();
  BOOST_TEST(!state.AwaitsCrashes());
}

// Guards against innocent runs that go down with the worker of a suspect task.
BOOST_AUTO_TEST_CASE(a_suspect_task_starts_alone)
{
  job_step step;
  step.mDemand = { 1000, 1000, 1 };
  auto suspect = Group("suspect", step);
  suspect.mMustRunAlone = true;
  auto const other = Group("other", step);
  auto const decision = DecidePlacement({ Worker("busy", true), Worker("idle", false) },
                                        { suspect, other }, {}, {}, kStart + milliseconds{ 100 });
  BOOST_REQUIRE(decision.mStarts.size() == 2U);
  BOOST_TEST(decision.mStarts[0].mWorker == "idle");
  BOOST_TEST(decision.mStarts[1].mWorker == "busy");
}

// Guards against a suspect task that waits for good on a service without idle workers: its job may
// be innocent, and the users count it as lost after 3 s while most of the service is free.
BOOST_AUTO_TEST_CASE(a_suspect_task_does_not_wait_for_good)
{
  job_step step;
  step.mDemand = { 1000, 1000, 1 };
  auto suspect = Group("suspect", step);
  suspect.mMustRunAlone = true;
  auto const starts = [&](milliseconds aWaited, std::int64_t aUsed) {
    auto worker = Worker("busy", true);
    worker.mFree = { 64'000 - 8000 * aUsed, 262'144, 8 - aUsed };
    return DecidePlacement({ worker }, { suspect }, {}, {}, kStart + aWaited).mStarts.size();
  };
  BOOST_TEST(starts(milliseconds{ 500 }, 1) == 0U);
  BOOST_TEST(starts(kLongestPreference, 1) == 1U);
  BOOST_TEST(starts(kLongestPreference, 6) == 0U);
  BOOST_TEST(starts(kLongestIsolation, 6) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace rattanpond::dispatch
