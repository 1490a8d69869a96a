#pragma once

#include "base/time.h"

#include <algorithm>

namespace rattanpond::dispatch {

/// What is known of the progress of a run.
struct run_progress
{
  /// When the listed percentage last changed, or the run started.
  base::time_point mSince{};
  base::milliseconds mExpected{ 0 };
  bool mHasProgress = false;
};

/// Shortest time without progress that counts as standing still: two reports and a margin.
inline constexpr base::milliseconds kStallLimit{ 3000 };
/// A run that has not begun to work may wait for the other members of its gang.
inline constexpr base::milliseconds kFirstProgressLimit{ 4500 };
/// Percentages change every hundredth of the run time; estimates are off by several times.
inline constexpr std::int64_t kStallShareOfRun = 10;

/// Answers the pattern in which tasks on some workers stand still while the worker looks healthy.
inline bool IsStalled(run_progress const& aProgress, base::time_point aNow)
{
  auto const shortest = aProgress.mHasProgress ? kStallLimit : kFirstProgressLimit;
  return aNow - aProgress.mSince > std::max(shortest, aProgress.mExpected / kStallShareOfRun);
}

} // namespace rattanpond::dispatch
