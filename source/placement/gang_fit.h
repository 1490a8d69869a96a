#pragma once

#include "placement/resources.h"
#include "placement/topology.h"

#include <functional>
#include <optional>
#include <span>
#include <vector>

namespace rattanpond::placement {

/// Tasks of a gang on one worker. mWorker is the worker's index in the topology.
struct placed_part
{
  std::uint32_t mWorker = 0;
  std::uint32_t mTasks = 0;

  bool operator==(placed_part const&) const = default;
};

using placed_parts = std::vector<placed_part>;

/// A worker that can run mCopies tasks of the gang that is placed.
struct fit_candidate
{
  std::uint32_t mWorker = 0;
  std::uint32_t mCopies = 0;
  /// FitGang fills the workers of a group in the order of rising cost.
  double mCost = 0;
};

/// Returns the cost of the placement of a whole gang; lower is better.
using fit_score = std::function<double(placed_parts const&)>;

/// True if the worker's kind and region match those that the gang requires.
bool Admits(worker const& aWorker, gang_shape const& aShape);

/// Workers that match the gang and have free resources for at least one task, in topology order.
/// aFree is indexed like the topology.
std::vector<fit_candidate> Candidates(topology const& aTopology, std::span<resources const> aFree,
                                      gang_shape const& aShape);

/// Placement of the whole gang with the lowest score within one group of its adjacency level.
/// aCandidates must be in topology order. Only a few groups are scored, the cheapest and tightest
/// ones, which bounds the cost in large clusters.
std::optional<placed_parts> FitGang(topology const& aTopology,
                                    std::span<fit_candidate const> aCandidates,
                                    gang_shape const& aShape, fit_score const& aScore);

/// Placement in the first group that is large enough, in topology order.
std::optional<placed_parts> FirstFit(topology const& aTopology,
                                     std::span<fit_candidate const> aCandidates,
                                     gang_shape const& aShape);

/// Replaces topology indices by worker names.
std::vector<gang_part> NamedParts(topology const& aTopology, placed_parts const& aParts);

} // namespace rattanpond::placement
