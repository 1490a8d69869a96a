#pragma once

#include "placement/baseline_policy.h"

#include <optional>

namespace rattanpond::placement {

/// Baseline: a common batch scheduler with a competent configuration. The queue holds urgent jobs
/// first, then jobs within their workspace's guaranteed number of accelerators, then the others,
/// each in the order of submission. Placement is best fit. The first job that does not fit reserves
/// a place from the declared ends of the running gangs on, and others are backfilled by declared
/// run times (EASY backfill). Urgent jobs and jobs within the guaranteed number preempt borrowed
/// gangs that are not urgent, the most recently started first.
class best_fit_backfill : public baseline_policy
{
public:
  decisions Decide(cluster_state const& aState, base::time_point aNow) override;

private:
  /// Resources per worker that are kept free for a job from mFrom on.
  struct capacity_hold
  {
    base::time_point mFrom{};
    std::vector<resources> mResources;
  };

  /// Sums the guaranteed accelerators and those of them in use, per workspace.
  void CountGuarantees();
  /// True if the job fits within its workspace's unused guaranteed number of accelerators.
  bool IsEntitled(waiting_job const& aJob) const;
  std::vector<waiting_job const*> Queue() const;
  std::optional<placed_parts> BestFit(waiting_job const& aJob,
                                      std::vector<resources> const& aFree) const;
  /// Stops gangs for the job and returns the place that is kept for it, or nothing if even stopping
  /// every gang that may be preempted would not suffice.
  std::optional<capacity_hold> Preempt(waiting_job const& aJob);
  /// The earliest place for the job by the declared ends of the running gangs.
  std::optional<capacity_hold> Reserve(waiting_job const& aJob) const;
  capacity_hold MakeHold(waiting_job const& aJob, placed_parts const& aParts,
                         base::time_point aFrom) const;
  void Release(std::vector<resources>& aFree, running_gang const& aGang) const;
  bool MayPreempt(running_gang const& aGang) const;
  /// Free resources without the holds that begin before aJob would end by its declared run time.
  std::vector<resources> FreeOutsideHolds(std::vector<capacity_hold> const& aHolds,
                                          waiting_job const& aJob) const;

  std::map<std::string, std::int64_t> mGuaranteed;
  std::map<std::string, std::int64_t> mUsedOfGuarantee;
};

} // namespace rattanpond::placement
