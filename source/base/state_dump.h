#pragma once

#include "base/codec.h"

#include <functional>
#include <map>
#include <string>

namespace rattanpond::base {

/// Collects the state of each part of a process on request. Used on the control thread only.
class state_dump
{
public:
  using source = std::function<json()>;

  void Register(std::string aPart, source aSource)
  {
    mSources[std::move(aPart)] = std::move(aSource);
  }

  json Collect() const
  {
    json document = json::object();
    for (auto const& [part, source] : mSources) {
      document[part] = source();
    }
    return document;
  }

private:
  std::map<std::string, source> mSources;
};

} // namespace rattanpond::base
