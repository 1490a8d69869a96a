#pragma once

#include "base/time.h"

#include <cstdint>

namespace rattanpond::requests {

enum class health_state
{
  healthy,
  /// Receives nothing until the end of the ejection.
  ejected,
  /// Receives one request at a time to find out whether it has recovered.
  probing
};

/// Judges one executor by the ends of its requests. Pure.
class target_health
{
public:
  struct options
  {
    std::uint32_t mFailuresInRow = 5;
    /// Share of failures among the recent requests; counts only with enough of them.
    double mFailureShare = 0.5;
    std::uint32_t mMinimumSamples = 10;
    /// Slow means this many times the median service time of the others.
    double mSlowFactor = 3;
    /// Differences below this are noise.
    double mSlowMinimumMilliseconds = 5;
    base::milliseconds mShortestEjection{ 2000 };
    base::milliseconds mLongestEjection{ 30'000 };
    std::uint32_t mProbesToRecover = 3;
  };

  explicit target_health(options aOptions)
    : mOptions{ aOptions }
  {
  }

  /// aMilliseconds is the service time, below 0 if the executor was not timed.
  void Succeeded(double aMilliseconds);
  void Failed();

  /// Tells whether the target ought to be ejected; the router decides with its cap.
  bool IsSuspect(double aMedianMilliseconds) const;
  void Eject(base::time_point aNow);
  /// Moves an ejected target to probing at the end of its ejection.
  void Advance(base::time_point aNow);
  /// Judges a probing target by the probes so far; needs the median of the others.
  void JudgeProbes(double aMedianMilliseconds, base::time_point aNow);

  health_state State() const { return mState; }
  /// Smoothed service time, 0 before the first sample.
  double ServiceMilliseconds() const { return mServiceMilliseconds; }
  bool HasSamples() const { return mSamples > 0; }

private:
  void Count(double aFailure);
  bool IsSlow(double aMedianMilliseconds) const;

  options mOptions;
  health_state mState = health_state::healthy;
  std::uint32_t mFailuresInRow = 0;
  std::uint32_t mSamples = 0;
  std::uint32_t mProbes = 0;
  std::uint32_t mEjections = 0;
  double mFailureShare = 0;
  double mServiceMilliseconds = 0;
  base::time_point mEjectedUntil{};
};

} // namespace rattanpond::requests
