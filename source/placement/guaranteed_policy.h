#pragma once

#include "placement/policy.h"
#include "placement/policy_state.h"

namespace rattanpond::placement {

/// The policy "guaranteed": starts and stops only whole gangs, keeps guarantees reclaimable at all
/// times, and shares the remaining capacity fairly.
class guaranteed_policy : public policy
{
public:
  explicit guaranteed_policy(policy_options const& aOptions);

  decisions Decide(cluster_state const& aState, base::time_point aNow) override;
  void RecordGangEnd(running_gang const& aGang, gang_outcome aOutcome,
                     std::string const& aFailedWorker, base::time_point aNow) override;
  std::vector<std::string> Quarantined() const override;

private:
  void RefreshTopology(cluster_state const& aState);
  /// Ends the quarantine of workers whose probe has run long enough.
  void ReadmitWorkers(cluster_state const& aState, base::time_point aNow);

  policy_state mPolicyState;
};

} // namespace rattanpond::placement
