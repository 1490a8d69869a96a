#pragma once

#include "placement/resources.h"
#include "placement/topology.h"

#include <array>
#include <span>
#include <vector>

namespace rattanpond::placement {

/// Free accelerators per group at every adjacency level; Add keeps the sums up to date.
class group_sums
{
public:
  group_sums() = default;
  group_sums(topology const& aTopology, std::span<resources const> aFree)
    : mTopology(&aTopology)
  {
    for (std::size_t level = 0; level < kLevels; ++level) {
      mSums[level].assign(aTopology.GroupCount(static_cast<adjacency>(level)), 0);
    }
    for (std::uint32_t index = 0; index < aFree.size(); ++index) {
      Add(index, std::max<std::int64_t>(aFree[index].mAccelerators, 0));
    }
  }

  void Add(std::uint32_t aWorker, std::int64_t aAccelerators)
  {
    for (std::size_t level = 0; level < kLevels; ++level) {
      mSums[level][mTopology->Group(static_cast<adjacency>(level), aWorker)] += aAccelerators;
    }
  }

  std::int64_t At(adjacency aLevel, std::uint32_t aWorker) const
  {
    return mSums[static_cast<std::size_t>(aLevel)][mTopology->Group(aLevel, aWorker)];
  }

private:
  topology const* mTopology = nullptr;
  std::array<std::vector<std::int64_t>, kLevels> mSums;
};

} // namespace rattanpond::placement
