#include "dispatch/lease_evidence.h"

#include <boost/test/unit_test.hpp>

namespace rattanpond::dispatch {

using base::milliseconds;
using base::time_point;

namespace {

constexpr milliseconds kMaximumLease{ 6000 };
constexpr std::int64_t kOlder = 100;
constexpr std::int64_t kWorker = 200;
constexpr std::int64_t kNewer = 300;
/// The side knows no worker.
constexpr std::int64_t kNone = 0;

time_point At(int aMs)
{
  return time_point{ milliseconds{ 100'000 + aMs } };
}

/// One report of the side, at a time since the takeover.
struct event
{
  int mAtMs = 0;
  std::int64_t mIncarnationStart = 0;
  bool mIsLeaseOver = false;
};

/// An order of reports, and the expected end of a run on kWorker.
struct wait_case
{
  std::string mName;
  std::vector<event> mEvents;
  milliseconds mEndsAt;
  lease_end mReason = lease_end::silence;
  /// Time since which no former holder has answered the side. One that is only replaced answers for
  /// 6 s after the takeover.
  int mUnansweredSinceMs = 6000;
};

/// From the stated limits: 6 s lease on a clock that is 2% slow, 3 s of renewals after the last
/// answered report, 6 s of renewals by a holder without the store, and the margin.
constexpr milliseconds kLease{ 6122 + 200 };
constexpr milliseconds kSilence = milliseconds{ 3000 } + kLease;
constexpr milliseconds kTakeover = milliseconds{ 6000 } + kSilence;

} // namespace

BOOST_AUTO_TEST_SUITE(lease_evidence_test)

// Guards against runs that are waited for without end: the power of all machines went, the side of
// a worker that had left came back without a worker, and a gang waited for the end of its last
// member until the day ended (further-grown, trouble-2). Each row is an order of events that may
// leave the end of a run unknown; each has a finite end.
BOOST_AUTO_TEST_CASE(every_wait_for_a_run_ends)
{
  std::vector<wait_case> const cases{
    { "side never heard of since the takeover", {}, kTakeover, lease_end::takeover },
    { "side back without a worker, after the takeover",
      { { 500, kNone } },
      milliseconds{ 500 } + kLease,
      lease_end::side_replaced },
    { "side back without a worker, repeated reports do not extend the wait",
      { { 500, kNone }, { 2000, kNone }, { 9000, kNone } },
      milliseconds{ 500 } + kLease,
      lease_end::side_replaced },
    { "side back without a worker, late", { { 14'000, kNone } }, kTakeover, lease_end::takeover },
    { "side knows only an older incarnation",
      { { 500, kOlder } },
      milliseconds{ 500 } + kLease,
      lease_end::side_replaced },
    { "side without a worker, then with an older incarnation",
      { { 500, kNone }, { 3000, kOlder } },
      milliseconds{ 500 } + kLease,
      lease_end::side_replaced },
    { "side reports a newer incarnation",
      { { 700, kNewer } },
      milliseconds{ 700 },
      lease_end::incarnation_replaced },
    { "side without a worker, then with a newer incarnation",
      { { 500, kNone }, { 1500, kNewer } },
      milliseconds{ 1500 },
      lease_end::incarnation_replaced },
    { "side goes silent",
      { { 400, kWorker }, { 1400, kWorker } },
      milliseconds{ 1400 } + kSilence },
    { "side restarts and knows no worker",
      { { 1400, kWorker }, { 2000, kNone } },
      milliseconds{ 2000 } + kLease,
      lease_end::side_replaced },
    { "side restarts twice",
      { { 1400, kWorker }, { 2000, kNone }, { 4000, kNone } },
      milliseconds{ 2000 } + kLease,
      lease_end::side_replaced },
    { "side restarts long after its last report",
      { { 1400, kWorker }, { 9000, kNone } },
      milliseconds{ 1400 } + kSilence },
    { "side restarts and receives a late heartbeat of an older incarnation",
      { { 1400, kWorker }, { 2000, kOlder } },
      milliseconds{ 2000 } + kLease,
      lease_end::side_replaced },
    { "side restarts and finds another worker",
      { { 1400, kWorker }, { 2000, kNone }, { 3500, kNewer } },
      milliseconds{ 3500 },
      lease_end::incarnation_replaced },
    { "side restarts and finds the same worker",
      { { 1400, kWorker }, { 2000, kNone }, { 3500, kWorker } },
      milliseconds{ 3500 } + kSilence },
    { "worker does not answer until the lease is over",
      { { 1400, kWorker }, { 8000, kWorker, true } },
      milliseconds{ 8000 },
      lease_end::reported },
    { "worker answers again after the lease was over",
      { { 8000, kWorker, true }, { 9000, kWorker } },
      milliseconds{ 9000 } + kSilence },
    { "former holder released the term, side never heard of since",
      {},
      kSilence,
      lease_end::takeover,
      0 },
    { "side listed as silent before the takeover, never heard of since",
      {},
      milliseconds{ -4000 } + kSilence,
      lease_end::takeover,
      -4000 },
    { "side listed so long before the takeover that its leases are over",
      {},
      milliseconds{ -20'000 } + kSilence,
      lease_end::takeover,
      -20'000 },
    { "side listed as silent reports again",
      { { 2000, kWorker } },
      milliseconds{ 2000 } + kSilence,
      lease_end::silence,
      -4000 },
    { "side listed as silent returns without a worker, early",
      { { 500, kNone } },
      milliseconds{ -4000 } + kSilence,
      lease_end::takeover,
      -4000 },
    { "side listed as silent returns without a worker, late",
      { { 500, kNone } },
      milliseconds{ 500 } + kLease,
      lease_end::side_replaced,
      -1000 },
    { "side listed as silent returns with another worker",
      { { 700, kNewer } },
      milliseconds{ 700 },
      lease_end::incarnation_replaced,
      -4000 },
    { "side listed as silent returns without a worker, then with the worker",
      { { 500, kNone }, { 1500, kWorker } },
      milliseconds{ 1500 } + kSilence,
      lease_end::silence,
      -4000 },
  };
  for (auto const& each : cases) {
    BOOST_TEST_CONTEXT(each.mName)
    {
      lease_evidence evidence{ At(each.mUnansweredSinceMs), kMaximumLease };
      for (auto const& report : each.mEvents) {
        evidence.RecordReport(
          { .mIncarnationStart = report.mIncarnationStart, .mIsLeaseOver = report.mIsLeaseOver },
          At(report.mAtMs));
      }
      auto const end = evidence.RunsEndBy(kWorker);
      BOOST_TEST((end.mAt - At(0)).count() == each.mEndsAt.count());
      BOOST_TEST(base::Name(end.mReason) == base::Name(each.mReason));
    }
  }
}

// Guards against a second run beside one that still works, because a report was lost: a worker that
// did not answer when its side last reported may have answered since, and its lease may have been
// renewed until the side noticed that its reports are not answered.
BOOST_AUTO_TEST_CASE(a_lost_report_does_not_shorten_the_lease)
{
  lease_evidence evidence{ At(6000), kMaximumLease };
  evidence.RecordReport({ .mIncarnationStart = kWorker }, At(1000));
  BOOST_TEST((evidence.RunsEndBy(kWorker).mAt >= At(1000) + kSilence));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace rattanpond::dispatch
