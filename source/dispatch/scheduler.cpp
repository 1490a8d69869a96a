#include "dispatch/scheduler.h"

#include "base/logging.h"
#include "dispatch/lease_timing.h"
#include "net/sleep.h"
#include "platform/operator_rows.h"

#include <algorithm>
#include <random>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace rattanpond::dispatch {

namespace asio = boost::asio;
using asio::awaitable;
using base::milliseconds;
using platform::commit_outcome;

namespace {

/// Resolution of all time limits that the scheduler checks.
constexpr milliseconds kTickInterval{ 200 };
constexpr milliseconds kTermCommitTimeout{ 1000 };
/// A link without a report for this long is closed: side agents report at least every 1.5 s.
constexpr milliseconds kLinkTimeout{ 3000 };
/// Rows of ended jobs whose removal has failed are removed again after this time; longer than the
/// removal itself may take.
constexpr milliseconds kRemovalRetryDelay{ 2000 };
/// Interval of the search for stored queues that nothing uses any more.
constexpr milliseconds kQueueRemovalInterval{ 5000 };
/// Maximum number of rows that one transaction removes.
constexpr std::size_t kMaximumChanges = 90;
/// Standbys spread their attempts to take over a vacant term over this time.
constexpr int kTakeoverSpreadMs = 250;

} // namespace

scheduler::scheduler(options aOptions)
  : mOptions{ std::move(aOptions) }
  , mFlushTimer{ mOptions.mContext }
{
  if (mOptions.mSettings.mAdvice) {
    mAdvice =
      std::make_unique<platform::advice_client>(mOptions.mContext, *mOptions.mSettings.mAdvice);
  }
}

scheduler::~scheduler() = default;

void scheduler::Start()
{
  asio::co_spawn(
    mOptions.mContext, [this] { return RoleLoop(); }, asio::detached);
  asio::co_spawn(
    mOptions.mContext, [this] { return Tick(); }, asio::detached);
  asio::co_spawn(
    mOptions.mContext, [this] { return TermHeartbeatLoop(); }, asio::detached);
  asio::co_spawn(
    mOptions.mContext, [this] { return FlushLoop(); }, asio::detached);
}

awaitable<void> scheduler::RoleLoop()
{
  std::minstd_rand random{ std::random_device{}() };
  std::uniform_int_distribution<int> spread{ 0, kTakeoverSpreadMs };
  milliseconds ownSpread{ spread(random) };
  while (true) {
    co_await net::Sleep(kTickInterval);
    if (mIsHolder || mIsReleasing || !mOptions.mReplica.IsLoaded()) {
      continue;
    }
    if (IsTermOurs() && mOptions.mReplica.TermVersion() != mTermVersion) {
      base::Log("scheduler")
        ->info("holder-waits term={} version={}", mOptions.mReplica.Term().mNumber,
               mOptions.mReplica.TermVersion());
      ReplicaChanged();
      continue;
    }
    // An earlier process on this node has certainly ended, and a term of this process that it has
    // stepped down from is over.
    auto const isFormerIncarnation = mOptions.mReplica.Term().mNode == mOptions.mSettings.mNode;
    if (isFormerIncarnation || mOptions.mReplica.Lease().IsVacant(base::Now(), ownSpread)) {
      co_await TakeTerm();
      ownSpread = milliseconds{ spread(random) };
    }
  }
}

awaitable<void> scheduler::TakeTerm()
{
  auto& replica = mOptions.mReplica;
  auto const number = replica.Term().mNumber + 1;
  term_record const term{ .mNumber = number,
                          .mNode = mOptions.mSettings.mNode,
                          .mIncarnation = mOptions.mIncarnation };
  platform::row_transaction transaction{
    .mConditions = { { kDispatchTable, kTermKey, replica.TermVersion() } },
    .mChanges = { { kDispatchTable, kTermKey, base::Encode(term).dump() } },
  };
  auto const result = co_await mOptions.mStore.Commit(std::move(transaction), kTermCommitTimeout);
  base::Log("scheduler")
    ->info("take-term number={} outcome={}", number, static_cast<int>(result.mOutcome));
  // Whatever the outcome, the replicated rows show who holds the term.
  if (result.mOutcome == commit_outcome::conflict) {
    replica.Apply(result.mCurrent);
    ReplicaChanged();
  }
}

