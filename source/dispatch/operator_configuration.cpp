#include "dispatch/operator_configuration.h"

#include <algorithm>

namespace rattanpond::dispatch {

queue const* operator_configuration::FindQueue(std::string const& aName) const
{
  auto const found = std::ranges::find(mQueues, aName, &queue::mName);
  return found == mQueues.end() ? nullptr : &*found;
}

workspace const* operator_configuration::FindWorkspace(std::string const& aName) const
{
  auto const found = std::ranges::find(mWorkspaces, aName, &workspace::mName);
  return found == mWorkspaces.end() ? nullptr : &*found;
}

queue const* operator_configuration::Route(std::string_view aHost, std::string_view aPath) const
{
  queue const* best = nullptr;
  for (auto const& candidate : mQueues) {
    if (candidate.mHost == aHost && aPath.starts_with(candidate.mPrefix) &&
        (best == nullptr || candidate.mPrefix.size() > best->mPrefix.size())) {
      best = &candidate;
    }
  }
  return best;
}

workspace const* operator_configuration::WorkspaceOfKey(std::string const& aKey) const
{
  auto const found = std::ranges::find_if(
    mWorkspaces, [&](workspace const& aWorkspace) { return aWorkspace.mKeys.contains(aKey); });
  return found == mWorkspaces.end() ? nullptr : &*found;
}

} // namespace rattanpond::dispatch
