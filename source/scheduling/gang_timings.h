#pragma once

#include "base/time.h"

namespace rattanpond::scheduling {

/// Times of a gang's liveness protocol. A part of a gang can run without the rest for at most
/// mLease + mStopGrace.
struct gang_timings
{
  base::milliseconds mBeat{ 1000 };
  base::milliseconds mLease{ 4000 };
  base::milliseconds mStopGrace{ 2000 };
  /// From the commit until all members must be heard and ready.
  base::milliseconds mFormLimit{ 5000 };
  /// Longest task lease at the runner, for gangs on one worker.
  base::milliseconds mTaskLease{ 10'000 };
  base::milliseconds mRenewPeriod{ 2000 };
  /// Beats before the first grant, so that a gang forms soon after its last commit.
  base::milliseconds mFormingBeat{ 200 };
  /// Between attempts to stop a task that does not stop.
  base::milliseconds mForcePeriod{ 1000 };
};

} // namespace rattanpond::scheduling