bool scheduler::IsTermOurs() const
{
  auto const& term = mOptions.mReplica.Term();
  return term.mNode == mOptions.mSettings.mNode && term.mIncarnation == mOptions.mIncarnation &&
         !mIsReleasing;
}

void scheduler::ReplicaChanged()
{
  mOptions.mMetrics.Gauge("rattanpond_configurations_rejected")
    .Set(static_cast<double>(mOptions.mReplica.RejectedConfigurations()));
  // A holder is the only writer of job states and takes none from the store, so it begins only with
  // everything that the former holder wrote before the term changed.
  auto const termVersion = mOptions.mReplica.TermVersion();
  // Orders and transactions of a term that it stepped down from may still be under way, so it takes
  // another one before it begins again.
  auto const isNewTerm = termVersion != mTermVersion;
  if (!mIsHolder && IsTermOurs() && isNewTerm && mOptions.mReplica.HasAllRowsUntil(termVersion)) {
    BecomeHolder();
  } else if (mIsHolder && !IsTermOurs()) {
    StepDown("another front holds the term");
  } else if (mIsHolder && isNewTerm) {
    StepDown("the term has been taken again");
  }
  if (mIsHolder) {
    AdoptSilentSides();
    SynchronizeSessions();
    ApplyCancellations();
    SchedulePlanning();
  }
}

void scheduler::BecomeHolder()
{
  mIsHolder = true;
  mTerm = mOptions.mReplica.Term().mNumber;
  mTermVersion = mOptions.mReplica.TermVersion();
  mHolderSince = base::Now();
  mLeases.clear();
  mFormerHoldersStopBy = mOptions.mReplica.Succession().FormerHoldersStopBy();
  mSilentSides = {};
  mUnansweredSince.clear();
  mClaims.clear();
  mOverdueStarts.clear();
  mDirty.Clear();
  mPlanned.clear();
  mBatch.reset();
  mSmallBatches = 0;
  mSetAside.clear();
  mEndedJobs.clear();
  if (!mOptions.mReplica.RunTimes().empty() && !mRunTimes.Decode(mOptions.mReplica.RunTimes())) {
    base::Log("scheduler")
      ->warn("run-times-unreadable bytes={}", mOptions.mReplica.RunTimes().size());
  }
  for (auto& [id, job] : mOptions.mReplica.Jobs()) {
    auto const version = job->StateVersion();
    job->ForEachTask([&](task_position const&, tracked_task& aTask) {
      aTask.mRunStatus = run_status::unconfirmed;
      aTask.mRunStatusSince = mHolderSince;
      aTask.mStartedAt = {};
      aTask.mOrderedAt = {};
      aTask.mStoredVersion = version;
      aTask.mIsStartSettled = false;
      aTask.mHasUnansweredCall = false;
      aTask.mWaitingSince = {};
      aTask.mEndUnknownSince = {};
      aTask.mIsRunTimeMeasured = false;
      aTask.mIsOnProbation = MayHaveHardlyBegun(aTask);
    });
    if (IsFinal(job->Phase())) {
      mEndedJobs[id] = mHolderSince;
    }
  }
  base::Log("scheduler")
    ->info("holder term={} jobs={} sides={}", mTerm, mOptions.mReplica.Jobs().size(),
           mOptions.mReplica.Sides().size());
}

void scheduler::StepDown(std::string const& aReason)
{
  base::Log("scheduler")->info("step-down term={} reason=\"{}\"", mTerm, aReason);
  mIsHolder = false;
  mOverdueStarts.clear();
  mOptions.mMetrics.Gauge(kOverdueStartsGauge).Set(0);
  mSessions.clear();
  mDirty.Clear();
  mPlanned.clear();
  mBatch.reset();
  // The next holder has none of the changes that this process recorded but did not store.
  mOptions.mReplica.Reload();
}

awaitable<void> scheduler::Release()
{
  mIsReleasing = true;
  if (!mIsHolder) {
    co_return;
  }
  platform::row_transaction transaction{
    .mConditions = { { kDispatchTable, kTermKey, mTermVersion } },
    .mChanges = { { kDispatchTable, kTermHeartbeatKey, "released" } },
  };
  StepDown("the process is shutting down");
  co_await mOptions.mStore.Commit(std::move(transaction), kTermCommitTimeout);
}

