#pragma once

#include "base/enum_names.h"
#include "base/time.h"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace rattanpond::dispatch {

/// Why no run of an incarnation can still be running.
enum class lease_end
{
  incarnation_replaced,
  /// The side has reported that the lease is over.
  reported,
  /// The side has not reported, or not been answered, for long enough.
  silence,
  /// Another process of the side runs, which has renewed no lease of the incarnation.
  side_replaced,
  /// Nothing has been heard of the incarnation since the takeover.
  takeover
};

/// What the holder of the term knows about the lease of one worker. Decides when a run whose end
/// was not reported has certainly ended, for every order of losses of the worker, its side and the
/// scheduler. docs/platform-deployment.md has the table of cases.
class lease_evidence
{
public:
  /// The parts of a side's report that bear on the lease.
  struct report
  {
    /// Start of the incarnation that the side knows; 0 if no worker has contacted it yet.
    std::int64_t mIncarnationStart = 0;
    /// The worker does not answer, and every lease that the side may have given it has expired.
    bool mIsLeaseOver = false;
  };

  /// The latest end of all runs that were started on an incarnation, and what it follows from.
  struct latest_end
  {
    base::time_point mAt{};
    lease_end mReason = lease_end::silence;
  };

  /// aUnansweredSince: the time since which no former holder has answered the side.
  lease_evidence(base::time_point aUnansweredSince, base::milliseconds aMaximumLease);

  void RecordReport(report const& aReport, base::time_point aNow);

  /// Time from which no run of the incarnation can still be running, unless a later report says
  /// otherwise. Always finite, so that no run is waited for without end.
  latest_end RunsEndBy(std::int64_t aIncarnationStart) const;

  /// Last report of whatever incarnation; the earliest time if there was none.
  base::time_point LastReportAt() const { return mLastReportAt; }
  /// Time since which no holder has answered a report that the side sent later.
  base::time_point UnansweredSince() const { return std::max(mUnansweredSince, mLastReportAt); }

private:
  latest_end Earlier(latest_end const& aEnd,
                     std::optional<base::time_point> const& aSideReplacedAt) const;

  base::time_point mUnansweredSince{};
  base::milliseconds mLeaseLength{ 0 };
  base::milliseconds mExpiryBound{ 0 };
  /// First report since the takeover, of whatever incarnation.
  std::optional<base::time_point> mFirstReportAt;
  base::time_point mLastReportAt{};
  /// The newest incarnation reported, and its last report.
  std::int64_t mIncarnationStart = 0;
  base::time_point mReportedAt{};
  bool mIsLeaseOver = false;
  /// First report of a side process that does not know the newest incarnation.
  std::optional<base::time_point> mSideReplacedAt;
};

} // namespace rattanpond::dispatch

template<>
struct rattanpond::base::enum_names<rattanpond::dispatch::lease_end>
{
  using end = rattanpond::dispatch::lease_end;
  static constexpr enum_name<end> kTable[] = {
    { end::incarnation_replaced, "the worker's incarnation was replaced" },
    { end::reported, "the side reported that the lease is over" },
    { end::silence, "the lease has expired" },
    { end::side_replaced, "the lease has expired since the side restarted" },
    { end::takeover, "the lease has expired since the takeover" }
  };
};
