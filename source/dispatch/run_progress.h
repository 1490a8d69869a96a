#pragma once

#include "base/time.h"

#include <algorithm>

namespace rattanpond::dispatch {

/// Progress of one run, as input of the stall detection.
struct run_progress
{
  /// Time at which the listed percentage last changed, or at which the run started.
  base::time_point mLastProgressAt{};
  base::milliseconds mExpectedRunTime{ 0 };
  /// Time between the last two changes of the percentage; 0 before the second change.
  base::milliseconds mLastInterval{ 0 };
  /// Whether the run has made no progress yet and may be waiting for other members of its gang.
  bool mMayWaitForMembers = false;
  /// Number of earlier runs of the task that were stopped as stalled.
  std::uint32_t mPreviousStalls = 0;
};

/// Shortest time without progress after which a run counts as stalled: two report intervals and a
/// margin.
inline constexpr base::milliseconds kStallLimit{ 2400 };
/// Applies to members of a gang without progress, which may be waiting for each other to start.
inline constexpr base::milliseconds kGangStallLimit{ 4500 };
/// The next change of the percentage may take this many times as long as the previous one.
inline constexpr std::int64_t kMaximumSlowdown = 3;
/// A run is not stalled before this fraction of its expected run time. The percentage changes every
/// hundredth of the run time, and estimates are wrong by a factor of several.
inline constexpr std::int64_t kStallRunTimeDivisor = 10;

/// Each stalled run of a task doubles the limit for the next one, up to this many times, so that a
/// long task whose declared run time is far too short can finish.
inline constexpr std::uint32_t kMaximumDoublings = 8;

/// Detects tasks that stop making progress on a worker that otherwise appears healthy.
inline bool IsStalled(run_progress const& aProgress, base::time_point aNow)
{
  auto const baseLimit = aProgress.mMayWaitForMembers ? kGangStallLimit : kStallLimit;
  auto const minimumLimit =
    baseLimit * (1U << std::min(aProgress.mPreviousStalls, kMaximumDoublings));
  return aNow - aProgress.mLastProgressAt >
         std::max({ minimumLimit, aProgress.mExpectedRunTime / kStallRunTimeDivisor,
                    aProgress.mLastInterval * kMaximumSlowdown });
}

} // namespace rattanpond::dispatch
