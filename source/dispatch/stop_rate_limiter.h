#pragma once

#include "base/time.h"

#include <map>
#include <set>
#include <string>

namespace rattanpond::dispatch {

/// Limits how often the stop of a run that a worker still lists is repeated. Load pattern: a worker
/// answers run lists but closes each stop call without an answer. Every order result triggers a
/// report, and without the limit every report would trigger the next stop.
class stop_rate_limiter
{
public:
  /// A worker ends a run within 500 ms of its stop; the next run list follows.
  static constexpr base::milliseconds kInterval{ 1500 };

  /// Returns whether to stop the run now; if so, the next stop is due after kInterval.
  bool IsDue(std::string const& aRun, base::time_point aNow)
  {
    auto const [last, isNew] = mStopped.emplace(aRun, aNow);
    if (!isNew && aNow - last->second < kInterval) {
      return false;
    }
    last->second = aNow;
    return true;
  }

  /// Removes runs that are no longer listed.
  void KeepOnly(std::set<std::string> const& aListed)
  {
    std::erase_if(mStopped, [&](auto const& aEntry) { return !aListed.contains(aEntry.first); });
  }

private:
  std::map<std::string, base::time_point> mStopped;
};

} // namespace rattanpond::dispatch
