#include "dispatch/scheduler.h"

#include "base/logging.h"
#include "dispatch/transaction_effect.h"
#include "net/sleep.h"
#include "platform/operator_rows.h"

#include <algorithm>
#include <random>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace rattanpond::dispatch {

namespace asio = boost::asio;
using asio::awaitable;
using base::milliseconds;
using platform::commit_outcome;

namespace {

/// Maximum number of jobs per transaction, which has at most 100 entries: each job adds one change
/// and up to three conditions.
constexpr std::size_t kJobsPerBatch = 18;
/// Maximum number of parts of one job per transaction: each adds a change and a condition.
constexpr std::size_t kPartsPerBatch = 12;
/// No further job is added to a transaction that has reached one of these. The last job, the
/// configuration and the failure domains may exceed them, and base64 adds a third to the bytes; the
/// store accepts 100 entries and 1 MB.
constexpr std::size_t kEntriesPerBatch = 62;
constexpr std::size_t kBytesPerBatch = 250'000;
/// Maximum number of entries of a transaction.
constexpr std::size_t kMaximumEntries = 100;
/// Time after which a job that the store has rejected is tried again.
constexpr milliseconds kSetAsideTime{ 5000 };
/// Changes within this time are committed in one transaction.
constexpr milliseconds kBatchingDelay{ 8 };
constexpr milliseconds kCommitTimeout{ 800 };
constexpr int kShortestRetryMs = 60;
constexpr int kLongestRetryMs = 200;
constexpr milliseconds kIdleWait{ 60'000 };
/// Log interval for a transaction that the store has not committed; it is retried about every 130
/// ms.
constexpr milliseconds kPendingLogInterval{ 1000 };
/// The run-time observations, about 1 KB, are written together with other changes, at most this
/// often.
constexpr milliseconds kRunTimesInterval{ 3000 };

} // namespace

awaitable<void> scheduler::FlushLoop()
{
  std::minstd_rand random{ std::random_device{}() };
  std::uniform_int_distribution<int> retry{ kShortestRetryMs, kLongestRetryMs };
  while (true) {
    if (!mMustPlan && (mDirty.empty() || !mIsHolder)) {
      mIsPlanningScheduled = false;
      boost::system::error_code ignored;
      mFlushTimer.expires_after(kIdleWait);
      co_await mFlushTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    co_await net::Sleep(kBatchingDelay);
    mMustPlan = false;
    mIsPlanningScheduled = true;
    if (!mIsHolder) {
      continue;
    }
    // Planned before each transaction: runs that end all the time would otherwise keep waiting jobs
    // from idle workers for as long as each transaction leaves changes for the next one.
    Plan();
    SendPendingStops();
    if (!BuildBatch()) {
      continue;
    }
    while (mIsHolder && mBatch) {
      co_await CommitBatch();
      if (mIsHolder && mBatch) {
        co_await net::Sleep(milliseconds{ retry(random) });
      }
    }
  }
}

std::size_t scheduler::AddToBatch(batch& aBatch, job_record& aJob)
{
  auto const& id = aJob.Id();
  auto& conditions = aBatch.mTransaction.mConditions;
  auto& changes = aBatch.mTransaction.mChanges;
  conditions.push_back({ kDispatchTable, kStatePrefix + id, aJob.StateVersion() });
  conditions.push_back(
    { kDispatchTable, kCancellationPrefix + id, mOptions.mReplica.CancellationVersion(id) });
  aJob.ApplyReportedCheckpoints();
  aJob.mCheckpointsAppliedAt = base::Now();
  auto change = aJob.EncodeChange({ .mParts = aBatch.mLimits.mParts,
                                    .mBytes = aBatch.mLimits.mBytes,
                                    .mRowBytes = mOptions.mSettings.mMaximumRowBytes });
  std::size_t bytes = 0;
  // Each part has a condition of its own, so that a late repetition of this transaction cannot undo
  // a later one.
  for (auto const& part : change.mParts) {
    auto const key = PartKey(id, part.mPart);
    conditions.push_back({ kDispatchTable, key, part.mExpectedVersion });
    changes.push_back({ kDispatchTable, key, part.mText });
    bytes += part.mText.size();
  }
  if (change.mState) {
    bytes += change.mState->size();
    changes.push_back({ kDispatchTable, kStatePrefix + id, std::move(*change.mState) });
  }
  // The conditions above guard these rows as well: each transaction writes a part or the state.
  for (auto const& row : change.mCheckpoints.mRows) {
    changes.push_back({ kDispatchTable, CheckpointRowKey(id, row.mRow), row.mText });
    bytes += row.mText ? row.mText->size() : 0;
  }
  RecordLeftOutCheckpoints(aJob, change.mCheckpoints.mLeftOut);
  aBatch.mJobs.push_back({ .mId = id,
                           .mPhase = aJob.Phase(),
                           .mParts = std::move(change.mParts),
                           .mIsComplete = change.mOpenParts.empty(),
                           .mCheckpointRows = std::move(change.mCheckpoints.mRows),
                           .mHasOpenCheckpointRows = change.mCheckpoints.mIsPartial });
  // A start may be ordered only once it is stored, so starts in parts that did not fit stay
  // planned.
  std::erase_if(mPlanned, [&](planned_start const& aPlanned) {
    auto const isStored =
      change.mOpenParts.empty() ||
      (aJob.IsInParts() && !change.mOpenParts.contains(aJob.Parts().PartOf(aPlanned.mPosition)));
    if (aPlanned.mJob != id || !isStored) {
      return false;
    }
    aBatch.mStarts.push_back(aPlanned);
    return true;
  });
  return bytes;
}

void scheduler::RecordLeftOutCheckpoints(job_record& aJob, std::size_t aCount)
{
  if (aCount > aJob.mCheckpointsLeftOut) {
    mOptions.mMetrics.Counter("rattanpond_checkpoints_left_out")
      .Add(aCount - aJob.mCheckpointsLeftOut);
    base::Log("scheduler")
      ->warn("checkpoints-left-out job={} tasks={} before={}", aJob.Id(), aCount,
             aJob.mCheckpointsLeftOut);
  }
  aJob.mCheckpointsLeftOut = aCount;
}

bool scheduler::BuildBatch()
{
  batch built;
  auto const isSmall = mSmallBatches > 0;
  mSmallBatches -= isSmall ? 1 : 0;
  built.mLimits =
    isSmall
      ? batch_limits{ .mJobs = 1, .mParts = 1, .mBytes = 0 }
      : batch_limits{ .mJobs = kJobsPerBatch, .mParts = kPartsPerBatch, .mBytes = kBytesPerBatch };
  auto& conditions = built.mTransaction.mConditions;
  auto const& changes = built.mTransaction.mChanges;
  conditions.push_back({ kDispatchTable, kTermKey, mTermVersion });
  std::size_t bytes = 0;
  while (!mDirty.empty() && built.mJobs.size() < built.mLimits.mJobs && bytes < kBytesPerBatch &&
         conditions.size() + changes.size() < kEntriesPerBatch) {
    auto const id = mDirty.TakeOldest();
    auto* const job = mOptions.mReplica.FindJob(id);
    if (job != nullptr && !IsSetAside(id)) {
      bytes += AddToBatch(built, *job);
    }
  }
  for (auto const& job : built.mJobs) {
    // A small transaction has no room for checkpoints; they follow with the next change of the job.
    if (!job.mIsComplete || (job.mHasOpenCheckpointRows && !isSmall)) {
      mDirty.Insert(job.mId);
    }
  }
  std::set<std::string> domains;
  for (auto const& planned : built.mStarts) {
    domains.insert(mSessions.contains(planned.mNode) ? mSessions.at(planned.mNode)->mReport.mDomain
                                                     : std::string{});
  }
  if (!built.mStarts.empty()) {
    conditions.push_back({ platform::kOperatorTable, platform::kConfigurationKey,
                           mOptions.mReplica.ConfigurationRowVersion() });
    for (auto const& domain : domains) {
      conditions.push_back({ platform::kOperatorTable, platform::kEvacuationPrefix + domain, 0 });
    }
    StoreQueues(built);
  }
  if (built.mJobs.empty()) {
    return false;
  }
  for (auto const& [node, session] : mSessions) {
    built.mEnds[node] = session->mEnds.Recorded();
  }
  auto const now = base::Now();
  if (!isSmall && mHasNewRunTimes && now - mRunTimesStoredAt > kRunTimesInterval) {
    // The observations only improve estimates, so a row that has outgrown the store is left out.
    if (auto text = mRunTimes.Encode(); text.size() <= mOptions.mSettings.mMaximumRowBytes) {
      built.mTransaction.mChanges.push_back({ kDispatchTable, kRunTimesKey, std::move(text) });
      built.mHasRunTimes = true;
    } else {
      base::Log("scheduler")->warn("run-times-too-large bytes={}", text.size());
      mRunTimesStoredAt = now;
    }
    mHasNewRunTimes = false;
  }
  mBatch = std::move(built);
  return true;
}

void scheduler::StoreQueues(batch& aBatch)
{
  std::set<std::string> queues;
  for (auto const& start : aBatch.mStarts) {
    queues.insert(mOptions.mReplica.FindJob(start.mJob)->Description().mQueue);
  }
  auto& transaction = aBatch.mTransaction;
  for (auto const& queue : queues) {
    // One that does not fit is stored with a later start.
    if (transaction.mConditions.size() + transaction.mChanges.size() + 1 >= kMaximumEntries) {
      return;
    }
    if (auto change = mOptions.mReplica.QueueChange(queue)) {
      transaction.mChanges.push_back(std::move(*change));
    }
  }
}

awaitable<void> scheduler::CommitBatch()
{
  auto const term = mTerm;
  auto const sentAt = base::Now();
  auto const result = co_await mOptions.mStore.Commit(mBatch->mTransaction, kCommitTimeout);
  if (!mIsHolder || term != mTerm || !mBatch) {
    co_return;
  }
  mOptions.mMetrics.Histogram("rattanpond_commit_seconds")
    .Record(std::chrono::duration<double>(base::Now() - sentAt).count());
  switch (result.mOutcome) {
    case commit_outcome::committed:
      BatchCommitted(result.mVersion);
      break;
    case commit_outcome::conflict:
      BatchConflicted(result.mCurrent);
      break;
    case commit_outcome::rejected:
      BatchRejected();
      break;
    case commit_outcome::refused:
    case commit_outcome::unknown:
      // Retry the same transaction: its conditions keep it from taking effect twice.
      ++mBatch->mAttempts;
      if (base::Now() - mBatch->mPendingLoggedAt >= kPendingLogInterval) {
        mBatch->mPendingLoggedAt = base::Now();
        base::Log("scheduler")
          ->warn("commit-pending jobs={} outcome={} attempts={}", mBatch->mJobs.size(),
                 static_cast<int>(result.mOutcome), mBatch->mAttempts);
      }
      break;
  }
}

void scheduler::BatchCommitted(std::uint64_t aVersion)
{
  auto const done = std::move(*mBatch);
  mBatch.reset();
  if (done.mHasRunTimes) {
    mRunTimesStoredAt = base::Now();
  }
  std::set<std::string> jobs;
  for (auto const& stored : done.mJobs) {
    auto* const job = mOptions.mReplica.FindJob(stored.mId);
    if (job == nullptr) {
      continue;
    }
    job->MarkPartsStored(aVersion, stored.mParts);
    job->MarkCheckpointRowsStored(stored.mCheckpointRows);
    if (stored.mIsComplete) {
      job->MarkStateStored(aVersion, stored.mPhase);
      job->MarkInParts();
      jobs.insert(stored.mId);
    }
  }
  for (auto const& start : done.mStarts) {
    SendStart(start, aVersion);
  }
  for (auto const& [node, session] : mSessions) {
    auto const before = session->mEnds.Stored();
    if (auto const found = done.mEnds.find(node); found != done.mEnds.end()) {
      session->mEnds.MarkStored(found->second,
                                [&](std::string const& aJob) { return jobs.contains(aJob); });
    }
    MarkEndsOfUnchangedJobs(*session);
    bool const hasNewEnds = session->mEnds.Stored() > before;
    if (hasNewEnds || !session->mStarts.empty()) {
      SendOrders(*session);
    }
  }
}

void scheduler::MarkEndsOfUnchangedJobs(session& aSession)
{
  if (!mBatch) {
    aSession.mEnds.MarkStored(aSession.mEnds.Recorded(), [&](std::string const& aJob) {
      return !mDirty.Contains(aJob) && !IsSetAside(aJob);
    });
  }
}

void scheduler::BatchConflicted(std::vector<platform::store_row> const& aCurrent)
{
  if (auto const version = VersionOfEffect(mBatch->mTransaction, aCurrent)) {
    // An earlier attempt, whose outcome was unknown, has taken effect.
    BatchCommitted(*version);
    return;
  }
  auto const conflicted = std::move(*mBatch);
  mBatch.reset();
  for (auto const& batched : conflicted.mJobs) {
    auto const* const job = mOptions.mReplica.FindJob(batched.mId);
    if (job == nullptr) {
      continue;
    }
    for (auto const& row : aCurrent) {
      auto const isState = row.mKey == kStatePrefix + batched.mId;
      auto const part = std::ranges::find_if(batched.mParts, [&](part_change const& aPart) {
        return row.mKey == PartKey(batched.mId, aPart.mPart);
      });
      auto const expected = isState                        ? job->StateVersion()
                            : part != batched.mParts.end() ? part->mExpectedVersion
                                                           : row.mVersion;
      if (row.mTable != kDispatchTable || expected == row.mVersion) {
        continue;
      }
      base::Log("scheduler")
        ->error("state-of-other-writer job={} key={} version={} held={}", batched.mId, row.mKey,
                row.mVersion, expected);
      mOptions.mReplica.Apply(aCurrent);
      StepDown("another process wrote the state of a job");
      return;
    }
  }
  base::Log("scheduler")
    ->info("commit-conflict jobs={} starts={}", conflicted.mJobs.size(), conflicted.mStarts.size());
  ReturnBatch(conflicted);
  mOptions.mReplica.Apply(aCurrent);
  ReplicaChanged();
}

void scheduler::ReturnBatch(batch const& aBatch)
{
  // No start has been ordered yet. The tasks return to waiting and are planned again with the
  // current state.
  for (auto const& start : aBatch.mStarts) {
    auto* const job = mOptions.mReplica.FindJob(start.mJob);
    auto* const task = job == nullptr ? nullptr : job->Find(start.mPosition);
    if (task != nullptr && task->mState.mStatus == task_status::active &&
        task->mState.mRun == start.mRun && task->mRunStatus == run_status::planned) {
      task->mState.mStatus = task_status::waiting;
    }
  }
  for (auto const& job : aBatch.mJobs) {
    mDirty.Insert(job.mId);
  }
  mHasNewRunTimes = mHasNewRunTimes || aBatch.mHasRunTimes;
}

void scheduler::BatchRejected()
{
  auto const rejected = std::move(*mBatch);
  mBatch.reset();
  std::size_t bytes = 0;
  for (auto const& change : rejected.mTransaction.mChanges) {
    bytes += change.mValue ? change.mValue->size() : 0;
  }
  mOptions.mMetrics.Counter("rattanpond_commits_rejected").Add();
  base::Log("scheduler")
    ->error("commit-rejected jobs={} first={} changes={} bytes={} run_times={}",
            rejected.mJobs.size(), rejected.mJobs.front().mId,
            rejected.mTransaction.mChanges.size(), bytes, rejected.mHasRunTimes);
  auto const now = base::Now();
  if (rejected.mHasRunTimes) {
    mRunTimesStoredAt = now;
  }
  if (rejected.mLimits.mJobs > 1) {
    mSmallBatches = std::max(mSmallBatches, rejected.mJobs.size());
  } else {
    mSetAside[rejected.mJobs.front().mId] = now + kSetAsideTime;
  }
  ReturnBatch(rejected);
  SchedulePlanning();
}

void scheduler::RetrySetAsideJobs(base::time_point aNow)
{
  std::erase_if(mSetAside, [&](auto const& aEntry) {
    if (aNow < aEntry.second) {
      return false;
    }
    // If the store still rejects the job, a limited transaction contains no other job.
    mSmallBatches = std::max<std::size_t>(mSmallBatches, 1);
    mDirty.Insert(aEntry.first);
    return true;
  });
}

void scheduler::SendStart(planned_start const& aStart, std::uint64_t aVersion)
{
  auto* const job = mOptions.mReplica.FindJob(aStart.mJob);
  auto* const task = job == nullptr ? nullptr : job->Find(aStart.mPosition);
  if (task == nullptr || task->mState.mStatus != task_status::active ||
      task->mState.mRun != aStart.mRun || task->mRunStatus != run_status::planned) {
    return;
  }
  auto const found = mSessions.find(aStart.mNode);
  auto* const session = found == mSessions.end() ? nullptr : found->second.get();
  auto const name = TaskName(aStart.mJob, aStart.mPosition);
  if (session == nullptr || !session->mLink || !mSilentSides.MayAnswer(aStart.mNode) ||
      IsFinal(job->Phase()) ||
      session->mReport.mIncarnationStart != task->mState.mWorkerIncarnationStart ||
      session->mReport.mState != worker_state::ready) {
    RequeueTask(*job, aStart.mPosition, "the worker is no longer available");
    return;
  }
  if (!session->mReport.mCapacity.Covers(aStart.mCapacity)) {
    RequeueTask(*job, aStart.mPosition, "the worker has shrunk since the decision");
    return;
  }
  auto const now = base::Now();
  auto const* const queue = QueueOf(*job);
  std::optional<std::string> ticket;
  if (mAdvice && queue != nullptr && queue->mAdvice) {
    ticket = mPermits.Ticket(StepName(job->Id(), aStart.mPosition), IncarnationOf(*session), now);
    if (!ticket) {
      RequeueTask(*job, aStart.mPosition, "the permit for the worker has expired");
      return;
    }
  }
  task->mRunStatus = run_status::starting;
  task->mRunStatusSince = now;
  task->mStartedAt = now;
  task->mOrderedAt = now;
  task->mStoredVersion = aVersion;
  task->mIsRunTimeMeasured = task->mState.mCheckpoint.empty();
  task->mIsOnProbation = true;
  session->mStarts.push_back({ .mTask = name,
                               .mRun = aStart.mRun,
                               .mCommand = job->Description().mCommand,
                               .mCheckpoint = task->mState.mCheckpoint,
                               .mTicket = ticket.value_or(std::string{}) });
  mOptions.mMetrics.Counter("rattanpond_starts").Add();
  base::Log("scheduler")
    ->info("start task={} run={} node={} born={} term={} waited_ms={} checkpoint_bytes={}", name,
           aStart.mRun, aStart.mNode, task->mState.mWorkerIncarnationStart, mTerm,
           (now - job->mReceivedAt).count(), task->mState.mCheckpoint.size());
}

} // namespace rattanpond::dispatch
