#pragma once

#include "base/time.h"

#include <algorithm>

namespace rattanpond::dispatch {

/// Length of a worker lease, if the platform allows it. Together with kLeaseRenewalWindow it
/// outlasts the longest store outage and the longest loss of all fronts;
/// docs/platform-deployment.md gives the trade-off.
inline constexpr base::milliseconds kLeaseLength{ 8000 };

/// A side renews the lease for this long after it sent the last report that was answered.
inline constexpr base::milliseconds kLeaseRenewalWindow{ 3000 };

/// A holder without a confirmed read from the store for this long may have been replaced and renews
/// no more leases, so that the next holder can determine when they have expired. Longer than the
/// usual store outage, so that runs survive one.
inline constexpr base::milliseconds kMaximumStoreSilence{ 6000 };

/// Start orders that answer an older report are refused, as the scheduler's decision may be
/// outdated.
inline constexpr base::milliseconds kMaximumOrderAge{ 1800 };

/// A start takes effect only until the worker's clock has advanced this far beyond the side's last
/// reading of it. That reading may be 1.6 s old, an attempt takes 0.4 s, and slow machines need
/// some more. The lease does not depend on it: the polls renew that.
inline constexpr base::milliseconds kStartValidity{ 2500 };

/// Rate of the slowest worker clock: it may be slow by 2%.
inline constexpr double kMinimumClockRate = 0.98;

/// Covers network and scheduling delays that LeaseExpiryBound does not model.
inline constexpr base::milliseconds kLeaseExpiryMargin{ 200 };

/// Longest real time that a duration on the worker's clock may take.
inline base::milliseconds MaximumRealTime(base::milliseconds aOnWorkerClock)
{
  return base::milliseconds{ static_cast<std::int64_t>(static_cast<double>(aOnWorkerClock.count()) /
                                                       kMinimumClockRate) };
}

/// Longest time between the reading of run lists by a side and the receipt of its report: the lists
/// of a worker that has not answered for 1.5 s are no longer reported, and a link without a message
/// is closed after 3 s.
inline constexpr base::milliseconds kMaximumRunListsAge{ 4500 };

/// Time after a start order was issued from which no worker carries it out any more.
inline base::milliseconds StartExpiryBound(base::milliseconds aMaximumLease)
{
  return kMaximumOrderAge + MaximumRealTime(std::min(kStartValidity, aMaximumLease)) +
         kLeaseExpiryMargin;
}

/// Time without a report after which the worker lease has certainly expired, so that no run that
/// was started earlier is still running.
inline base::milliseconds LeaseExpiryBound(base::milliseconds aMaximumLease)
{
  return kLeaseRenewalWindow + MaximumRealTime(std::min(kLeaseLength, aMaximumLease)) +
         kLeaseExpiryMargin;
}

} // namespace rattanpond::dispatch
