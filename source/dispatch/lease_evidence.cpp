#include "dispatch/lease_evidence.h"

#include "dispatch/lease_timing.h"

namespace rattanpond::dispatch {

lease_evidence::lease_evidence(base::time_point aUnansweredSince, base::milliseconds aMaximumLease)
  : mUnansweredSince{ aUnansweredSince }
  , mLeaseLength{ MaximumRealTime(std::min(kLeaseLength, aMaximumLease)) }
  , mExpiryBound{ LeaseExpiryBound(aMaximumLease) }
{
}

void lease_evidence::RecordReport(report const& aReport, base::time_point aNow)
{
  if (!mFirstReportAt) {
    mFirstReportAt = aNow;
  }
  mLastReportAt = aNow;
  if (aReport.mIncarnationStart == 0 || aReport.mIncarnationStart < mIncarnationStart) {
    // A side never forgets an incarnation, so another process of the side has replaced it.
    if (!mSideReplacedAt) {
      mSideReplacedAt = aNow;
    }
    return;
  }
  mIncarnationStart = aReport.mIncarnationStart;
  mReportedAt = aNow;
  mIsLeaseOver = aReport.mIsLeaseOver;
  mSideReplacedAt.reset();
}

lease_evidence::latest_end lease_evidence::RunsEndBy(std::int64_t aIncarnationStart) const
{
  if (mIncarnationStart > aIncarnationStart) {
    return { mReportedAt, lease_end::incarnation_replaced };
  }
  if (mIncarnationStart == aIncarnationStart) {
    if (mIsLeaseOver) {
      return { mReportedAt, lease_end::reported };
    }
    // The side may renew the lease for a while after its last answered report; another process of
    // the side renews nothing before it knows the incarnation.
    return Earlier({ mReportedAt + mExpiryBound, lease_end::silence }, mSideReplacedAt);
  }
  // A former holder may have renewed leases until then.
  return Earlier({ mUnansweredSince + mExpiryBound, lease_end::takeover }, mFirstReportAt);
}

lease_evidence::latest_end lease_evidence::Earlier(
  latest_end const& aEnd, std::optional<base::time_point> const& aSideReplacedAt) const
{
  if (aSideReplacedAt && *aSideReplacedAt + mLeaseLength + kLeaseExpiryMargin < aEnd.mAt) {
    return { *aSideReplacedAt + mLeaseLength + kLeaseExpiryMargin, lease_end::side_replaced };
  }
  return aEnd;
}

} // namespace rattanpond::dispatch
