#pragma once

#include "placement/cluster_view.h"
#include "placement/placement_score.h"
#include "placement/policy_state.h"
#include "placement/preemption_choice.h"
#include "placement/workspace_ledger.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

namespace rattanpond::placement {

/// Computes one decision of the policy "guaranteed". Used for one call of Run.
class guaranteed_decision
{
public:
  guaranteed_decision(policy_state& aPolicyState, cluster_state const& aState,
                      base::time_point aNow);

  decisions Run();

private:
  /// A place for a job, and the indices of the gangs to stop for it.
  struct plan
  {
    placed_parts mParts;
    std::vector<std::uint32_t> mPreempted;
  };

  /// A worker, and the resources that the job could get on it if gangs were stopped.
  using reachable = std::pair<std::uint32_t, resources>;

  void BindGuarantees();
  void CountAcceleratorsInUse();
  /// Marks the gangs that run within the bound resources of their workspace.
  void MarkProtected();
  void QueueJobs();
  void OrderJobs(workspace_ledger& aLedger) const;
  /// True if the job has waited too long in relation to its expected run time.
  bool IsOverdue(waiting_job const& aJob) const;
  /// Parks a job that can never run, with the reason. Returns whether it did.
  bool ParkIfUnrunnable(waiting_job const& aJob, std::uint32_t aShape);
  /// Stops the gangs on closed and lost workers.
  void EvacuateUnusableWorkers();

  /// Keeps the claims of earlier decisions that are still valid.
  void RenewClaims(tenure aTenure);
  bool RenewClaim(claim const& aClaim, waiting_job const& aJob);
  void ClaimGuarantees();
  bool ClaimGuarantee(waiting_job const& aJob, workspace_ledger& aLedger);
  void StartUrgent();
  bool PreemptForUrgent(waiting_job const& aJob, workspace_ledger& aLedger);
  void Reserve();
  void RenewReservations();
  void AddReservations();
  /// Stops small borrowed gangs where a large job gains much more than they lose; they start again
  /// elsewhere.
  void Defragment();
  bool DefragmentFor(waiting_job const& aJob, workspace_ledger& aLedger);
  void Borrow();
  bool BorrowFree(waiting_job const& aJob, workspace_ledger& aLedger);
  /// Position of a workspace in the order of borrowing; the lowest borrows next.
  double BorrowOrder(workspace_ledger const& aLedger) const;
  /// True if the job is expected to end before a reservation begins.
  bool IsBackfill(waiting_job const& aJob) const;
  /// Claims one small job for each worker whose quarantine permits a probe.
  void ProbeWorkers();
  bool MayProbe(waiting_job const& aJob, worker const& aWorker);
  void StartReadyClaims();

  std::optional<plan> PlanGuaranteed(waiting_job const& aJob,
                                     workspace_ledger const& aLedger) const;
  double BorrowScore(placed_parts const& aParts, std::int64_t aAcceleratorsPerTask) const;
  double GuaranteeScore(placed_parts const& aParts, workspace_ledger const& aLedger) const;
  std::optional<plan> PlanUrgent(waiting_job const& aJob) const;
  /// The plan with the lowest sum of lost work, waiting cost and aScore.
  std::optional<plan> CheapestPlan(waiting_job const& aJob, std::vector<reachable> const& aReach,
                                   preemption_rule aRule, fit_score const& aScore) const;
  void AddClaim(waiting_job const& aJob, workspace_ledger& aLedger, plan aPlan, tenure aTenure);
  void StopForClaim(std::vector<std::uint32_t> const& aPreempted, placed_parts const& aParts,
                    waiting_job const& aJob, tenure aTenure, base::milliseconds aNotice);
  void Stop(gang_view& aGang, stop_reason aReason, base::milliseconds aNotice);
  bool IsClaimed(std::string const& aJob) const;
  workspace_ledger& Ledger(std::string const& aWorkspace);
  /// Notice that a gang gets when it is stopped for the job.
  base::milliseconds Notice(waiting_job const& aJob, workspace_ledger const& aLedger) const;

  policy_state& mPolicyState;
  cluster_state const& mState;
  base::time_point mNow;
  cluster_view mView;
  std::vector<preserved_shape> mPreservedShapes;
  placement_score mScore;
  /// Free resources per worker, before the claims of this decision are subtracted.
  std::vector<resources> mFreeBeforeClaims;
  /// Sum of the capacity of all usable workers.
  resources mUsableTotal;
  /// Accelerators per worker that are bound and that neither guaranteed gangs nor claims use.
  std::vector<std::int64_t> mBoundUnused;
  std::map<std::string, workspace_ledger> mLedgers;
  std::vector<claim> mClaims;
  std::unordered_set<std::string> mClaimed;
  /// Shapes for which PlanUrgent found no plan in this decision, by shape number.
  std::vector<bool> mHasNoUrgentPlan;
  std::vector<reservation> mReservations;
  std::map<std::string, std::uint32_t> mShapeOfJob;
  decisions mDecisions;
};

} // namespace rattanpond::placement
