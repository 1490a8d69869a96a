#pragma once

#include "base/time.h"

namespace rattanpond::scheduling {

/// Timing of a gang's liveness protocol. A part of a gang can run without the rest for at most
/// mLease + mStopGracePeriod.
struct gang_timings
{
  base::milliseconds mHeartbeatInterval{ 1000 };
  base::milliseconds mLease{ 4000 };
  base::milliseconds mStopGracePeriod{ 2000 };
  /// Time limit, from the commit, for all members to respond and be ready.
  base::milliseconds mFormTimeout{ 5000 };
  /// Maximum task lease at the runner. Gangs on one worker always get this lease.
  base::milliseconds mTaskLease{ 10'000 };
  base::milliseconds mRenewInterval{ 2000 };
  /// Heartbeat interval before the first grant; short, so that a gang forms soon after its last
  /// commit.
  base::milliseconds mFormingHeartbeatInterval{ 200 };
  /// Interval between forced stops of a task that has not stopped.
  base::milliseconds mForceStopInterval{ 1000 };
};

} // namespace rattanpond::scheduling