awaitable<void> scheduler::TermHeartbeatLoop()
{
  std::uint64_t count = 0;
  base::time_point sentAt{};
  while (true) {
    // The interval counts from the last attempt, so that an answer that is late or lost does not
    // delay the next heartbeat.
    auto const wait = sentAt + kTermHeartbeatInterval - base::Now();
    co_await net::Sleep(std::clamp(wait, milliseconds{ 0 }, kTermHeartbeatInterval));
    sentAt = base::Now();
    if (!mIsHolder) {
      continue;
    }
    platform::row_transaction transaction{
      .mConditions = { { kDispatchTable, kTermKey, mTermVersion } },
      .mChanges = { { kDispatchTable, kTermHeartbeatKey, std::to_string(++count) } },
    };
    auto const term = mTerm;
    auto const result =
      co_await mOptions.mStore.Commit(std::move(transaction), kTermHeartbeatInterval);
    if (result.mOutcome == commit_outcome::conflict && mIsHolder && term == mTerm) {
      mOptions.mReplica.Apply(result.mCurrent);
      ReplicaChanged();
    }
  }
}

awaitable<void> scheduler::Tick()
{
  while (true) {
    co_await net::Sleep(kTickInterval);
    if (!mIsHolder) {
      continue;
    }
    auto const now = base::Now();
    CloseUnresponsiveLinks(now);
    ExpireOrders(now);
    StopStalledRuns(now);
    StopDepartingRuns(now);
    StoreCheckpoints(now);
    WatchSilentSides(now);
    ExpireLeases(now);
    SettleSuspectedCrashes(now);
    WatchUnknownEnds(now);
    WatchOverdueStarts(now);
    SendPendingStops();
    RemoveEndedJobs(now);
    RemoveUnusedQueues(now);
    RetrySetAsideJobs(now);
    SchedulePlanning();
  }
}

void scheduler::ForEachActiveTask(
  std::function<void(job_record&, task_position const&, tracked_task&)> const& aVisit)
{
  for (auto const& entry : mOptions.mReplica.Jobs()) {
    auto& job = *entry.second;
    if (job.IsTerminated()) {
      continue;
    }
    bool hasActive = false;
    job.ForEachTask([&](task_position const& aPosition, tracked_task& aTask) {
      if (aTask.mState.mStatus == task_status::active) {
        hasActive = true;
        aVisit(job, aPosition, aTask);
      }
    });
    if (!hasActive && IsFinal(job.Phase())) {
      job.SetTerminated();
    }
  }
}

void scheduler::SynchronizeSessions()
{
  auto const& sides = mOptions.mReplica.Sides();
  std::erase_if(mSessions, [&](auto const& aEntry) { return !sides.contains(aEntry.first); });
  for (auto const& [node, side] : sides) {
    auto const found = mSessions.find(node);
    if (found != mSessions.end() &&
        net::ToString(found->second->mDialer->Endpoint()) == side.mAddress) {
      continue;
    }
    OpenSession(node, side.mAddress);
  }
}

void scheduler::OpenSession(std::string const& aNode, std::string const& aAddress)
{
  auto const endpoint = base::Capture([&] { return net::ParseEndpoint(aAddress); });
  if (!base::Succeeded(endpoint)) {
    base::Log("scheduler")->warn("side-address-unreadable node={} address={}", aNode, aAddress);
    return;
  }
  auto created = std::make_unique<session>();
  created->mNode = aNode;
  created->mDialer = std::make_unique<net::link_dialer>(
    mOptions.mContext,
    net::link_dialer::options{
      .mEndpoint = std::get<0>(endpoint),
      .mHandlers = {
        .mOnFrame = [this,
                     aNode](net::link_ptr const& aLink,
                            net::frame aFrame) { HandleFrame(aNode, aLink, std::move(aFrame)); },
        .mOnClose = [this, aNode](net::link_ptr const&,
                                  base::error const& aReason) { LinkClosed(aNode, aReason); } },
      .mOnOpen =
        [this, aNode](net::link_ptr const& aLink) {
          auto const found = mSessions.find(aNode);
          if (found == mSessions.end()) {
            return;
          }
          found->second->mLink = aLink;
          found->second->mOpenedAt = base::Now();
          // Announces the term; the side agent responds with a report.
          aLink->Send(side_orders{ .mTerm = mTerm });
        },
    });
  mSessions[aNode] = std::move(created);
}

