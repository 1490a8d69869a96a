#pragma once

#include "placement/baseline_policy.h"

namespace rattanpond::placement {

/// Baseline: jobs strictly in the order of submission, each at the first place that holds it. It
/// knows neither guarantees nor urgency nor preemption.
class first_fit_fifo : public baseline_policy
{
public:
  decisions Decide(cluster_state const& aState, base::time_point aNow) override;
};

} // namespace rattanpond::placement
