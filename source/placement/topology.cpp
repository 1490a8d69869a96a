#include "placement/topology.h"

#include <algorithm>
#include <tuple>

namespace rattanpond::placement {

namespace {

/// True if two workers are in one group at a level. Rack names need only be unique within their
/// failure domain.
bool AreInSameGroup(worker const& aLeft, worker const& aRight, adjacency aLevel)
{
  switch (aLevel) {
    case adjacency::same_worker:
      return aLeft.mName == aRight.mName;
    case adjacency::same_rack:
      return std::tie(aLeft.mRegion, aLeft.mDomain, aLeft.mRack) ==
             std::tie(aRight.mRegion, aRight.mDomain, aRight.mRack);
    case adjacency::same_failure_domain:
      return std::tie(aLeft.mRegion, aLeft.mDomain) == std::tie(aRight.mRegion, aRight.mDomain);
    case adjacency::same_region:
      break;
  }
  return aLeft.mRegion == aRight.mRegion;
}

} // namespace

topology::topology(std::map<std::string, worker> const& aWorkers)
{
  mWorkers.reserve(aWorkers.size());
  for (auto const& [name, worker] : aWorkers) {
    mWorkers.push_back(worker);
  }
  std::sort(mWorkers.begin(), mWorkers.end(), [](worker const& aLeft, worker const& aRight) {
    return std::tie(aLeft.mRegion, aLeft.mDomain, aLeft.mRack, aLeft.mName) <
           std::tie(aRight.mRegion, aRight.mDomain, aRight.mRack, aRight.mName);
  });
  mIndex.reserve(mWorkers.size());
  for (std::uint32_t index = 0; index < mWorkers.size(); ++index) {
    mIndex.emplace(mWorkers[index].mName, index);
  }
  for (auto const& [name, worker] : aWorkers) {
    mByName.push_back(mIndex.at(worker.mName));
  }
  NumberGroups();
}

void topology::NumberGroups()
{
  for (std::size_t level = 0; level < kLevels; ++level) {
    auto& groups = mGroups[level];
    std::uint32_t group = 0;
    for (std::size_t index = 0; index < mWorkers.size(); ++index) {
      if (index > 0 &&
          !AreInSameGroup(mWorkers[index - 1], mWorkers[index], static_cast<adjacency>(level))) {
        ++group;
      }
      groups.push_back(group);
    }
  }
}

bool topology::IsBuiltFrom(std::map<std::string, worker> const& aWorkers) const
{
  if (aWorkers.size() != mWorkers.size()) {
    return false;
  }
  auto position = mByName.begin();
  return std::all_of(aWorkers.begin(), aWorkers.end(),
                     [&](auto const& aEntry) { return aEntry.second == mWorkers[*position++]; });
}

std::optional<std::uint32_t> topology::Find(std::string const& aName) const
{
  auto const found = mIndex.find(aName);
  return found == mIndex.end() ? std::nullopt : std::optional{ found->second };
}

} // namespace rattanpond::placement
