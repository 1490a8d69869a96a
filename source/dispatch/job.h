#pragma once

#include "base/codec.h"
#include "dispatch/crash_count.h"

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace rattanpond::dispatch {

/// Processors, memory and accelerators: the demand of one task or the capacity of one worker.
struct resources
{
  std::int64_t mMillicores = 0;
  std::int64_t mMemoryMebibytes = 0;
  std::int64_t mAccelerators = 0;

  bool operator==(resources const&) const = default;

  bool Covers(resources const& aDemand) const
  {
    return mMillicores >= aDemand.mMillicores && mMemoryMebibytes >= aDemand.mMemoryMebibytes &&
           mAccelerators >= aDemand.mAccelerators;
  }
  resources& operator+=(resources const& aOther)
  {
    mMillicores += aOther.mMillicores;
    mMemoryMebibytes += aOther.mMemoryMebibytes;
    mAccelerators += aOther.mAccelerators;
    return *this;
  }
  resources& operator-=(resources const& aOther)
  {
    mMillicores -= aOther.mMillicores;
    mMemoryMebibytes -= aOther.mMemoryMebibytes;
    mAccelerators -= aOther.mAccelerators;
    return *this;
  }

  static constexpr auto Fields()
  {
    return std::make_tuple(base::Field("millicores", &resources::mMillicores),
                           base::Field("memory_mebibytes", &resources::mMemoryMebibytes),
                           base::Field("accelerators", &resources::mAccelerators));
  }
};

/// A group of identical tasks of a job.
struct job_step
{
  std::uint32_t mCount = 1;
  resources mDemand{};
  base::milliseconds mEstimate{ 0 };
  /// Indexes of the steps whose tasks must all be done before this step starts.
  std::vector<std::uint32_t> mDependencies{};
  bool mIsCheckpointable = false;
  bool mIsGang = false;
  bool mIsSameRack = false;
  std::string mRequiredLabel{};
  std::string mDataRack{};
  /// 0 for no limit.
  std::uint32_t mMaximumPerWorker = 0;
  bool mIsSpeculative = false;
  /// Tasks run until the job is cancelled and are restarted whenever they end.
  bool mIsLongRunning = false;
  std::uint32_t mMaximumMissing = 0;
  std::string mImage{};
  /// Response-time target of a serving task; 0 for all other tasks.
  base::milliseconds mServingTarget{ 0 };
  /// Tasks run on processors that the other tasks of their worker leave idle.
  bool mIsBestEffort = false;

  bool operator==(job_step const&) const = default;

  static constexpr auto Fields()
  {
    return std::make_tuple(
      base::Field("count", &job_step::mCount, { 1, 100'000 }),
      base::Field("need", &job_step::mDemand), base::Field("estimate_ms", &job_step::mEstimate),
      base::Field("after", &job_step::mDependencies),
      base::Field("checkpointable", &job_step::mIsCheckpointable),
      base::Field("gang", &job_step::mIsGang), base::Field("same_rack", &job_step::mIsSameRack),
      base::Field("label", &job_step::mRequiredLabel),
      base::Field("data_rack", &job_step::mDataRack),
      base::Field("maximum_per_worker", &job_step::mMaximumPerWorker),
      base::Field("speculative", &job_step::mIsSpeculative),
      base::Field("long_running", &job_step::mIsLongRunning),
      base::Field("maximum_missing", &job_step::mMaximumMissing),
      base::Field("image", &job_step::mImage),
      base::Field("serving_target_ms", &job_step::mServingTarget),
      base::Field("fills_idle", &job_step::mIsBestEffort));
  }
};

/// A job as it was accepted. Immutable.
struct job_description
{
  std::string mQueue{};
  /// Service of the queue at the time of acceptance; used if the queue is removed later.
  std::string mService{};
  std::string mWorkspace{};
  std::string mCommand{};
  std::vector<job_step> mSteps{};
  /// Number of occurrences of a timed job; 0 for a job that runs once, without delay.
  std::uint32_t mOccurrences = 0;
  std::int64_t mFirstDueWallMs = 0;
  base::milliseconds mInterval{ 0 };
  std::int64_t mAcceptedWallMs = 0;

  std::uint32_t Runs() const { return mOccurrences == 0 ? 1 : mOccurrences; }

  static constexpr auto Fields()
  {
    return std::make_tuple(base::Required("queue", &job_description::mQueue),
                           base::Field("service", &job_description::mService),
                           base::Field("workspace", &job_description::mWorkspace),
                           base::Field("command", &job_description::mCommand),
                           base::Required("steps", &job_description::mSteps),
                           base::Field("occurrences", &job_description::mOccurrences, { 0, 1000 }),
                           base::Field("first_due_wall_ms", &job_description::mFirstDueWallMs),
                           base::Field("interval_ms", &job_description::mInterval),
                           base::Field("accepted_wall_ms", &job_description::mAcceptedWallMs));
  }
};

/// Limits of one job; the tasks are counted over all its occurrences.
inline constexpr std::size_t kMaximumSteps = 200;
inline constexpr std::int64_t kMaximumTasks = 20'000;

/// Encodes a description for the store, without the members of steps that have their defaults.
std::string EncodeDescription(job_description const& aJob);

/// Returns why a description cannot be a job, or an empty text. Rows in the store may come from
/// other programs.
std::string WhyImpossible(job_description const& aJob);

enum class job_phase
{
  queued,
  running,
  done,
  failed,
  cancelled
};

enum class task_status
{
  waiting,
  /// The store has a run of the task; it may be running on its worker until its end is confirmed.
  active,
  done
};

/// The stored state of a task: its status and its last run.
struct task_state
{
  task_status mStatus = task_status::waiting;
  std::uint32_t mRun = 0;
  /// Worker of the run; the next member identifies its incarnation.
  std::string mWorker{};
  std::int64_t mWorkerIncarnationStart = 0;
  /// Identifier of that incarnation, which the next one may have as well. Stored for as long as a
  /// call for the run may be carried out; empty if it is unknown.
  std::string mIdentifier{};
  std::uint32_t mFailures = 0;
  /// Number of the last run that has been counted in mFailures; kept for the first member of a
  /// gang, whose members share the count and the run numbers.
  std::uint32_t mLastFailedRun = 0;
  std::string mCheckpoint{};
  /// Crashes that are certain.
  crash_count mCrashes{};
  std::vector<suspected_crash> mSuspectedCrashes{};
  /// Time on the store's clock, in milliseconds, until which a call to start an earlier run may
  /// still be carried out by mWorker or a later incarnation of it. The task starts nowhere else
  /// until then. 0 if there is no such call.
  std::int64_t mLateStartUntilMs = 0;

  bool operator==(task_state const&) const = default;

  /// The task needs no checkpoint any more.
  void MarkDone()
  {
    mStatus = task_status::done;
    mCheckpoint.clear();
  }

  bool MayReceiveCalls() const { return mStatus == task_status::active || mLateStartUntilMs != 0; }

  /// Crashes that are certain or suspected.
  crash_count PossibleCrashes() const
  {
    auto count = mCrashes;
    for (auto const& crash : mSuspectedCrashes) {
      count.Add(crash.mIsAlone);
    }
    return count;
  }

  /// Whether the task waits until some of its suspected crashes are confirmed or refuted. Another
  /// start could crash one worker too many, and only confirmed crashes may fail the job.
  bool AwaitsCrashes() const
  {
    return !mSuspectedCrashes.empty() && PossibleCrashes().HasReachedLimit();
  }

  /// Counts a failed run of a gang, which each of its members may report. Returns false if the run
  /// has been counted.
  bool CountGangFailure(std::uint32_t aRun)
  {
    if (aRun <= mLastFailedRun) {
      return false;
    }
    mLastFailedRun = aRun;
    ++mFailures;
    return true;
  }
};

/// Identifies a task within its job.
struct task_position
{
  std::uint32_t mOccurrence = 0;
  std::uint32_t mStep = 0;
  std::uint32_t mIndex = 0;

  bool operator==(task_position const&) const = default;
  bool operator<(task_position const& aOther) const
  {
    return std::tie(mOccurrence, mStep, mIndex) <
           std::tie(aOther.mOccurrence, aOther.mStep, aOther.mIndex);
  }
};

/// Returns "<job>.<occurrence>.<step>.<index>".
std::string TaskName(std::string const& aJob, task_position const& aPosition);

/// Returns "<job>.<occurrence>.<step>".
std::string StepName(std::string const& aJob, task_position const& aPosition);

struct parsed_task
{
  std::string mJob{};
  task_position mPosition;
};

std::optional<parsed_task> ParseTaskName(std::string const& aName);

inline bool IsFinal(job_phase aPhase)
{
  return aPhase == job_phase::done || aPhase == job_phase::failed || aPhase == job_phase::cancelled;
}

} // namespace rattanpond::dispatch

template<>
struct rattanpond::base::enum_names<rattanpond::dispatch::job_phase>
{
  using phase = rattanpond::dispatch::job_phase;
  static constexpr enum_name<phase> kTable[] = { { phase::queued, "queued" },
                                                 { phase::running, "running" },
                                                 { phase::done, "done" },
                                                 { phase::failed, "failed" },
                                                 { phase::cancelled, "cancelled" } };
};
