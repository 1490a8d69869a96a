#pragma once

#include "placement/gang_fit.h"
#include "placement/group_sums.h"

#include <vector>

namespace rattanpond::placement {

/// A shape whose free places are worth keeping.
struct kept_shape
{
  std::int64_t mAccelerators = 0;
  adjacency mLevel = adjacency::same_worker;

  bool operator==(kept_shape const&) const = default;
};

/// Distinct guaranteed shapes of at least two accelerators, largest first, at most four.
std::vector<kept_shape> KeptShapes(
  std::map<std::string, configuration::contract> const& aContracts);

/// Scores a placement by the large free shapes that it destroys, then by how tightly it fits at
/// each level (best fit, which on cells of equal size is buddy allocation).
class placement_score
{
public:
  placement_score(topology const& aTopology, group_sums const& aSums,
                  std::vector<kept_shape> const& aKept)
    : mTopology(aTopology)
    , mSums(aSums)
    , mKept(aKept)
  {
  }

  double operator()(placed_parts const& aParts, std::int64_t aAcceleratorsPerTask) const;

private:
  double DestroyedShapes(placed_parts const& aParts, std::int64_t aAcceleratorsPerTask) const;

  topology const& mTopology;
  group_sums const& mSums;
  std::vector<kept_shape> const& mKept;
};

} // namespace rattanpond::placement
