#include "platform/tests/reborn_cluster.h"

namespace rattanpond::platform {

using base::milliseconds;

namespace {

/// Processes that are replaced between a crash and a late call.
enum class loss
{
  none,
  holder,
  all_fronts
};

void Replace(reborn_cluster& aCluster, loss aLoss)
{
  auto const holder = aCluster.Holder() == aCluster.mFronts[0].get() ? 0U : 1U;
  if (aLoss != loss::none) {
    aCluster.ReplaceFront(holder);
  }
  if (aLoss == loss::all_fronts) {
    aCluster.ReplaceFront(1U - holder);
  }
}

void AnswerOrders(reborn_cluster& aCluster)
{
  for (auto const& side : aCluster.mSides) {
    side->mWorker.mFaults.mOrderDelay = milliseconds{ 0 };
  }
}

/// The worker crashes, and its side hears of the next incarnation by its run lists only.
void CrashUnannounced(reborn_cluster& aCluster)
{
  aCluster.ChosenSide().mSendsHeartbeats = false;
  aCluster.Chosen().Crash();
}

} // namespace

BOOST_AUTO_TEST_SUITE(unanswered_start_test)

// Guards against a start after a success: a call without an answer, repeated with one, reaches the
// next incarnation before that has registered, when the task is done.
BOOST_AUTO_TEST_CASE(a_late_call_does_not_start_a_task_that_is_done)
{
  constexpr milliseconds kDelay{ 3500 };
  for (auto const lost : { loss::none, loss::holder, loss::all_fronts }) {
    BOOST_TEST_CONTEXT("loss " << static_cast<int>(lost))
    {
      reborn_cluster cluster{ milliseconds{ 300 } };
      cluster.DelayOrders(kDelay);
      cluster.Submit(1);
      cluster.AwaitStartCall();
      auto const calledAt = base::Now();
      AnswerOrders(cluster);
      BOOST_TEST(cluster.ReachesState(cluster.mPaths.front(), "done"));
      cluster.RunFor(calledAt + milliseconds{ 2300 } - base::Now());
      CrashUnannounced(cluster);
      Replace(cluster, lost);
      cluster.RunFor(calledAt + kDelay + milliseconds{ 300 } - base::Now());
      BOOST_TEST(cluster.mRecorder.Starts(JobId(1) + ".0.0.0") == 1U);
      cluster.ChosenSide().mSendsHeartbeats = true;
      BOOST_REQUIRE(cluster.RunUntil([&] { return cluster.Holder() != nullptr; }));
      cluster.CheckDone();
    }
  }
}

// Guards against two runs at once: the start has expired on the worker's clock, and the task runs
// elsewhere; the clock of the next incarnation begins anew.
BOOST_AUTO_TEST_CASE(an_expired_start_is_not_carried_out_by_the_next_incarnation)
{
  constexpr milliseconds kDelay{ 6500 };
  for (auto const lost : { loss::none, loss::holder, loss::all_fronts }) {
    BOOST_TEST_CONTEXT("loss " << static_cast<int>(lost))
    {
      reborn_cluster cluster{ milliseconds{ 6000 } };
      cluster.DelayOrders(kDelay);
      cluster.Submit(1);
      cluster.AwaitStartCall();
      auto const calledAt = base::Now();
      for (auto const& side : cluster.mSides) {
        side->mWorker.mFaults.mOrderDelay =
          side.get() == &cluster.ChosenSide() ? kDelay : milliseconds{ 0 };
      }
      auto const task = JobId(1) + ".0.0.0";
      BOOST_REQUIRE(cluster.RunUntil([&] { return cluster.mRecorder.Starts(task) == 1; }));
      AnswerOrders(cluster);
      cluster.RunFor(calledAt + kDelay - milliseconds{ 1300 } - base::Now());
      CrashUnannounced(cluster);
      Replace(cluster, lost);
      // The other calls of the start follow within 1 s.
      cluster.RunFor(calledAt + kDelay + milliseconds{ 1300 } - base::Now());
      BOOST_TEST(cluster.mRecorder.Starts(task) == 1U);
      cluster.ChosenSide().mSendsHeartbeats = true;
      BOOST_REQUIRE(cluster.RunUntil([&] { return cluster.Holder() != nullptr; }));
      cluster.CheckDone();
    }
  }
}

// Guards against a run that nobody ends: it has the number of the run that ended the task, and the
// task is no member of a gang.
BOOST_AUTO_TEST_CASE(a_run_of_a_task_that_is_done_is_stopped)
{
  reborn_cluster cluster{ milliseconds{ 100 } };
  cluster.Submit(1);
  BOOST_TEST(cluster.ReachesState(cluster.mPaths.front(), "done"));
  cluster.ChooseBusiest();
  cluster.Chosen().mWork = milliseconds{ 30'000 };
  cluster.Chosen().AddUnorderedRun(JobId(1) + ".0.0.0", 1);
  BOOST_TEST(
    cluster.RunUntil([&] { return cluster.mRecorder.ActiveRuns() == 0; }, milliseconds{ 3000 }));
}

// Guards against the same after a crash: the member of a gang that has ended is one on the
// incarnation that the gang has run on.
BOOST_AUTO_TEST_CASE(a_member_of_a_gang_that_is_done_is_stopped_on_the_next_incarnation)
{
  reborn_cluster cluster{ milliseconds{ 100 } };
  cluster.Submit(1, JobBody(2, 1, true));
  BOOST_TEST(cluster.ReachesState(cluster.mPaths.front(), "done"));
  cluster.ChooseBusiest();
  cluster.Chosen().Crash();
  cluster.ChosenSide().SendHeartbeat();
  cluster.Chosen().mWork = milliseconds{ 30'000 };
  cluster.Chosen().AddUnorderedRun(JobId(1) + ".0.0.0", 1);
  cluster.Chosen().AddUnorderedRun(JobId(1) + ".0.0.1", 1);
  BOOST_TEST(
    cluster.RunUntil([&] { return cluster.mRecorder.ActiveRuns() == 0; }, milliseconds{ 3000 }));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace rattanpond::platform
