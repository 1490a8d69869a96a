#pragma once

#include "placement/cluster_view.h"

#include <optional>
#include <vector>

namespace rattanpond::placement {

/// Which gangs may be preempted.
enum class preemption_rule
{
  /// For a guarantee: every gang that is not protected by its own guarantee.
  any_borrowed,
  /// For urgent work outside a guarantee: as above, but no urgent gangs.
  not_urgent
};

/// Work that is lost if the gang stops, in accelerator-milliseconds: the time since its last
/// checkpoint plus the time of a restart, with a higher weight for urgent gangs.
double LostWork(gang_view const& aGang, base::time_point aNow);

bool MayStop(gang_view const& aGang, preemption_rule aRule);

/// Indices of gangs to stop so that aParts fit, chosen greedily for little lost work. Empty if
/// aParts fit without a stop; no value if even stopping all gangs that aRule permits would not
/// suffice. Resources of gangs that already stop count as free, so that no further gang is stopped
/// for the same demand.
std::optional<std::vector<std::uint32_t>> ChoosePreemptions(cluster_view const& aView,
                                                            placed_parts const& aParts,
                                                            resources const& aTask,
                                                            preemption_rule aRule,
                                                            base::time_point aNow);

} // namespace rattanpond::placement
