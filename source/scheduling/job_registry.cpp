#include "scheduling/job_registry.h"

#include "base/time.h"

#include <algorithm>
#include <utility>

namespace rattanpond::scheduling {

namespace {

// Limits the history of a job that is preempted repeatedly; only the latest events are kept.
constexpr std::size_t kMaximumHistoryEvents = 64;

std::string_view StopReason(placement::stop_reason aReason)
{
  switch (aReason) {
    case placement::stop_reason::reclaim:
      return "preempted: reclaimed by the owner of the guarantee";
    case placement::stop_reason::domain_out:
      return "preempted: the failure domain is taken out of service";
    case placement::stop_reason::defragment:
      return "preempted: moved to free a larger shape";
    case placement::stop_reason::worker_lost:
      return "preempted: a worker is lost";
    case placement::stop_reason::urgent:
      return "preempted: urgent work";
  }
  return "preempted";
}

std::string_view EndReason(gang_end aEnd)
{
  switch (aEnd) {
    case gang_end::not_placed:
      return "not placed";
    case gang_end::lost:
      return "lost";
    case gang_end::failed:
      return "failed";
    default:
      return "stopped";
  }
}

} // namespace

job_registry::job_registry(options aOptions)
  : mOptions{ aOptions }
{
}

void job_registry::Put(job const& aJob, base::time_point aNow)
{
  auto const [found, isNew] = mEntries.try_emplace(aJob.mId);
  auto& known = found->second;
  mChanges.mIsDecisionDue = true;
  if (isNew) {
    known.mJob = aJob;
    auto const age =
      std::max<std::int64_t>(0, base::WallClockMilliseconds() - aJob.mSubmittedWallMilliseconds);
    known.mSubmitted = aNow - base::milliseconds{ age };
    known.mWaitingSince = known.mSubmitted;
    return;
  }
  if (IsFinal(known.mJob.mState)) {
    return;
  }
  if (IsFinal(aJob.mState)) {
    known.mJob = aJob;
    if (known.mGang) {
      QueueOrders(known,
                  known.mGang->Stop(std::string{ kCancelled } + ": the job has ended", aNow));
      UpdateState(known, aNow);
    }
    return;
  }
  known.mJob.mAttempt = std::max(known.mJob.mAttempt, aJob.mAttempt);
  if (known.mIsFromAgents) {
    known.mIsFromAgents = false;
    auto& history = known.mJob.mHistory;
    history.insert(history.begin(), aJob.mHistory.begin(), aJob.mHistory.end());
  }
}

void job_registry::PutTentative(job const& aJob, base::time_point aNow)
{
  auto const isNew = !mEntries.contains(aJob.mId);
  Put(aJob, aNow);
  if (isNew) {
    mEntries.at(aJob.mId).mIsTentative = true;
  }
}

void job_registry::Confirm(std::string const& aJob)
{
  if (auto const found = mEntries.find(aJob); found != mEntries.end()) {
    found->second.mIsTentative = false;
    mChanges.mChangedJobs.insert(aJob);
  }
}

void job_registry::Remove(std::string const& aJob)
{
  auto const found = mEntries.find(aJob);
  if (found != mEntries.end() && IsFinal(found->second.mJob.mState) && !found->second.mGang) {
    mEntries.erase(found);
  }
}

void job_registry::Withdraw(std::string const& aJob, base::time_point aNow)
{
  auto const found = mEntries.find(aJob);
  if (found == mEntries.end() || !found->second.mIsTentative) {
    return;
  }
  if (found->second.mGang) {
    QueueOrders(found->second,
                found->second.mGang->Stop(std::string{ kCancelled } + ": not accepted", aNow));
  }
  mEntries.erase(found);
}

bool job_registry::Cancel(std::string const& aJob, base::time_point aNow)
{
  auto const found = mEntries.find(aJob);
  if (found == mEntries.end()) {
    return false;
  }
  auto& known = found->second;
  if (IsFinal(known.mJob.mState)) {
    return true;
  }
  SetState(known, job_state::cancelled, "cancelled by the caller");
  if (known.mGang) {
    QueueOrders(known, known.mGang->Stop(std::string{ kCancelled } + " by the caller", aNow));
    UpdateState(known, aNow);
  }
  return true;
}

void job_registry::EndRecovery(base::time_point aNow)
{
  for (auto& [id, known] : mEntries) {
    auto const state = known.mJob.mState;
    if (!known.mGang && !IsFinal(state) && state != job_state::parked &&
        state != job_state::queued) {
      Requeue(known, "no agent reported the gang after the takeover", aNow);
    }
  }
}

void job_registry::OnReserveReply(reserve_reply const& aReply, base::time_point aNow)
{
  auto const found = mEntries.find(aReply.mGang.mJob);
  if (found == mEntries.end() || !found->second.mGang ||
      found->second.mGang->Description().Id() != aReply.mGang) {
    return;
  }
  QueueOrders(found->second, found->second.mGang->OnReserveReply(aReply, aNow));
  UpdateState(found->second, aNow);
}

void job_registry::Reported(task_report const& aReport, base::time_point aNow)
{
  std::set<gang_id> present;
  for (auto const& part : aReport.mGangs) {
    if (part.mGang.Find(aReport.mWorker) != nullptr) {
      present.insert(part.mGang.Id());
      ApplyPartReport(aReport.mWorker, part, aNow);
    }
  }
  for (auto& [id, known] : mEntries) {
    if (known.mGang && !present.contains(known.mGang->Description().Id())) {
      QueueOrders(known, known.mGang->OnGangMissing(aReport.mWorker, aNow));
      UpdateState(known, aNow);
    }
  }
}

void job_registry::ApplyPartReport(std::string const& aWorker, part_report const& aPart,
                                   base::time_point aNow)
{
  auto const gang = aPart.mGang.Id();
  auto const isOver = IsOver(aPart.mState);
  if (!mEntries.contains(gang.mJob)) {
    if (isOver && aPart.mReason.starts_with(kCancelled)) {
      return;
    }
    // The row may not be written yet; the reported gang description contains the whole job.
    Put(aPart.mGang.mJob, aNow);
    mEntries.at(gang.mJob).mIsFromAgents = true;
    mChanges.mChangedJobs.insert(gang.mJob);
  }
  auto& known = mEntries.at(gang.mJob);
  auto const current = known.mGang ? known.mGang->Description().mJob.mAttempt : 0;
  if (known.mGang && current == gang.mAttempt &&
      known.mGang->Description().mRoster == aPart.mGang.mRoster) {
    QueueOrders(known, known.mGang->Reported(aWorker, aPart, aNow));
    UpdateState(known, aNow);
    return;
  }
  if (IsFinal(known.mJob.mState) || gang.mAttempt < current ||
      (known.mGang && gang.mAttempt == current) || IsOutdated(known, aPart)) {
    if (!isOver) {
      StopPart(aWorker, gang,
               known.mJob.mState == job_state::cancelled
                 ? std::string{ kCancelled }
                 : std::string{ "superseded by another attempt of the job" });
    }
    return;
  }
  AdoptGang(known, aPart.mGang, aNow);
  QueueOrders(known, known.mGang->Reported(aWorker, aPart, aNow));
  UpdateState(known, aNow);
}

bool job_registry::IsOutdated(entry const& aEntry, part_report const& aPart) const
{
  auto const attempt = aPart.mGang.mJob.mAttempt;
  if (attempt <= aEntry.mEndedAttempt || attempt < aEntry.mJob.mAttempt) {
    return true;
  }
  // An earlier scheduler has already processed this end and requeued the job.
  return !aEntry.mGang && attempt == aEntry.mJob.mAttempt && IsOver(aPart.mState) &&
         aPart.mState != member_state::finished &&
         (aEntry.mJob.mState == job_state::queued || aEntry.mJob.mState == job_state::parked);
}

void job_registry::AdoptGang(entry& aEntry, gang_description const& aGang, base::time_point aNow)
{
  if (aEntry.mGang) {
    // Two schedulers have placed the job; the gang with the higher attempt continues.
    for (auto const& member : aEntry.mGang->Description().mRoster) {
      StopPart(member.mWorker, aEntry.mGang->Description().Id(),
               "superseded by another attempt of the job");
    }
    aEntry.mEndedAttempt = aEntry.mGang->Description().mJob.mAttempt;
  }
  aEntry.mGang.emplace(gang_record::Adopt(aGang, mOptions.mTimings, aNow));
  aEntry.mJob.mAttempt = aGang.mJob.mAttempt;
  SetState(aEntry, job_state::starting, "adopted from an agent report");
}

void job_registry::StopPart(std::string const& aWorker, gang_id const& aGang, std::string aReason)
{
  mChanges.mOutgoingOrders.push_back(
    { .mAction = { .mOrder = gang_order::stop, .mWorker = aWorker, .mReason = std::move(aReason) },
      .mGang = aGang,
      .mDescription = {} });
}

void job_registry::WorkerLeft(std::string const& aWorker, base::time_point aNow)
{
  mChanges.mIsDecisionDue = true;
  for (auto& [id, known] : mEntries) {
    if (known.mGang) {
      known.mGang->WorkerLeft(aWorker, aNow);
    }
  }
}

void job_registry::WorkerJoined(std::string const& aWorker)
{
  mChanges.mIsDecisionDue = true;
  for (auto& [id, known] : mEntries) {
    if (known.mGang) {
      known.mGang->WorkerJoined(aWorker);
    }
  }
}

void job_registry::Apply(placement::decisions const& aDecisions, address_of const& aAddressOf,
                         base::time_point aNow)
{
  for (auto const& stop : aDecisions.mStops) {
    auto const found = mEntries.find(stop.mJob);
    if (found != mEntries.end() && found->second.mGang && !found->second.mGang->IsStopping()) {
      auto& known = found->second;
      QueueOrders(
        known, known.mGang->Preempt(stop.mNotice, std::string{ StopReason(stop.mReason) }, aNow));
      UpdateState(known, aNow);
    }
  }
  for (auto const& start : aDecisions.mStarts) {
    Start(start, aAddressOf, aNow);
  }
  for (auto const& park : aDecisions.mParks) {
    auto const found = mEntries.find(park.mJob);
    if (found != mEntries.end() && !found->second.mGang &&
        found->second.mJob.mState == job_state::queued) {
      SetState(found->second, job_state::parked, park.mReason);
    }
  }
}

void job_registry::Start(placement::start_gang const& aStart, address_of const& aAddressOf,
                         base::time_point aNow)
{
  auto const found = mEntries.find(aStart.mJob);
  if (found == mEntries.end() || found->second.mGang || IsFinal(found->second.mJob.mState)) {
    return;
  }
  auto& known = found->second;
  gang_description gang;
  std::uint32_t rank = 0;
  for (auto const& part : aStart.mParts) {
    auto address = aAddressOf(part.mWorker);
    if (address.empty() || part.mTasks == 0) {
      return;
    }
    gang.mRoster.push_back({ .mWorker = part.mWorker,
                             .mControlAddress = std::move(address),
                             .mFirstRank = rank,
                             .mTasks = part.mTasks });
    rank += part.mTasks;
  }
  if (rank != known.mJob.mSpecification.mTasks) {
    return;
  }
  ++known.mJob.mAttempt;
  gang.mJob = known.mJob;
  gang.mJob.mHistory.clear();
  gang.mTenure = aStart.mTenure;
  known.mGang.emplace(std::move(gang), mOptions.mTimings, aNow);
  QueueOrders(known, known.mGang->Reserve());
}

void job_registry::Tick(base::time_point aNow)
{
  for (auto& [id, known] : mEntries) {
    if (known.mGang) {
      QueueOrders(known, known.mGang->Tick(aNow));
      UpdateState(known, aNow);
    }
  }
}

void job_registry::FillState(placement::cluster_state& aState, base::time_point aNow) const
{
  for (auto const& [id, known] : mEntries) {
    auto const& specification = known.mJob.mSpecification;
    if (known.mGang) {
      auto running = RunningGang(known, aNow);
      auto const found = aState.mContracts.find(specification.mWorkspace);
      running.mUrgency =
        found == aState.mContracts.end() ? placement::urgency::normal : found->second.mUrgency;
      aState.mRunning[id] = std::move(running);
    } else if (!IsFinal(known.mJob.mState) && aNow >= known.mNotBefore) {
      auto const found = aState.mContracts.find(specification.mWorkspace);
      auto const remaining = specification.mDeclaredRunTime - known.mJob.mCheckpointedWork;
      aState.mWaiting[id] = { .mJob = id,
                              .mWorkspace = specification.mWorkspace,
                              .mUrgency = found == aState.mContracts.end()
                                            ? placement::urgency::normal
                                            : found->second.mUrgency,
                              .mShape = specification.Shape(),
                              .mDeclaredRemaining = std::max(base::milliseconds{ 0 }, remaining),
                              .mSubmitted = known.mSubmitted,
                              .mWaitingSince = known.mWaitingSince };
    }
  }
}

placement::running_gang job_registry::RunningGang(entry const& aEntry, base::time_point aNow) const
{
  auto const& gang = *aEntry.mGang;
  auto const& specification = aEntry.mJob.mSpecification;
  auto const elapsed = aNow - gang.Started();
  auto const remaining = specification.mDeclaredRunTime - aEntry.mJob.mCheckpointedWork - elapsed;
  placement::running_gang running{ .mJob = aEntry.mJob.mId,
                                   .mWorkspace = specification.mWorkspace,
                                   .mShape = specification.Shape(),
                                   .mParts = {},
                                   .mTenure = gang.Description().mTenure,
                                   .mStarted = gang.Started(),
                                   .mLastCheckpoint = gang.Started(),
                                   .mDeclaredRemaining =
                                     std::max(base::milliseconds{ 0 }, remaining),
                                   .mIsStopping = gang.IsStopping(),
                                   .mStopsBy = gang.StopDeadline() };
  for (auto const& member : gang.Description().mRoster) {
    running.mParts.push_back({ .mWorker = member.mWorker, .mTasks = member.mTasks });
  }
  return running;
}

job_registry::changes job_registry::TakeChanges()
{
  return std::exchange(mChanges, {});
}

job_registry::entry const* job_registry::Find(std::string const& aJob) const
{
  auto const found = mEntries.find(aJob);
  return found == mEntries.end() ? nullptr : &found->second;
}

void job_registry::Clear()
{
  mEntries.clear();
  mChanges = {};
}

void job_registry::QueueOrders(entry const& aEntry, gang_record::actions aActions)
{
  if (aActions.empty()) {
    return;
  }
  std::shared_ptr<gang_description const> description;
  auto const gang = aEntry.mGang->Description().Id();
  for (auto& action : aActions) {
    if (action.mOrder == gang_order::reserve && !description) {
      description = std::make_shared<gang_description const>(aEntry.mGang->Description());
    }
    mChanges.mOutgoingOrders.push_back(
      { .mAction = std::move(action), .mGang = gang, .mDescription = description });
  }
}

void job_registry::UpdateState(entry& aEntry, base::time_point aNow)
{
  auto& gang = aEntry.mGang;
  if (!gang) {
    return;
  }
  if (gang->IsOver()) {
    EndGang(aEntry, aNow);
    return;
  }
  if (gang->Phase() == gang_phase::preempting) {
    SetState(aEntry, job_state::checkpointing, gang->Reason());
  } else if (gang->Phase() == gang_phase::live && gang->IsRunning()) {
    SetState(aEntry, job_state::running, "");
  } else if (gang->Phase() == gang_phase::committing) {
    // The row is updated only from the commit on, so a refused reservation, which is retried within
    // a second, is not written to the row.
    SetState(aEntry, job_state::starting, "");
  }
}

void job_registry::EndGang(entry& aEntry, base::time_point aNow)
{
  auto const gang = *aEntry.mGang;
  mChanges.mIsDecisionDue = true;
  if (gang.End() != gang_end::not_placed) {
    mChanges.mEndedGangs.push_back({ .mGang = RunningGang(aEntry, aNow),
                                     .mEnd = gang.End(),
                                     .mFailedWorker = gang.FailedWorker() });
    if (auto checkpoint = gang.CompleteCheckpoint(); !checkpoint.empty()) {
      aEntry.mJob.mCheckpoints = std::move(checkpoint);
      aEntry.mJob.mCheckpointedWork = gang.CheckpointedWork();
    }
  }
  aEntry.mEndedAttempt = gang.Description().mJob.mAttempt;
  aEntry.mGang.reset();
  if (IsFinal(aEntry.mJob.mState)) {
    return;
  }
  if (gang.End() == gang_end::finished) {
    SetState(aEntry, job_state::finished, "");
    return;
  }
  if (gang.End() == gang_end::failed) {
    ++aEntry.mFailures;
    aEntry.mFailedWorkers.insert(gang.FailedWorker());
    if (aEntry.mFailedWorkers.size() >= mOptions.mMaximumFailedWorkers ||
        aEntry.mFailures >= mOptions.mMaximumFailures) {
      SetState(aEntry, job_state::failed,
               "failed " + std::to_string(aEntry.mFailures) + " times, last on " +
                 gang.FailedWorker() + ": " + gang.Reason());
      return;
    }
  }
  Requeue(aEntry, std::string{ EndReason(gang.End()) } + ": " + gang.Reason(), aNow);
}

void job_registry::Requeue(entry& aEntry, std::string aReason, base::time_point aNow)
{
  if (aEntry.mJob.mState != job_state::queued) {
    aEntry.mWaitingSince = aNow;
  }
  SetState(aEntry, job_state::queued, std::move(aReason));
  aEntry.mNotBefore = aNow + mOptions.mRetryDelay;
}

void job_registry::SetState(entry& aEntry, job_state aState, std::string aReason)
{
  auto& known = aEntry.mJob;
  if (known.mState == aState || IsFinal(known.mState)) {
    return;
  }
  known.mState = aState;
  known.mHistory.push_back({ .mWallMilliseconds = base::WallClockMilliseconds(),
                             .mState = aState,
                             .mReason = std::move(aReason) });
  if (known.mHistory.size() > kMaximumHistoryEvents) {
    known.mHistory.erase(known.mHistory.begin());
  }
  if (!aEntry.mIsTentative) {
    mChanges.mChangedJobs.insert(known.mId);
  }
}

} // namespace rattanpond::scheduling
