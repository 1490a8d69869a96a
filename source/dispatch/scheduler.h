#pragma once

#include "base/metrics.h"
#include "dispatch/change_queue.h"
#include "dispatch/failure_history.h"
#include "dispatch/lease_evidence.h"
#include "dispatch/messages.h"
#include "dispatch/pace_control.h"
#include "dispatch/permit_cache.h"
#include "dispatch/placement_decision.h"
#include "dispatch/replica.h"
#include "dispatch/run_end_ledger.h"
#include "dispatch/run_time_estimator.h"
#include "dispatch/silent_sides.h"
#include "dispatch/stop_rate_limiter.h"
#include "dispatch/wait_report.h"
#include "dispatch/worker_health.h"
#include "net/link_dialer.h"
#include "platform/advice_client.h"
#include "platform/deployment_settings.h"

#include <map>
#include <memory>
#include <set>
#include <string>

#include <boost/asio/steady_timer.hpp>

namespace rattanpond::dispatch {

/// The scheduler role of one front. Takes over the term when it is vacant. While it holds the term,
/// it orders starts and stops through the side agents and writes the job states to the store.
class scheduler
{
public:
  struct options
  {
    boost::asio::io_context& mContext;
    platform::row_store& mStore;
    replica& mReplica;
    platform::deployment_settings const& mSettings;
    base::metrics_registry& mMetrics;
    /// Distinguishes this process from earlier ones on the same node.
    std::string mIncarnation;
  };

  explicit scheduler(options aOptions);
  ~scheduler();

  void Start();
  void ReplicaChanged();
  bool IsHolder() const { return mIsHolder; }
  /// Releases the term, so that a standby can take over without waiting for the heartbeat timeout.
  boost::asio::awaitable<void> Release();
  base::json Dump() const;

private:
  /// The connection to one side agent, and the state of its worker.
  struct session
  {
    std::string mNode;
    std::unique_ptr<net::link_dialer> mDialer;
    net::link_ptr mLink;
    base::time_point mOpenedAt{};
    bool mHasReport = false;
    side_report mReport;
    base::time_point mReportedAt{};
    /// First of the consecutive reports that have valid run lists.
    base::time_point mListedSince{};
    /// Whether the last orders did not answer a report, as the store may list the side as silent.
    bool mIsAnswerWithheld = false;
    run_end_ledger mEnds;
    std::vector<start_order> mStarts;
    std::vector<stop_order> mStops;
    std::vector<pace_order> mPaces;
    /// Paces best-effort tasks that share the worker with serving tasks.
    pace_control mPace;
    /// Limits repeated stops of listed runs that are not the current ones.
    stop_rate_limiter mStopLimiter;
    worker_health mHealth;
    base::time_point mStartsPausedUntil{};
  };

  /// A task whose start is ordered once the transaction in flight is committed.
  struct planned_start
  {
    std::string mJob;
    task_position mPosition;
    std::uint32_t mRun = 0;
    std::string mNode;
    /// Capacity of the worker in the decision.
    resources mCapacity{};
  };

  /// A task of a job in the replica; empty if there is none.
  struct found_task
  {
    job_record* mJob = nullptr;
    tracked_task* mTask = nullptr;
    task_position mPosition{};
  };

  /// A group that waits although there is room for it, and its task that has waited longest.
  struct overdue_start
  {
    std::string mTask;
    std::uint32_t mRun = 0;
    std::string mNode;
    base::time_point mSince{};
    std::size_t mTasks = 0;
    wait_report mReport;
  };

  /// What became of a suspected crash.
  enum class crash_verdict
  {
    open,
    confirmed,
    refuted
  };

  /// A job whose state is part of a transaction.
  struct batched_job
  {
    std::string mId;
    job_phase mPhase = job_phase::queued;
    std::vector<part_change> mParts;
    /// Whether no part of the job is left for a later transaction.
    bool mIsComplete = true;
    std::vector<checkpoint_row_change> mCheckpointRows{};
    /// Whether rows with checkpoints are left for a later transaction.
    bool mHasOpenCheckpointRows = false;
  };

  /// Maximum number of jobs in a transaction, and of parts and bytes of each of them.
  struct batch_limits
  {
    std::size_t mJobs = 0;
    std::size_t mParts = 0;
    std::size_t mBytes = 0;
  };

  struct batch
  {
    platform::row_transaction mTransaction;
    std::vector<batched_job> mJobs;
    batch_limits mLimits;
    std::vector<planned_start> mStarts;
    bool mHasRunTimes = false;
    /// By node: the highest run end that was recorded before the transaction.
    std::map<std::string, std::int64_t> mEnds;
    std::uint32_t mAttempts = 0;
    base::time_point mPendingLoggedAt{};
  };

