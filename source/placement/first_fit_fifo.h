#pragma once

#include "placement/baseline_policy.h"

namespace rattanpond::placement {

/// Baseline: starts jobs strictly in the order of submission, each at the first place where it
/// fits. Ignores guarantees and urgency and preempts nothing.
class first_fit_fifo : public baseline_policy
{
public:
  decisions Decide(cluster_state const& aState, base::time_point aNow) override;
};

} // namespace rattanpond::placement
