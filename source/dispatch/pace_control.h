#pragma once

#include "base/time.h"

#include <algorithm>
#include <cstdint>

namespace rattanpond::dispatch {

/// Share of its speed at which work that fills idle processors runs on one worker, beside tasks
/// that serve users. Answers the pattern in which filling work slows the serving tasks down by an
/// amount that nobody knows beforehand and that changes within seconds.
///
/// Cuts at once and raises slowly: a target may be missed for a few seconds only, while filling
/// work has no deadline of its own.
class pace_control
{
public:
  static constexpr std::uint32_t kWholePercent = 100;
  /// Filling work begins at this share, in percent, and shows what it does to its neighbours.
  static constexpr std::uint32_t kFirstPercent = 20;
  /// Shares of the target: the pace is halved from the first on, and work pauses from the second
  /// on.
  static constexpr double kNearTarget = 0.85;
  static constexpr double kOverTarget = 1.0;
  /// Below this share of the target the pace may rise. The gap to kNearTarget is hysteresis:
  /// response times differ by more than a tenth between two reports.
  static constexpr double kCalm = 0.7;
  /// A change shows in the response times after the platform's delay of 100 ms and the half second
  /// over which they are taken.
  static constexpr base::milliseconds kSettling{ 700 };
  static constexpr base::milliseconds kRaiseInterval{ 2000 };
  static constexpr std::uint32_t kSmallestRaise = 10;
  /// For this long after a pause the pace stays below half of what led to it.
  static constexpr base::milliseconds kCaution{ 10'000 };

  pace_control() = default;

  std::uint32_t Percent() const { return mPercent; }

  /// Filling work has the worker for itself.
  void Lift() { *this = pace_control{ kWholePercent }; }

  /// aTail: the worst response-time tail of the serving tasks, as a share of its target.
  void Observe(double aTail, base::time_point aNow)
  {
    if (aTail >= kOverTarget) {
      if (mPercent > 0) {
        mCeiling = mPercent / 2;
      }
      mCautionUntil = aNow + kCaution;
      Set(0, aNow);
    } else if (aTail >= kNearTarget) {
      if (aNow - mChangedAt >= kSettling) {
        Set(mPercent / 2, aNow);
      }
    } else if (aTail < kCalm && aNow - mChangedAt >= kRaiseInterval) {
      auto const limit = aNow < mCautionUntil ? mCeiling : kWholePercent;
      auto const raised = mPercent + std::max(kSmallestRaise, mPercent / 2);
      Set(std::max(mPercent, std::min(raised, limit)), aNow);
    }
  }

private:
  explicit pace_control(std::uint32_t aPercent)
    : mPercent{ aPercent }
  {
  }

  void Set(std::uint32_t aPercent, base::time_point aNow)
  {
    if (aPercent != mPercent) {
      mPercent = aPercent;
      mChangedAt = aNow;
    }
  }

  std::uint32_t mPercent = kFirstPercent;
  base::time_point mChangedAt{};
  std::uint32_t mCeiling = kWholePercent;
  base::time_point mCautionUntil{};
};

} // namespace rattanpond::dispatch