  boost::asio::awaitable<void> RoleLoop();
  boost::asio::awaitable<void> TakeTerm();
  bool IsTermOurs() const;
  boost::asio::awaitable<void> TermHeartbeatLoop();
  boost::asio::awaitable<void> Tick();
  boost::asio::awaitable<void> FlushLoop();
  void BecomeHolder();
  void StepDown(std::string const& aReason);

  void SynchronizeSessions();
  void OpenSession(std::string const& aNode, std::string const& aAddress);
  void LinkClosed(std::string const& aNode, base::error const& aReason);
  void HandleFrame(std::string const& aNode, net::link_ptr const& aLink, net::frame aFrame);
  void HandleReport(session& aSession, side_report aReport);
  /// Requeues the runs that ended with the former incarnation. A run whose start may have reached
  /// the successor is assigned to it as unconfirmed: its run lists show the run, or a stop that it
  /// answers rules the run out. aSuccessor: identifier of the successor; nullopt if there is none.
  void ReplaceIncarnation(session& aSession, std::int64_t aIncarnationStart,
                          std::optional<std::string> const& aSuccessor);
  void CarryOver(job_record& aJob, task_position const& aPosition, std::int64_t aIncarnationStart);
  /// Keeps the task from other workers for as long as a call to start its run may be carried out
  /// late. A stop or a crash does not end that: the next incarnation knows of neither.
  void HoldForLateStart(job_record& aJob, task_position const& aPosition);
  bool IsHeldForLateStart(task_state const& aTask, base::time_point aNow) const;
  /// Releases the tasks that are held at a worker whose successor refuses calls for it.
  void ReleaseLateStarts(session const& aSession, std::optional<std::string> const& aSuccessor);
  /// Records which starts have had all calls answered.
  void SettleStarts(session& aSession, std::set<std::string> const& aListed);
  found_task FindTask(std::string const& aName);
  /// Returns the session with the worker incarnation of an active run, or null.
  session* SessionOf(task_state const& aRun);
  /// Returns the task if the run is its active one on the worker's current incarnation.
  found_task FindActiveRun(session const& aSession, std::string const& aTask, std::uint32_t aRun);
  /// The members of a gang end together, but the worker lists the last ones a little longer. A call
  /// that is carried out late may run the task of a done gang again, on a later incarnation.
  bool IsPartOfEndingGang(session const& aSession, listed_run const& aRun);
  void ApplyResults(session& aSession, std::set<std::string> const& aListed);
  void ApplyEnds(session& aSession);
  void ApplyRunning(session& aSession);
  /// Adjusts the pace of best-effort tasks to the response times of serving tasks on the worker.
  void ControlPace(session& aSession, base::time_point aNow);
  void StopUnlistedRuns(session& aSession, std::set<std::string> const& aListed);
  void SendOrders(session& aSession);

