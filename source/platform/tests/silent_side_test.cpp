#include "platform/tests/one_run.h"

namespace rattanpond::platform {

using base::milliseconds;

namespace {

/// Time after which the holder has decided that a side with runs is silent.
constexpr milliseconds kSilenceNoticed{ 2200 };
/// Time after which it has stored that.
constexpr milliseconds kListedWithin{ 2700 };

} // namespace

BOOST_AUTO_TEST_SUITE(silent_side_test)

// Guards against a second run, or an end of the run, while its worker works: only the side was
// silent, over two changes of the holder. The first holder wakes up afterwards.
BOOST_AUTO_TEST_CASE(a_side_that_was_only_silent_keeps_its_run)
{
  one_run run{ 3 };
  run.mLostAt = base::Now();
  run.BusySide().mIsFrozen = true;
  run.mCluster.RunFor(kSilenceNoticed);
  auto& first = run.FreezeHolder();
  run.ReleaseTerm();
  run.BusySide().mIsFrozen = false;
  run.mCluster.RunFor(milliseconds{ 500 });
  first.mIsFrozen = false;
  run.mCluster.RunFor(milliseconds{ 9000 });
  BOOST_TEST(run.Starts() == 1U);
  BOOST_TEST(run.mCluster.mRecorder.ActiveRuns() == 1U);
  RequireNoFaults(run.mCluster);
}

// Guards against two runs at once when the side wakes up about when its leases end: its worker ends
// the run by itself, and the task starts once more.
BOOST_AUTO_TEST_CASE(a_side_that_was_silent_for_longer_than_its_lease_starts_the_task_once_more)
{
  for (auto const silence : { milliseconds{ 8000 }, milliseconds{ 11'000 } }) {
    BOOST_TEST_CONTEXT("silent for " << silence.count() << " ms")
    {
      one_run run{ 3 };
      run.mLostAt = base::Now();
      auto& side = run.BusySide();
      side.mIsFrozen = true;
      run.mCluster.RunFor(kSilenceNoticed);
      auto& first = run.FreezeHolder();
      run.ReleaseTerm();
      first.mIsFrozen = false;
      run.mCluster.RunFor(run.TimeUntil(run.mLostAt + silence));
      side.mIsFrozen = false;
      run.mCluster.RunFor(milliseconds{ 8000 });
      BOOST_TEST(run.Starts() == 2U);
      BOOST_TEST(run.mCluster.mRecorder.ActiveRuns() == 1U);
      RequireNoFaults(run.mCluster);
    }
  }
}

// Guards against two runs at once: a holder that is cut off from the store cannot remove the side
// that it has listed, so it must not answer it when it returns; the next holder counts from the
// list.
BOOST_AUTO_TEST_CASE(a_listed_side_renews_no_lease_through_a_holder_that_is_cut_off)
{
  one_run run{ 2 };
  auto& side = run.BusySide();
  auto& holder = *run.mCluster.Holder();
  run.mLostAt = base::Now();
  side.mIsFrozen = true;
  run.mCluster.RunFor(kListedWithin);
  BOOST_REQUIRE(run.mCluster.mStore.Text(dispatch::kDispatchTable, dispatch::kSilentSidesKey)
                  .value_or("")
                  .find(side.mSettings.mNode) != std::string::npos);
  // From now on the side can reach the former holder only, and the next one the store only.
  holder.mStoreEndpoint.mBehavior = fake_row_store::behavior::silent;
  // Longer than a poll that was sent before.
  run.mCluster.RunFor(milliseconds{ 600 });
  run.mCluster.mStore.Put(dispatch::kDispatchTable, dispatch::kSidePrefix + side.mSettings.mNode,
                          base::json{ { "address", "127.0.0.1:1" } }.dump());
  side.mIsFrozen = false;
  run.mCluster.RunFor(run.TimeUntil(run.mLostAt + run.ExpiryBound() + milliseconds{ 2500 }));
  BOOST_TEST(run.Starts() == 2U);
  RequireNoFaults(run.mCluster);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace rattanpond::platform
