#pragma once

#include "base/time.h"
#include "dispatch/job.h"
#include "dispatch/start_obstacle.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace rattanpond::dispatch {

/// State of a worker as input of the placement decision.
struct worker_snapshot
{
  std::string mWorker{};
  std::string mService{};
  std::string mRack{};
  std::vector<std::string> mLabels{};
  resources mCapacity{};
  /// Capacity less the demand of all runs that may still be running on the worker.
  resources mFree{};
  /// Whether serving tasks, or best-effort tasks, run on the worker.
  bool mHasServing = false;
  bool mHasBestEffort = false;
  /// Why nothing at all is started on the worker; none if it accepts starts.
  start_obstacle mBarrier = start_obstacle::none;
  /// Whether the worker is to prove itself: it receives one task at a time, and only of groups that
  /// can afford a failure.
  bool mIsSuspect = false;
  bool mHasRuns = false;

  bool AcceptsStarts() const { return mBarrier == start_obstacle::none; }
};

/// Waiting tasks of one step: a gang, which is placed as a whole, or tasks that start
/// independently.
struct waiting_group
{
  std::string mJob{};
  std::uint32_t mOccurrence = 0;
  std::uint32_t mStep = 0;
  std::vector<std::uint32_t> mIndexes{};
  job_step const* mShape = nullptr;
  std::string mService{};
  std::uint32_t mPriority = 0;
  /// Priority 0 and within its workspace's guarantee: the whole group starts within the reclaim
  /// bound.
  bool mIsGuaranteed = false;
  /// Time by which the job must be done to meet its objective.
  base::time_point mDueBy{};
  /// Whether the job would miss its objective even if it started now.
  bool mIsLate = false;
  /// Work of other jobs, in core-seconds, that preemption for this group may discard; not applied
  /// to guaranteed groups.
  double mPreemptionBudget = 0;
  /// Number of tasks of the step that run on a worker, or may start there late, for the limit per
  /// worker. Without the tasks of the group.
  std::map<std::string, std::uint32_t> mRunningOn{};
  /// Workers on which its tasks failed earlier, avoided if others can run the group.
  std::vector<std::string> mFailedOn{};
  /// Whether one more failure ends the job.
  bool mIsLastAttempt = false;
  /// Whether the group starts on workers without other runs, as it may crash them.
  bool mMustRunAlone = false;
  /// Tasks that may start on one worker only, since a call to start an earlier run may still be
  /// carried out there. If the tasks start independently, all or none of a group are in it, with
  /// the same worker.
  std::map<std::uint32_t, std::string> mHeldAt{};
  /// Workers with a permit for the step; nullopt if the queue uses no advice.
  std::optional<std::vector<std::string>> mAllowed{};
  /// Time since which the turn of a task of the group has come while it has no run.
  base::time_point mWaitingSince{};
  /// Whether any task of the job is running.
  bool mIsJobRunning = false;
  /// Expected run time of one task on a worker near its data; 0 if unknown.
  base::milliseconds mExpectedRunTime{ 0 };
};

/// Longest time for which a job without a running task waits for preferred workers while most of
/// its service is free. The users count it as lost after 3 s, and after the decision the start
/// takes a planning interval (0.2 s), a transaction (0.8 s) and an order (0.4 s).
inline constexpr base::milliseconds kLongestPreference{ 1500 };

/// Longest time for which a group waits for workers without other runs. Its tasks may be innocent.
inline constexpr base::milliseconds kLongestIsolation{ 8000 };

/// Runs that are stopped together: those of a gang, or a single one.
struct preemptible_run
{
  std::string mJob{};
  std::vector<task_position> mTasks{};
  /// Worker of each task.
  std::vector<std::string> mWorkers{};
  resources mDemand{};
  std::uint32_t mPriority = 0;
  bool mIsGuaranteed = false;
  bool mIsStopping = false;
  /// Work, in core-seconds, that a stop discards.
  double mLostWork = 0;
};

struct placed_task
{
  std::string mJob{};
  task_position mPosition;
  std::string mWorker{};
};

/// A run, or gang, that is stopped to free resources for a more urgent job.
struct preemption
{
  /// Index in the list of preemptible runs.
  std::size_t mRun = 0;
  std::string mForJob{};
  bool mIsForGuarantee = false;
};

/// Workers that a group waits for, one for each of its tasks: runs there have been stopped for it.
struct placement_claim
{
  std::string mJob{};
  std::uint32_t mOccurrence = 0;
  std::uint32_t mStep = 0;
  std::vector<std::string> mWorkers{};
  base::time_point mSince{};
};

/// A claim ends after this time: a stop frees its resources within 0.9 s of the order, which a link
/// and the worker may delay, and a worker that does not end its runs is not waited for.
inline constexpr base::milliseconds kClaimDuration{ 2500 };

struct placement_decision
{
  /// Tasks to start, group by group; the tasks of a gang are adjacent.
  std::vector<placed_task> mStarts{};
  std::vector<preemption> mStops{};
  /// Claims of the groups that still wait, as input of the next decision.
  std::vector<placement_claim> mClaims{};
};

/// Chooses the tasks to start, their workers and the runs to preempt. Guaranteed groups come first,
/// then groups by priority; within a priority, groups that can still meet their objective come
/// first, in order of due time.
placement_decision DecidePlacement(std::vector<worker_snapshot> aWorkers,
                                   std::vector<waiting_group> const& aGroups,
                                   std::vector<preemptible_run> const& aRuns,
                                   std::vector<placement_claim> const& aClaims = {},
                                   base::time_point aNow = {});

/// Whether the worker accepts starts and has the service, label and capacity that the group
/// requires, regardless of how much is free.
bool MeetsRequirements(waiting_group const& aGroup, worker_snapshot const& aWorker);

/// Whether the independent tasks of the group must not start on the worker since a call to start an
/// earlier run may still be carried out on another one, or on this one while it keeps crashing:
/// each crash would count against the task.
bool IsKeptByLateStart(waiting_group const& aGroup, worker_snapshot const& aWorker);

/// Whether the group is kept from a suspect worker while others suffice. The worker is to prove
/// itself with one task at a time, of groups that can afford a failure; a gang cannot, as it fails
/// with any of its members.
bool AvoidsSuspect(waiting_group const& aGroup, worker_snapshot const& aWorker);

/// Resources that one task reserves on its worker; processors of a best-effort task are not
/// reserved.
resources ReservedDemand(job_step const& aStep);

/// Weight of one accelerator in processor cores, used to compare amounts of work.
inline constexpr double kCoresPerAccelerator = 8.0;

double WeightInCores(resources const& aDemand);

/// Below this share in use, most of a service is free. The users judge a job that does not run
/// while under half of its service's capacity is in use.
inline constexpr double kMostlyFreeShare = 0.5;

/// Sums up capacity and use of a service's workers, by weight in cores.
class service_load
{
public:
  /// Counts workers that are there to stay; what runs on others does not come back to them.
  void Add(worker_snapshot const& aWorker);
  /// Share in use; 1 if there is no capacity.
  double Share() const { return mCapacity > 0 ? 1.0 - mFree / mCapacity : 1.0; }

private:
  double mCapacity = 0;
  double mFree = 0;
};

} // namespace rattanpond::dispatch
