#pragma once

#include "base/time.h"
#include "dispatch/job.h"
#include "dispatch/job_parts.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace rattanpond::dispatch {

/// Status of a run as the holder of the term has observed it; not stored.
enum class run_status
{
  /// No report has shown yet whether the worker has the run.
  unconfirmed,
  /// The transaction that stores the run is not committed yet; no start order has been sent.
  planned,
  /// The start order has been issued; its result has not arrived.
  starting,
  running,
  stopping
};

/// A task: its stored state and what only this process keeps about it.
struct tracked_task
{
  task_state mState;
  run_status mRunStatus = run_status::unconfirmed;
  base::time_point mRunStatusSince{};
  base::time_point mStartedAt{};
  /// Time since which the task's turn has come while it has no run; a run that is listed resets it.
  base::time_point mWaitingSince{};
  /// Time since which it is unknown whether the run is still running; not set while it is listed.
  base::time_point mEndUnknownSince{};
  /// Progress in the worker's run list, and the time of its last change.
  std::int64_t mProgress = 0;
  base::time_point mProgressAt{};
  /// Time between the last two changes of mProgress.
  base::milliseconds mProgressInterval{ 0 };
  /// Checkpoint of the current run in the worker's run list.
  std::string mReportedCheckpoint;
  /// Whether the end of the run gives the run time of the whole task: this process started it, and
  /// not from a checkpoint.
  bool mIsRunTimeMeasured = false;
  /// Whether the run has started too recently to show that it does not crash its worker.
  bool mIsOnProbation = false;
  /// Whether the worker has listed the run after every call to start it was answered. No other
  /// incarnation can then receive a late call, so the run ends with this one.
  bool mIsStartSettled = false;
  /// Time at which this holder sent the start order; not set for runs of former holders.
  base::time_point mOrderedAt{};
  /// Version of the transaction that stored the run, or of a later one if a former holder did.
  std::uint64_t mStoredVersion = 0;
  /// Whether the side has reported that a call to start or stop the run had no answer.
  bool mHasUnansweredCall = false;
  /// Time at which a process that only follows the store learned of the run; not set if it was
  /// stored before.
  base::time_point mRunSeenAt{};
  /// Number of runs that were stopped because they had stalled.
  std::uint32_t mStallCount = 0;
  /// Worker of the last failed run; the next run is placed on another one if possible.
  std::string mFailedOn;
  /// Whether mState.mCheckpoint comes from a row with checkpoints, not from the row of the state.
  bool mIsCheckpointInOwnRow = false;
};

/// A job and the state of all its tasks.
class job_record
{
public:
  job_record(std::string aId, job_description aDescription);

  std::string const& Id() const { return mId; }
  job_description const& Description() const { return mDescription; }

  job_phase Phase() const { return mPhase; }
  void SetPhase(job_phase aPhase) { mPhase = aPhase; }

  tracked_task* Find(task_position const& aPosition);
  tracked_task const* Find(task_position const& aPosition) const;
  job_step const& Step(task_position const& aPosition) const
  {
    return mDescription.mSteps[aPosition.mStep];
  }
  std::vector<tracked_task>& Tasks(std::uint32_t aOccurrence, std::uint32_t aStep);
  std::vector<tracked_task> const& Tasks(std::uint32_t aOccurrence, std::uint32_t aStep) const;

  /// Tasks of a step with a run that may be running.
  std::vector<task_position> ActiveTasks(std::uint32_t aOccurrence, std::uint32_t aStep) const;

  void ForEachTask(std::function<void(task_position const&, tracked_task&)> const& aVisit);

  bool IsStepDone(std::uint32_t aOccurrence, std::uint32_t aStep) const;
  /// True if all steps that the step depends on are done.
  bool IsStepReady(std::uint32_t aOccurrence, std::uint32_t aStep) const;
  bool IsDone() const;
  /// True if any task has had a run.
  bool HasStarted() const;

  /// Whether a run of the job is known to have outlived its probation.
  bool HasProvenRun() const { return mHasProvenRun; }
  void SetProvenRun() { mHasProvenRun = true; }

  /// True if the job has ended and none of its runs can still be running.
  bool IsTerminated() const { return mIsTerminated; }
  void SetTerminated() { mIsTerminated = true; }

