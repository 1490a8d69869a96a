#pragma once

#include "placement/gang_fit.h"
#include "placement/group_sums.h"

#include <vector>

namespace rattanpond::placement {

/// A shape whose free places the placement score protects.
struct preserved_shape
{
  std::int64_t mAccelerators = 0;
  adjacency mLevel = adjacency::same_worker;

  bool operator==(preserved_shape const&) const = default;
};

/// Distinct guaranteed shapes of at least two accelerators, largest first, at most four.
std::vector<preserved_shape> PreservedShapes(
  std::map<std::string, configuration::contract> const& aContracts);

/// Scores a placement by the free places of preserved shapes that it destroys, then by how tightly
/// it fits at each level (best fit; on groups of equal size this amounts to buddy allocation).
class placement_score
{
public:
  placement_score(topology const& aTopology, group_sums const& aSums,
                  std::vector<preserved_shape> const& aPreservedShapes)
    : mTopology(aTopology)
    , mSums(aSums)
    , mPreservedShapes(aPreservedShapes)
  {
  }

  double operator()(placed_parts const& aParts, std::int64_t aAcceleratorsPerTask) const;

private:
  double DestroyedShapes(placed_parts const& aParts, std::int64_t aAcceleratorsPerTask) const;

  topology const& mTopology;
  group_sums const& mSums;
  std::vector<preserved_shape> const& mPreservedShapes;
};

} // namespace rattanpond::placement
