#pragma once

#include "base/time.h"

#include <algorithm>
#include <chrono>

namespace rattanpond::dispatch {

inline constexpr std::chrono::seconds kMinimumRetryDelay{ 1 };
/// Callers give up after a few attempts; longer waits would make them miss their objective.
inline constexpr std::chrono::seconds kMaximumRetryDelay{ 4 };

/// Retry delay for a refused caller, from the duration of the outage so far. An outage of unknown
/// length is expected to last about as long again; callers that retry every second would use up
/// their attempts before a long one ends.
inline std::chrono::seconds RetryAfter(base::milliseconds aOutage)
{
  auto const delay = std::chrono::ceil<std::chrono::seconds>(aOutage);
  return std::clamp(delay, kMinimumRetryDelay, kMaximumRetryDelay);
}

} // namespace rattanpond::dispatch
