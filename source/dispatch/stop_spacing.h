#pragma once

#include "base/time.h"

#include <map>
#include <set>
#include <string>

namespace rattanpond::dispatch {

/// Spaces repeated stops of runs that a worker goes on listing. Answers the pattern in which a
/// worker answers its lists but cuts each stop off at once: every result brings a report, and every
/// report would bring the next stop.
class stop_spacing
{
public:
  /// A worker ends a run that it was told to stop within half a second; its next lists follow.
  static constexpr base::milliseconds kInterval{ 1500 };

  /// Whether to stop a run now; if so, it is not due again for the interval.
  bool IsDue(std::string const& aRun, base::time_point aNow)
  {
    auto const [last, isFirst] = mStopped.emplace(aRun, aNow);
    if (!isFirst && aNow - last->second < kInterval) {
      return false;
    }
    last->second = aNow;
    return true;
  }

  /// Forgets the runs that are not listed any more.
  void KeepOnly(std::set<std::string> const& aListed)
  {
    std::erase_if(mStopped, [&](auto const& aEntry) { return !aListed.contains(aEntry.first); });
  }

private:
  std::map<std::string, base::time_point> mStopped;
};

} // namespace rattanpond::dispatch
