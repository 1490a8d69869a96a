#include "scheduling/worker_service.h"

#include "base/logging.h"

#include <algorithm>

#include <boost/asio/post.hpp>

namespace rattanpond::scheduling {

namespace asio = boost::asio;
using base::result_code;

namespace {

constexpr base::milliseconds kTickInterval{ 50 };

// The amount of completed work changes continuously, but entries need it only to choose gangs to
// preempt.
constexpr base::milliseconds kProgressReportInterval{ 10'000 };

// Limits the size of the report of a worker on which every task fails: beyond this number, gangs
// are evicted sooner.
constexpr std::int64_t kRetainedEndedGangs = 64;

placement::task_shape Capacity(membership::worker_capacity const& aCapacity)
{
  return { .mAccelerators = aCapacity.mAccelerators,
           .mCores = aCapacity.mCores,
           .mMemoryMebibytes = aCapacity.mMemoryMebibytes };
}

} // namespace

worker_service::worker_service(asio::io_context& aContext, platform::task_runner& aRunner,
                               options aOptions)
  : mContext{ aContext }
  , mOptions{ std::move(aOptions) }
  , mLedger{ Capacity(mOptions.mTarget.mCapacity) }
  , mPeers{ aContext, mPeerDispatcher }
  , mDriver{ aContext,
             aRunner,
             mOptions.mTarget.mTarget,
             { .mStarted =
                 [this](gang_id const& aGang, std::uint32_t aTask, auto const& aReply) {
                   if (auto* const found = Find(aGang); found != nullptr && found->mMember) {
                     Apply(*found, found->mMember->OnTaskStarted(aTask, aReply, base::Now()));
                   }
                 },
               .mCheckpointed =
                 [this](gang_id const& aGang, std::uint32_t aTask, auto const& aReply) {
                   if (auto* const found = Find(aGang); found != nullptr && found->mMember) {
                     Apply(*found, found->mMember->OnTaskCheckpointed(aTask, aReply, base::Now()));
                   }
                 },
               .mStopAnswered = [this] { mDriver.Poll(); },
               .mFenced =
                 [this](gang_id const& aGang) {
                   base::Log("scheduling")
                     ->error(
                       "Another agent holds the tasks of gang {}/{}; this agent discards the gang.",
                       aGang.mJob, aGang.mAttempt);
                   mGangs.erase(aGang);
                   mDriver.RemoveGang(aGang);
                   mLedger.Free(aGang);
                 },
               .mListed =
                 [this](auto const& aTasks, base::time_point aRequestedAt) {
                   OnTasksListed(aTasks, aRequestedAt);
                 } } }
  , mTimer{ aContext }
  , mRandom{ std::random_device{}() }
{
  mPeerDispatcher.On<gang_grant>(
    [this](net::link_ptr const& aLink, gang_grant const& aMessage) { OnGrant(aLink, aMessage); });
  mPeerDispatcher.On<gang_break>(
    [this](net::link_ptr const&, gang_break const& aMessage) { OnBreak(aMessage); });
}

worker_service::~worker_service()
{
  *mAlive = false;
}

void worker_service::Register(net::frame_dispatcher& aDispatcher)
{
  aDispatcher.On<reserve>(
    [this](net::link_ptr const& aLink, reserve const& aMessage) { OnReserve(aLink, aMessage); });
  aDispatcher.On<commit>(
    [this](net::link_ptr const& aLink, commit const& aMessage) { OnCommit(aLink, aMessage); });
  aDispatcher.On<release>(
    [this](net::link_ptr const&, release const& aMessage) { OnRelease(aMessage); });
  aDispatcher.On<preempt>(
    [this](net::link_ptr const&, preempt const& aMessage) { OnPreempt(aMessage); });
  aDispatcher.On<stop_task>(
    [this](net::link_ptr const&, stop_task const& aMessage) { OnStop(aMessage); });
  aDispatcher.On<term_notice>([this](net::link_ptr const&, term_notice const& aMessage) {
    if (aMessage.mRegion == mOptions.mTarget.mRegion) {
      mLedger.Admit(aMessage.mTerm);
    }
  });
  aDispatcher.On<gang_heartbeat>(
    [this](net::link_ptr const& aLink, gang_heartbeat const& aMessage) {
      OnHeartbeat(aLink, aMessage);
    });
}

void worker_service::Register(base::state_dump& aDump)
{
  aDump.Register("worker", [this] { return Dump(); });
}

void worker_service::Attach(membership::entry_links& aEntries)
{
  mEntries = &aEntries;
  aEntries.OnOpen([this](net::link_ptr const& aLink) {
    // Before the adoption the report is empty, and an entry would conclude that the worker has lost
    // its gangs.
    if (mHasAdopted) {
      aLink->Send(FullReport());
    }
  });
}

void worker_service::Start()
{
  mDriver.Poll();
  Tick();
}

std::size_t worker_service::ActiveGangs() const
{
  return static_cast<std::size_t>(
    std::ranges::count_if(mGangs, [](auto const& aEntry) { return !aEntry.second.mClosedAt; }));
}

void worker_service::OnReserve(net::link_ptr const& aLink, reserve const& aMessage)
{
  aLink->Send(reserve_reply{ .mGang = aMessage.mGang.Id(),
                             .mWorker = mOptions.mTarget.mTarget,
                             .mStage = reserve_stage::reserve,
                             .mCode = Reserve(aMessage),
                             .mHighestTerm = mLedger.HighestTerm() });
}

result_code worker_service::Reserve(reserve const& aMessage)
{
  if (!mHasAdopted || aMessage.mGang.Find(mOptions.mTarget.mTarget) == nullptr) {
    return result_code::no_target;
  }
  if (mIsDraining) {
    return result_code::target_draining;
  }
  auto const gang = aMessage.mGang.Id();
  auto const code =
    mLedger.Reserve(aMessage.mTerm, gang, Demand(aMessage.mGang), aMessage.mExpiry, base::Now());
  if (code == result_code::ok) {
    mGangs.try_emplace(gang).first->second.mDescription = aMessage.mGang;
  }
  return code;
}

void worker_service::OnCommit(net::link_ptr const& aLink, commit const& aMessage)
{
  auto const code = mLedger.Commit(aMessage.mTerm, aMessage.mGang, base::Now());
  aLink->Send(reserve_reply{ .mGang = aMessage.mGang,
                             .mWorker = mOptions.mTarget.mTarget,
                             .mStage = reserve_stage::commit,
                             .mCode = code,
                             .mHighestTerm = mLedger.HighestTerm() });
  auto* const found = Find(aMessage.mGang);
  if (code == result_code::ok && found != nullptr && !found->mMember) {
    CreateMember(*found, gang_origin::committed, {});
  }
}

void worker_service::OnRelease(release const& aMessage)
{
  if (mLedger.Release(aMessage.mTerm, aMessage.mGang) == result_code::ok &&
      !mLedger.IsCommitted(aMessage.mGang)) {
    if (auto const* const found = Find(aMessage.mGang); found != nullptr && !found->mMember) {
      mGangs.erase(aMessage.mGang);
    }
  }
}

void worker_service::OnPreempt(preempt const& aMessage)
{
  auto* const found = Find(aMessage.mGang);
  if (mLedger.Admit(aMessage.mTerm) && found != nullptr && found->mMember) {
    Apply(*found, found->mMember->Preempt(aMessage.mNotice, aMessage.mReason, base::Now()));
  }
}

void worker_service::OnStop(stop_task const& aMessage)
{
  auto* const found = Find(aMessage.mGang);
  if (mLedger.Admit(aMessage.mTerm) && found != nullptr && found->mMember) {
    Apply(*found, found->mMember->Stop(aMessage.mReason, base::Now()));
  }
}

void worker_service::OnHeartbeat(net::link_ptr const& aLink, gang_heartbeat const& aMessage)
{
  auto* const found = Find(aMessage.mGang);
  if (found != nullptr && found->mCoordinator) {
    if (aLink) {
      found->mLinks[aMessage.mWorker] = aLink;
    }
    Deliver(*found, found->mCoordinator->ApplyHeartbeat(aMessage, base::Now()));
    return;
  }
  // While the gang forms, the commit may not have reached this agent yet. Once the member's tasks
  // run, it must have.
  auto const mayForm =
    aMessage.mState == member_state::waiting || aMessage.mState == member_state::gate_closed;
  if (found == nullptr && mHasAdopted && !mayForm && aLink) {
    aLink->Send(gang_break{ .mGang = aMessage.mGang,
                            .mCause = break_cause::broken,
                            .mReason = "the coordinator has no record of the gang" });
  }
}

void worker_service::OnGrant(net::link_ptr const& aLink, gang_grant const& aMessage)
{
  auto* const found = Find(aMessage.mGang);
  if (found == nullptr || !found->mMember) {
    if (mHasAdopted && aLink) {
      aLink->Send(gang_heartbeat{
        .mGang = aMessage.mGang, .mWorker = mOptions.mTarget.mTarget, .mReason = {} });
    }
    return;
  }
  Apply(*found, found->mMember->Grant(aMessage, Gate(), base::Now()));
  if (found->mLastRound != aMessage.mRound) {
    found->mLastRound = aMessage.mRound;
    if (found->mMember->RequiresTaskList()) {
      mDriver.Poll();
    } else {
      SendHeartbeat(*found);
    }
  }
}

void worker_service::OnBreak(gang_break const& aMessage)
{
  auto* const found = Find(aMessage.mGang);
  if (found == nullptr || !found->mMember) {
    return;
  }
  Apply(*found, found->mMember->Break(aMessage, base::Now()));
  CloseIfEnded(*found);
}

void worker_service::CreateMember(hosted_gang& aGang, gang_origin aOrigin,
                                  std::vector<platform::task_phase> const& aPhases)
{
  auto const& roster = aGang.mDescription.mRoster;
  auto const* const part = aGang.mDescription.Find(mOptions.mTarget.mTarget);
  auto const now = base::Now();
  gang_member::options memberOptions{ .mGang = aGang.mDescription.Id(),
                                      .mWorker = mOptions.mTarget.mTarget,
                                      .mTasks = part->mTasks,
                                      .mIsWholeGang = roster.size() == 1,
                                      .mTimings = mOptions.mTimings,
                                      .mFirstHeartbeatNumber = mRandom() >> 1U };
  aGang.mMember.emplace(aOrigin == gang_origin::adopted
                          ? gang_member::Adopt(std::move(memberOptions), aPhases, now)
                          : gang_member{ std::move(memberOptions), now });
  if (roster.front().mWorker == mOptions.mTarget.mTarget) {
    gang_coordinator::options coordinatorOptions{ .mGang = aGang.mDescription.Id(),
                                                  .mWorkers = {},
                                                  .mTimings = mOptions.mTimings,
                                                  .mFirstRound = mRandom() >> 1U,
                                                  .mOrigin = aOrigin };
    for (auto const& member : roster) {
      coordinatorOptions.mWorkers.push_back(member.mWorker);
    }
    aGang.mCoordinator.emplace(std::move(coordinatorOptions), now);
  }
  TickGang(aGang, Gate(), now);
}

void worker_service::OnTasksListed(std::vector<platform::runner_task> const& aTasks,
                                   base::time_point aRequestedAt)
{
  if (!mHasAdopted) {
    Adopt(aTasks);
    return;
  }
  std::map<std::string, platform::runner_task const*> byName;
  for (auto const& task : aTasks) {
    byName[task.mTask] = &task;
  }
  for (auto& [id, hosted] : mGangs) {
    if (hosted.mMember && !IsOver(hosted.mMember->State())) {
      Observe(hosted, byName, aRequestedAt);
    }
  }
  Report();
}

void worker_service::Observe(hosted_gang& aGang,
                             std::map<std::string, platform::runner_task const*> const& aTasks,
                             base::time_point aRequestedAt)
{
  auto const* const part = aGang.mDescription.Find(mOptions.mTarget.mTarget);
  aGang.mWork.resize(part->mTasks);
  aGang.mCheckpointedWork.resize(part->mTasks);
  for (std::uint32_t index = 0; index < part->mTasks; ++index) {
    auto const name = runner_driver::TaskName(aGang.mDescription.Id(), part->mFirstRank + index);
    std::optional<platform::task_phase> phase;
    if (auto const found = aTasks.find(name); found != aTasks.end()) {
      phase = found->second->mPhase;
      aGang.mWork[index] = found->second->mWork;
      aGang.mCheckpointedWork[index] = found->second->mCheckpointedWork;
    }
    Apply(aGang, aGang.mMember->OnTaskObserved(index, phase, aRequestedAt, base::Now()));
  }
  aGang.mMember->OnTasksListed(aRequestedAt);
  if (aGang.mMember->IsHeartbeatDue(base::Now())) {
    SendHeartbeat(aGang);
  }
}

void worker_service::Adopt(std::vector<platform::runner_task> const& aTasks)
{
  std::map<gang_id, gang_description> descriptions;
  std::map<gang_id, std::map<std::uint32_t, platform::runner_task>> tasks;
  for (auto const& task : aTasks) {
    auto owner = base::Capture([&] { return base::Decode<task_owner>(task.mMetadata); });
    if (!base::Succeeded(owner)) {
      base::Log("scheduling")
        ->warn("The metadata of task {} names no gang; the agent does not adopt the task.",
               task.mTask);
      continue;
    }
    auto& decoded = std::get<0>(owner);
    auto const gang = decoded.mGang.Id();
    tasks[gang][decoded.mRank] = task;
    descriptions.try_emplace(gang, std::move(decoded.mGang));
  }
  mHasAdopted = true;
  for (auto const& [gang, description] : descriptions) {
    AdoptGang(description, tasks[gang]);
  }
  mIsReportDue = true;
  Report();
}

void worker_service::AdoptGang(gang_description const& aGang,
                               std::map<std::uint32_t, platform::runner_task> const& aTasks)
{
  auto const* const part = aGang.Find(mOptions.mTarget.mTarget);
  if (part == nullptr) {
    return;
  }
  std::vector<platform::task_phase> phases;
  for (std::uint32_t index = 0; index < part->mTasks; ++index) {
    auto const rank = part->mFirstRank + index;
    auto const found = aTasks.find(rank);
    phases.push_back(found == aTasks.end() ? platform::task_phase::stopped : found->second.mPhase);
    if (found != aTasks.end()) {
      mDriver.Adopt(aGang.Id(), rank, found->second.mFence);
    }
  }
  base::Log("scheduling")
    ->info("Adopted {} tasks of gang {}/{}.", aTasks.size(), aGang.mJob.mId, aGang.mJob.mAttempt);
  auto& adopted = mGangs[aGang.Id()];
  adopted.mDescription = aGang;
  // Tasks that ended under the previous agent process hold no resources, but their gang may still
  // wait for the report of their end.
  auto const isRunning = std::ranges::any_of(phases, [](platform::task_phase aPhase) {
    return aPhase == platform::task_phase::running || aPhase == platform::task_phase::checkpointing;
  });
  if (isRunning) {
    mLedger.Adopt(aGang.Id(), Demand(aGang));
  }
  CreateMember(adopted, gang_origin::adopted, phases);
}

void worker_service::Apply(hosted_gang& aGang, gang_member::actions const& aActions)
{
  mDriver.Run(aGang.mDescription, aActions);
  if (aGang.mMember->State() != aGang.mReportedState) {
    aGang.mReportedState = aGang.mMember->State();
    mIsReportDue = true;
    // Sent immediately, so that the coordinator acts on the change without waiting for the next
    // heartbeat.
    SendHeartbeat(aGang);
  }
}

void worker_service::Deliver(hosted_gang& aGang,
                             std::vector<gang_coordinator::order> const& aOrders)
{
  for (auto const& order : aOrders) {
    std::visit(
      [&](auto const& aMessage) {
        using message = std::decay_t<decltype(aMessage)>;
        if (order.mWorker == mOptions.mTarget.mTarget) {
          asio::post(mContext, [this, aMessage, alive = mAlive] {
            if (!*alive) {
              return;
            }
            if constexpr (std::same_as<message, gang_grant>) {
              OnGrant({}, aMessage);
            } else {
              OnBreak(aMessage);
            }
          });
        } else if (auto const link = aGang.mLinks.find(order.mWorker); link != aGang.mLinks.end()) {
          link->second->Send(aMessage);
        }
      },
      order.mMessage);
  }
}

void worker_service::SendHeartbeat(hosted_gang& aGang)
{
  auto const heartbeat = aGang.mMember->NextHeartbeat(base::Now());
  auto const& first = aGang.mDescription.mRoster.front();
  if (first.mWorker != mOptions.mTarget.mTarget) {
    mPeers.Send(first.mControlAddress, heartbeat);
    return;
  }
  asio::post(mContext, [this, heartbeat, alive = mAlive] {
    if (*alive) {
      OnHeartbeat({}, heartbeat);
    }
  });
}

void worker_service::CloseIfEnded(hosted_gang& aGang)
{
  auto const now = base::Now();
  if (aGang.mClosedAt || !aGang.mMember->IsClosed()) {
    return;
  }
  aGang.mClosedAt = now;
  mIsReportDue = true;
  auto const id = aGang.mDescription.Id();
  mLedger.Free(id);
  mDriver.RemoveGang(id);
  base::Log("scheduling")
    ->info("Gang {}/{} closed on this worker in state {}{}{}.", id.mJob, id.mAttempt,
           base::Name(aGang.mMember->State()), aGang.mMember->Reason().empty() ? "" : ": ",
           aGang.mMember->Reason());
}

void worker_service::Tick()
{
  auto const now = base::Now();
  auto const gateState = Gate();
  for (auto const& expired : mLedger.Expire(now)) {
    mGangs.erase(expired);
  }
  for (auto& [id, hosted] : mGangs) {
    if (hosted.mMember) {
      TickGang(hosted, gateState, now);
    }
  }
  EvictEndedGangs(now);
  if (now >= mNextPoll && (!mHasAdopted || ActiveGangs() > 0)) {
    mNextPoll = now + mOptions.mPollPeriod;
    mDriver.Poll();
  }
  if (now >= mNextReport && ActiveGangs() > 0) {
    mIsReportDue = true;
  }
  mPeers.Expire(now);
  Report();
  mTimer.expires_after(kTickInterval);
  mTimer.async_wait([this, alive = mAlive](boost::system::error_code aFailure) {
    if (!aFailure && *alive) {
      Tick();
    }
  });
}

void worker_service::EvictEndedGangs(base::time_point aNow)
{
  auto const ended = static_cast<std::int64_t>(mGangs.size() - ActiveGangs());
  auto retention = mOptions.mOutcomeRetention;
  if (ended > kRetainedEndedGangs) {
    retention = retention * kRetainedEndedGangs / (ended * 2);
  }
  std::erase_if(mGangs, [&](auto const& aEntry) {
    auto const& closed = aEntry.second.mClosedAt;
    auto const& coordinator = aEntry.second.mCoordinator;
    return closed && aNow - *closed > retention && (!coordinator || coordinator->IsDone(aNow));
  });
}

void worker_service::TickGang(hosted_gang& aGang, gate aGate, base::time_point aNow)
{
  auto& member = *aGang.mMember;
  Apply(aGang, member.Tick(aGate, aNow));
  auto& coordinator = aGang.mCoordinator;
  if (coordinator && !coordinator->IsDone(aNow)) {
    Deliver(aGang, coordinator->Tick(aNow));
  }
  if (!aGang.mClosedAt && member.IsHeartbeatDue(aNow)) {
    SendHeartbeat(aGang);
  }
  CloseIfEnded(aGang);
}

void worker_service::Report()
{
  if (!mIsReportDue || mEntries == nullptr || !mHasAdopted) {
    return;
  }
  mIsReportDue = false;
  mNextReport = base::Now() + kProgressReportInterval;
  mEntries->Broadcast(FullReport());
}

task_report worker_service::FullReport() const
{
  task_report report{ .mWorker = mOptions.mTarget.mTarget, .mGangs = {} };
  for (auto const& [id, hosted] : mGangs) {
    if (hosted.mMember) {
      report.mGangs.push_back(hosted.Report());
    }
  }
  return report;
}

gate worker_service::Gate() const
{
  return base::Succeeded(base::Capture(mOptions.mMayStart)) ? gate::open : gate::closed;
}

hosted_gang* worker_service::Find(gang_id const& aGang)
{
  auto const found = mGangs.find(aGang);
  return found == mGangs.end() ? nullptr : &found->second;
}

placement::task_shape worker_service::Demand(gang_description const& aGang) const
{
  auto const& specification = aGang.mJob.mSpecification;
  auto const tasks = aGang.Find(mOptions.mTarget.mTarget)->mTasks;
  return { .mAccelerators = specification.mAcceleratorsPerTask * tasks,
           .mCores = specification.mCoresPerTask * tasks,
           .mMemoryMebibytes = specification.mMemoryMebibytesPerTask * tasks };
}

base::json worker_service::Dump() const
{
  auto gangs = base::json::array();
  for (auto const& [id, hosted] : mGangs) {
    auto entry = base::Encode(id);
    entry["state"] = hosted.mMember ? base::Name(hosted.mMember->State()) : "reserved";
    entry["reason"] = hosted.mMember ? hosted.mMember->Reason() : "";
    entry["coordinates"] = hosted.mCoordinator.has_value();
    gangs.push_back(std::move(entry));
  }
  auto const used = mLedger.Used();
  return { { "highest_term", base::Encode(mLedger.HighestTerm()) },
           { "gate", Gate() == gate::open ? "open" : "closed" },
           { "accelerators_used", used.mAccelerators },
           { "accelerators", mLedger.Capacity().mAccelerators },
           { "gangs", std::move(gangs) } };
}

} // namespace rattanpond::scheduling
