#include "dispatch/scheduler.h"

#include "base/logging.h"
#include "dispatch/attempt_limit.h"
#include "dispatch/departure_decision.h"
#include "dispatch/lease_timing.h"
#include "dispatch/run_progress.h"

#include <algorithm>

namespace rattanpond::dispatch {

using base::milliseconds;

namespace {

/// A start whose result does not arrive within this time is resolved by a stop. A side agent makes
/// at most three attempts of 400 ms.
constexpr milliseconds kStartTimeout{ 2500 };
/// A stop whose result does not arrive within this time is sent again.
constexpr milliseconds kStopTimeout{ 1500 };
/// Stalls are detected only with reports no older than this; side agents report every second while
/// their worker has runs.
constexpr milliseconds kMaximumReportAge{ 1500 };
/// Sequence numbers of reports begin at 1.
constexpr std::uint64_t kNoReport = 0;
/// After a refused start, nothing is started on the worker for about the time in which a stop frees
/// resources.
constexpr milliseconds kRefusalBackoff{ 400 };
/// Checkpoints of a job are stored once this much of its work, in core-seconds, would be lost if
/// the scheduler and the workers failed. A worker with eight accelerators does as much in 2 to 3 s.
constexpr double kUnsavedWorkLimit = 250.0;
constexpr milliseconds kCheckpointsInterval{ 2000 };
/// Log interval, and number of runs logged each time, for runs whose end is overdue.
constexpr milliseconds kOverdueLogInterval{ 5000 };
constexpr std::int64_t kOverdueRunsLogged = 5;
/// A task that has waited this long although there is room for it is overdue: at the end of the
/// traffic the users count a job as lost that has nothing running for 3 s.
constexpr milliseconds kStartBound{ 3000 };
/// Commands and checkpoints of one message with orders, in bytes; further starts follow in messages
/// of their own, as a link refuses messages above a size.
constexpr std::size_t kOrderBytes = 1024 * 1024;
/// Interval of the scan for overdue starts, and number of groups logged, and kept for the state
/// dump.
constexpr milliseconds kStartScanInterval{ 1000 };
constexpr std::size_t kOverdueStartsLogged = 5;
constexpr std::size_t kOverdueStartsKept = 20;

std::string RunKey(std::string const& aTask, std::uint32_t aRun)
{
  return aTask + '/' + std::to_string(aRun);
}

/// Progress of a gang member that has finished its share, in percent.
constexpr std::int64_t kFinishedPercent = 100;

/// Time of the last progress for stall detection. A gang member that has finished its share waits
/// for the others and is stalled only if none of them progresses. A member that has not started to
/// progress does not wait for members that do.
base::time_point LastProgress(job_record const& aJob, task_position const& aPosition,
                              tracked_task const& aTask)
{
  auto last = aTask.mProgressAt;
  if (aJob.Step(aPosition).mIsGang && aTask.mProgress >= kFinishedPercent) {
    for (auto const& member : aJob.Tasks(aPosition.mOccurrence, aPosition.mStep)) {
      last = std::max(last, member.mProgressAt);
    }
  }
  return last;
}

/// Formats the elapsed time for the log; the start of an adopted run is unknown until its worker
/// lists it.
std::string TimeSince(base::time_point aStart, base::time_point aNow)
{
  return aStart == base::time_point{} ? "unknown" : std::to_string((aNow - aStart).count());
}

/// Whether the successor of a worker's incarnation receives calls that are meant for a run on it:
/// they name the identifier only. aFormer: the last report before the successor's.
bool MayReceiveCallsFor(task_state const& aRun, side_report const& aFormer,
                        std::optional<std::string> const& aSuccessor)
{
  auto const& identifier = aRun.mIdentifier.empty() ? aFormer.mWorker : aRun.mIdentifier;
  return aSuccessor && (identifier.empty() || identifier == *aSuccessor);
}

} // namespace

void scheduler::HandleFrame(std::string const& aNode, net::link_ptr const& aLink, net::frame aFrame)
{
  auto const found = mSessions.find(aNode);
  if (found == mSessions.end() || aFrame.mType != side_report::kType) {
    return;
  }
  auto decoded = base::Capture([&] { return net::DecodeMessage<side_report>(aFrame); });
  if (!base::Succeeded(decoded)) {
    base::Log("scheduler")
      ->warn("report-unreadable node={} reason={}", aNode, base::Error(decoded).mMessage);
    aLink->Close(base::Error(decoded));
    return;
  }
  found->second->mLink = aLink;
  HandleReport(*found->second, std::get<0>(std::move(decoded)));
}

void scheduler::HandleReport(session& aSession, side_report aReport)
{
  auto const now = base::Now();
  auto const hasChanged = aReport.mState != aSession.mReport.mState ||
                          aReport.mIncarnationStart != aSession.mReport.mIncarnationStart ||
                          !aSession.mHasReport;
  if (hasChanged) {
    base::Log("scheduler")
      ->info("worker node={} worker={} born={} state={}", aSession.mNode, aReport.mWorker,
             aReport.mIncarnationStart, base::Name(aReport.mState));
  }
  if (aReport.mIncarnationStart > aSession.mReport.mIncarnationStart) {
    ReplaceIncarnation(aSession, aReport.mIncarnationStart, aReport.mWorker);
  }
  auto const wasSilent =
    !aSession.mReport.mHasRunLists || now - aSession.mReportedAt > kMaximumReportAge;
  if (aReport.mHasRunLists && wasSilent) {
    aSession.mListedSince = now;
  }
  aSession.mHasReport = true;
  aSession.mReportedAt = now;
  mLeases.try_emplace(aSession.mNode, NewLeaseEvidence(aSession.mNode))
    .first->second.RecordReport(
      { .mIncarnationStart = aReport.mIncarnationStart,
        .mIsLeaseOver = aReport.mState == worker_state::absent && aReport.mLeaseLeft.count() == 0 },
      now);
  if (!mSilentSides.MayAnswer(aSession.mNode)) {
    mSilentSides.Remove(aSession.mNode);
    StoreSilentSides();
  }
  aSession.mReport = std::move(aReport);
  auto const& report = aSession.mReport;
  std::set<std::string> listed;
  for (auto const& run : report.mRunning) {
    listed.insert(RunKey(run.mTask, run.mRun));
  }
  for (auto const& run : report.mEnded) {
    listed.insert(RunKey(run.mTask, run.mRun));
  }
  aSession.mStopLimiter.KeepOnly(listed);
  SettleStarts(aSession, listed);
  ApplyEnds(aSession);
  ApplyRunning(aSession);
  ApplyResults(aSession, listed);
  if (report.mState == worker_state::gone) {
    // All runs end when the worker leaves; the run ends that it listed before are applied first.
    ReplaceIncarnation(aSession, report.mIncarnationStart + 1, std::nullopt);
  }
  if (report.mHasRunLists) {
    StopUnlistedRuns(aSession, listed);
    ControlPace(aSession, now);
  }
  if (hasChanged) {
    SettleSuspectedCrashes(now);
  }
  SchedulePlanning();
  SendOrders(aSession);
}

void scheduler::ReplaceIncarnation(session& aSession, std::int64_t aIncarnationStart,
                                   std::optional<std::string> const& aSuccessor)
{
  aSession.mEnds = {};
  auto const isInDoubt = [&](tracked_task const& aTask) {
    return MayReceiveCallsFor(aTask.mState, aSession.mReport, aSuccessor) &&
           !aTask.mIsStartSettled && aTask.mRunStatus != run_status::planned;
  };
  // A worker that announced its departure is not lost.
  auto const isAnnounced = aSession.mReport.mState == worker_state::draining ||
                           aSession.mReport.mState == worker_state::gone;
  if (!isAnnounced) {
    auto const hasCulprit = RecordCrash(
      aSession.mNode,
      [&](tracked_task const& aTask) {
        return aTask.mState.mWorkerIncarnationStart < aIncarnationStart;
      },
      [&](tracked_task const& aTask) { return !isInDoubt(aTask); });
    if (aSession.mHasReport && aSession.mReport.mIncarnationStart != 0 && !hasCulprit) {
      aSession.mHealth.Lost(base::Now());
    }
  }
  ReleaseLateStarts(aSession, aSuccessor);
  aSession.mHealth.Replaced();
  aSession.mStopLimiter = {};
  aSession.mPace = {};
  ForEachActiveTask([&](job_record& aJob, task_position const& aPosition, tracked_task& aTask) {
    if (aTask.mState.mWorker == aSession.mNode &&
        aTask.mState.mWorkerIncarnationStart < aIncarnationStart) {
      if (isInDoubt(aTask)) {
        CarryOver(aJob, aPosition, aIncarnationStart);
      } else {
        RequeueTask(aJob, aPosition, "the worker's incarnation is gone");
      }
    }
  });
}

void scheduler::CarryOver(job_record& aJob, task_position const& aPosition,
                          std::int64_t aIncarnationStart)
{
  auto& task = *aJob.Find(aPosition);
  auto const now = base::Now();
  base::Log("scheduler")
    ->info("run-in-doubt task={} run={} node={} born={} successor={} status={} age_ms={}",
           TaskName(aJob.Id(), aPosition), task.mState.mRun, task.mState.mWorker,
           task.mState.mWorkerIncarnationStart, aIncarnationStart, base::Name(task.mRunStatus),
           TimeSince(task.mStartedAt, now));
  mOptions.mMetrics.Counter("rattanpond_runs_in_doubt").Add();
  HoldForLateStart(aJob, aPosition);
  task.mState.mWorkerIncarnationStart = aIncarnationStart;
  task.mRunStatus = run_status::unconfirmed;
  task.mRunStatusSince = now;
  task.mEndUnknownSince = now;
  task.mIsOnProbation = false;
  mDirty.Insert(aJob.Id());
}

void scheduler::HoldForLateStart(job_record& aJob, task_position const& aPosition)
{
  auto& task = *aJob.Find(aPosition);
  // A side makes no call for an older order. A former holder may have sent one until the takeover.
  auto const orderedAt = task.mOrderedAt == base::time_point{} ? mHolderSince : task.mOrderedAt;
  auto const until =
    orderedAt + kMaximumOrderAge + mOptions.mSettings.mLateOrderBound + kLeaseExpiryMargin;
  auto const now = base::Now();
  auto const untilMs = mOptions.mStore.Clock().LatestStoreTime(until);
  if (until <= now || !untilMs || *untilMs <= task.mState.mLateStartUntilMs) {
    return;
  }
  task.mState.mLateStartUntilMs = *untilMs;
  mDirty.Insert(aJob.Id());
  mOptions.mMetrics.Counter("rattanpond_tasks_held_for_late_starts").Add();
  base::Log("scheduler")
    ->info("late-start-possible task={} run={} node={} for_ms={}", TaskName(aJob.Id(), aPosition),
           task.mState.mRun, task.mState.mWorker, (until - now).count());
}

bool scheduler::IsHeldForLateStart(task_state const& aTask, base::time_point aNow) const
{
  if (aTask.mLateStartUntilMs == 0) {
    return false;
  }
  auto const until = mOptions.mStore.Clock().LatestOwnTime(aTask.mLateStartUntilMs);
  return !until || aNow <= *until;
}

void scheduler::ReleaseLateStarts(session const& aSession,
                                  std::optional<std::string> const& aSuccessor)
{
  for (auto const& entry : mOptions.mReplica.Jobs()) {
    auto& job = *entry.second;
    if (IsFinal(job.Phase())) {
      continue;
    }
    job.ForEachTask([&](task_position const&, tracked_task& aTask) {
      if (aTask.mState.mLateStartUntilMs != 0 && aTask.mState.mWorker == aSession.mNode &&
          !MayReceiveCallsFor(aTask.mState, aSession.mReport, aSuccessor)) {
        aTask.mState.mLateStartUntilMs = 0;
        mDirty.Insert(job.Id());
      }
    });
  }
}

void scheduler::SettleStarts(session& aSession, std::set<std::string> const& aListed)
{
  for (auto const& result : aSession.mReport.mResults) {
    auto* const task = FindActiveRun(aSession, result.mTask, result.mRun).mTask;
    if (task != nullptr && result.mOutcome == order_outcome::started) {
      task->mIsStartSettled = aListed.contains(RunKey(result.mTask, result.mRun));
    }
  }
}

scheduler::found_task scheduler::FindTask(std::string const& aName)
{
  auto const parsed = ParseTaskName(aName);
  auto* const job = parsed ? mOptions.mReplica.FindJob(parsed->mJob) : nullptr;
  auto* const task = job == nullptr ? nullptr : job->Find(parsed->mPosition);
  if (task == nullptr) {
    return {};
  }
  return { .mJob = job, .mTask = task, .mPosition = parsed->mPosition };
}

scheduler::session* scheduler::SessionOf(task_state const& aRun)
{
  auto const found = mSessions.find(aRun.mWorker);
  auto const isCurrent = found != mSessions.end() && aRun.mStatus == task_status::active &&
                         found->second->mReport.mIncarnationStart == aRun.mWorkerIncarnationStart;
  return isCurrent ? found->second.get() : nullptr;
}

scheduler::found_task scheduler::FindActiveRun(session const& aSession, std::string const& aTask,
                                               std::uint32_t aRun)
{
  auto const found = FindTask(aTask);
  if (found.mTask == nullptr) {
    return {};
  }
  auto const& state = found.mTask->mState;
  auto const isActive = state.mStatus == task_status::active && state.mRun == aRun &&
                        state.mWorker == aSession.mNode &&
                        state.mWorkerIncarnationStart == aSession.mReport.mIncarnationStart;
  return isActive ? found : found_task{};
}

bool scheduler::IsPartOfEndingGang(session const& aSession, listed_run const& aRun)
{
  auto const found = FindTask(aRun.mTask);
  if (found.mTask == nullptr || !found.mJob->Step(found.mPosition).mIsGang) {
    return false;
  }
  auto const& state = found.mTask->mState;
  return state.mStatus == task_status::done && state.mRun == aRun.mRun &&
         state.mWorker == aSession.mNode &&
         state.mWorkerIncarnationStart == aSession.mReport.mIncarnationStart;
}

void scheduler::ApplyEnds(session& aSession)
{
  for (auto& listed : aSession.mReport.mEnded) {
    // Taken out of the report, which is kept until the next one.
    auto const end = std::exchange(listed, {});
    if (end.mNumber <= aSession.mEnds.Recorded()) {
      continue;
    }
    // The end of another run can concern changes that are not stored yet, too: the worker lists it
    // again to a new session.
    auto const* const job = FindTask(end.mTask).mJob;
    aSession.mEnds.Record(end.mNumber, job == nullptr ? std::string{} : job->Id());
    auto const run = FindActiveRun(aSession, end.mTask, end.mRun);
    if (run.mTask == nullptr) {
      base::Log("scheduler")
        ->info("end-of-other-run task={} run={} end={} node={}", end.mTask, end.mRun,
               base::Name(end.mEnd), aSession.mNode);
      continue;
    }
    RecordRunEnd(*run.mJob, run.mPosition, end);
  }
  MarkEndsOfUnchangedJobs(aSession);
}

void scheduler::RecordRunEnd(job_record& aJob, task_position const& aPosition,
                             ended_run const& aEnd)
{
  auto& task = *aJob.Find(aPosition);
  auto const& step = aJob.Step(aPosition);
  auto const now = base::Now();
  base::Log("scheduler")
    ->info("end task={} run={} end={} node={} after_ms={}", aEnd.mTask, aEnd.mRun,
           base::Name(aEnd.mEnd), task.mState.mWorker, TimeSince(task.mStartedAt, now));
  mOptions.mMetrics.Counter("rattanpond_ends_" + std::string{ base::Name(aEnd.mEnd) }).Add();
  // An end may lack its checkpoint; the last one that the run has listed is as valid.
  if (auto const& last = aEnd.mCheckpoint.empty() ? task.mReportedCheckpoint : aEnd.mCheckpoint;
      !last.empty()) {
    task.mState.mCheckpoint = last;
  }
  mDirty.Insert(aJob.Id());
  TakeBackCrash(aJob, aPosition);
  auto& health = mSessions.at(task.mState.mWorker)->mHealth;
  if (aEnd.mEnd == run_end::done && !step.mIsLongRunning) {
    health.Succeeded();
    aJob.SetProvenRun();
    if (task.mIsRunTimeMeasured) {
      mRunTimes.Observe(aJob.Description().mQueue, step.mEstimate, now - task.mStartedAt);
      mHasNewRunTimes = true;
    }
    task.mState.MarkDone();
    if (step.mIsGang) {
      CompleteGang(aJob, aPosition.mOccurrence, aPosition.mStep);
    }
  } else {
    if (task.mHasUnansweredCall && !task.mIsStartSettled) {
      HoldForLateStart(aJob, aPosition);
    }
    task.mState.mStatus = task_status::waiting;
    if (aEnd.mEnd == run_end::failed) {
      if (mFailures.IndicatesWorkerFault(aJob.Id(), task.mState.mWorker)) {
        // A run of a gang fails once, however many of its members were on the worker.
        health.Failed(step.mIsGang ? StepName(aJob.Id(), aPosition) : aEnd.mTask, now);
      }
      if (task.mStartedAt != base::time_point{} &&
          now - task.mStartedAt < worker_health::kEarlyFailure &&
          mFailures.IsWorkerSuspect(aJob.Id(), task.mState.mWorker)) {
        health.FailedEarly(now);
      }
      mFailures.Failed(aJob.Id(), task.mState.mWorker);
      task.mFailedOn = task.mState.mWorker;
      RecordFailure(aJob, aPosition);
    }
    if (step.mIsGang) {
      StopPartialGang(aJob, aPosition);
    }
  }
  UpdatePhase(aJob);
}

void scheduler::CompleteGang(job_record& aJob, std::uint32_t aOccurrence, std::uint32_t aStep)
{
  // The members of a gang end together; one successful end counts for all, and for the workers of
  // all.
  for (auto& member : aJob.Tasks(aOccurrence, aStep)) {
    if (auto* const session = SessionOf(member.mState); session != nullptr) {
      session->mHealth.Succeeded();
    }
    member.mState.MarkDone();
  }
  mDirty.Insert(aJob.Id());
}

void scheduler::RecordFailure(job_record& aJob, task_position const& aPosition)
{
  auto const& step = aJob.Step(aPosition);
  auto const& ended = aJob.Find(aPosition)->mState;
  // A gang fails as a whole, and several of its members may report the same run. Its failed runs
  // are counted on its first member.
  auto& counted = step.mIsGang ? aJob.Tasks(aPosition.mOccurrence, aPosition.mStep).front().mState
                               : aJob.Find(aPosition)->mState;
  auto const isNew = !step.mIsGang || counted.CountGangFailure(ended.mRun);
  counted.mFailures += step.mIsGang ? 0 : 1;
  auto const* const queue = QueueOf(aJob);
  base::Log("scheduler")
    ->info("attempt-failed task={} run={} node={} gang={} new={} failures={} limit={}",
           TaskName(aJob.Id(), aPosition), ended.mRun, ended.mWorker, step.mIsGang, isNew,
           counted.mFailures,
           queue == nullptr ? "unknown" : std::to_string(queue->mMaximumAttempts));
  mOptions.mMetrics.Counter("rattanpond_failed_attempts").Add(isNew ? 1 : 0);
  // Also for a run that was counted before: the holder that did may have been lost before it had
  // stored that the job has failed.
  if (!HasUsedAttempts(queue, step, counted) || IsFinal(aJob.Phase())) {
    return;
  }
  base::Log("scheduler")
    ->info("job-failed job={} task={} run={} failures={} limit={}", aJob.Id(),
           TaskName(aJob.Id(), aPosition), ended.mRun, counted.mFailures, queue->mMaximumAttempts);
  FailJob(aJob);
}

void scheduler::FailJob(job_record& aJob)
{
  aJob.SetPhase(job_phase::failed);
  mDirty.Insert(aJob.Id());
  RecordJobEnd(aJob.Id());
  aJob.ForEachTask([&](task_position const& aOther, tracked_task& aTask) {
    if (aTask.mState.mStatus == task_status::active) {
      OrderStop(aJob, aOther, "the job has failed");
    }
  });
}

void scheduler::RequeueTask(job_record& aJob, task_position const& aPosition,
                            std::string const& aReason)
{
  auto& task = *aJob.Find(aPosition);
  base::Log("scheduler")
    ->info("run-over task={} run={} node={} why=\"{}\"", TaskName(aJob.Id(), aPosition),
           task.mState.mRun, task.mState.mWorker, aReason);
  task.mState.mStatus = task_status::waiting;
  if (!task.mReportedCheckpoint.empty()) {
    task.mState.mCheckpoint = task.mReportedCheckpoint;
  }
  mDirty.Insert(aJob.Id());
  if (aJob.Step(aPosition).mIsGang) {
    StopPartialGang(aJob, aPosition);
  }
  SchedulePlanning();
}

void scheduler::StopPartialGang(job_record& aJob, task_position const& aPosition)
{
  for (auto const& member : aJob.ActiveTasks(aPosition.mOccurrence, aPosition.mStep)) {
    OrderStop(aJob, member, "another member of the gang has ended");
  }
}

void scheduler::StopUncertainStart(job_record& aJob, task_position const& aPosition,
                                   std::string const& aReason)
{
  OrderStop(aJob, aPosition, aReason);
  if (aJob.Step(aPosition).mIsGang) {
    // The other members would hold their resources until they give up, and the gang starts again
    // only once all of them have ended.
    for (auto const& member : aJob.ActiveTasks(aPosition.mOccurrence, aPosition.mStep)) {
      OrderStop(aJob, member, "the start of another member is uncertain");
    }
  }
}

void scheduler::OrderStop(job_record& aJob, task_position const& aPosition,
                          std::string const& aReason)
{
  auto& task = *aJob.Find(aPosition);
  if (task.mState.mStatus != task_status::active || task.mRunStatus == run_status::stopping) {
    return;
  }
  auto const found = mSessions.find(task.mState.mWorker);
  if (found == mSessions.end() || !found->second->mLink ||
      found->second->mReport.mIncarnationStart != task.mState.mWorkerIncarnationStart) {
    return;
  }
  task.mRunStatus = run_status::stopping;
  task.mRunStatusSince = base::Now();
  auto const name = TaskName(aJob.Id(), aPosition);
  base::Log("scheduler")
    ->info("stop task={} run={} node={} why=\"{}\"", name, task.mState.mRun, task.mState.mWorker,
           aReason);
  found->second->mStops.push_back({ name, task.mState.mRun });
  mOptions.mMetrics.Counter("rattanpond_stops").Add();
  SchedulePlanning();
}

void scheduler::ApplyRunning(session& aSession)
{
  auto const now = base::Now();
  for (auto& run : aSession.mReport.mRunning) {
    // Taken out of the report, which is kept until the next one.
    auto checkpoint = std::exchange(run.mCheckpoint, {});
    auto const activeRun = FindActiveRun(aSession, run.mTask, run.mRun);
    auto* const task = activeRun.mTask;
    if (task == nullptr) {
      if (!IsPartOfEndingGang(aSession, run) &&
          aSession.mStopLimiter.IsDue(RunKey(run.mTask, run.mRun), now)) {
        aSession.mStops.push_back({ run.mTask, run.mRun });
        base::Log("scheduler")
          ->info("stop task={} run={} node={} why=\"not the current run\"", run.mTask, run.mRun,
                 aSession.mNode);
      }
      continue;
    }
    if (task->mRunStatus == run_status::unconfirmed || task->mRunStatus == run_status::starting) {
      task->mRunStatus = run_status::running;
      if (task->mStartedAt == base::time_point{}) {
        task->mStartedAt = now;
      }
    }
    if (TakeBackCrash(*activeRun.mJob, activeRun.mPosition)) {
      task->mIsOnProbation = true;
    }
    if (run.mPercent != task->mProgress) {
      task->mProgressInterval = task->mProgress > 0 ? now - task->mProgressAt : milliseconds{ 0 };
      task->mProgress = run.mPercent;
      task->mProgressAt = now;
    }
    if (!checkpoint.empty()) {
      task->mReportedCheckpoint = std::move(checkpoint);
    }
    if (aSession.mReport.mHasRunLists) {
      EndProbation(*activeRun.mJob, *task, now);
    }
    if (IsFinal(activeRun.mJob->Phase())) {
      OrderStop(*activeRun.mJob, activeRun.mPosition, "the job has ended");
    }
  }
}

void scheduler::ApplyResults(session& aSession, std::set<std::string> const& aListed)
{
  for (auto const& result : aSession.mReport.mResults) {
    auto const activeRun = FindActiveRun(aSession, result.mTask, result.mRun);
    auto* const task = activeRun.mTask;
    if (task == nullptr) {
      continue;
    }
    if (result.mOutcome != order_outcome::started) {
      base::Log("scheduler")
        ->info("order-result task={} run={} node={} outcome={} detail={}", result.mTask,
               result.mRun, aSession.mNode, base::Name(result.mOutcome), result.mDetail);
    }
    auto const isListed = aListed.contains(RunKey(result.mTask, result.mRun));
    switch (result.mOutcome) {
      case order_outcome::started:
        if (task->mRunStatus == run_status::starting) {
          task->mRunStatus = run_status::running;
        }
        break;
      case order_outcome::not_started:
      case order_outcome::no_room:
        mOptions.mMetrics.Counter("rattanpond_starts_refused").Add();
        aSession.mStartsPausedUntil = base::Now() + kRefusalBackoff;
        mPermits.Refused(StepName(activeRun.mJob->Id(), activeRun.mPosition), aSession.mNode);
        if (!isListed) {
          RequeueTask(*activeRun.mJob, activeRun.mPosition,
                      "the start was refused: " + result.mDetail);
        }
        break;
      case order_outcome::stopped:
        if (!isListed && aSession.mReport.mHasRunLists) {
          if (!task->mIsStartSettled) {
            HoldForLateStart(*activeRun.mJob, activeRun.mPosition);
          }
          RequeueTask(*activeRun.mJob, activeRun.mPosition, "stopped before the worker listed it");
        }
        break;
      case order_outcome::expired:
        mOptions.mMetrics.Counter("rattanpond_starts_expired").Add();
        if (!isListed) {
          aSession.mHealth.Unresponsive(base::Now());
          task->mFailedOn = aSession.mNode;
          RequeueTask(*activeRun.mJob, activeRun.mPosition, result.mDetail);
        }
        break;
      case order_outcome::unknown:
        task->mHasUnansweredCall = true;
        if (isListed && task->mRunStatus == run_status::running) {
          // The start was carried out, and only its answers were lost.
          break;
        }
        // A stop without an answer is sent again only after its timeout: for an unreachable worker,
        // each result would arrive within milliseconds and trigger the next stop.
        StopUncertainStart(*activeRun.mJob, activeRun.mPosition, "no answer to the start order");
        break;
    }
  }
}

void scheduler::ControlPace(session& aSession, base::time_point aNow)
{
  std::vector<std::pair<listed_run const*, tracked_task*>> bestEffort;
  std::optional<double> tail;
  for (auto const& run : aSession.mReport.mRunning) {
    auto const activeRun = FindActiveRun(aSession, run.mTask, run.mRun);
    if (activeRun.mTask == nullptr) {
      continue;
    }
    auto const& step = activeRun.mJob->Step(activeRun.mPosition);
    if (step.mServingTarget.count() > 0) {
      tail = std::max(tail.value_or(0), static_cast<double>(run.mLoad) /
                                          static_cast<double>(step.mServingTarget.count()));
    }
    if (step.mIsBestEffort) {
      bestEffort.emplace_back(&run, activeRun.mTask);
    }
  }
  if (bestEffort.empty()) {
    aSession.mPace = {};
    return;
  }
  auto const before = aSession.mPace.Percent();
  if (tail) {
    aSession.mPace.Observe(*tail, aNow);
  } else {
    aSession.mPace.SetFullPace();
  }
  auto const percent = aSession.mPace.Percent();
  if (percent != before) {
    base::Log("scheduler")
      ->info("pace node={} percent={} before={} tail_of_target={:.2f} filling={}", aSession.mNode,
             percent, before, tail.value_or(0), bestEffort.size());
  }
  if (percent == pace_control::kFullPercent && before == pace_control::kFullPercent) {
    return;
  }
  // A reduced pace is ordered with each report: tasks start at full pace, and orders can be lost.
  for (auto const& [run, task] : bestEffort) {
    aSession.mPaces.push_back({ .mTask = run->mTask, .mRun = run->mRun, .mPercent = percent });
    // At a reduced pace, neither progress nor run time is an indication of the worker's health or
    // the run times of the queue.
    task->mProgressAt = aNow;
    task->mIsRunTimeMeasured = false;
  }
}

void scheduler::StopUnlistedRuns(session& aSession, std::set<std::string> const& aListed)
{
  auto const now = base::Now();
  auto const startBound = StartExpiryBound(mOptions.mSettings.mMaximumLease) + kMaximumRunListsAge;
  ForEachActiveTask([&](job_record& aJob, task_position const& aPosition, tracked_task& aTask) {
    auto const isOnWorker =
      aTask.mState.mWorker == aSession.mNode &&
      aTask.mState.mWorkerIncarnationStart == aSession.mReport.mIncarnationStart;
    if (!isOnWorker || aTask.mRunStatus == run_status::planned ||
        aListed.contains(RunKey(TaskName(aJob.Id(), aPosition), aTask.mState.mRun))) {
      return;
    }
    auto const isOfFormerTerm = aTask.mStartedAt == base::time_point{};
    if (isOfFormerTerm && aSession.mReport.mRunListsTerm >= mTerm) {
      // The worker may be one that answers no order.
      aTask.mFailedOn = aTask.mState.mWorker;
      RequeueTask(aJob, aPosition, "not listed, and the worker refuses starts of former terms");
      return;
    }
    // A worker may leave stops unanswered for good, but it refuses a start after its deadline. The
    // side reports such a start, but not after its process was replaced. A run that was listed
    // before is stopped first, as these lists may lack it by mistake.
    auto const orderedAt = isOfFormerTerm ? mHolderSince : aTask.mStartedAt;
    if (aSession.mReport.mRunListsTerm != 0 && aTask.mEndUnknownSince != base::time_point{} &&
        now - std::max(orderedAt, aTask.mEndUnknownSince) > startBound) {
      aTask.mFailedOn = aTask.mState.mWorker;
      RequeueTask(aJob, aPosition, "not listed, and its start can no longer take effect");
    } else if (aTask.mRunStatus == run_status::unconfirmed ||
               aTask.mRunStatus == run_status::running) {
      OrderStop(aJob, aPosition, "the worker does not list the run");
    }
  });
}

void scheduler::SendOrders(session& aSession)
{
  if (!aSession.mLink || !aSession.mHasReport) {
    return;
  }
  auto const age = base::Now() - mOptions.mReplica.JobsConfirmedAt();
  aSession.mIsAnswerWithheld = !mSilentSides.MayAnswer(aSession.mNode);
  auto const mayAnswer = age <= kMaximumStoreSilence && !aSession.mIsAnswerWithheld;
  side_orders orders{ .mTerm = mTerm,
                      .mAnsweredReport = mayAnswer ? aSession.mReport.mSequence : kNoReport,
                      .mWorker = aSession.mReport.mWorker,
                      .mIncarnationStart = aSession.mReport.mIncarnationStart,
                      .mAcknowledged = aSession.mEnds.Stored(),
                      .mStops = std::exchange(aSession.mStops, {}),
                      .mPaces = std::exchange(aSession.mPaces, {}) };
  std::size_t bytes = 0;
  for (auto& start : std::exchange(aSession.mStarts, {})) {
    auto const size = start.mCommand.size() + start.mCheckpoint.size();
    if (bytes + size > kOrderBytes && !orders.mStarts.empty()) {
      aSession.mLink->Send(orders);
      orders.mStops.clear();
      orders.mPaces.clear();
      orders.mStarts.clear();
      bytes = 0;
    }
    bytes += size;
    orders.mStarts.push_back(std::move(start));
  }
  aSession.mLink->Send(orders);
}

void scheduler::SendPendingStops()
{
  for (auto const& [node, session] : mSessions) {
    if (!session->mStops.empty()) {
      SendOrders(*session);
    }
  }
}

void scheduler::UpdatePhase(job_record& aJob)
{
  if (IsFinal(aJob.Phase())) {
    return;
  }
  auto const phase = aJob.IsDone()       ? job_phase::done
                     : aJob.HasStarted() ? job_phase::running
                                         : job_phase::queued;
  if (phase != aJob.Phase()) {
    aJob.SetPhase(phase);
    mDirty.Insert(aJob.Id());
    if (phase == job_phase::done) {
      base::Log("scheduler")->info("job-done job={}", aJob.Id());
    }
  }
  if (IsFinal(aJob.Phase())) {
    RecordJobEnd(aJob.Id());
  }
}

void scheduler::RecordJobEnd(std::string const& aId)
{
  mFailures.RemoveJob(aId);
  mPermits.RemoveJob(aId);
  mEndedJobs[aId] = base::Now();
}

void scheduler::ApplyCancellations()
{
  for (auto const& entry : mOptions.mReplica.Cancellations()) {
    if (mOptions.mReplica.FindJob(entry.first) == nullptr) {
      mEndedJobs.emplace(entry.first, base::Now());
    }
  }
  for (auto const& entry : mOptions.mReplica.Jobs()) {
    auto const& id = entry.first;
    auto& job = *entry.second;
    if (mOptions.mReplica.CancellationVersion(id) == 0 || IsFinal(job.Phase())) {
      continue;
    }
    base::Log("scheduler")->info("job-cancelled job={}", id);
    job.SetPhase(job_phase::cancelled);
    mDirty.Insert(id);
    RecordJobEnd(id);
    job.ForEachTask([&](task_position const& aPosition, tracked_task& aTask) {
      if (aTask.mState.mStatus == task_status::active) {
        OrderStop(job, aPosition, "the job was cancelled");
      }
    });
  }
}

lease_evidence::latest_end scheduler::LatestEnd(task_state const& aRun) const
{
  auto const found = mLeases.find(aRun.mWorker);
  return found == mLeases.end()
           ? NewLeaseEvidence(aRun.mWorker).RunsEndBy(aRun.mWorkerIncarnationStart)
           : found->second.RunsEndBy(aRun.mWorkerIncarnationStart);
}

void scheduler::ExpireLeases(base::time_point aNow)
{
  std::set<std::string> crashed;
  ForEachActiveTask([&](job_record& aJob, task_position const& aPosition, tracked_task& aTask) {
    // No order has left for a planned run; the commit of its transaction, or a conflict, ends the
    // wait.
    if (aTask.mRunStatus == run_status::planned) {
      return;
    }
    auto const end = LatestEnd(aTask.mState);
    // The start order may still be on its way to the side.
    auto const isStartUnderWay = aTask.mStartedAt != base::time_point{} &&
                                 aNow <= aTask.mStartedAt + kMaximumOrderAge + kLeaseExpiryMargin;
    if (aNow > end.mAt && !isStartUnderWay) {
      // A side that reports its worker as absent shows that the path to the side is not lost. It
      // cannot tell a crash of the worker from a cut between the two.
      auto const& node = aTask.mState.mWorker;
      auto const found = mSessions.find(node);
      if (found != mSessions.end() && found->second->mLink && found->second->mHasReport &&
          found->second->mReport.mState == worker_state::absent && crashed.insert(node).second) {
        RecordCrash(
          node, [](tracked_task const&) { return true; },
          [](tracked_task const&) { return false; });
      }
      if (aTask.mOrderedAt != base::time_point{} && !aTask.mIsStartSettled) {
        HoldForLateStart(aJob, aPosition);
      }
      RequeueTask(aJob, aPosition, std::string{ base::Name(end.mReason) });
    }
  });
}

void scheduler::WatchUnknownEnds(base::time_point aNow)
{
  auto const bound = kMaximumStoreSilence + LeaseExpiryBound(mOptions.mSettings.mMaximumLease);
  std::int64_t overdue = 0;
  ForEachActiveTask([&](job_record& aJob, task_position const& aPosition, tracked_task& aTask) {
    if (aTask.mRunStatus == run_status::running || aTask.mRunStatus == run_status::planned) {
      aTask.mEndUnknownSince = {};
      return;
    }
    if (aTask.mEndUnknownSince == base::time_point{}) {
      aTask.mEndUnknownSince = aNow;
    }
    if (aNow - aTask.mEndUnknownSince <= bound) {
      return;
    }
    if (++overdue > kOverdueRunsLogged || aNow - mOverdueLoggedAt < kOverdueLogInterval) {
      return;
    }
    auto const found = mSessions.find(aTask.mState.mWorker);
    auto const* const session = found == mSessions.end() ? nullptr : found->second.get();
    auto const end = LatestEnd(aTask.mState);
    base::Log("scheduler")
      ->warn("run-end-overdue task={} run={} node={} born={} status={} for_ms={} linked={} "
             "reported_born={} state={} next=\"{}\" in_ms={}",
             TaskName(aJob.Id(), aPosition), aTask.mState.mRun, aTask.mState.mWorker,
             aTask.mState.mWorkerIncarnationStart, base::Name(aTask.mRunStatus),
             (aNow - aTask.mEndUnknownSince).count(), session != nullptr && session->mLink,
             session == nullptr ? 0 : session->mReport.mIncarnationStart,
             session == nullptr ? "unknown" : base::Name(session->mReport.mState),
             base::Name(end.mReason), (end.mAt - aNow).count());
  });
  if (overdue > 0 && aNow - mOverdueLoggedAt >= kOverdueLogInterval) {
    mOverdueLoggedAt = aNow;
  }
  mOptions.mMetrics.Gauge("rattanpond_runs_with_overdue_end").Set(static_cast<double>(overdue));
}

void scheduler::WatchOverdueStarts(base::time_point aNow)
{
  if (aNow - mStartsScannedAt < kStartScanInterval) {
    return;
  }
  mStartsScannedAt = aNow;
  mOverdueStarts.clear();
  std::size_t overdueTasks = 0;
  auto groups = WaitingGroups(GuaranteedJobs(), aNow);
  std::erase_if(groups, [&](waiting_group const& aGroup) {
    return aNow - aGroup.mWaitingSince <= kStartBound;
  });
  auto const workers = groups.empty() ? std::vector<worker_snapshot>{} : WorkerSnapshots(aNow);
  for (auto const& group : groups) {
    wait_report report{ group, workers, mClaims };
    if (!report.HasRoom()) {
      continue;
    }
    auto const& tasks =
      mOptions.mReplica.FindJob(group.mJob)->Tasks(group.mOccurrence, group.mStep);
    auto const count =
      static_cast<std::size_t>(std::ranges::count_if(group.mIndexes, [&](std::uint32_t aIndex) {
        return aNow - tasks[aIndex].mWaitingSince > kStartBound;
      }));
    overdueTasks += count;
    if (mOverdueStarts.size() == kOverdueStartsKept) {
      continue;
    }
    auto const index = *std::ranges::min_element(
      group.mIndexes, {}, [&](std::uint32_t aIndex) { return tasks[aIndex].mWaitingSince; });
    mOverdueStarts.push_back(
      { .mTask = TaskName(group.mJob, { group.mOccurrence, group.mStep, index }),
        .mRun = tasks[index].mState.mRun,
        .mNode = tasks[index].mState.mWorker,
        .mSince = tasks[index].mWaitingSince,
        .mTasks = count,
        .mReport = std::move(report) });
  }
  mOptions.mMetrics.Gauge(kOverdueStartsGauge).Set(static_cast<double>(overdueTasks));
  if (mOverdueStarts.empty() || aNow - mOverdueStartsLoggedAt < kOverdueLogInterval) {
    return;
  }
  mOverdueStartsLoggedAt = aNow;
  for (std::size_t index = 0; index < std::min(mOverdueStarts.size(), kOverdueStartsLogged);
       ++index) {
    auto const& start = mOverdueStarts[index];
    base::Log("scheduler")
      ->warn("task-wait-overdue task={} run={} node={} for_ms={} tasks={} free_places={} "
             "used_share={:.2f} workers=\"{}\"",
             start.mTask, start.mRun, start.mNode.empty() ? "none" : start.mNode,
             (aNow - start.mSince).count(), start.mTasks, start.mReport.FreePlaces(),
             start.mReport.UsedShare(), start.mReport.Summary());
  }
}

void scheduler::StopStalledRuns(base::time_point aNow)
{
  ForEachActiveTask([&](job_record& aJob, task_position const& aPosition, tracked_task& aTask) {
    auto const& step = aJob.Step(aPosition);
    if (aTask.mRunStatus != run_status::running || step.mIsLongRunning) {
      return;
    }
    auto const found = mSessions.find(aTask.mState.mWorker);
    if (found == mSessions.end()) {
      return;
    }
    auto& session = *found->second;
    // Without current run lists, missing progress can also mean that the worker cannot be reached.
    if (!session.mReport.mHasRunLists || aNow - session.mReportedAt > kMaximumReportAge ||
        !IsStalled({ .mLastProgressAt = std::max({ LastProgress(aJob, aPosition, aTask),
                                                   mHolderSince, session.mListedSince }),
                     .mExpectedRunTime = ExpectedRunTime(aJob, step),
                     .mLastInterval = aTask.mProgressInterval,
                     .mMayWaitForMembers = step.mIsGang && aTask.mProgress == 0,
                     .mPreviousStalls = aTask.mStallCount },
                   aNow)) {
      return;
    }
    session.mHealth.Stalled(aNow);
    aTask.mFailedOn = aTask.mState.mWorker;
    ++aTask.mStallCount;
    base::Log("scheduler")
      ->info("stalled task={} run={} node={} percent={} still_ms={} expected_ms={} stalls={}",
             TaskName(aJob.Id(), aPosition), aTask.mState.mRun, aTask.mState.mWorker,
             aTask.mProgress, (aNow - aTask.mProgressAt).count(),
             ExpectedRunTime(aJob, step).count(), aTask.mStallCount);
    mOptions.mMetrics.Counter("rattanpond_stalled_runs").Add();
    OrderStop(aJob, aPosition, "the run makes no progress");
  });
}

std::optional<milliseconds> scheduler::TimeLeftOnWorker(tracked_task const& aTask,
                                                        base::time_point aNow) const
{
  auto const found = mSessions.find(aTask.mState.mWorker);
  if (found == mSessions.end()) {
    return std::nullopt;
  }
  auto const& session = *found->second;
  if (session.mReport.mState != worker_state::draining || !session.mReport.mTimeLeft ||
      session.mReport.mIncarnationStart != aTask.mState.mWorkerIncarnationStart) {
    return std::nullopt;
  }
  return *session.mReport.mTimeLeft - (aNow - session.mReportedAt);
}

void scheduler::StopDepartingRuns(base::time_point aNow)
{
  // The members of a gang end together, so they are decided on together.
  struct departure
  {
    departing_run mRun;
    std::vector<task_position> mTasks;
  };
  std::map<std::pair<job_record*, task_position>, departure> departures;
  ForEachActiveTask([&](job_record& aJob, task_position const& aPosition, tracked_task& aTask) {
    auto const timeLeft = TimeLeftOnWorker(aTask, aNow);
    auto const isActive =
      aTask.mRunStatus == run_status::running || aTask.mRunStatus == run_status::starting;
    if (!timeLeft || !isActive || IsFinal(aJob.Phase())) {
      return;
    }
    auto const& step = aJob.Step(aPosition);
    auto key = aPosition;
    if (step.mIsGang) {
      key.mIndex = 0;
    }
    auto [found, isNew] = departures.try_emplace({ &aJob, key });
    auto& run = found->second.mRun;
    run.mTimeLeft = isNew ? *timeLeft : std::min(run.mTimeLeft, *timeLeft);
    if (isNew) {
      run.mIsCheckpointable = step.mIsCheckpointable;
      run.mIsLongRunning = step.mIsLongRunning;
      run.mStopTime = mOptions.mSettings.mStopTime;
      found->second.mTasks = step.mIsGang ? aJob.ActiveTasks(aPosition.mOccurrence, aPosition.mStep)
                                          : std::vector{ aPosition };
    }
  });
  for (auto& [key, departure] : departures) {
    auto& job = *key.first;
    for (auto const& position : departure.mTasks) {
      auto const& task = *job.Find(position);
      auto const elapsed =
        task.mStartedAt == base::time_point{} ? milliseconds{ 0 } : aNow - task.mStartedAt;
      departure.mRun.mRunTimeLeft =
        std::max(departure.mRun.mRunTimeLeft,
                 RunTimeLeft({ .mElapsed = elapsed,
                               .mPercent = task.mProgress,
                               .mPercentAge = aNow - task.mProgressAt,
                               .mExpected = ExpectedRunTime(job, job.Step(position)) }));
    }
    if (!MustStopBeforeDeparture(departure.mRun)) {
      continue;
    }
    for (auto const& position : departure.mTasks) {
      OrderStop(job, position,
                "a worker leaves in " + std::to_string(departure.mRun.mTimeLeft.count()) +
                  " ms, the run takes " + std::to_string(departure.mRun.mRunTimeLeft.count()) +
                  " ms more");
    }
  }
}

void scheduler::StoreCheckpoints(base::time_point aNow)
{
  std::map<job_record*, double> unsaved;
  ForEachActiveTask([&](job_record& aJob, task_position const& aPosition, tracked_task& aTask) {
    if (!aTask.mReportedCheckpoint.empty() &&
        aTask.mReportedCheckpoint != aTask.mState.mCheckpoint) {
      auto const since = std::max(aTask.mStartedAt, aJob.mCheckpointsAppliedAt);
      unsaved[&aJob] += WeightInCores(aJob.Step(aPosition).mDemand) *
                        std::chrono::duration<double>(aNow - since).count();
    }
  });
  for (auto const& [job, work] : unsaved) {
    if (work >= kUnsavedWorkLimit && aNow - job->mCheckpointsAppliedAt >= kCheckpointsInterval) {
      mDirty.Insert(job->Id());
    }
  }
}

void scheduler::ExpireOrders(base::time_point aNow)
{
  ForEachActiveTask([&](job_record& aJob, task_position const& aPosition, tracked_task& aTask) {
    if (aTask.mRunStatus == run_status::starting && aNow - aTask.mRunStatusSince > kStartTimeout) {
      StopUncertainStart(aJob, aPosition, "no result of the start order");
    } else if (aTask.mRunStatus == run_status::stopping &&
               aNow - aTask.mRunStatusSince > kStopTimeout) {
      aTask.mRunStatus = run_status::unconfirmed;
      OrderStop(aJob, aPosition, "no result of the stop order");
    } else if (IsFinal(aJob.Phase())) {
      OrderStop(aJob, aPosition, "the job has ended");
    }
  });
}

} // namespace rattanpond::dispatch
