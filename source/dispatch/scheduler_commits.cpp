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

bool scheduler::BuildBatch()
{
  batch built;
  auto& conditions = built.mTransaction.mConditions;
  conditions.push_back({ kDispatchTable, kTermKey, mTermVersion });
  std::set<std::string> chosen;
  while (!mDirty.empty() && built.mJobs.size() < kJobsPerBatch) {
    auto const id = mDirty.TakeOldest();
    chosen.insert(id);
    auto* const job = mOptions.mReplica.FindJob(id);
    if (job == nullptr) {
      continue;
    }
    conditions.push_back({ kDispatchTable, kStatePrefix + id, job->StateVersion() });
    conditions.push_back(
      { kDispatchTable, kCancellationPrefix + id, mOptions.mReplica.CancellationVersion(id) });
    job->ApplyReportedCheckpoints();
    job->mCheckpointsAppliedAt = base::Now();
    built.mTransaction.mChanges.push_back(
      { kDispatchTable, kStatePrefix + id, job->EncodeState() });
    built.mJobs.emplace_back(id, job->Phase());
  }
  std::set<std::string> domains;
  for (auto const& planned : mPlanned) {
    if (chosen.contains(planned.mJob)) {
      built.mStarts.push_back(planned);
      domains.insert(mSessions.contains(planned.mNode)
                       ? mSessions.at(planned.mNode)->mReport.mDomain
                       : std::string{});
    }
  }
  std::erase_if(mPlanned,
                [&](planned_start const& aPlanned) { return chosen.contains(aPlanned.mJob); });
  if (!built.mStarts.empty()) {
    conditions.push_back({ platform::kOperatorTable, platform::kConfigurationKey,
                           mOptions.mReplica.ConfigurationRowVersion() });
    for (auto const& domain : domains) {
      conditions.push_back({ platform::kOperatorTable, platform::kEvacuationPrefix + domain, 0 });
    }
  }
  if (built.mJobs.empty()) {
    return false;
  }
  for (auto const& [node, session] : mSessions) {
    built.mEnds[node] = session->mEnds.Recorded();
  }
  auto const now = base::Now();
  if (mHasNewRunTimes && now - mRunTimesStoredAt > kRunTimesInterval) {
    built.mTransaction.mChanges.push_back({ kDispatchTable, kRunTimesKey, mRunTimes.Encode() });
    built.mHasRunTimes = true;
    mHasNewRunTimes = false;
  }
  mBatch = std::move(built);
  return true;
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
  for (auto const& [id, phase] : done.mJobs) {
    if (auto* const job = mOptions.mReplica.FindJob(id)) {
      job->MarkStateStored(aVersion, phase);
    }
  }
  for (auto const& start : done.mStarts) {
    SendStart(start);
  }
  std::set<std::string> jobs;
  for (auto const& [id, phase] : done.mJobs) {
    jobs.insert(id);
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
    aSession.mEnds.MarkStored(aSession.mEnds.Recorded(),
                              [&](std::string const& aJob) { return !mDirty.Contains(aJob); });
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
  for (auto const& row : aCurrent) {
    if (row.mTable == kDispatchTable && row.mKey.starts_with(kStatePrefix)) {
      auto* const job =
        mOptions.mReplica.FindJob(row.mKey.substr(std::string{ kStatePrefix }.size()));
      if (job != nullptr && job->StateVersion() != row.mVersion) {
        base::Log("scheduler")
          ->error("state-of-other-writer job={} version={} held={}", job->Id(), row.mVersion,
                  job->StateVersion());
        mOptions.mReplica.Apply(aCurrent);
        StepDown("another process wrote the state of a job");
        return;
      }
    }
  }
  base::Log("scheduler")
    ->info("commit-conflict jobs={} starts={}", conflicted.mJobs.size(), conflicted.mStarts.size());
  // No start has been ordered yet. The tasks return to waiting and are planned again with the
  // current state.
  for (auto const& start : conflicted.mStarts) {
    auto* const job = mOptions.mReplica.FindJob(start.mJob);
    auto* const task = job == nullptr ? nullptr : job->Find(start.mPosition);
    if (task != nullptr && task->mState.mStatus == task_status::active &&
        task->mState.mRun == start.mRun && task->mRunStatus == run_status::planned) {
      task->mState.mStatus = task_status::waiting;
    }
  }
  for (auto const& [id, phase] : conflicted.mJobs) {
    mDirty.Insert(id);
  }
  mHasNewRunTimes = mHasNewRunTimes || conflicted.mHasRunTimes;
  mOptions.mReplica.Apply(aCurrent);
  ReplicaChanged();
}

void scheduler::SendStart(planned_start const& aStart)
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
  task->mIsRunTimeMeasured = task->mState.mCheckpoint.empty();
  task->mIsOnProbation = true;
  session->mStarts.push_back({ .mTask = name,
                               .mRun = aStart.mRun,
                               .mCommand = job->Description().mCommand,
                               .mCheckpoint = task->mState.mCheckpoint,
                               .mTicket = ticket.value_or(std::string{}) });
  mOptions.mMetrics.Counter("rattanpond_starts").Add();
  base::Log("scheduler")
    ->info("start task={} run={} node={} born={} term={} waited_ms={} checkpoint={}", name,
           aStart.mRun, aStart.mNode, task->mState.mWorkerIncarnationStart, mTerm,
           (now - job->mReceivedAt).count(),
           task->mState.mCheckpoint.empty() ? "none" : task->mState.mCheckpoint);
}

} // namespace rattanpond::dispatch
