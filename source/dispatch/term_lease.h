#pragma once

#include "base/time.h"

#include <algorithm>
#include <cstdint>

namespace rattanpond::dispatch {

/// Interval of the holder's term heartbeats.
inline constexpr base::milliseconds kTermHeartbeatInterval{ 400 };

/// A standby takes over after this time without a term heartbeat. It tolerates two lost heartbeats,
/// or heartbeats that are late by the store's slowest answers (0.35 s). Needless takeovers cost
/// little, as the new holder adopts running work. Together with the takeover itself, the time stays
/// well under the specified limit of 3 s.
inline constexpr base::milliseconds kTermHeartbeatTimeout{ 1400 };

/// A front's view of the scheduler term; decides when a standby may take over.
class term_lease
{
public:
  /// Records the version of a term or term heartbeat row; a newer one extends the lease.
  void RecordVersion(std::uint64_t aVersion, base::time_point aNow)
  {
    if (aVersion > mVersion) {
      mVersion = aVersion;
      mVersionSeenAt = aNow;
    }
  }

  /// Suspends the timeout. It restarts when the store is available again: it must count only time
  /// in which this front could have read a term heartbeat.
  void SetStoreUnavailable() { mIsStoreAvailable = false; }

  void SetStoreAvailable(base::time_point aNow)
  {
    if (!mIsStoreAvailable) {
      mIsStoreAvailable = true;
      mStoreAvailableSince = aNow;
    }
  }

  /// The holder has released the term; a standby takes over without waiting.
  void SetReleased() { mIsReleased = true; }
  void SetHeld() { mIsReleased = false; }

  /// aSpread differs between standbys, so that they do not take over at the same time.
  bool IsVacant(base::time_point aNow, base::milliseconds aSpread) const
  {
    if (!mIsStoreAvailable) {
      return false;
    }
    if (mVersion == 0 || mIsReleased) {
      return true;
    }
    return aNow - std::max(mVersionSeenAt, mStoreAvailableSince) > kTermHeartbeatTimeout + aSpread;
  }

private:
  std::uint64_t mVersion = 0;
  base::time_point mVersionSeenAt{};
  bool mIsStoreAvailable = false;
  base::time_point mStoreAvailableSince{};
  bool mIsReleased = false;
};

} // namespace rattanpond::dispatch
