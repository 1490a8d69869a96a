#include "dispatch/scheduler.h"

#include "base/logging.h"

namespace rattanpond::dispatch {

using base::milliseconds;

namespace {

/// A run that is listed this long after its start does not crash its worker. Run lists may be 1.5 s
/// old before the side reports its worker as absent.
constexpr milliseconds kProbation{ 3000 };
/// Longest time from the loss of a holder to the takeover of its runs.
constexpr milliseconds kTakeoverTime{ 3000 };

} // namespace

bool scheduler::RecordCrash(std::string const& aNode,
                            std::function<bool(tracked_task const&)> const& aIsOnWorker)
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
        aTask.mRunStatus != run_status::planned) {
      suspects.push_back({ &aJob, aPosition });
      jobs.insert(&aJob);
    }
  });
  auto const isAlone = jobs.size() == 1;
  auto hasCulprit = false;
  for (auto const& [job, position] : suspects) {
    auto& task = *job->Find(position);
    hasCulprit = hasCulprit || (isAlone && task.mState.mCrashes.mCrashes > 0);
    task.mCrashesBeforeDoubt = task.mState.mCrashes;
    task.mState.mCrashes.Add(isAlone);
    mDirty.Insert(job->Id());
    base::Log("scheduler")
      ->warn("worker-crash node={} task={} run={} crashes={} alone={} suspects={}", aNode,
             TaskName(job->Id(), position), task.mState.mRun, task.mState.mCrashes.mCrashes,
             task.mState.mCrashes.mAlone, jobs.size());
    mOptions.mMetrics.Counter("rattanpond_suspected_crashes").Add();
    if (task.mState.mCrashes.IsCause() && !IsFinal(job->Phase())) {
      base::Log("scheduler")
        ->warn("job-failed job={} task={} crashes={} alone={}", job->Id(),
               TaskName(job->Id(), position), task.mState.mCrashes.mCrashes,
               task.mState.mCrashes.mAlone);
      FailJob(*job);
    }
  }
  return hasCulprit;
}

bool scheduler::TakeBackCrash(job_record& aJob, tracked_task& aTask)
{
  if (!aTask.mCrashesBeforeDoubt) {
    return false;
  }
  aTask.mState.mCrashes = *aTask.mCrashesBeforeDoubt;
  aTask.mCrashesBeforeDoubt.reset();
  mDirty.Insert(aJob.Id());
  return true;
}

bool scheduler::MayHaveHardlyBegun(tracked_task const& aTask) const
{
  if (aTask.mState.mCrashes != crash_count{}) {
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
  if (aTask.mState.mCrashes != crash_count{}) {
    aTask.mState.mCrashes = {};
    mDirty.Insert(aJob.Id());
    SchedulePlanning();
  }
}

} // namespace rattanpond::dispatch