void scheduler::LinkClosed(std::string const& aNode, base::error const& aReason)
{
  if (aReason.mCode == base::result_code::message_too_large) {
    mOptions.mMetrics.Counter("rattanpond_reports_too_large").Add();
  }
  auto const found = mSessions.find(aNode);
  if (found == mSessions.end()) {
    return;
  }
  auto& session = *found->second;
  session.mLink.reset();
  session.mStarts.clear();
  session.mStops.clear();
  session.mPaces.clear();
  base::Log("scheduler")->info("side-lost node={} reason=\"{}\"", aNode, aReason.mMessage);
  ForEachActiveTask([&](job_record&, task_position const&, tracked_task& aTask) {
    if (aTask.mState.mWorker == aNode &&
        (aTask.mRunStatus == run_status::starting || aTask.mRunStatus == run_status::stopping)) {
      aTask.mRunStatus = run_status::unconfirmed;
    }
  });
}

void scheduler::CloseUnresponsiveLinks(base::time_point aNow)
{
  for (auto const& [node, session] : mSessions) {
    if (session->mLink &&
        aNow - std::max(session->mOpenedAt, session->mReportedAt) > kLinkTimeout) {
      session->mLink->Close(
        { .mCode = base::result_code::timed_out, .mMessage = "no report within the link timeout" });
    }
  }
}

void scheduler::RemoveEndedJobs(base::time_point aNow)
{
  auto const retention = RowRetention(mOptions.mSettings.mStatusRetention);
  constexpr std::size_t kRowsPerJob = 3;
  platform::row_transaction transaction;
  std::vector<std::string> jobs;
  std::map<std::string, std::vector<std::uint32_t>> removedParts;
  std::map<std::string, std::vector<checkpoint_row_change>> removedCheckpoints;
  // A job may have been accepted after the removal of a cancellation without a job.
  std::erase_if(mEndedJobs, [&](auto const& aEntry) {
    auto const* const job = mOptions.mReplica.FindJob(aEntry.first);
    return job != nullptr && !IsFinal(job->Phase());
  });
  for (auto& [id, removableSince] : mEndedJobs) {
    auto const room = kMaximumChanges - transaction.mChanges.size();
    if (removableSince + retention > aNow || room < kRowsPerJob) {
      continue;
    }
    // Removed again after a failure of this attempt.
    removableSince = aNow - retention + kRemovalRetryDelay;
    auto const* const job = mOptions.mReplica.FindJob(id);
    auto parts = job == nullptr ? std::vector<std::uint32_t>{} : job->PartsWithRows();
    auto checkpoints = job == nullptr ? std::vector<std::uint32_t>{} : job->CheckpointRows();
    auto const isWhole = parts.size() + checkpoints.size() + kRowsPerJob <= room;
    if (!isWhole) {
      // The job's other rows are removed together with its last parts, in a later transaction.
      parts.resize(std::min(parts.size(), room));
      checkpoints.resize(std::min(checkpoints.size(), room - parts.size()));
    }
    for (auto const part : parts) {
      transaction.mChanges.push_back({ kDispatchTable, PartKey(id, part), std::nullopt });
    }
    for (auto const row : checkpoints) {
      transaction.mChanges.push_back({ kDispatchTable, CheckpointRowKey(id, row), std::nullopt });
      removedCheckpoints[id].push_back({ .mRow = row });
    }
    if (!parts.empty()) {
      removedParts[id] = std::move(parts);
    }
    if (!isWhole) {
      continue;
    }
    transaction.mChanges.push_back({ kDispatchTable, kCancellationPrefix + id, std::nullopt });
    if (job != nullptr) {
      transaction.mChanges.push_back({ kDispatchTable, kJobPrefix + id, std::nullopt });
      transaction.mChanges.push_back({ kDispatchTable, kStatePrefix + id, std::nullopt });
    }
    jobs.push_back(id);
  }
  if (transaction.mChanges.empty()) {
    return;
  }
  transaction.mConditions.push_back({ kDispatchTable, kTermKey, mTermVersion });
  asio::co_spawn(
    mOptions.mContext,
    [this, term = mTerm, transaction = std::move(transaction), jobs = std::move(jobs),
     removedParts = std::move(removedParts),
     removedCheckpoints = std::move(removedCheckpoints)]() mutable -> awaitable<void> {
      auto const result =
        co_await mOptions.mStore.Commit(std::move(transaction), kTermCommitTimeout);
      base::Log("scheduler")
        ->info("retention jobs={} outcome={}", jobs.size(), static_cast<int>(result.mOutcome));
      if (result.mOutcome == commit_outcome::committed && term == mTerm) {
        for (auto const& [id, parts] : removedParts) {
          if (auto* const job = mOptions.mReplica.FindJob(id)) {
            job->MarkPartsRemoved(parts);
          }
        }
        for (auto const& [id, rows] : removedCheckpoints) {
          if (auto* const job = mOptions.mReplica.FindJob(id)) {
            job->MarkCheckpointRowsStored(rows);
          }
        }
        for (auto const& id : jobs) {
          mEndedJobs.erase(id);
        }
      }
    },
    asio::detached);
}

