#pragma once

#include "base/time.h"

#include <cstdint>

namespace rattanpond::requests {

enum class health_state
{
  healthy,
  /// Receives no requests until the end of the ejection.
  ejected,
  /// Receives one request at a time to find out whether it has recovered.
  probing
};

/// Tracks the health of one executor from the results of its requests. Has no I/O; callers pass the
/// time.
class target_health
{
public:
  struct options
  {
    std::uint32_t mConsecutiveFailures = 5;
    /// Fraction of failures among the recent requests; applies from mMinimumSamples requests on.
    double mFailureShare = 0.5;
    std::uint32_t mMinimumSamples = 10;
    /// A target is slow if its service time is more than this many times the median.
    double mSlowFactor = 3;
    /// Smaller differences from the median are noise.
    double mSlowMinimumMilliseconds = 5;
    base::milliseconds mMinimumEjection{ 2000 };
    base::milliseconds mMaximumEjection{ 30'000 };
    std::uint32_t mProbesToRecover = 3;
  };

  explicit target_health(options aOptions)
    : mOptions{ aOptions }
  {
  }

  /// aMilliseconds is the service time, negative if it was not measured.
  void Succeeded(double aMilliseconds);
  void Failed();

  /// True if the target should be ejected; the router limits the share of ejected targets.
  bool IsSuspect(double aMedianMilliseconds) const;
  void Eject(base::time_point aNow);
  /// Moves an ejected target to probing at the end of its ejection.
  void StartProbingIfDue(base::time_point aNow);
  /// Ejects a probing target again or restores it to healthy, depending on its probes so far. Slow
  /// means slow compared with aMedianMilliseconds.
  void EvaluateProbes(double aMedianMilliseconds, base::time_point aNow);

  health_state State() const { return mState; }
  /// Moving average of the service time, 0 before the first sample.
  double ServiceMilliseconds() const { return mServiceMilliseconds; }
  bool HasSamples() const { return mSamples > 0; }

private:
  void RecordSample(double aFailure);
  bool IsSlow(double aMedianMilliseconds) const;

  options mOptions;
  health_state mState = health_state::healthy;
  std::uint32_t mConsecutiveFailures = 0;
  std::uint32_t mSamples = 0;
  std::uint32_t mProbes = 0;
  std::uint32_t mEjections = 0;
  double mFailureShare = 0;
  double mServiceMilliseconds = 0;
  base::time_point mEjectedUntil{};
};

} // namespace rattanpond::requests