  job_parts const& Parts() const { return mParts; }
  /// Whether the store has the job's state in parts. False for a large job whose state an earlier
  /// version of the program has stored in one row.
  bool IsInParts() const { return mIsInParts; }
  /// Encodes the rows that differ from the store. Checkpoints that the row of their states has no
  /// room for are moved to rows of their own, the longest ones first.
  state_change EncodeChange(change_limits const& aLimits);
  void MarkPartsStored(std::uint64_t aVersion, std::vector<part_change> const& aParts);
  /// Records that the row with the phase has been stored; from then on the parts are in force.
  void MarkInParts() { mIsInParts = mParts.Count() > 0; }
  /// Records that the rows of these parts have been removed from the store.
  void MarkPartsRemoved(std::vector<std::uint32_t> const& aParts);
  std::vector<std::uint32_t> PartsWithRows() const;
  /// Replaces the states of a part's tasks by those of its row. The row is kept back until the one
  /// with the phase shows that the state is in parts. Returns false if it cannot be decoded.
  bool ApplyPart(std::uint32_t aPart, std::uint64_t aVersion, std::string const& aText,
                 base::time_point aStoredAt = {});
  /// Sets the tasks of a part to waiting, since the store has no row for it.
  void ResetPart(std::uint32_t aPart);
  /// Records that rows with checkpoints have been stored or removed.
  void MarkCheckpointRowsStored(std::vector<checkpoint_row_change> const& aRows)
  {
    mCheckpointRows.MarkStored(aRows);
  }
  /// Numbers of the rows with checkpoints in the store.
  std::vector<std::uint32_t> CheckpointRows() const { return mCheckpointRows.Rows(); }
  /// Applies a row with checkpoints. A checkpoint in the stored state of a task takes precedence.
  /// Returns false if the row cannot be decoded.
  bool ApplyCheckpointRow(std::uint32_t aRow, std::string const& aText);
  void RemoveCheckpointRow(std::uint32_t aRow);

  /// Encodes the phase and the state of all tasks that differ from the initial one.
  std::string EncodeState() const;
  /// Replaces the state by a stored one; tasks that it does not contain become waiting. Returns
  /// false and changes nothing if the text cannot be decoded. aStoredAt: the time of the change, if
  /// it is known.
  bool ApplyState(std::string const& aText, base::time_point aStoredAt = {});

  /// Sets all tasks to waiting, as in a job without a stored state.
  void ResetState();

  /// The phase in the store, which is the one that callers receive.
  job_phase StoredPhase() const { return mStoredPhase; }
  /// Records that the store has a state with this version and phase.
  void MarkStateStored(std::uint64_t aVersion, job_phase aPhase)
  {
    mStateVersion = aVersion;
    mStoredPhase = aPhase;
  }
  /// Version of the stored state's row; 0 if there is none.
  std::uint64_t StateVersion() const { return mStateVersion; }

  /// Copies the reported checkpoints of active runs to the state that is stored next.
  void ApplyReportedCheckpoints();

  base::time_point mReceivedAt{};
  base::time_point mCheckpointsAppliedAt{};
  base::time_point mEndedAt{};
  /// Checkpoints that no row had room for at the last change.
  std::size_t mCheckpointsLeftOut = 0;

private:
  struct task_states;

  /// Encodes states in a row of at most aMaximumBytes.
  std::string EncodeRow(task_states aStates, std::size_t aMaximumBytes,
                        std::function<std::string(task_states const&)> const& aEncode);
  std::string EncodeWhole(task_states const& aStates) const;
  /// Gives tasks without a checkpoint in the row of their states the one from a row of its own.
  void CompleteCheckpoints();

  void ApplyTasks(task_states const& aStates, std::optional<std::uint32_t> aPart,
                  base::time_point aStoredAt);
  /// Hash of the states of a part's tasks; tasks without any run do not count.
  std::uint64_t FingerprintOf(std::uint32_t aPart) const;

  std::string mId;
  job_description mDescription;
  job_parts mParts;
  std::vector<stored_part> mStoredParts;
  bool mIsInParts = false;
  /// Rows of parts that arrived before the row with the phase.
  std::map<std::uint32_t, std::string> mPendingParts;
  checkpoint_rows mCheckpointRows;
  job_phase mPhase = job_phase::queued;
  job_phase mStoredPhase = job_phase::queued;
  std::uint64_t mStateVersion = 0;
  bool mIsTerminated = false;
  bool mHasProvenRun = false;
  /// Indexed by occurrence, step and task.
  std::vector<std::vector<std::vector<tracked_task>>> mTasks;
};

} // namespace rattanpond::dispatch

template<>
struct rattanpond::base::enum_names<rattanpond::dispatch::run_status>
{
  using status = rattanpond::dispatch::run_status;
  static constexpr enum_name<status> kTable[] = { { status::unconfirmed, "unconfirmed" },
                                                  { status::planned, "planned" },
                                                  { status::starting, "starting" },
                                                  { status::running, "running" },
                                                  { status::stopping, "stopping" } };
};