  void RecordRunEnd(job_record& aJob, task_position const& aPosition, ended_run const& aEnd);
  /// Marks all members of a gang as done, since one of them is.
  void CompleteGang(job_record& aJob, std::uint32_t aOccurrence, std::uint32_t aStep);
  void RecordFailure(job_record& aJob, task_position const& aPosition);
  /// Shows the job as failed and stops its runs.
  void FailJob(job_record& aJob);
  /// The worker has crashed, or may have: counts it for the tasks whose runs had hardly begun
  /// there, and fails the jobs of those that are certain to cause such crashes. aIsOnWorker selects
  /// the runs of the lost incarnation, aIsCertain those of them that were on it when it crashed.
  /// Returns whether a task is known to be suspect that ran there alone.
  bool RecordCrash(std::string const& aNode,
                   std::function<bool(tracked_task const&)> const& aIsOnWorker,
                   std::function<bool(tracked_task const&)> const& aIsCertain);
  /// Whether the process of the side has started since the run was stored. The side's machine was
  /// lost then, and its worker with it, whatever the run did; the run may never have begun.
  bool HasSideRestarted(tracked_task const& aTask) const;
  /// Fails the job if the task is certain to crash its workers.
  void FailCauseOfCrashes(job_record& aJob, task_position const& aPosition);
  /// Whether the worker has crashed: its next incarnation shows that, or a long silence; the same
  /// incarnation shows that it has not.
  crash_verdict Judge(tracked_task const& aTask, suspected_crash const& aCrash,
                      base::time_point aNow) const;
  /// Counts the suspected crashes that have become certain and removes those that were none.
  void SettleSuspectedCrashes(base::time_point aNow);
  void LogVerdict(std::string const& aTask, suspected_crash const& aCrash, crash_verdict aVerdict);
  /// Removes the suspected crash of a run that has turned up on the successor: it was not on the
  /// incarnation that crashed. Returns whether there was one.
  bool TakeBackCrash(job_record& aJob, task_position const& aPosition);
  /// Whether a run of a former holder may have started too recently to show that it does not crash
  /// its worker.
  bool MayHaveHardlyBegun(tracked_task const& aTask) const;
  /// Ends the probation of a listed run that has run for long enough.
  void EndProbation(job_record& aJob, tracked_task& aTask, base::time_point aNow);
  void RequeueTask(job_record& aJob, task_position const& aPosition, std::string const& aReason);
  void OrderStop(job_record& aJob, task_position const& aPosition, std::string const& aReason);
  /// Stops a run that may or may not have started, and the other members of its gang.
  void StopUncertainStart(job_record& aJob, task_position const& aPosition,
                          std::string const& aReason);
  void StopPartialGang(job_record& aJob, task_position const& aPosition);
  /// Visits all tasks with a run that may still be running on a worker.
  void ForEachActiveTask(
    std::function<void(job_record&, task_position const&, tracked_task&)> const& aVisit);
  void UpdatePhase(job_record& aJob);
  void RecordJobEnd(std::string const& aId);
  void ApplyCancellations();
  /// Takes over the list of silent sides once it is certainly complete.
  void AdoptSilentSides();
  /// Lists sides with runs that have gone silent and removes those that report again.
  void WatchSilentSides(base::time_point aNow);
  void StoreSilentSides();
  boost::asio::awaitable<void> CommitSilentSides();
  /// Evidence about the lease of a worker whose side has not reported since the takeover.
  lease_evidence NewLeaseEvidence(std::string const& aNode) const;
  /// Latest end of the run if no further report of its worker arrives.
  lease_evidence::latest_end LatestEnd(task_state const& aRun) const;
  void ExpireLeases(base::time_point aNow);
  /// Logs and counts runs whose end has been unknown for longer than any lease may last.
  void WatchUnknownEnds(base::time_point aNow);
  /// Logs and counts tasks that wait although there is room for them.
  void WatchOverdueStarts(base::time_point aNow);
  void ExpireOrders(base::time_point aNow);
  void StopStalledRuns(base::time_point aNow);
  /// Stops runs in time that cannot end before their worker leaves.
  void StopDepartingRuns(base::time_point aNow);
  std::optional<base::milliseconds> TimeLeftOnWorker(tracked_task const& aTask,
                                                     base::time_point aNow) const;
  void SendPendingStops();
  void StoreCheckpoints(base::time_point aNow);
  void CloseUnresponsiveLinks(base::time_point aNow);
  void RemoveEndedJobs(base::time_point aNow);
  /// Removes the stored definitions of queues that are neither configured nor used any more.
  void RemoveUnusedQueues(base::time_point aNow);

