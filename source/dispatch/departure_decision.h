#pragma once

#include "base/time.h"

#include <algorithm>
#include <cstdint>

namespace rattanpond::dispatch {

/// A single run, or a gang, of which at least one worker has announced that it leaves.
struct departing_run
{
  /// Shortest time that is left of any of its workers.
  base::milliseconds mTimeLeft{ 0 };
  /// Expected time until the run ends.
  base::milliseconds mRunTimeLeft{ 0 };
  bool mIsCheckpointable = false;
  /// Tasks that run until their job is cancelled only ever move.
  bool mIsLongRunning = false;
  /// Longest time that a stop takes on the worker.
  base::milliseconds mStopTime{ 0 };
};

/// Time between the decision to stop a run and the receipt of the stop by the worker: an interval
/// of the scheduler's checks, and one order.
inline constexpr base::milliseconds kStopOrderDelay{ 400 };

/// A worker ends this long after its notice is over, as its shutdown takes some time.
inline constexpr base::milliseconds kDepartureDelay{ 500 };

/// A run that saves nothing goes on if it is expected to end within this many times the time left:
/// run times are known to about a quarter.
inline constexpr double kRunTimeTolerance = 1.25;

/// Whether to stop a run because its worker leaves.
///
/// Load pattern: workers that are taken away a few seconds after a notice, one after the other or a
/// whole failure domain at once, while their runs take longer than the notice. Runs that end in
/// time are left alone. A checkpointable run works on until the last moment at which a stop still
/// saves its work. A run that cannot end in time and saves nothing is stopped at once: its work is
/// lost either way, and it starts again earlier.
inline bool MustStopBeforeDeparture(departing_run const& aRun)
{
  auto const lastOrder = aRun.mStopTime + kStopOrderDelay;
  if (aRun.mIsLongRunning) {
    return aRun.mTimeLeft <= lastOrder;
  }
  if (aRun.mIsCheckpointable) {
    return aRun.mRunTimeLeft > aRun.mTimeLeft && aRun.mTimeLeft <= lastOrder;
  }
  return aRun.mRunTimeLeft >
         std::max(base::milliseconds{ 0 }, aRun.mTimeLeft) * kRunTimeTolerance + kDepartureDelay;
}

/// Progress of a run, as far as its worker has listed it.
struct listed_progress
{
  base::milliseconds mElapsed{ 0 };
  std::int64_t mPercent = 0;
  /// Age of the percentage.
  base::milliseconds mPercentAge{ 0 };
  /// Expected run time of the whole task.
  base::milliseconds mExpected{ 0 };
};

/// Expected time until a run ends: from its progress, or from the expected run time while the
/// progress is too small to tell.
inline base::milliseconds RunTimeLeft(listed_progress const& aProgress)
{
  constexpr std::int64_t kComplete = 100;
  constexpr std::int64_t kSmallestUsable = 10;
  base::milliseconds left = aProgress.mExpected - aProgress.mElapsed;
  if (aProgress.mPercent >= kSmallestUsable) {
    auto const elapsed = aProgress.mElapsed - aProgress.mPercentAge;
    left = elapsed * (kComplete - std::min(kComplete, aProgress.mPercent)) / aProgress.mPercent -
           aProgress.mPercentAge;
  }
  return std::max(base::milliseconds{ 0 }, left);
}

} // namespace rattanpond::dispatch
