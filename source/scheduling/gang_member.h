#pragma once

#include "platform/task_runner.h"
#include "scheduling/gang_messages.h"
#include "scheduling/gang_timings.h"

#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace rattanpond::scheduling {

enum class gate
{
  open,
  closed
};

/// An operation that the task runner performs on one task of a member.
enum class member_order
{
  start,
  checkpoint,
  stop,
  /// Stops with a higher fence, so that a start call sent earlier cannot take effect afterwards.
  force_stop,
  renew
};

struct member_action
{
  member_order mOrder = member_order::start;
  /// Index of the task within the member, from 0.
  std::uint32_t mTask = 0;
  /// Task lease for start and renew.
  base::milliseconds mLease{ 0 };

  bool operator==(member_action const&) const = default;
};

/// State machine for the tasks of a gang on one worker. Performs no I/O: the caller carries out the
/// returned actions and reports their results. Tasks run only under leases that the coordinator
/// grants.
class gang_member
{
public:
  using actions = std::vector<member_action>;

  struct options
  {
    gang_id mGang;
    std::string mWorker;
    std::uint32_t mTasks = 1;
    /// Whether this worker runs all tasks of the gang. Such a gang cannot lose a peer, so its tasks
    /// keep running while the agent restarts.
    bool mIsWholeGang = false;
    gang_timings mTimings;
    std::uint64_t mFirstHeartbeatNumber = 1;
  };

  gang_member(options aOptions, base::time_point aNow);

  /// Takes over tasks that an earlier agent process started. They run for at most one more lease
  /// unless the coordinator sends a new grant; the runner's task lease is not renewed before that.
  static gang_member Adopt(options aOptions, std::vector<platform::task_phase> const& aPhases,
                           base::time_point aNow);

  gang_heartbeat NextHeartbeat(base::time_point aNow);
  /// Whether the next heartbeat is due. The interval is shorter before the first grant.
  bool IsHeartbeatDue(base::time_point aNow) const { return aNow >= mNextHeartbeat; }

  actions Grant(gang_grant const& aGrant, gate aGate, base::time_point aNow);
  actions Break(gang_break const& aBreak, base::time_point aNow);
  actions Preempt(base::milliseconds aNotice, std::string aReason, base::time_point aNow);
  /// Stops the tasks without a checkpoint.
  actions Stop(std::string aReason, base::time_point aNow);
  actions Tick(gate aGate, base::time_point aNow);

  actions OnTaskStarted(std::uint32_t aTask, base::reply<base::done> const& aReply,
                        base::time_point aNow);
  actions OnTaskCheckpointed(std::uint32_t aTask, base::reply<std::string> const& aReply,
                             base::time_point aNow);
  /// Applies the state of a task in a list that was requested from the runner at aRequestedAt;
  /// aPhase is empty when the runner does not have the task.
  actions OnTaskObserved(std::uint32_t aTask, std::optional<platform::task_phase> aPhase,
                         base::time_point aRequestedAt, base::time_point aNow);
  /// Records that all tasks of a list requested at aRequestedAt were applied. Heartbeats then
  /// acknowledge a round that the member received before that request.
  void OnTasksListed(base::time_point aRequestedAt);
  /// Whether the member acknowledges a new round only after it has received a new task list from
  /// the runner. This prevents an agent that was paused from confirming tasks that have ended in
  /// the meantime.
  bool RequiresTaskList() const;

  member_state State() const { return mState; }
  std::string const& Reason() const { return mReason; }
  std::vector<std::string> const& Checkpoints() const { return mCheckpoints; }
  /// Whether no task runs any more and, for a finished member, the whole gang has ended.
  bool IsClosed() const
  {
    return IsOver(mState) && (mState != member_state::finished || mIsBroken);
  }
  base::time_point LeaseEnd() const { return mLeaseEnd; }

private:
  enum class task_state
  {
    absent,
    /// A start call is in flight; its outcome is unknown until the runner answers.
    starting,
    running,
    finished,
    failed,
    stopped
  };

  enum class stop_mode
  {
    with_gang,
    alone
  };

  struct task
  {
    task_state mState = task_state::absent;
    base::time_point mChangedAt{};
    std::uint32_t mStartAttempts = 0;
    bool mIsCheckpointing = false;
  };

  struct sent_heartbeat
  {
    std::uint64_t mNumber = 0;
    base::time_point mSentAt{};
  };

  void Set(task& aTask, task_state aState, base::time_point aNow);
  actions StartTasks(base::time_point aNow);
  actions BeginCheckpoint(stop_mode aMode, base::time_point aDeadline, std::string aReason,
                          base::time_point aNow);
  actions StopTasks(member_order aOrder, std::string aReason, base::time_point aNow);
  actions HandleTaskEnd(std::string const& aReason, base::time_point aNow);
  actions CompleteCheckpointing(base::time_point aNow);
  actions Renew(base::time_point aNow);
  actions ForTasks(member_order aOrder, base::milliseconds aLease = {}) const;
  void UpdateEndState();
  bool HasNotStarted() const;
  base::milliseconds TaskLease(base::time_point aNow) const;

  options mOptions;
  member_state mState = member_state::waiting;
  std::string mReason;
  std::vector<task> mTasks;
  std::vector<std::string> mCheckpoints;
  std::deque<sent_heartbeat> mSentHeartbeats;
  std::uint64_t mNextHeartbeatNumber = 1;
  /// Latest round that heartbeats acknowledge. While tasks run, a task list requested after the
  /// round was received has confirmed them.
  std::uint64_t mRound = 0;
  std::uint64_t mRoundReceived = 0;
  base::time_point mRoundReceivedAt{};
  base::time_point mCreatedAt;
  base::time_point mNextHeartbeat;
  base::time_point mLeaseEnd;
  bool mIsGranted = false;
  bool mIsBroken = false;
  stop_mode mStopMode = stop_mode::alone;
  base::time_point mStopDeadline{};
  base::time_point mNextForceStop{};
  base::time_point mNextRenew{};
};

} // namespace rattanpond::scheduling
