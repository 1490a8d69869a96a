#pragma once

#include "base/time.h"

#include <algorithm>
#include <cstdint>

namespace rattanpond::dispatch {

/// Controls the pace of the best-effort tasks on one worker that also runs serving tasks.
/// Best-effort tasks slow serving tasks down by an amount that cannot be predicted and that changes
/// within seconds.
///
/// Reduces the pace at once and raises it slowly: a response-time target may be missed for a few
/// seconds only, while best-effort tasks have no deadline.
class pace_control
{
public:
  static constexpr std::uint32_t kFullPercent = 100;
  /// Initial pace in percent, low enough to measure the effect on serving tasks first.
  static constexpr std::uint32_t kInitialPercent = 20;
  /// Shares of the response-time target: the pace is halved from kNearTarget on, and best-effort
  /// tasks pause from kOverTarget on.
  static constexpr double kNearTarget = 0.85;
  static constexpr double kOverTarget = 1.0;
  /// Below this share of the target the pace may rise. The gap to kNearTarget is hysteresis:
  /// response times differ by more than 10% between two reports.
  static constexpr double kRaiseBelow = 0.7;
  /// Time until a change shows in the response times: the platform applies it after 100 ms, and
  /// response times are measured over 500 ms.
  static constexpr base::milliseconds kSettlingTime{ 700 };
  static constexpr base::milliseconds kRaiseInterval{ 2000 };
  static constexpr std::uint32_t kMinimumRaise = 10;
  /// For this long after a pause, the pace is limited to half of the one that led to it.
  static constexpr base::milliseconds kCeilingDuration{ 10'000 };

  pace_control() = default;

  std::uint32_t Percent() const { return mPercent; }

  /// Sets the full pace, for a worker without serving tasks.
  void SetFullPace() { *this = pace_control{ kFullPercent }; }

  /// aTail: the worst response-time tail of the serving tasks, as a share of its target.
  void Observe(double aTail, base::time_point aNow)
  {
    if (aTail >= kOverTarget) {
      if (mPercent > 0) {
        mCeiling = mPercent / 2;
      }
      mCeilingUntil = aNow + kCeilingDuration;
      Set(0, aNow);
    } else if (aTail >= kNearTarget) {
      if (aNow - mChangedAt >= kSettlingTime) {
        Set(mPercent / 2, aNow);
      }
    } else if (aTail < kRaiseBelow && aNow - mChangedAt >= kRaiseInterval) {
      auto const limit = aNow < mCeilingUntil ? mCeiling : kFullPercent;
      auto const raised = mPercent + std::max(kMinimumRaise, mPercent / 2);
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

  std::uint32_t mPercent = kInitialPercent;
  base::time_point mChangedAt{};
  std::uint32_t mCeiling = kFullPercent;
  base::time_point mCeilingUntil{};
};

} // namespace rattanpond::dispatch
