#include "dispatch/job_record.h"

#include <boost/test/unit_test.hpp>

namespace rattanpond::dispatch {

namespace {

/// Rows of the store may have this many bytes.
constexpr std::size_t kRowBytes = 65'536;
constexpr change_limits kAllParts{ .mParts = 1000, .mBytes = 100'000'000, .mRowBytes = kRowBytes };

change_limits Parts(std::size_t aCount)
{
  auto limits = kAllParts;
  limits.mParts = aCount;
  return limits;
}

job_description LargeJob()
{
  job_description job{ .mQueue = "queue", .mOccurrences = 4 };
  job.mSteps.resize(2);
  job.mSteps[0].mCount = 30;
  job.mSteps[1].mCount = 4970;
  return job;
}

void StartAll(job_record& aJob)
{
  aJob.ForEachTask([](task_position const&, tracked_task& aTask) {
    aTask.mState = { .mStatus = task_status::active,
                     .mRun = 17,
                     .mWorker = "side-of-a-zone-with-a-long-name-17",
                     .mWorkerIncarnationStart = 1'767'269'633'000,
                     .mIdentifier = "i-0123456789",
                     .mFailures = 2,
                     .mCheckpoint = std::string(200, 'c'),
                     .mCrashes = { .mCrashes = 2, .mAlone = 1 },
                     .mSuspectedCrashes = { { .mWorker = "side-of-a-zone-with-a-long-name-17",
                                              .mWorkerIncarnationStart = 1'767'269'633'000,
                                              .mRun = 16,
                                              .mIsAlone = true } },
                     .mLateStartUntilMs = 1'767'269'633'000 };
  });
  aJob.SetPhase(job_phase::running);
}

void CheckSameStates(job_record& aLeft, job_record& aRight)
{
  std::size_t different = 0;
  aLeft.ForEachTask([&](task_position const& aPosition, tracked_task const& aTask) {
    different += aRight.Find(aPosition)->mState == aTask.mState ? 0 : 1;
  });
  BOOST_TEST(different == 0U);
}

} // namespace

BOOST_AUTO_TEST_SUITE(job_parts_test)

// Guards against rows larger than the store accepts, for the largest job that callers may submit,
// and against states that change when they are stored and read back, whichever row arrives first.
BOOST_AUTO_TEST_CASE(the_largest_job_fits_into_rows)
{
  for (auto const isPhaseFirst : { true, false }) {
    job_record written{ "job", LargeJob() };
    StartAll(written);
    auto const change = written.EncodeChange(kAllParts);
    job_record read{ "job", LargeJob() };
    BOOST_REQUIRE(change.mState.has_value());
    if (isPhaseFirst) {
      BOOST_TEST(read.ApplyState(*change.mState));
    }
    std::size_t largest = 0;
    for (auto const& part : change.mParts) {
      largest = std::max(largest, part.mText.size());
      BOOST_TEST(read.ApplyPart(part.mPart, 5, part.mText));
    }
    BOOST_TEST(largest < kRowBytes);
    if (!isPhaseFirst) {
      BOOST_TEST(!read.HasStarted());
      BOOST_TEST(read.ApplyState(*change.mState));
    }
    BOOST_TEST((read.Phase() == job_phase::running));
    CheckSameStates(written, read);
    // What was read is what is stored, so nothing is written again.
    BOOST_TEST(read.EncodeChange(kAllParts).mParts.empty());
  }
}

// Guards against a large job that rewrites all of its state for the end of one task.
BOOST_AUTO_TEST_CASE(only_changed_parts_are_stored)
{
  job_record job{ "job", LargeJob() };
  StartAll(job);
  job.MarkPartsStored(5, job.EncodeChange(kAllParts).mParts);
  job.MarkStateStored(5, job.Phase());
  job.MarkInParts();
  BOOST_TEST(job.EncodeChange(kAllParts).mParts.empty());
  job.Find({ 2, 1, 3000 })->mState.mStatus = task_status::done;
  auto const change = job.EncodeChange(kAllParts);
  BOOST_REQUIRE(change.mParts.size() == 1U);
  BOOST_TEST(change.mParts.front().mPart == job.Parts().PartOf({ 2, 1, 3000 }));
  BOOST_TEST(change.mParts.front().mExpectedVersion == 5U);
}

// Guards against a failed run of a large gang that is counted twice or not at all, as the holder is
// lost between the transactions that store the ends of its members.
BOOST_AUTO_TEST_CASE(a_failed_run_is_stored_no_later_than_the_ends_of_its_members)
{
  job_description description{ .mQueue = "queue" };
  description.mSteps.resize(1);
  description.mSteps[0].mCount = 1000;
  description.mSteps[0].mIsGang = true;
  job_record job{ "job", description };
  StartAll(job);
  job_record next{ "job", description };
  auto const store = [&](std::uint64_t aVersion, state_change const& aChange) {
    for (auto const& part : aChange.mParts) {
      BOOST_TEST(next.ApplyPart(part.mPart, aVersion, part.mText));
    }
    if (aChange.mState) {
      BOOST_TEST(next.ApplyState(*aChange.mState));
      job.MarkInParts();
    }
    job.MarkPartsStored(aVersion, aChange.mParts);
  };
  store(5, job.EncodeChange(kAllParts));
  auto& last = job.Find({ 0, 0, 999 })->mState;
  last.mStatus = task_status::waiting;
  BOOST_TEST(job.Find({ 0, 0, 0 })->mState.CountGangFailure(last.mRun));
  store(6, job.EncodeChange(Parts(1)));
  // The next holder receives the end again.
  BOOST_TEST((next.Find({ 0, 0, 999 })->mState.mStatus == task_status::active));
  BOOST_TEST(!next.Find({ 0, 0, 0 })->mState.CountGangFailure(last.mRun));
  BOOST_TEST(next.Find({ 0, 0, 0 })->mState.mFailures == 3U);
  store(7, job.EncodeChange(Parts(1)));
  CheckSameStates(job, next);
}

// Guards against a job that is stored as done before all of its tasks are.
BOOST_AUTO_TEST_CASE(the_phase_is_stored_with_the_last_part)
{
  job_record job{ "job", LargeJob() };
  StartAll(job);
  std::size_t transactions = 0;
  while (true) {
    auto const change = job.EncodeChange(Parts(100));
    BOOST_TEST(change.mParts.size() <= 100U);
    BOOST_TEST(change.mState.has_value() == change.mOpenParts.empty());
    job.MarkPartsStored(++transactions, change.mParts);
    if (change.mState) {
      break;
    }
  }
  BOOST_TEST(transactions == 4U);
}

// Guards against outdated parts after a roll back and an update: the earlier version of the program
// has stored the whole state in one row, which is newer than the parts.
BOOST_AUTO_TEST_CASE(a_state_in_one_row_replaces_the_parts)
{
  job_record job{ "job", LargeJob() };
  StartAll(job);
  auto const parts = job.EncodeChange(kAllParts);
  job_record read{ "job", LargeJob() };
  BOOST_TEST(read.ApplyState(*parts.mState));
  for (auto const& part : parts.mParts) {
    BOOST_TEST(read.ApplyPart(part.mPart, 5, part.mText));
  }
  BOOST_TEST(read.ApplyState(R"([1,[[0,0,7,2,1,"w",1,0,""]]])"));
  BOOST_TEST(!read.IsInParts());
  BOOST_TEST((read.Find({ 0, 0, 7 })->mState.mStatus == task_status::done));
  BOOST_TEST((read.Find({ 0, 0, 8 })->mState == task_state{}));
  BOOST_TEST(read.EncodeChange(kAllParts).mParts.size() == parts.mParts.size());
}

// Guards against a new form of the rows of small jobs, which earlier versions could not read.
BOOST_AUTO_TEST_CASE(a_job_of_usual_size_has_one_row)
{
  job_description description{ .mQueue = "queue" };
  description.mSteps.resize(1);
  description.mSteps[0].mCount = job_parts::kTasksInOneRow;
  job_record job{ "job", description };
  StartAll(job);
  auto const change = job.EncodeChange(kAllParts);
  BOOST_TEST(change.mParts.empty());
  BOOST_TEST(change.mState.value_or("") == job.EncodeState());
  BOOST_TEST(change.mState.value_or("").size() < kRowBytes);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace rattanpond::dispatch
