#include "dispatch/job_record.h"

#include <boost/test/unit_test.hpp>

namespace rattanpond::dispatch {

namespace {

constexpr change_limits kLimits{ .mParts = 12, .mBytes = 250'000, .mRowBytes = 65'536 };

job_description JobOf(std::uint32_t aTasks)
{
  job_description job{ .mQueue = "queue" };
  job.mSteps.resize(1);
  job.mSteps[0].mCount = aTasks;
  return job;
}

std::string Checkpoint(std::uint32_t aTask, std::size_t aBytes, char aFill = 'c')
{
  auto text = std::to_string(aTask);
  text.resize(std::max(text.size(), aBytes), aFill);
  return aBytes == 0 ? std::string{} : text;
}

void SetAll(job_record& aJob, std::size_t aBytes, char aFill = 'c')
{
  aJob.ForEachTask([&](task_position const& aPosition, tracked_task& aTask) {
    aTask.mState = { .mStatus = task_status::active,
                     .mRun = 1,
                     .mWorker = "side-1",
                     .mWorkerIncarnationStart = 1'767'269'633'000,
                     .mIdentifier = "i-0123456789",
                     .mCheckpoint = Checkpoint(aPosition.mIndex, aBytes, aFill) };
  });
  aJob.SetPhase(job_phase::running);
}

/// Rows of one job as a store has them.
struct stored_job
{
  std::string mState;
  std::map<std::uint32_t, std::string> mParts;
  std::map<std::uint32_t, std::string> mCheckpoints;
  std::uint64_t mVersion = 0;
  std::size_t mTransactions = 0;

