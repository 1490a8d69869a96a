#pragma once

#include "bench/policy_metrics.h"
#include "bench/policy_workload.h"
#include "placement/policy.h"

#include <map>
#include <queue>
#include <string>
#include <vector>

namespace rattanpond::bench {

/// Replays an arrival table on a virtual clock: applies a policy's decisions at once, ends gangs
/// after their real run time, and injects the faults of the table. It models neither network nor
/// tasks.
class policy_replay
{
public:
  policy_replay(policy_workload const& aWorkload, placement::policy& aPolicy);

  policy_metrics Run();

private:
  enum class event_kind
  {
    arrival,
    finish,
    stopped,
    failed,
    cancel,
    domain_out,
    domain_back,
    decide
  };

  struct event
  {
    base::time_point mAt{};
    std::uint64_t mOrder = 0;
    event_kind mKind = event_kind::decide;
    std::size_t mJob = 0;
    /// Start that the event belongs to; an event of an earlier start is ignored.
    std::uint64_t mAttempt = 0;

    bool operator>(event const& aOther) const
    {
      return mAt != aOther.mAt ? mAt > aOther.mAt : mOrder > aOther.mOrder;
    }
  };

  struct progress
  {
    /// Run time that checkpoints have saved.
    base::milliseconds mSaved{ 0 };
    std::uint64_t mAttempt = 0;
    bool mIsRunning = false;
    bool mHasStarted = false;
    /// When work began in this attempt, after starting again.
    base::time_point mWorksFrom{};
    /// When the job could first have had its workspace's guarantee, for the reclaim time.
    base::time_point mEntitledSince = base::time_point::max();
    bool mIsMissed = false;
  };

  void Push(base::time_point aAt, event_kind aKind, std::size_t aJob = 0,
            std::uint64_t aAttempt = 0);
  void Handle(event const& aEvent);
  void Arrive(std::size_t aJob);
  void Wait(std::size_t aJob);
  void Cancel(std::size_t aJob);
  void SetDomain(placement::worker_availability aAvailability);
  void Decide();
  void ScheduleDecision(base::time_point aAt);
  void RefreshCheckpoints();
  void Apply(placement::decisions const& aDecisions);
  void Start(placement::start_gang const& aStart);
  void CheckStart(placement::start_gang const& aStart, trace_job const& aJob);
  void Stop(std::string const& aJob, base::milliseconds aNotice);
  void End(std::size_t aJob, placement::gang_outcome aOutcome);
  void Account(base::time_point aUntil);
  void AccountEntitlement();
  bool IsEntitled(trace_job const& aJob) const;
  base::milliseconds WorkDone(std::size_t aJob) const;
  /// Work in this attempt that a checkpoint has saved by now.
  base::milliseconds Checkpointed(std::size_t aJob) const;
  void CountAbsenceWork(std::size_t aJob, base::milliseconds aUseful);
  std::size_t Index(std::string const& aName) const { return mIndex.at(aName); }
  bool IsFailing(placement::running_gang const& aGang) const;

  policy_workload const& mWorkload;
  placement::policy& mPolicy;
  placement::cluster_state mState;
  std::map<std::string, std::size_t> mIndex;
  std::vector<progress> mProgress;
  std::priority_queue<event, std::vector<event>, std::greater<>> mEvents;
  std::uint64_t mOrder = 0;
  base::time_point mNow{};
  base::time_point mNextDecision = base::time_point::max();
  std::map<std::string, std::int64_t> mFreeNow;
  configuration::guaranteed_shape mLargest;
  policy_metrics mMetrics;
};

} // namespace rattanpond::bench
