#include "dispatch/scheduler.h"

#include "base/logging.h"
#include "dispatch/attempt_limit.h"
#include "dispatch/set_aside_limit.h"

#include <algorithm>

namespace rattanpond::dispatch {

using base::milliseconds;

namespace {

/// Whether the occurrence is due by the wall clock of this process. Clocks of other machines differ
/// by less than the allowed earliness of a start.
bool IsDue(job_description const& aJob, std::uint32_t aOccurrence, std::int64_t aWallMs)
{
  return aJob.mOccurrences == 0 ||
         aJob.mFirstDueWallMs + static_cast<std::int64_t>(aOccurrence) * aJob.mInterval.count() <=
           aWallMs;
}

/// Index of the rack among the labels of a worker; the first label is its kind.
constexpr std::size_t kRackLabel = 1;

std::string RackOf(side_report const& aReport)
{
  return aReport.mLabels.size() > kRackLabel ? aReport.mLabels[kRackLabel] : std::string{};
}

/// Share of its work since the start that a checkpointable run loses when it is stopped, for the
/// restore.
constexpr double kCheckpointedLossShare = 0.1;

/// Largest number of accelerators that one step of the job requires.
std::int64_t LargestDemand(job_description const& aJob)
{
  std::int64_t widest = 0;
  for (auto const& step : aJob.mSteps) {
    widest = std::max(widest, step.mDemand.mAccelerators * step.mCount);
  }
  return widest;
}

/// Time by which a job must be done. Its objective counts from its acceptance, or for an occurrence
/// from its due time.
base::time_point DueBy(job_record const& aJob, queue const* aQueue, std::uint32_t aOccurrence,
                       milliseconds aExpected, base::time_point aNow, std::int64_t aWallMs)
{
  auto const& job = aJob.Description();
  auto const since =
    job.mOccurrences == 0
      ? job.mAcceptedWallMs
      : job.mFirstDueWallMs + static_cast<std::int64_t>(aOccurrence) * job.mInterval.count();
  auto const stretch = aQueue == nullptr ? 1.0 : aQueue->mStretch;
  auto const objective = aQueue == nullptr ? milliseconds{ 0 } : aQueue->mObjective;
  return aNow - milliseconds{ aWallMs - since } + objective +
         milliseconds{ static_cast<std::int64_t>(stretch *
                                                 static_cast<double>(aExpected.count())) };
}

/// Work that preemption for an urgent group may discard, as a share of the group's own work:
/// discarded work is done again later, while other jobs wait for it.
constexpr double kPreemptionBudgetShare = 0.5;

/// Whether a run of the job is listed, or has just been ordered.
bool IsAnyRunning(job_record const& aJob, base::time_point aNow)
{
  auto const& description = aJob.Description();
  for (std::uint32_t occurrence = 0; occurrence < description.Runs(); ++occurrence) {
    for (std::uint32_t step = 0; step < description.mSteps.size(); ++step) {
      if (std::ranges::any_of(aJob.Tasks(occurrence, step), [&](tracked_task const& aTask) {
            auto const isOrdered =
              aTask.mRunStatus == run_status::planned || aTask.mRunStatus == run_status::starting;
            return aTask.mState.mStatus == task_status::active &&
                   (aTask.mRunStatus == run_status::running ||
                    (isOrdered && aNow - aTask.mRunStatusSince < kLongestPreference));
          })) {
        return true;
      }
    }
  }
  return false;
}

/// Returns the task of a step that is tried alone before the others start, since it may crash its
/// worker: one that is on probation, or the one with the most crashes. Load pattern: each of the
/// many tasks of a job crashes its worker, with all runs beside it.
std::optional<std::uint32_t> TrialTask(job_record const& aJob, std::uint32_t aOccurrence,
                                       std::uint32_t aStep)
{
  std::optional<std::uint32_t> trial;
  // A lasting task is owed by itself.
  if (aJob.Description().mSteps[aStep].mIsLongRunning) {
    return trial;
  }
  auto const& tasks = aJob.Tasks(aOccurrence, aStep);
  auto const rank = [&](std::uint32_t aIndex) {
    auto const& task = tasks[aIndex];
    return std::pair{ task.mState.mStatus == task_status::active,
                      task.mState.PossibleCrashes().mCrashes };
  };
  for (std::uint32_t index = 0; index < tasks.size(); ++index) {
    auto const& state = tasks[index].mState;
    if (state.mStatus != task_status::done &&
        state.PossibleCrashes().MustRunAlone(aJob.HasProvenRun()) &&
        (!trial || rank(*trial) < rank(index))) {
      trial = index;
    }
  }
  return trial;
}

bool IsAnyDone(std::vector<tracked_task> const& aTasks)
{
  return std::ranges::any_of(
    aTasks, [](tracked_task const& aTask) { return aTask.mState.mStatus == task_status::done; });
}

/// What keeps all starts from a worker, apart from its health. aIsAnswered: whether its side is
/// linked and its reports may be answered.
start_obstacle Barrier(bool aIsAnswered, side_report const& aReport, bool aIsEvacuated,
                       bool aIsPaused)
{
  if (!aIsAnswered || aReport.mState == worker_state::absent ||
      aReport.mState == worker_state::gone) {
    return start_obstacle::absent;
  }
  if (aReport.mState != worker_state::ready) {
    return start_obstacle::draining;
  }
  if (aIsEvacuated) {
    return start_obstacle::evacuated;
  }
  return aIsPaused ? start_obstacle::paused : start_obstacle::none;
}

} // namespace

queue const* scheduler::QueueOf(job_record const& aJob) const
{
  return mOptions.mReplica.FindQueue(aJob.Description().mQueue);
}

std::uint32_t scheduler::PriorityOf(job_record const& aJob) const
{
  constexpr std::uint32_t kPriorityOfUnknownQueues = 9;
  auto const* const queue = QueueOf(aJob);
  return queue == nullptr ? kPriorityOfUnknownQueues : queue->mPriority;
}

std::vector<worker_snapshot> scheduler::WorkerSnapshots(base::time_point aNow)
{
  std::vector<worker_snapshot> snapshots;
  std::map<std::string, std::size_t> index;
  for (auto const& [node, session] : mSessions) {
    if (!session->mHasReport) {
      continue;
    }
    auto const& report = session->mReport;
    worker_snapshot snapshot{ .mWorker = node,
                              .mService = report.mService,
                              .mRack = RackOf(report),
                              .mLabels = report.mLabels,
                              .mCapacity = report.mCapacity,
                              .mFree = report.mCapacity };
    snapshot.mBarrier = Barrier(session->mLink != nullptr && mSilentSides.MayAnswer(node), report,
                                mOptions.mReplica.Evacuations().contains(report.mDomain),
                                aNow < session->mStartsPausedUntil);
    if (snapshot.AcceptsStarts()) {
      if (session->mHealth.IsQuarantined(aNow)) {
        snapshot.mBarrier = start_obstacle::quarantined;
      } else {
        snapshot.mIsSuspect = session->mHealth.IsSuspect(aNow);
      }
    }
    index[node] = snapshots.size();
    snapshots.push_back(std::move(snapshot));
  }
  LimitSetAside(snapshots);
  mTasksWithOtherRuns.clear();
  ForEachActiveTask([&](job_record& aJob, task_position const& aPosition, tracked_task& aTask) {
    auto const found = index.find(aTask.mState.mWorker);
    if (found == index.end()) {
      return;
    }
    auto& snapshot = snapshots[found->second];
    snapshot.mFree -= ReservedDemand(aJob.Step(aPosition));
    snapshot.mHasRuns = true;
    if (aTask.mIsOnProbation && aTask.mState.PossibleCrashes().MustRunAlone(aJob.HasProvenRun()) &&
        snapshot.AcceptsStarts()) {
      snapshot.mBarrier = start_obstacle::probation;
    }
    snapshot.mHasServing = snapshot.mHasServing || aJob.Step(aPosition).mServingTarget.count() > 0;
    snapshot.mHasBestEffort = snapshot.mHasBestEffort || aJob.Step(aPosition).mIsBestEffort;
  });
  for (auto& snapshot : snapshots) {
    ReserveForOtherRuns(*mSessions.at(snapshot.mWorker), snapshot);
  }
  return snapshots;
}

void scheduler::ReserveForOtherRuns(session const& aSession, worker_snapshot& aSnapshot)
{
  if (!aSession.mReport.mHasRunLists) {
    return;
  }
  for (auto const& run : aSession.mReport.mRunning) {
    if (FindActiveRun(aSession, run.mTask, run.mRun).mTask != nullptr) {
      continue;
    }
    aSnapshot.mHasRuns = true;
    auto const found = FindTask(run.mTask);
    if (found.mTask != nullptr) {
      // The lists of a worker that has left are those of its last answer.
      auto const isCurrent = aSession.mLink && aSession.mReport.mState != worker_state::gone &&
                             !IsPartOfEndingGang(aSession, run);
      if (isCurrent) {
        mTasksWithOtherRuns.emplace(run.mTask, aSession.mNode);
      }
      aSnapshot.mFree -= ReservedDemand(found.mJob->Step(found.mPosition));
    } else if (aSnapshot.AcceptsStarts()) {
      // The demand of a task of an unknown job is unknown as well.
      aSnapshot.mBarrier = start_obstacle::paused;
    }
  }
}

std::set<std::string> scheduler::GuaranteedJobs()
{
  std::vector<job_record*> urgent;
  for (auto& [id, job] : mOptions.mReplica.Jobs()) {
    if (!IsFinal(job->Phase()) && PriorityOf(*job) == 0) {
      urgent.push_back(job.get());
    }
  }
  std::ranges::stable_sort(urgent, {},
                           [](job_record* aJob) { return aJob->Description().mAcceptedWallMs; });
  std::map<std::string, std::int64_t> used;
  std::set<std::string> guaranteed;
  for (auto* const job : urgent) {
    auto const* const workspace =
      mOptions.mReplica.Configuration()->FindWorkspace(job->Description().mWorkspace);
    auto const demand = LargestDemand(job->Description());
    if (workspace != nullptr &&
        used[workspace->mName] + demand <= workspace->mGuaranteedAccelerators) {
      used[workspace->mName] += demand;
      guaranteed.insert(job->Id());
    }
  }
  return guaranteed;
}

std::vector<waiting_group> scheduler::WaitingGroups(std::set<std::string> const& aGuaranteed,
                                                    base::time_point aNow)
{
  std::vector<waiting_group> groups;
  for (auto& [id, job] : mOptions.mReplica.Jobs()) {
    if (!IsFinal(job->Phase()) && mOptions.mReplica.CancellationVersion(id) == 0) {
      AddGroups(*job, aGuaranteed.contains(id), aNow, groups);
    }
  }
  return groups;
}

milliseconds scheduler::ExpectedRunTime(job_record const& aJob, job_step const& aStep) const
{
  return mRunTimes.Estimate(aJob.Description().mQueue, aStep.mEstimate);
}

void scheduler::AddGroups(job_record& aJob, bool aIsGuaranteed, base::time_point aNow,
                          std::vector<waiting_group>& aGroups)
{
  if (IsSetAside(aJob.Id())) {
    return;
  }
  auto const& description = aJob.Description();
  auto const* const queue = QueueOf(aJob);
  auto const wallMs = base::WallClockMilliseconds();
  std::optional<bool> isJobRunning;
  auto const groupsBefore = static_cast<std::ptrdiff_t>(aGroups.size());
  for (std::uint32_t occurrence = 0; occurrence < description.Runs(); ++occurrence) {
    if (!IsDue(description, occurrence, wallMs)) {
      break;
    }
    for (std::uint32_t step = 0; step < description.mSteps.size(); ++step) {
      if (!aJob.IsStepReady(occurrence, step)) {
        continue;
      }
      auto const trial = TrialTask(aJob, occurrence, step);
      auto const& shape = description.mSteps[step];
      // A former holder may have been lost before it had stored the end of all members.
      if (shape.mIsGang && IsAnyDone(aJob.Tasks(occurrence, step)) &&
          !aJob.IsStepDone(occurrence, step)) {
        CompleteGang(aJob, occurrence, step);
        UpdatePhase(aJob);
        continue;
      }
      waiting_group group{ .mJob = aJob.Id(),
                           .mOccurrence = occurrence,
                           .mStep = step,
                           .mShape = &shape,
                           .mService = queue == nullptr ? description.mService : queue->mService,
                           .mPriority = PriorityOf(aJob),
                           .mIsGuaranteed = aIsGuaranteed };
      auto const expected = ExpectedRunTime(aJob, shape);
      group.mExpectedRunTime = expected;
      group.mDueBy = DueBy(aJob, queue, occurrence, expected, aNow, wallMs);
      group.mIsLate = aNow + expected > group.mDueBy;
      if (mAdvice && queue != nullptr && queue->mAdvice) {
        group.mAllowed = PermittedWorkers(StepName(aJob.Id(), { occurrence, step, 0 }), aNow);
      }
      bool isAnyActive = false;
      auto const attempts = queue == nullptr ? 1U : queue->mMaximumAttempts;
      auto& tasks = aJob.Tasks(occurrence, step);
      std::map<std::uint32_t, std::string> held;
      for (std::uint32_t index = 0; index < tasks.size(); ++index) {
        auto& task = tasks[index];
        auto const hasOtherRun =
          !mTasksWithOtherRuns.empty() &&
          CountOtherRuns(TaskName(aJob.Id(), { occurrence, step, index }), group);
        auto const& counted = shape.mIsGang ? tasks.front() : task;
        auto const mustWait =
          hasOtherRun || task.mState.AwaitsCrashes() || AwaitsQueue(queue, shape, counted.mState);
        auto const isHeldBack = (trial && *trial != index && !shape.mIsGang) || mustWait;
        isAnyActive = isAnyActive || mustWait;
        if (task.mState.mStatus == task_status::waiting && !isHeldBack) {
          group.mMustRunAlone =
            group.mMustRunAlone || task.mState.PossibleCrashes().MustRunAlone(aJob.HasProvenRun());
          if (task.mWaitingSince == base::time_point{}) {
            task.mWaitingSince = aNow;
          }
          group.mWaitingSince = group.mIndexes.empty()
                                  ? task.mWaitingSince
                                  : std::min(group.mWaitingSince, task.mWaitingSince);
          group.mIndexes.push_back(index);
          if (IsHeldForLateStart(task.mState, aNow)) {
            held[index] = task.mState.mWorker;
          }
          // Or before it had stored that the job has failed.
          if (HasUsedAttempts(queue, shape, counted.mState) || task.mState.mCrashes.IsCause()) {
            base::Log("scheduler")
              ->info(
                "job-failed job={} task={} run={} failures={} crashes={} why=\"no attempt left\"",
                aJob.Id(), TaskName(aJob.Id(), { occurrence, step, index }), task.mState.mRun,
                counted.mState.mFailures, task.mState.mCrashes.mCrashes);
            aGroups.erase(aGroups.begin() + groupsBefore, aGroups.end());
            FailJob(aJob);
            return;
          }
          group.mIsLastAttempt = group.mIsLastAttempt || counted.mState.mFailures + 1 >= attempts;
          if (!task.mFailedOn.empty()) {
            group.mFailedOn.push_back(task.mFailedOn);
          }
        } else if (task.mState.mStatus == task_status::active) {
          isAnyActive = true;
          // An order that comes to nothing does not end the wait; a listed run does.
          if (task.mRunStatus == run_status::running) {
            task.mWaitingSince = {};
          }
          ++group.mRunningOn[task.mState.mWorker];
        }
      }
      if (group.mPriority == 0 && !group.mIsLate) {
        group.mPreemptionBudget = kPreemptionBudgetShare * WeightInCores(shape.mDemand) *
                                  static_cast<double>(group.mIndexes.size()) *
                                  std::chrono::duration<double>(expected).count();
      }
      if (!group.mIndexes.empty() && !(shape.mIsGang && isAnyActive)) {
        if (!isJobRunning) {
          isJobRunning = IsAnyRunning(aJob, aNow);
        }
        group.mIsJobRunning = *isJobRunning;
        AddHeldTasks(group, held, aGroups);
      }
    }
  }
}

bool scheduler::CountOtherRuns(std::string const& aTask, waiting_group& aGroup) const
{
  auto const [first, last] = mTasksWithOtherRuns.equal_range(aTask);
  for (auto run = first; run != last; ++run) {
    ++aGroup.mRunningOn[run->second];
  }
  return first != last;
}

void scheduler::AddHeldTasks(waiting_group const& aGroup,
                             std::map<std::uint32_t, std::string> const& aHeld,
                             std::vector<waiting_group>& aGroups)
{
  if (aHeld.empty() || aGroup.mShape->mIsGang) {
    aGroups.push_back(aGroup);
    aGroups.back().mHeldAt = aHeld;
    return;
  }
  std::map<std::string, std::vector<std::uint32_t>> byWorker;
  for (auto const index : aGroup.mIndexes) {
    auto const found = aHeld.find(index);
    byWorker[found == aHeld.end() ? std::string{} : found->second].push_back(index);
  }
  for (auto& [worker, indexes] : byWorker) {
    aGroups.push_back(aGroup);
    auto& group = aGroups.back();
    group.mIndexes = std::move(indexes);
    if (!worker.empty()) {
      for (auto const index : group.mIndexes) {
        group.mHeldAt[index] = worker;
      }
    }
    // The worker may carry out the late start of a task that is held there beside other runs.
    for (auto const& entry : aHeld) {
      if (entry.second != worker) {
        ++group.mRunningOn[entry.second];
      }
    }
  }
}

std::vector<preemptible_run> scheduler::PreemptibleRuns(std::set<std::string> const& aGuaranteed,
                                                        base::time_point aNow)
{
  std::vector<preemptible_run> runs;
  for (auto const& entry : mOptions.mReplica.Jobs()) {
    auto& job = *entry.second;
    if (job.IsTerminated()) {
      continue;
    }
    auto const isGuaranteed = aGuaranteed.contains(job.Id());
    std::map<std::pair<std::uint32_t, std::uint32_t>, std::size_t> gangs;
    auto const priority = PriorityOf(job);
    job.ForEachTask([&](task_position const& aPosition, tracked_task& aTask) {
      if (aTask.mState.mStatus != task_status::active) {
        return;
      }
      auto const& step = job.Step(aPosition);
      if (step.mIsLongRunning) {
        // Long-running tasks serve users; a stop would count against the number of tasks that may
        // be missing.
        return;
      }
      auto const key = std::pair{ aPosition.mOccurrence, aPosition.mStep };
      std::size_t position = runs.size();
      if (step.mIsGang && gangs.contains(key)) {
        position = gangs[key];
      } else {
        gangs[key] = position;
        runs.push_back({ .mJob = job.Id(),
                         .mDemand = step.mDemand,
                         .mPriority = priority,
                         .mIsGuaranteed = isGuaranteed });
      }
      auto& run = runs[position];
      run.mTasks.push_back(aPosition);
      run.mWorkers.push_back(aTask.mState.mWorker);
      run.mIsStopping =
        run.mIsStopping || aTask.mRunStatus == run_status::stopping || IsFinal(job.Phase());
      auto const since = aTask.mStartedAt == base::time_point{} ? aNow : aTask.mStartedAt;
      auto const seconds = std::chrono::duration<double>(aNow - since).count();
      run.mLostWork += WeightInCores(step.mDemand) * seconds *
                       (step.mIsCheckpointable ? kCheckpointedLossShare : 1.0);
    });
  }
  return runs;
}

void scheduler::Plan()
{
  auto const now = base::Now();
  auto const guaranteed = GuaranteedJobs();
  auto const runs = PreemptibleRuns(guaranteed, now);
  auto snapshots = WorkerSnapshots(now);
  auto const groups = WaitingGroups(guaranteed, now);
  auto demands = PermitDemands(snapshots, groups);
  auto const decision = DecidePlacement(std::move(snapshots), groups, runs, mClaims, now);
  mClaims = decision.mClaims;
  RequestPermits(std::move(demands), decision, now);
  for (auto const& stop : decision.mStops) {
    auto const& run = runs[stop.mRun];
    auto& job = *mOptions.mReplica.FindJob(run.mJob);
    auto const reason =
      (stop.mIsForGuarantee ? "preempted for a guarantee, job " : "preempted for urgent job ") +
      stop.mForJob;
    for (auto const& position : run.mTasks) {
      OrderStop(job, position, reason);
    }
  }
  // The members of a gang share a run number.
  std::map<std::tuple<std::string, std::uint32_t, std::uint32_t>, std::uint32_t> gangRuns;
  for (auto const& start : decision.mStarts) {
    auto& job = *mOptions.mReplica.FindJob(start.mJob);
    auto& task = *job.Find(start.mPosition);
    auto run = task.mState.mRun + 1;
    auto& session = *mSessions.at(start.mWorker);
    if (job.Step(start.mPosition).mIsGang) {
      auto& shared = gangRuns[{ start.mJob, start.mPosition.mOccurrence, start.mPosition.mStep }];
      if (shared == 0) {
        auto const& members = job.Tasks(start.mPosition.mOccurrence, start.mPosition.mStep);
        std::string checkpoint;
        for (auto const& member : members) {
          shared = std::max(shared, member.mState.mRun + 1);
          if (checkpoint.empty()) {
            checkpoint = member.mState.mCheckpoint;
          }
        }
        for (auto& member : job.Tasks(start.mPosition.mOccurrence, start.mPosition.mStep)) {
          member.mState.mCheckpoint = checkpoint;
        }
      }
      run = shared;
    }
    task.mState.mStatus = task_status::active;
    task.mState.mRun = run;
    if (!IsHeldForLateStart(task.mState, now)) {
      task.mState.mLateStartUntilMs = 0;
    }
    task.mState.mWorker = start.mWorker;
    task.mState.mWorkerIncarnationStart = session.mReport.mIncarnationStart;
    task.mState.mIdentifier = session.mReport.mWorker;
    task.mRunStatus = run_status::planned;
    task.mRunStatusSince = now;
    task.mStartedAt = {};
    task.mEndUnknownSince = {};
    task.mIsStartSettled = false;
    task.mOrderedAt = {};
    task.mHasUnansweredCall = false;
    task.mReportedCheckpoint.clear();
    task.mProgress = 0;
    task.mProgressInterval = milliseconds{ 0 };
    task.mProgressAt = now;
    mPlanned.push_back(
      { start.mJob, start.mPosition, run, start.mWorker, session.mReport.mCapacity });
    mDirty.Insert(start.mJob);
    UpdatePhase(job);
  }
}

} // namespace rattanpond::dispatch
