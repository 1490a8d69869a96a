#pragma once

#include "base/time.h"

#include <chrono>

namespace rattanpond::dispatch {

/// Time for which this machine has certainly not been suspended, as far as its processes can tell.
/// A worker's clock, and with it its lease, stands still during a suspension of the machine that it
/// shares with its side.
class awake_time
{
public:
  using clock = std::chrono::steady_clock;

  /// Longest time between two calls of Advance that counts. A longer one may contain a suspension.
  static constexpr base::milliseconds kLongestGap{ 750 };

  /// Adds the time since the last call. CLOCK_MONOTONIC leaves out suspensions of the machine, but
  /// not those of a virtual machine's processes by their host. Returns the time that was not added.
  base::milliseconds Advance(clock::time_point aNow)
  {
    auto const passed = std::chrono::duration_cast<base::milliseconds>(aNow - mAdvancedAt);
    mAdvancedAt = aNow;
    if (passed > kLongestGap) {
      return passed;
    }
    mTotal += passed;
    return base::milliseconds{ 0 };
  }

  base::milliseconds Total() const { return mTotal; }

private:
  clock::time_point mAdvancedAt{};
  base::milliseconds mTotal{ 0 };
};

} // namespace rattanpond::dispatch
