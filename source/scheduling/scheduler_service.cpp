#include "scheduling/scheduler_service.h"

#include "base/identifiers.h"
#include "base/logging.h"
#include "scheduling/worker_description.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace rattanpond::scheduling {

namespace asio = boost::asio;

namespace {

constexpr base::milliseconds kTickInterval{ 50 };
constexpr base::milliseconds kAnnounceInterval{ 1000 };
// The scheduler's orders carry the term as well, so agents need notices only rarely. With one
// notice per second, notices were two fifths of the bytes between the scheduler and its agents.
constexpr base::milliseconds kWorkerNoticeInterval{ 10'000 };
constexpr base::milliseconds kRoleContestInterval{ 1000 };
constexpr base::milliseconds kRoleCommitTimeout{ 2000 };

// Reading all rows finds submissions and cancellations whose forwarded messages were all lost.
constexpr base::milliseconds kReloadInterval{ 60'000 };
constexpr base::milliseconds kReloadRetryDelay{ 2000 };

// Additional wait for the rows after the recovery time; see MayPlace.
constexpr base::milliseconds kLoadTimeout{ 3000 };

// A worker that was disconnected for less than this is not treated as lost: its agent may be
// restarting, and the agents of its gangs monitor it themselves.
constexpr base::milliseconds kWorkerLossTimeout{ 5000 };

// Gangs may refer to a worker for this long after it disconnected.
constexpr base::milliseconds kDepartedRetention{ 60'000 };

placement::gang_outcome Outcome(gang_end aEnd)
{
  switch (aEnd) {
    case gang_end::finished:
      return placement::gang_outcome::finished;
    case gang_end::failed:
      return placement::gang_outcome::failed;
    case gang_end::lost:
      return placement::gang_outcome::lost;
    default:
      return placement::gang_outcome::stopped;
  }
}

scheduler_role::options RoleOptions(scheduler_role::options aOptions, std::string const& aSelf)
{
  aOptions.mSelf = aSelf;
  return aOptions;
}

} // namespace

scheduler_service::scheduler_service(asio::io_context& aContext, platform::table_service& aTable,
                                     membership::target_registry& aTargets,
                                     membership::entry_links& aEntries, placement::policy& aPolicy,
                                     configuration::access_control const& aAccess,
                                     base::metrics_registry& aMetrics, options aOptions)
  : mContext{ aContext }
  , mTable{ aTable }
  , mTargets{ aTargets }
  , mEntries{ aEntries }
  , mPolicy{ aPolicy }
  , mAccess{ aAccess }
  , mMetrics{ aMetrics }
  , mOptions{ std::move(aOptions) }
  , mRole{ RoleOptions(mOptions.mRole, mOptions.mSelf), base::Now() }
  , mRegistry{ mOptions.mRegistry }
  , mStore{ aContext, aTable,
            [this](job const& aJob) {
              mRegistry.Put(aJob, base::Now());
              Flush();
            } }
  , mTimer{ aContext }
{
}

scheduler_service::~scheduler_service()
{
  *mAlive = false;
}

void scheduler_service::Register(net::frame_dispatcher& aDispatcher)
{
  aDispatcher.On<reserve_reply>([this](net::link_ptr const&, reserve_reply const& aMessage) {
    mRole.ObserveTerm(aMessage.mHighestTerm, base::Now());
    mRegistry.OnReserveReply(aMessage, base::Now());
    Flush();
  });
  aDispatcher.On<task_report>([this](net::link_ptr const& aLink, task_report const& aMessage) {
    auto const* const target = mTargets.FindByLink(aLink);
    // A worker may only report its own gangs, over its own link.
    if (target == nullptr || target->mDescription.mTarget != aMessage.mWorker) {
      return;
    }
    mReports[aMessage.mWorker] = aMessage;
    if (mRole.Holds() && mIsRecovered) {
      mRegistry.Reported(aMessage, base::Now());
      Flush();
    }
  });
  aDispatcher.On<term_notice>([this](net::link_ptr const&, term_notice const& aMessage) {
    if (aMessage.mRegion == mOptions.mRegion) {
      mRole.ObserveHolder(aMessage.mTerm, base::Now());
      RoleChanged(base::Now());
    }
  });
  aDispatcher.On<job_submit>([this](net::link_ptr const& aLink, job_submit const& aMessage) {
    if (!mRole.Holds() || !IsOwn(aMessage.mJob)) {
      return;
    }
    if (aMessage.mRecord == job_record::missing) {
      asio::co_spawn(mContext, AnswerUnrecorded(aLink, aMessage.mJob), asio::detached);
    } else {
      mRegistry.Put(aMessage.mJob, base::Now());
      aLink->Send(job_reply{ .mJob = aMessage.mJob.mId });
      Flush();
    }
  });
  aDispatcher.On<job_cancel>([this](net::link_ptr const& aLink, job_cancel const& aMessage) {
    auto const* const known = mRegistry.Find(aMessage.mJob);
    auto const isOwner =
      known != nullptr &&
      (aMessage.mWorkspace.empty() || aMessage.mWorkspace == known->mJob.mSpecification.mWorkspace);
    if (mRole.Holds() && isOwner && mRegistry.Cancel(aMessage.mJob, base::Now())) {
      aLink->Send(job_reply{ .mJob = aMessage.mJob });
      Flush();
    }
  });
  aDispatcher.On<job_reply>([this](net::link_ptr const&, job_reply const& aMessage) {
    if (auto const found = mReplies.find(aMessage.mJob); found != mReplies.end()) {
      found->second = aMessage.mCode;
    }
  });
}

void scheduler_service::Start()
{
  mTargets.Observe(
    [this](membership::target_change aChange, membership::known_target const& aTarget) {
      WorkerChanged(aChange, aTarget);
    });
  for (auto const& [name, target] : mTargets.Targets()) {
    WorkerChanged(membership::target_change::joined, target);
  }
  co_spawn(mContext, ContestRoleLoop(mAlive), asio::detached);
  Tick();
}

asio::awaitable<void> scheduler_service::ReleaseRole()
{
  auto const write = mRole.Release();
  RoleChanged(base::Now());
  if (!write) {
    co_return;
  }
  platform::table_transaction transaction{ .mAttempt = base::RandomIdentifier(), .mWrites = {} };
  transaction.mWrites.push_back({ .mKey = "scheduler/" + mOptions.mRegion,
                                  .mValue = base::Encode(write->mRow),
                                  .mExpectedRevision = write->mExpectedRevision });
  co_await platform::Commit(mTable, std::move(transaction), kRoleCommitTimeout);
}

void scheduler_service::Tick()
{
  auto const now = base::Now();
  mRole.Tick(now);
  RoleChanged(now);
  std::erase_if(mDepartedWorkers, [&](auto const& aEntry) {
    return now - aEntry.second.mLeftAt > kDepartedRetention;
  });
  if (mRole.Holds()) {
    TickHolder(now);
  }
  mTimer.expires_after(kTickInterval);
  mTimer.async_wait([this, aliveFlag = mAlive](boost::system::error_code aFailure) {
    if (!aFailure && *aliveFlag) {
      Tick();
    }
  });
}

void scheduler_service::TickHolder(base::time_point aNow)
{
  mRegistry.Tick(aNow);
  if (aNow >= mNextAnnouncement) {
    mNextAnnouncement = aNow + kAnnounceInterval;
    mEntries.Broadcast(Notice());
  }
  if (aNow >= mNextWorkerNotice) {
    mNextWorkerNotice = aNow + kWorkerNoticeInterval;
    NotifyWorkers();
  }
  if (aNow >= mNextReload && !mIsLoading) {
    mIsLoading = true;
    co_spawn(mContext, LoadJobs(mAlive), asio::detached);
  }
  if (!mIsRecovered && MayPlace(aNow)) {
    Recover(aNow);
  }
  Flush();
  if (MayPlace(aNow) && (mIsDecisionDue || aNow >= mNextDecision)) {
    Decide(aNow);
  }
}

void scheduler_service::Recover(base::time_point aNow)
{
  mIsRecovered = true;
  // Reports are applied after the rows, which hold more information about each job.
  for (auto const& [worker, report] : mReports) {
    mRegistry.Reported(report, aNow);
  }
  mRegistry.EndRecovery(aNow);
  base::Log("scheduling")
    ->info("Recovery is complete; scheduling {} jobs.", mRegistry.Entries().size());
}

bool scheduler_service::MayPlace(base::time_point aNow) const
{
  auto const recoveredAt = mRole.AcquiredAt() + mOptions.mRecoveryTime;
  // A store that does not respond delays placement by at most kLoadTimeout; the agent reports alone
  // are sufficient to continue.
  auto const hasRows = mIsLoaded || mLoadFailed || aNow >= recoveredAt + kLoadTimeout;
  return mRole.Holds() && aNow >= recoveredAt && hasRows && mOptions.mSnapshot() != nullptr;
}

void scheduler_service::Decide(base::time_point aNow)
{
  mNextDecision = aNow + mOptions.mDecisionInterval;
  mIsDecisionDue = false;
  auto const state = State(aNow);
  auto const startedAt = std::chrono::steady_clock::now();
  auto const decided = mPolicy.Decide(state, aNow);
  std::chrono::duration<double> const taken = std::chrono::steady_clock::now() - startedAt;
  mMetrics.Histogram("scheduling_decision_seconds").Record(taken.count());
  mMetrics.Gauge("scheduling_jobs_waiting").Set(static_cast<double>(state.mWaiting.size()));
  mMetrics.Gauge("scheduling_gangs_running").Set(static_cast<double>(state.mRunning.size()));
  mRegistry.Apply(
    decided,
    [this](std::string const& aWorker) {
      auto const* const found = mTargets.Find(aWorker);
      return found == nullptr ? std::string{} : found->mDescription.mControlAddress;
    },
    aNow);
  Flush();
}

placement::cluster_state scheduler_service::State(base::time_point aNow) const
{
  placement::cluster_state state;
  auto const snapshot = mOptions.mSnapshot();
  for (auto const& [name, departed] : mDepartedWorkers) {
    auto lost = Worker(departed.mDescription, *snapshot);
    // The policy starts nothing on a quarantined worker and does not stop the gangs that run there.
    lost.mAvailability = aNow - departed.mLeftAt < kWorkerLossTimeout
                           ? placement::worker_availability::quarantined
                           : placement::worker_availability::lost;
    state.mWorkers[name] = std::move(lost);
  }
  for (auto const& [name, target] : mTargets.Targets()) {
    auto const& description = target.mDescription;
    if (description.mKind == membership::target_kind::worker &&
        description.mRegion == mOptions.mRegion) {
      state.mWorkers[name] = Worker(description, *snapshot);
    }
  }
  state.mContracts = snapshot->mContracts;
  mRegistry.FillState(state, aNow);
  return state;
}

placement::worker scheduler_service::Worker(
  membership::target_description const& aTarget,
  configuration::configuration_snapshot const& aSnapshot) const
{
  auto worker = WorkerOf(aTarget);
  auto const isOpen =
    aTarget.mState == membership::target_state::serving && aSnapshot.IsInService(aTarget.mDomain);
  if (!isOpen) {
    worker.mAvailability = placement::worker_availability::closed;
  }
  if (auto const found = aSnapshot.mDomains.find(aTarget.mDomain);
      found != aSnapshot.mDomains.end()) {
    worker.mNotice = found->second.mNotice;
  }
  return worker;
}

void scheduler_service::Flush()
{
  auto const now = base::Now();
  auto const taken = mRegistry.TakeChanges();
  mIsDecisionDue = mIsDecisionDue || taken.mIsDecisionDue;
  if (!mRole.Holds()) {
    return;
  }
  for (auto const& outgoing : taken.mOutgoingOrders) {
    Send(outgoing);
  }
  for (auto const& id : taken.mChangedJobs) {
    if (auto const* const found = mRegistry.Find(id)) {
      base::Log("scheduling")
        ->info("Job {} is {} (attempt {}).", id, base::Name(found->mJob.mState),
               found->mJob.mAttempt);
      mStore.Update(found->mJob);
    }
  }
  for (auto const& ended : taken.mEndedGangs) {
    mMetrics.Counter("scheduling_gangs_" + std::string{ base::Name(ended.mEnd) }).Add();
    mPolicy.RecordGangEnd(ended.mGang, Outcome(ended.mEnd), ended.mFailedWorker, now);
  }
}

void scheduler_service::Send(job_registry::outgoing const& aOutgoing)
{
  auto const& action = aOutgoing.mAction;
  auto const* const target = mTargets.Find(action.mWorker);
  if (target == nullptr || !target->mLink) {
    return;
  }
  auto& link = *target->mLink;
  auto const& held = mRole.Term();
  switch (action.mOrder) {
    case gang_order::reserve:
      link.Send(reserve{ .mTerm = held, .mGang = *aOutgoing.mDescription });
      break;
    case gang_order::commit:
      link.Send(commit{ .mTerm = held, .mGang = aOutgoing.mGang });
      break;
    case gang_order::release:
      link.Send(release{ .mTerm = held, .mGang = aOutgoing.mGang });
      break;
    case gang_order::preempt:
      link.Send(preempt{ .mTerm = held,
                         .mGang = aOutgoing.mGang,
                         .mNotice = action.mNotice,
                         .mReason = action.mReason });
      break;
    case gang_order::stop:
      link.Send(stop_task{ .mTerm = held, .mGang = aOutgoing.mGang, .mReason = action.mReason });
      break;
  }
}

void scheduler_service::WorkerChanged(membership::target_change aChange,
                                      membership::known_target const& aTarget)
{
  auto const& description = aTarget.mDescription;
  if (description.mKind != membership::target_kind::worker ||
      description.mRegion != mOptions.mRegion) {
    return;
  }
  auto const now = base::Now();
  mIsDecisionDue = true;
  if (aChange == membership::target_change::left) {
    mDepartedWorkers[description.mTarget] = { .mDescription = description, .mLeftAt = now };
    mReports.erase(description.mTarget);
    mRegistry.WorkerLeft(description.mTarget, now);
  } else if (aChange == membership::target_change::joined) {
    mDepartedWorkers.erase(description.mTarget);
    mRegistry.WorkerJoined(description.mTarget);
    if (mRole.Holds()) {
      aTarget.mLink->Send(term_notice{ .mRegion = mOptions.mRegion, .mTerm = mRole.Term() });
    }
  }
}

void scheduler_service::RoleChanged(base::time_point aNow)
{
  if (mRole.Holds() == mWasHolder) {
    return;
  }
  mWasHolder = mRole.Holds();
  mRegistry.Clear();
  mStore.DiscardUpdates();
  mIsRecovered = false;
  mIsLoaded = false;
  mLoadFailed = false;
  mNextReload = aNow;
  mNextAnnouncement = aNow;
  mNextWorkerNotice = aNow;
  mMetrics.Gauge("scheduling_holds_role").Set(mWasHolder ? 1 : 0);
  if (mWasHolder) {
    base::Log("scheduling")
      ->info("Took over the scheduler role of region {} ({}) with term {}.{}.", mOptions.mRegion,
             base::Name(mRole.State()), mRole.Term().mEpoch, mRole.Term().mSequence);
  } else {
    base::Log("scheduling")
      ->info("Stepped down from the scheduler role of region {}.", mOptions.mRegion);
  }
}

term_notice scheduler_service::Notice() const
{
  return { .mRegion = mOptions.mRegion, .mTerm = mRole.Term() };
}

void scheduler_service::NotifyWorkers() const
{
  auto const frame = net::EncodeFrame(Notice());
  for (auto const& [name, target] : mTargets.Targets()) {
    if (target.mLink && target.mDescription.mKind == membership::target_kind::worker &&
        target.mDescription.mRegion == mOptions.mRegion) {
      target.mLink->SendBytes(frame);
    }
  }
}

void scheduler_service::ForwardInBackground(base::bytes aFrame, std::string aJob)
{
  co_spawn(mContext, ForwardUntilAcknowledged(std::move(aFrame), std::move(aJob), mAlive),
           asio::detached);
}

asio::awaitable<void> scheduler_service::ContestRoleLoop(alive aAlive)
{
  while (*aAlive) {
    co_await ContestRoleOnce();
    if (!*aAlive) {
      co_return;
    }
    RoleChanged(base::Now());
    asio::steady_timer timer{ mContext, kRoleContestInterval };
    co_await timer.async_wait(asio::use_awaitable);
  }
}

asio::awaitable<void> scheduler_service::ContestRoleOnce()
{
  auto const aliveFlag = mAlive;
  auto const key = "scheduler/" + mOptions.mRegion;
  auto const read = co_await mTable.Read(key);
  if (!*aliveFlag || !base::Succeeded(read)) {
    co_return;
  }
  auto const& row = std::get<0>(read);
  std::optional<role_row> value;
  if (row) {
    auto const parsed = base::Capture([&] { return base::Decode<role_row>(row->mValue); });
    if (!base::Succeeded(parsed)) {
      base::Log("scheduling")
        ->error("Cannot decode row {} as a scheduler role: {}.", key, base::Error(parsed).mMessage);
      co_return;
    }
    value = std::get<0>(parsed);
  }
  mRole.ApplyRow(value, row ? row->mRevision : platform::kAbsent, base::Now());
  auto const write = mRole.DueWrite(base::Now());
  if (!write) {
    co_return;
  }
  platform::table_transaction transaction{ .mAttempt = base::RandomIdentifier(), .mWrites = {} };
  transaction.mWrites.push_back({ .mKey = key,
                                  .mValue = base::Encode(write->mRow),
                                  .mExpectedRevision = write->mExpectedRevision });
  auto const written =
    co_await platform::Commit(mTable, std::move(transaction), kRoleCommitTimeout);
  if (*aliveFlag && base::Succeeded(written)) {
    mRole.ApplyWrite(*write, write->mExpectedRevision + 1, base::Now());
  }
}

asio::awaitable<void> scheduler_service::LoadJobs(alive aAlive)
{
  auto const held = mRole.Term();
  auto const jobs = co_await mStore.ReadAll();
  if (!*aAlive) {
    co_return;
  }
  auto const now = base::Now();
  mIsLoading = false;
  if (!mRole.Holds() || mRole.Term() != held) {
    co_return;
  }
  if (!base::Succeeded(jobs)) {
    mLoadFailed = true;
    mNextReload = now + kReloadRetryDelay;
    co_return;
  }
  mIsLoaded = true;
  mNextReload = now + kReloadInterval;
  for (auto const& each : std::get<0>(jobs)) {
    if (IsOwn(each)) {
      mRegistry.Put(each, now);
    }
  }
  Flush();
  auto const endOfRetention = base::WallClockMilliseconds() - mOptions.mEndedRetention.count();
  auto const removed = co_await mStore.RemoveEnded(std::get<0>(jobs), endOfRetention);
  if (!*aAlive) {
    co_return;
  }
  for (auto const& id : removed) {
    mRegistry.Remove(id);
  }
}

} // namespace rattanpond::scheduling
