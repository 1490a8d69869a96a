#pragma once

#include "dispatch/placement_decision.h"

#include <vector>

namespace rattanpond::dispatch {

/// At most this share of a service's workers is quarantined or suspect; the others are used as
/// usual.
inline constexpr double kMaximumShareSetAside = 0.34;

/// Lifts quarantine and suspicion of workers beyond the share of their service. Quarantined workers
/// have the first claim to it. The share counts the workers that would otherwise accept starts.
void LimitSetAside(std::vector<worker_snapshot>& aWorkers);

} // namespace rattanpond::dispatch
