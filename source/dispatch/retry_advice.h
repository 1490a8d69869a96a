#pragma once

#include "base/time.h"

#include <algorithm>
#include <chrono>

namespace rattanpond::dispatch {

inline constexpr std::chrono::seconds kShortestRetry{ 1 };
/// Callers give up after a few attempts; longer waits would cost them their objective.
inline constexpr std::chrono::seconds kLongestRetry{ 4 };

/// When a caller should come back after a refusal. Answers the pattern of outages whose length is
/// not known: one that has lasted for some time lasts about as long again, so callers who come back
/// each second use up their attempts before a long one ends.
inline std::chrono::seconds RetryAfter(base::milliseconds aOutage)
{
  auto const asLongAgain = std::chrono::ceil<std::chrono::seconds>(aOutage);
  return std::clamp(asLongAgain, kShortestRetry, kLongestRetry);
}

} // namespace rattanpond::dispatch
