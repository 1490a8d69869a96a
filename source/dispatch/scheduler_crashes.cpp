#include "dispatch/scheduler.h"

#include "base/logging.h"

namespace rattanpond::dispatch {

using base::milliseconds;

namespace {

/// A run that is listed this long after its start does not crash its worker. Run lists may be 1.5 s
/// old before the side reports its worker as absent.
constexpr milliseconds kProbation{ 3000 };
/// A worker of which nothing has been heard for this long after its lease expired has crashed. The
/// users' workers are cut off for 12 s at most, and their leases last 8 s.
constexpr milliseconds kCrashPresumedAfter{ 20'000 };
/// Longest time from the loss of a holder to the takeover of its runs.
constexpr milliseconds kTakeoverTime{ 3000 };

} // namespace

bool scheduler::RecordCrash(std::string const& aNode,
                            std::function<bool(tracked_task const&)> const& aIsOnWorker,
                            std::function<bool(tracked_task const&)> const& aIsCertain)
{
  struct suspect
  {
    job_record* mJob = nullptr;
    task_position mPosition;
  };
  std::vector<suspect> suspects;
  std::set<job_record*> jobs;
  ForEachActiveTask([&](job_record& aJob, task_position const& aPosition, tracked_task& aTask) {
    // No order has left for a planned run.
    if (aTask.mState.mWorker == aNode && aIsOnWorker(aTask) && aTask.mIsOnProbation &&
        aTask.mRunStatus != run_status::planned && !HasSideRestarted(aTask)) {
      suspects.push_back({ &aJob, aPosition });
      jobs.insert(&aJob);
    }
  });
  auto const isAlone = jobs.size() == 1;
  auto hasCulprit = false;
  for (auto const& [job, position] : suspects) {
    auto& task = *job->Find(position);
    auto& state = task.mState;
    hasCulprit = hasCulprit || (isAlone && state.PossibleCrashes() != crash_count{});
    auto const isCertain = aIsCertain(task);
    // A run crashes one worker at most.
    std::erase_if(state.mSuspectedCrashes, [&](suspected_crash const& aCrash) {
      return aCrash.mWorker == aNode && aCrash.mRun == state.mRun;
    });
    if (isCertain) {
      state.mCrashes.Add(isAlone);
    } else {
      state.mSuspectedCrashes.push_back({ .mWorker = aNode,
                                          .mWorkerIncarnationStart = state.mWorkerIncarnationStart,
                                          .mRun = state.mRun,
                                          .mIsAlone = isAlone,
                                          .mSince = base::Now() });
    }
    mDirty.Insert(job->Id());
    base::Log("scheduler")
      ->warn("worker-crash node={} born={} task={} run={} certain={} crashes={} alone={} "
             "suspected={} suspects={}",
             aNode, state.mWorkerIncarnationStart, TaskName(job->Id(), position), state.mRun,
             isCertain, state.mCrashes.mCrashes, state.mCrashes.mAlone,
             state.mSuspectedCrashes.size(), jobs.size());
    mOptions.mMetrics.Counter("rattanpond_suspected_crashes").Add();
    FailCauseOfCrashes(*job, position);
  }
  return hasCulprit;
}

bool scheduler::HasSideRestarted(tracked_task const& aTask) const
{
  return mOptions.mReplica.SideVersion(aTask.mState.mWorker) > aTask.mStoredVersion;
}

void scheduler::FailCauseOfCrashes(job_record& aJob, task_position const& aPosition)
{
  auto const& crashes = aJob.Find(aPosition)->mState.mCrashes;
  if (!crashes.IsCause() || IsFinal(aJob.Phase())) {
    return;
  }
  base::Log("scheduler")
    ->warn("job-failed job={} task={} crashes={} alone={}", aJob.Id(),
           TaskName(aJob.Id(), aPosition), crashes.mCrashes, crashes.mAlone);
  FailJob(aJob);
}

scheduler::crash_verdict scheduler::Judge(tracked_task const& aTask, suspected_crash const& aCrash,
                                          base::time_point aNow) const
{
  auto const& state = aTask.mState;
  auto const isInDoubt = state.mStatus == task_status::active && state.mRun == aCrash.mRun &&
                         state.mWorkerIncarnationStart > aCrash.mWorkerIncarnationStart;
  if (isInDoubt) {
    return crash_verdict::open;
  }
  if (auto const found = mSessions.find(aCrash.mWorker);
      found != mSessions.end() && found->second->mHasReport) {
    auto const& report = found->second->mReport;
    if (report.mIncarnationStart > aCrash.mWorkerIncarnationStart) {
      return crash_verdict::confirmed;
    }
    if (report.mIncarnationStart == aCrash.mWorkerIncarnationStart &&
        report.mState != worker_state::absent) {
      return crash_verdict::refuted;
    }
  }
  auto const since = aCrash.mSince == base::time_point{} ? mHolderSince : aCrash.mSince;
  return aNow - since > kCrashPresumedAfter ? crash_verdict::confirmed : crash_verdict::open;
}

void scheduler::SettleSuspectedCrashes(base::time_point aNow)
{
  for (auto const& entry : mOptions.mReplica.Jobs()) {
    auto& job = *entry.second;
    if (IsFinal(job.Phase())) {
      continue;
    }
    job.ForEachTask([&](task_position const& aPosition, tracked_task& aTask) {
      if (aTask.mState.mSuspectedCrashes.empty()) {
        return;
      }
      std::erase_if(aTask.mState.mSuspectedCrashes, [&](suspected_crash const& aCrash) {
        auto const verdict = Judge(aTask, aCrash, aNow);
        if (verdict == crash_verdict::open) {
          return false;
        }
        if (verdict == crash_verdict::confirmed) {
          aTask.mState.mCrashes.Add(aCrash.mIsAlone);
        }
        LogVerdict(TaskName(job.Id(), aPosition), aCrash, verdict);
        mDirty.Insert(job.Id());
        SchedulePlanning();
        return true;
      });
      FailCauseOfCrashes(job, aPosition);
    });
  }
}

void scheduler::LogVerdict(std::string const& aTask, suspected_crash const& aCrash,
                           crash_verdict aVerdict)
{
  auto const isConfirmed = aVerdict == crash_verdict::confirmed;
  base::Log("scheduler")
    ->info("{} node={} born={} task={} run={} alone={}",
           isConfirmed ? "crash-confirmed" : "crash-refuted", aCrash.mWorker,
           aCrash.mWorkerIncarnationStart, aTask, aCrash.mRun, aCrash.mIsAlone);
  mOptions.mMetrics
    .Counter(isConfirmed ? "rattanpond_crashes_confirmed" : "rattanpond_crashes_refuted")
    .Add();
}

bool scheduler::TakeBackCrash(job_record& aJob, task_position const& aPosition)
{
  auto& state = aJob.Find(aPosition)->mState;
  auto const taken = std::erase_if(state.mSuspectedCrashes, [&](suspected_crash const& aCrash) {
    auto const isRefuted = aCrash.mWorker == state.mWorker && aCrash.mRun == state.mRun;
    if (isRefuted) {
      LogVerdict(TaskName(aJob.Id(), aPosition), aCrash, crash_verdict::refuted);
    }
    return isRefuted;
  });
  if (taken > 0) {
    mDirty.Insert(aJob.Id());
  }
  return taken > 0;
}

bool scheduler::MayHaveHardlyBegun(tracked_task const& aTask) const
{
  if (aTask.mState.PossibleCrashes() != crash_count{}) {
    return true;
  }
  if (aTask.mRunSeenAt != base::time_point{}) {
    return mHolderSince - aTask.mRunSeenAt < kProbation + kTakeoverTime;
  }
  // Nothing tells the age of the run. After the loss of all machines most runs are first ones, and
  // their tasks must not all start alone.
  return aTask.mState.mRun > 1 && aTask.mState.mCheckpoint.empty();
}

void scheduler::EndProbation(job_record& aJob, tracked_task& aTask, base::time_point aNow)
{
  if (aTask.mStartedAt == base::time_point{} || aNow - aTask.mStartedAt < kProbation) {
    return;
  }
  aJob.SetProvenRun();
  aTask.mIsOnProbation = false;
  if (aTask.mState.PossibleCrashes() != crash_count{}) {
    aTask.mState.mCrashes = {};
    aTask.mState.mSuspectedCrashes.clear();
    mDirty.Insert(aJob.Id());
    SchedulePlanning();
  }
}

} // namespace rattanpond::dispatch
