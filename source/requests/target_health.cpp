#include "requests/target_health.h"

#include <algorithm>

namespace rattanpond::requests {

namespace {

// Weight of a new sample in the moving averages, which cover about the last 20 requests.
constexpr double kSampleWeight = 0.1;

} // namespace

void target_health::Succeeded(double aMilliseconds)
{
  mConsecutiveFailures = 0;
  RecordSample(0);
  if (aMilliseconds >= 0) {
    mServiceMilliseconds =
      mServiceMilliseconds <= 0
        ? aMilliseconds
        : mServiceMilliseconds + kSampleWeight * (aMilliseconds - mServiceMilliseconds);
  }
}

void target_health::Failed()
{
  ++mConsecutiveFailures;
  RecordSample(1);
}

void target_health::RecordSample(double aFailure)
{
  ++mSamples;
  mFailureShare += kSampleWeight * (aFailure - mFailureShare);
  if (mState == health_state::probing) {
    ++mProbes;
  }
}

bool target_health::IsSlow(double aMedianMilliseconds) const
{
  return aMedianMilliseconds > 0 && mSamples >= mOptions.mMinimumSamples &&
         mServiceMilliseconds > aMedianMilliseconds * mOptions.mSlowFactor &&
         mServiceMilliseconds > aMedianMilliseconds + mOptions.mSlowMinimumMilliseconds;
}

bool target_health::IsSuspect(double aMedianMilliseconds) const
{
  if (mState != health_state::healthy) {
    return false;
  }
  return mConsecutiveFailures >= mOptions.mConsecutiveFailures ||
         (mSamples >= mOptions.mMinimumSamples && mFailureShare >= mOptions.mFailureShare) ||
         IsSlow(aMedianMilliseconds);
}

void target_health::Eject(base::time_point aNow)
{
  auto const factor = 1U << std::min(mEjections, 10U);
  auto const length = std::min(mOptions.mMinimumEjection * factor, mOptions.mMaximumEjection);
  ++mEjections;
  mEjectedUntil = aNow + length;
  mState = health_state::ejected;
}

void target_health::StartProbingIfDue(base::time_point aNow)
{
  if (mState != health_state::ejected || aNow < mEjectedUntil) {
    return;
  }
  // Samples from before the ejection would eject a target that has recovered.
  mState = health_state::probing;
  mProbes = 0;
  mConsecutiveFailures = 0;
  mFailureShare = 0;
  mSamples = 0;
  mServiceMilliseconds = 0;
}

void target_health::EvaluateProbes(double aMedianMilliseconds, base::time_point aNow)
{
  if (mState != health_state::probing || mProbes == 0) {
    return;
  }
  auto const isSlow =
    aMedianMilliseconds > 0 && mServiceMilliseconds > aMedianMilliseconds * mOptions.mSlowFactor &&
    mServiceMilliseconds > aMedianMilliseconds + mOptions.mSlowMinimumMilliseconds;
  if (mConsecutiveFailures > 0 || (isSlow && mProbes >= mOptions.mProbesToRecover)) {
    Eject(aNow);
  } else if (mProbes >= mOptions.mProbesToRecover) {
    mState = health_state::healthy;
    mEjections = 0;
  }
}

} // namespace rattanpond::requests
