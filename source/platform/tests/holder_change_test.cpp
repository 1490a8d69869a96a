#include "platform/tests/one_run.h"

namespace rattanpond::platform {

using base::milliseconds;

namespace {

/// Time from the expiry of the leases to the start of the next run: tick of the scheduler, commit,
/// order, and the test's own delays.
constexpr milliseconds kStartDelay{ 1500 };
/// Time after which the holder has stored that a side with runs is silent.
constexpr milliseconds kListedWithin{ 2700 };

} // namespace

BOOST_AUTO_TEST_SUITE(holder_change_test)

// Guards against a task that starts again too late, and is judged as lost: each new scheduler
// counted the lease of a worker that was lost before it came from its own takeover, and 6 s more.
BOOST_AUTO_TEST_CASE(a_loss_is_known_across_two_changes_of_the_holder)
{
  one_run run{ 2 };
  run.LoseBusySide();
  run.mCluster.RunFor(kListedWithin);
  auto& first = run.FreezeHolder();
  first.mIsFrozen = false;
  run.mCluster.RunFor(milliseconds{ 500 });
  run.FreezeHolder();
  // The bound that the lease gives, as without a change of the holder.
  auto const bound = run.mLostAt + run.ExpiryBound() + kStartDelay;
  BOOST_TEST(run.mCluster.RunUntil([&] { return run.Starts() == 2; }, run.TimeUntil(bound)));
  RequireNoFaults(run.mCluster);
}

// Guards against a wait that begins anew with each change: the worker, its side and the holder were
// lost at the same time, so that the loss was not listed; the next holder lists it.
BOOST_AUTO_TEST_CASE(an_unlisted_loss_counts_from_the_first_change_of_the_holder)
{
  one_run run{ 2 };
  run.LoseBusySide();
  auto& first = run.FreezeHolder();
  auto const takenOverAt = base::Now();
  first.mIsFrozen = false;
  run.mCluster.RunFor(kListedWithin);
  run.FreezeHolder();
  auto const bound = takenOverAt + dispatch::kMaximumStoreSilence + run.ExpiryBound() + kStartDelay;
  BOOST_TEST(run.mCluster.RunUntil([&] { return run.Starts() == 2; }, run.TimeUntil(bound)));
  RequireNoFaults(run.mCluster);
}

// Guards against a wait for a holder that has stopped: one that releases its term renews no lease
// afterwards.
BOOST_AUTO_TEST_CASE(a_released_term_adds_nothing_to_the_wait)
{
  one_run run{ 2 };
  run.LoseBusySide();
  run.ReleaseTerm();
  auto const bound = base::Now() + run.ExpiryBound() + kStartDelay;
  BOOST_TEST(run.mCluster.RunUntil([&] { return run.Starts() == 2; }, run.TimeUntil(bound)));
  RequireNoFaults(run.mCluster);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace rattanpond::platform
