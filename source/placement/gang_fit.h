#pragma once

#include "placement/resources.h"
#include "placement/topology.h"

#include <functional>
#include <optional>
#include <span>
#include <vector>

namespace rattanpond::placement {

/// Tasks on one worker, by its position in the topology.
struct placed_part
{
  std::uint32_t mWorker = 0;
  std::uint32_t mTasks = 0;

  bool operator==(placed_part const&) const = default;
};

using placed_parts = std::vector<placed_part>;

/// A worker that can take tasks of the gang in question.
struct fit_candidate
{
  std::uint32_t mWorker = 0;
  std::uint32_t mCopies = 0;
  /// Cheaper workers of a group are filled first.
  double mCost = 0;
};

/// Cost of a whole placement; lower is better.
using fit_score = std::function<double(placed_parts const&)>;

/// True if workers of this kind and region may run the gang at all.
bool Admits(worker const& aWorker, gang_shape const& aShape);

/// Candidates for a gang among all workers with the given free resources, in topology order.
std::vector<fit_candidate> Candidates(topology const& aTopology, std::span<resources const> aFree,
                                      gang_shape const& aShape);

/// Best placement of the whole gang within one group of its level. Candidates are in topology
/// order. Only the tightest few groups are scored, which bounds the cost in large clusters.
std::optional<placed_parts> FitGang(topology const& aTopology,
                                    std::span<fit_candidate const> aCandidates,
                                    gang_shape const& aShape, fit_score const& aScore);

/// First placement in topology order.
std::optional<placed_parts> FirstFit(topology const& aTopology,
                                     std::span<fit_candidate const> aCandidates,
                                     gang_shape const& aShape);

std::vector<gang_part> NamedParts(topology const& aTopology, placed_parts const& aParts);

} // namespace rattanpond::placement
