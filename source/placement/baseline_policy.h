#pragma once

#include "placement/gang_fit.h"
#include "placement/policy.h"
#include "placement/resources.h"

#include <string>
#include <vector>

namespace rattanpond::placement {

/// Base of the two baseline policies: a simple view of the cluster, starts, quotas and the
/// evacuation of closed and lost workers.
class baseline_policy : public policy
{
public:
  void RecordGangEnd(running_gang const&, gang_outcome, std::string const&,
                     base::time_point) override
  {
  }

protected:
  /// Reads the state and stops the gangs on closed or lost workers.
  void BeginDecision(cluster_state const& aState, base::time_point aNow);
  void Start(waiting_job const& aJob, placed_parts const& aParts, tenure aTenure);
  void Stop(std::string const& aJob, stop_reason aReason, base::milliseconds aNotice);
  /// True if no group of workers could run the job even if it were empty.
  bool IsTooLarge(waiting_job const& aJob) const;
  bool IsWithinQuota(waiting_job const& aJob) const;
  /// Waiting jobs in the order of submission.
  std::vector<waiting_job const*> InOrderOfSubmission() const;

  cluster_state const* mState = nullptr;
  base::time_point mNow{};
  topology mTopology;
  std::vector<resources> mFree;
  std::map<std::string, std::int64_t> mAccelerators;
  decisions mDecisions;
};

} // namespace rattanpond::placement