  void Store(job_record& aJob, state_change const& aChange)
  {
    ++mVersion;
    ++mTransactions;
    std::size_t bytes = 0;
    for (auto const& part : aChange.mParts) {
      mParts[part.mPart] = part.mText;
      bytes += part.mText.size();
      BOOST_TEST(part.mText.size() <= kLimits.mRowBytes);
    }
    for (auto const& row : aChange.mCheckpoints.mRows) {
      if (row.mText) {
        mCheckpoints[row.mRow] = *row.mText;
        bytes += row.mText->size();
        BOOST_TEST(row.mText->size() <= kLimits.mRowBytes);
      } else {
        mCheckpoints.erase(row.mRow);
      }
    }
    if (aChange.mState) {
      mState = *aChange.mState;
      bytes += mState.size();
      BOOST_TEST(mState.size() <= kLimits.mRowBytes);
    }
    // The store takes 1 MB in base64, and other jobs have a third of that.
    BOOST_TEST(bytes <= 400'000U);
    aJob.MarkPartsStored(mVersion, aChange.mParts);
    aJob.MarkCheckpointRowsStored(aChange.mCheckpoints.mRows);
    if (aChange.mState) {
      aJob.MarkStateStored(mVersion, aJob.Phase());
      aJob.MarkInParts();
    }
  }

  /// Stores all that differs. Returns the number of checkpoints that are left out.
  std::size_t StoreAll(job_record& aJob)
  {
    while (true) {
      auto const change = aJob.EncodeChange(kLimits);
      Store(aJob, change);
      if (change.mOpenParts.empty() && !change.mCheckpoints.mIsPartial) {
        return change.mCheckpoints.mLeftOut;
      }
      BOOST_REQUIRE(mTransactions < 200U);
    }
  }

  void Read(job_record& aJob, bool aHasCheckpoints = true) const
  {
    for (auto const& [part, text] : mParts) {
      BOOST_TEST(aJob.ApplyPart(part, mVersion, text));
    }
    BOOST_TEST(aJob.ApplyState(mState));
    for (auto const& [row, text] : mCheckpoints) {
      if (aHasCheckpoints) {
        BOOST_TEST(aJob.ApplyCheckpointRow(row, text));
      }
    }
  }
};

/// Number of tasks whose states differ, and of those that differ in more than the checkpoint.
std::pair<std::size_t, std::size_t> Differences(job_record& aLeft, job_record& aRight)
{
  std::pair<std::size_t, std::size_t> differences;
  aLeft.ForEachTask([&](task_position const& aPosition, tracked_task const& aTask) {
    auto other = aRight.Find(aPosition)->mState;
    differences.first += other == aTask.mState ? 0 : 1;
    other.mCheckpoint = aTask.mState.mCheckpoint;
    differences.second += other == aTask.mState ? 0 : 1;
  });
  return differences;
}

} // namespace

BOOST_AUTO_TEST_SUITE(checkpoint_rows_test)

// Guards against a job that is never done, as the store refuses rows that long checkpoints make too
// large, and against checkpoints that are lost although other rows have room.
BOOST_AUTO_TEST_CASE(states_fit_into_rows_with_checkpoints_of_any_length)
{
  for (auto const tasks : { 1U, 40U, 120U, 1500U }) {
    for (auto const bytes : { 0U, 16U, 400U, 512U, 2000U, 60'000U, 70'000U }) {
      if (tasks == 1500U && bytes > 2000U) {
        continue;
      }
      BOOST_TEST_CONTEXT(tasks << " tasks, " << bytes << " bytes")
      {
        job_record written{ "job", JobOf(tasks) };
        SetAll(written, bytes);
        stored_job stored;
        auto const leftOut = stored.StoreAll(written);
        job_record read{ "job", JobOf(tasks) };
        stored.Read(read);
        auto const [different, changed] = Differences(written, read);
        BOOST_TEST(different == leftOut);
        BOOST_TEST(changed == 0U);
        // A row holds one checkpoint of 60,000 bytes, beside the states of 64 tasks as well.
        auto const inStates = tasks <= job_parts::kTasksPerPart ? 1U : written.Parts().Count();
        auto const room = checkpoint_rows::kMaximumRows + inStates;
        auto const expected = bytes > kLimits.mRowBytes ? tasks
                              : bytes < 60'000U         ? 0U
                                                        : tasks - std::min(tasks, room);
        BOOST_TEST(leftOut == expected);
      }
    }
  }
}

// Guards against tasks that are lost beside a front of an earlier version. It does not know rows
// with checkpoints, so these may be older than the states that it has written.
BOOST_AUTO_TEST_CASE(an_earlier_version_reads_and_replaces_the_states)
{
  job_record written{ "job", JobOf(120) };
  SetAll(written, 512);
  stored_job stored;
  BOOST_TEST(stored.StoreAll(written) == 0U);
  BOOST_TEST(!stored.mCheckpoints.empty());
  job_record earlier{ "job", JobOf(120) };
  stored.Read(earlier, false);
  auto const [different, changed] = Differences(written, earlier);
  BOOST_TEST(different > 0U);
  BOOST_TEST(different < 40U);
  BOOST_TEST(changed == 0U);
  // Its runs have new, short checkpoints, but for one that has none yet.
  SetAll(earlier, 16, 'n');
  earlier.Find({ 0, 0, 0 })->mState.mCheckpoint.clear();
  stored.mState = earlier.EncodeState();
  job_record later{ "job", JobOf(120) };
  stored.Read(later);
  BOOST_TEST(later.Find({ 0, 0, 0 })->mState.mCheckpoint == Checkpoint(0, 512));
  BOOST_TEST(later.Find({ 0, 0, 1 })->mState.mCheckpoint == Checkpoint(1, 16, 'n'));
  // The rows are removed once nothing needs them.
  SetAll(later, 16);
  stored.StoreAll(later);
  BOOST_TEST(stored.mCheckpoints.empty());
}

// Guards against a checkpoint that stays behind: the row of the state is read after the others, or
// the other way round, and a later row replaces an earlier one.
BOOST_AUTO_TEST_CASE(rows_arrive_in_any_order)
{
  for (auto const tasks : { 120U, 1500U }) {
    job_record written{ "job", JobOf(tasks) };
    SetAll(written, 2000);
    stored_job stored;
    BOOST_TEST(stored.StoreAll(written) == 0U);
    job_record read{ "job", JobOf(tasks) };
    for (auto const& [row, text] : stored.mCheckpoints) {
      BOOST_TEST(read.ApplyCheckpointRow(row, text));
    }
    BOOST_TEST(!read.HasStarted());
    stored.Read(read, false);
    BOOST_TEST(Differences(written, read).first == 0U);
    SetAll(written, 2000, 'd');
    BOOST_TEST(stored.StoreAll(written) == 0U);
    stored.Read(read);
    BOOST_TEST(Differences(written, read).first == 0U);
    // The next holder writes nothing that has not changed.
    BOOST_TEST(read.EncodeChange(kLimits).mParts.empty());
    BOOST_TEST(read.EncodeChange(kLimits).mCheckpoints.mRows.empty());
  }
}

// Guards against a row of another writer that cannot be read: it is replaced, and costs no task.
BOOST_AUTO_TEST_CASE(an_unreadable_row_is_replaced)
{
  job_record job{ "job", JobOf(120) };
  SetAll(job, 512);
  stored_job stored;
  stored.StoreAll(job);
  job_record read{ "job", JobOf(120) };
  stored.Read(read);
  BOOST_TEST(!read.ApplyCheckpointRow(0, "not json"));
  BOOST_TEST(!read.ApplyCheckpointRow(7, R"([[[0,0,"x",4]]])"));
  BOOST_TEST((read.Find({ 0, 0, 5 })->mState.mStatus == task_status::active));
  auto const change = read.EncodeChange(kLimits);
  BOOST_TEST(change.mCheckpoints.mRows.size() == 2U);
  BOOST_TEST(!change.mCheckpoints.mRows.back().mText.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace rattanpond::dispatch