void scheduler::RemoveUnusedQueues(base::time_point aNow)
{
  if (aNow - mQueuesRemovedAt < kQueueRemovalInterval) {
    return;
  }
  mQueuesRemovedAt = aNow;
  auto const& replica = mOptions.mReplica;
  auto const unused = replica.UnusedQueues();
  // Jobs may have been accepted until the configuration dropped the queue.
  if (unused.empty() || !replica.HasAllRowsUntil(replica.ConfigurationRowVersion())) {
    return;
  }
  // The queue may be configured again meanwhile, and a job of it accepted.
  platform::row_transaction transaction{ .mConditions = {
                                           { kDispatchTable, kTermKey, mTermVersion },
                                           { platform::kOperatorTable, platform::kConfigurationKey,
                                             replica.ConfigurationRowVersion() } } };
  for (std::size_t index = 0; index < std::min(unused.size(), kMaximumChanges); ++index) {
    transaction.mChanges.push_back({ kDispatchTable, kQueuePrefix + unused[index], std::nullopt });
  }
  asio::co_spawn(
    mOptions.mContext,
    [this, transaction = std::move(transaction)]() mutable -> awaitable<void> {
      auto const count = transaction.mChanges.size();
      auto const result =
        co_await mOptions.mStore.Commit(std::move(transaction), kTermCommitTimeout);
      base::Log("scheduler")
        ->info("queues-removed count={} outcome={}", count, static_cast<int>(result.mOutcome));
    },
    asio::detached);
}

void scheduler::SchedulePlanning()
{
  mMustPlan = true;
  if (mIsPlanningScheduled) {
    return;
  }
  mIsPlanningScheduled = true;
  mFlushTimer.cancel();
}

base::json scheduler::Dump() const
{
  base::json sessions = base::json::object();
  for (auto const& [node, session] : mSessions) {
    sessions[node] = { { "linked", session->mLink != nullptr },
                       { "state", std::string{ base::Name(session->mReport.mState) } },
                       { "running", session->mReport.mRunning.size() },
                       { "noted_end", session->mEnds.Recorded() },
                       { "stored_end", session->mEnds.Stored() } };
  }
  auto const now = base::Now();
  base::json overdue = base::json::array();
  for (auto const& start : mOverdueStarts) {
    base::json workers = base::json::object();
    for (auto const& [obstacle, count] : start.mReport.Workers()) {
      workers[std::string{ base::Name(obstacle) }] = count;
    }
    overdue.push_back({ { "task", start.mTask },
                        { "run", start.mRun },
                        { "node", start.mNode },
                        { "waiting_ms", (now - start.mSince).count() },
                        { "tasks", start.mTasks },
                        { "free_places", start.mReport.FreePlaces() },
                        { "used_share", start.mReport.UsedShare() },
                        { "workers", workers } });
  }
  return { { "holder", mIsHolder },
           { "term", mTerm },
           { "dirty_jobs", mDirty.size() },
           { "committing", mBatch.has_value() },
           { "set_aside_jobs", mSetAside.size() },
           { "sides", sessions },
           { "overdue_starts", overdue } };
}

} // namespace rattanpond::dispatch
