#pragma once

#include "placement/types.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace rattanpond::placement {

/// Number of adjacency levels.
inline constexpr std::size_t kLevels = 4;

/// Workers sorted by region, failure domain, rack and name, so that the workers of a group at any
/// adjacency level are contiguous. Immutable.
class topology
{
public:
  topology() = default;
  explicit topology(std::map<std::string, worker> const& aWorkers);

  /// True if aWorkers equal the workers that the topology was built from, in every field.
  bool IsBuiltFrom(std::map<std::string, worker> const& aWorkers) const;

  std::size_t size() const { return mWorkers.size(); }
  worker const& Worker(std::size_t aIndex) const { return mWorkers[aIndex]; }
  std::optional<std::uint32_t> Find(std::string const& aName) const;

  /// Number of the group to which a worker belongs at a level; groups are numbered in worker order.
  std::uint32_t Group(adjacency aLevel, std::size_t aWorker) const
  {
    return mGroups[static_cast<std::size_t>(aLevel)][aWorker];
  }
  std::uint32_t GroupCount(adjacency aLevel) const
  {
    return mGroups[static_cast<std::size_t>(aLevel)].empty()
             ? 0
             : mGroups[static_cast<std::size_t>(aLevel)].back() + 1;
  }

private:
  void NumberGroups();

  std::vector<worker> mWorkers;
  /// Indices in the order of worker names, for the comparison with a map.
  std::vector<std::uint32_t> mByName;
  std::unordered_map<std::string, std::uint32_t> mIndex;
  std::array<std::vector<std::uint32_t>, kLevels> mGroups;
};

} // namespace rattanpond::placement
