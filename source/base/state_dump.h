#pragma once

#include "base/codec.h"

#include <functional>
#include <map>
#include <string>

namespace rattanpond::base {

/// Collects a snapshot of the state of each component of a process. Used on the control thread
/// only.
class state_dump
{
public:
  using source = std::function<json()>;

  void Register(std::string aComponent, source aSource)
  {
    mSources[std::move(aComponent)] = std::move(aSource);
  }

  json Collect() const
  {
    json document = json::object();
    for (auto const& [component, source] : mSources) {
      document[component] = source();
    }
    return document;
  }

private:
  std::map<std::string, source> mSources;
};

} // namespace rattanpond::base
