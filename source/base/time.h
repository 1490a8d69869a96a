#pragma once

#include <chrono>
#include <cstdint>

#include <time.h>

namespace rattanpond::base {

using milliseconds = std::chrono::milliseconds;

/// Monotonic clock in milliseconds (CLOCK_BOOTTIME). It also advances while the machine is
/// suspended, so that the age of a lease or record is never underestimated. Decision code receives
/// time points as arguments and does not read the clock itself.
struct monotonic_clock
{
  using duration = milliseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<monotonic_clock, duration>;
  static constexpr bool is_steady = true;

  static time_point now() noexcept
  {
    timespec sinceBoot{};
    clock_gettime(CLOCK_BOOTTIME, &sinceBoot);
    return time_point{ std::chrono::duration_cast<duration>(
      std::chrono::seconds{ sinceBoot.tv_sec } + std::chrono::nanoseconds{ sinceBoot.tv_nsec }) };
  }
};

using time_point = monotonic_clock::time_point;

inline time_point Now() noexcept
{
  return monotonic_clock::now();
}

/// Milliseconds since the Unix epoch, for timestamps that people read. Never used for decisions.
inline std::int64_t WallClockMilliseconds()
{
  auto const sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<milliseconds>(sinceEpoch).count();
}

} // namespace rattanpond::base