  void SchedulePlanning();
  void Plan();
  std::vector<worker_snapshot> WorkerSnapshots(base::time_point aNow);
  /// Reserves resources for listed runs that are no task's current run; they are being stopped, or
  /// end with their gang.
  void ReserveForOtherRuns(session const& aSession, worker_snapshot& aSnapshot);
  /// Counts the listed runs of a task that are not its current one at their workers. Returns
  /// whether there are any.
  bool CountOtherRuns(std::string const& aTask, waiting_group& aGroup) const;
  /// Adds the waiting tasks that are held at a worker: those of a gang stay in it, the others form
  /// a group for each worker.
  static void AddHeldTasks(waiting_group const& aGroup,
                           std::map<std::uint32_t, std::string> const& aHeld,
                           std::vector<waiting_group>& aGroups);
  std::vector<waiting_group> WaitingGroups(std::set<std::string> const& aGuaranteed,
                                           base::time_point aNow);
  base::milliseconds ExpectedRunTime(job_record const& aJob, job_step const& aStep) const;
  void AddGroups(job_record& aJob, bool aIsGuaranteed, base::time_point aNow,
                 std::vector<waiting_group>& aGroups);
  static permit_cache::worker_incarnation IncarnationOf(session const& aSession);
  std::vector<std::string> PermittedWorkers(std::string const& aStep, base::time_point aNow) const;
  /// Waiting groups of queues with advice, most urgent first, and the workers that could run them.
  std::vector<permit_cache::demand> PermitDemands(std::vector<worker_snapshot> const& aSnapshots,
                                                  std::vector<waiting_group> const& aGroups) const;
  /// Queries the advice service about groups that the decision leaves waiting.
  void RequestPermits(std::vector<permit_cache::demand> aDemands,
                      placement_decision const& aDecision, base::time_point aNow);
  boost::asio::awaitable<void> QueryAdvice(permit_cache::query aQuery);
  std::vector<preemptible_run> PreemptibleRuns(std::set<std::string> const& aGuaranteed,
                                               base::time_point aNow);
  std::set<std::string> GuaranteedJobs();
  queue const* QueueOf(job_record const& aJob) const;
  std::uint32_t PriorityOf(job_record const& aJob) const;
  bool BuildBatch();
  /// Ends of jobs without changes to store need no transaction.
  void MarkEndsOfUnchangedJobs(session& aSession);
  /// Adds the definitions of the queues of the started jobs, where the store has none or an earlier
  /// one.
  void StoreQueues(batch& aBatch);
  boost::asio::awaitable<void> CommitBatch();
  void BatchCommitted(std::uint64_t aVersion);
  void BatchConflicted(std::vector<platform::store_row> const& aCurrent);
  /// Handles a transaction that the store will never accept. Its jobs are stored one by one to find
  /// the cause; a job that is rejected alone is set aside, so that it does not block the others.
  void BatchRejected();
  /// Puts the jobs of a batch that was not stored back into the queue of changes.
  void ReturnBatch(batch const& aBatch);
  /// Adds the changed rows of a job to a transaction. Returns their size in bytes.
  std::size_t AddToBatch(batch& aBatch, job_record& aJob);
  /// Counts and logs the checkpoints of a job that no row has room for, if there are more than
  /// before.
  void RecordLeftOutCheckpoints(job_record& aJob, std::size_t aCount);
  bool IsSetAside(std::string const& aJob) const { return mSetAside.contains(aJob); }
  /// Puts jobs back into the queue of changes once their time aside is over.
  void RetrySetAsideJobs(base::time_point aNow);
  /// aVersion: the transaction that stored the run.
  void SendStart(planned_start const& aStart, std::uint64_t aVersion);

  /// Tasks that wait although there is room for them.
  static constexpr char const* kOverdueStartsGauge = "rattanpond_tasks_with_overdue_start";

  options mOptions;
  bool mIsHolder = false;
  bool mIsReleasing = false;
  std::uint64_t mTerm = 0;
  /// Version of the term's row, which every transaction of the holder expects.
  std::uint64_t mTermVersion = 0;
  base::time_point mHolderSince{};
  std::map<std::string, std::unique_ptr<session>> mSessions;
  /// By node; outlives the session, which a new address of the side replaces.
  std::map<std::string, lease_evidence> mLeases;
  /// Time by which every former holder has stopped answering reports.
  base::time_point mFormerHoldersStopBy{};
  silent_sides mSilentSides;
  /// By node: the sides that were listed as silent at the takeover, since when.
  std::map<std::string, base::time_point> mUnansweredSince;
  base::time_point mQueuesRemovedAt{};
  base::time_point mOverdueLoggedAt{};
  /// Tasks of which a worker lists a run that is not the current one, and that worker; they do not
  /// start beside it.
  std::multimap<std::string, std::string> mTasksWithOtherRuns;
  /// Groups that were overdue in the last scan, at most as many as the state dump shows.
  std::vector<overdue_start> mOverdueStarts;
  base::time_point mStartsScannedAt{};
  base::time_point mOverdueStartsLoggedAt{};
  change_queue mDirty;
  std::vector<planned_start> mPlanned;
  /// Workers that waiting groups have claimed in the last decision.
  std::vector<placement_claim> mClaims;
  std::optional<batch> mBatch;
  /// How many of the next transactions are limited to one part of one job, after a rejection.
  std::size_t mSmallBatches = 0;
  /// Jobs whose state the store has rejected, and when to try again.
  std::map<std::string, base::time_point> mSetAside;
  failure_history mFailures;
  /// Empty if the settings name no advice service.
  std::unique_ptr<platform::advice_client> mAdvice;
  permit_cache mPermits;
  run_time_estimator mRunTimes;
  /// Whether the stored run-time estimator lacks observations, and when it was last written.
  bool mHasNewRunTimes = false;
  base::time_point mRunTimesStoredAt{};
  bool mIsPlanningScheduled = false;
  bool mMustPlan = false;
  boost::asio::steady_timer mFlushTimer;
  /// Time at which each ended job ended, until its rows are removed. Also jobs that were cancelled
  /// and never accepted.
  std::map<std::string, base::time_point> mEndedJobs;
};

} // namespace rattanpond::dispatch
