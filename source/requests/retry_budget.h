#pragma once

#include <algorithm>

namespace rattanpond::requests {

/// Limits retries to a fraction of the requests, so that retries cannot sustain an overload after
/// its cause is gone.
class retry_budget
{
public:
  struct options
  {
    double mShare = 0.1;
    /// Maximum unused allowance, in retries; small because a large one would permit a burst of
    /// them.
    double mMaximum = 20;
  };

  explicit retry_budget(options aOptions)
    : mOptions{ aOptions }
    , mAllowance{ 1 }
  {
  }

  void RequestArrived() { mAllowance = std::min(mOptions.mMaximum, mAllowance + mOptions.mShare); }

  bool TryRetry()
  {
    if (mAllowance < 1) {
      return false;
    }
    mAllowance -= 1;
    return true;
  }

private:
  options mOptions;
  double mAllowance;
};

} // namespace rattanpond::requests
