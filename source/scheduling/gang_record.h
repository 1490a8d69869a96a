#pragma once

#include "scheduling/gang_description.h"
#include "scheduling/messages.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace rattanpond::scheduling {

enum class gang_phase
{
  reserving,
  committing,
  live,
  /// Ordered to checkpoint and to stop by a deadline.
  preempting,
  /// Ordered to stop immediately.
  stopping,
  over
};

/// How a gang ended, from the scheduler's point of view.
enum class gang_end
{
  /// An agent refused or did not answer; no task was started.
  not_placed,
  finished,
  failed,
  stopped,
  lost
};

enum class gang_order
{
  reserve,
  commit,
  release,
  preempt,
  stop
};

/// A message to the agent of one worker.
struct gang_action
{
  gang_order mOrder = gang_order::reserve;
  std::string mWorker;
  base::milliseconds mNotice{ 0 };
  std::string mReason;
};

} // namespace rattanpond::scheduling

template<>
struct rattanpond::base::enum_names<rattanpond::scheduling::gang_phase>
{
  using type = rattanpond::scheduling::gang_phase;
  static constexpr enum_name<type> kTable[] = {
    { type::reserving, "reserving" },   { type::committing, "committing" }, { type::live, "live" },
    { type::preempting, "preempting" }, { type::stopping, "stopping" },     { type::over, "over" },
  };
};

template<>
struct rattanpond::base::enum_names<rattanpond::scheduling::gang_end>
{
  using type = rattanpond::scheduling::gang_end;
  static constexpr enum_name<type> kTable[] = {
    { type::not_placed, "not_placed" }, { type::finished, "finished" }, { type::failed, "failed" },
    { type::stopped, "stopped" },       { type::lost, "lost" },
  };
};

namespace rattanpond::scheduling {

/// The scheduler's record of one gang from its placement to its end. Performs no I/O: the caller
/// sends the returned actions and passes in replies and reports. The agents decide on the gang's
/// liveness; the scheduler only tracks it.
class gang_record
{
public:
  using actions = std::vector<gang_action>;

  struct timings
  {
    base::milliseconds mReserveTimeout{ 2000 };
    base::milliseconds mCommitTimeout{ 2000 };
    base::milliseconds mResendInterval{ 2000 };
    /// A part on an absent worker is considered ended this long after another part ended: the
    /// agents stop a broken gang within its lease and stop grace period.
    base::milliseconds mBrokenGangTimeout{ 6000 };
    /// A part on an absent worker is considered ended this long after the worker left. Equals the
    /// task lease.
    base::milliseconds mLostWorkerTimeout{ 10'000 };
  };

  /// Creates the record of a gang that is to be placed. Reserve returns its first actions.
  gang_record(gang_description aDescription, timings aTimings, base::time_point aNow);
  /// Creates the record of a gang that agents report and that this scheduler did not place.
  static gang_record Adopt(gang_description aDescription, timings aTimings, base::time_point aNow);

  actions Reserve();
  actions OnReserveReply(reserve_reply const& aReply, base::time_point aNow);
  actions Reported(std::string const& aWorker, part_report const& aReport, base::time_point aNow);
  /// Handles a full report of the worker that does not list the gang.
  actions OnGangMissing(std::string const& aWorker, base::time_point aNow);
  void WorkerLeft(std::string const& aWorker, base::time_point aNow);
  void WorkerJoined(std::string const& aWorker);
  actions Preempt(base::milliseconds aNotice, std::string aReason, base::time_point aNow);
  actions Stop(std::string aReason, base::time_point aNow);
  actions Tick(base::time_point aNow);

  gang_description const& Description() const { return mDescription; }
  gang_phase Phase() const { return mPhase; }
  bool IsOver() const { return mPhase == gang_phase::over; }
  bool IsStopping() const
  {
    return mPhase == gang_phase::preempting || mPhase == gang_phase::stopping;
  }
  gang_end End() const { return mEnd; }
  std::string const& Reason() const { return mReason; }
  /// Worker of the first failed member.
  std::string const& FailedWorker() const { return mFailedWorker; }
  /// Whether every member is running or has finished.
  bool IsRunning() const;
  /// Whether all agents have committed the gang, so that it will either start or be reported as
  /// ended.
  bool IsCommitted() const { return mPhase != gang_phase::reserving && AllCommitted(); }
  /// Keys of the checkpoints of all ranks; empty unless every rank has one.
  std::vector<std::string> CompleteCheckpoint() const;
  base::milliseconds CheckpointedWork() const;
  base::time_point Started() const { return mStarted; }
  base::time_point StopDeadline() const { return mStopsBy; }

private:
  struct part
  {
    roster_member mMember;
    bool mIsReserved = false;
    bool mIsCommitted = false;
    member_state mState = member_state::unknown;
    bool mIsOver = false;
    std::optional<base::time_point> mAbsentSince;
    std::vector<std::string> mCheckpoints;
    base::milliseconds mCheckpointedWork{ 0 };
  };

  part* Find(std::string const& aWorker);
  bool AllCommitted() const;
  actions Abort(std::string aReason, base::time_point aNow);
  actions ForParts(gang_order aOrder) const;
  void CheckEnd();

  gang_description mDescription;
  timings mTimings;
  std::vector<part> mParts;
  gang_phase mPhase = gang_phase::reserving;
  gang_end mEnd = gang_end::stopped;
  std::string mReason;
  std::string mFailedWorker;
  base::time_point mStarted;
  base::time_point mDeadline;
  base::time_point mStopsBy{};
  base::time_point mNextResend{};
  std::optional<base::time_point> mFirstEndAt;
  bool mHasLostPart = false;
};

} // namespace rattanpond::scheduling
