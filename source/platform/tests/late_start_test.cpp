#include "platform/tests/reborn_cluster.h"

namespace rattanpond::platform {

using base::milliseconds;

BOOST_AUTO_TEST_SUITE(late_start_test)

// Guards against two runs at once: the worker has crashed twice, and the late start reaches its
// third incarnation before that has contacted its side. The incarnation between had answered a stop
// of the run; the processes that ordered the start may be lost as well.
BOOST_AUTO_TEST_CASE(a_late_start_on_a_third_incarnation_runs_once)
{
  enum class loss
  {
    none,
    holder,
    all_fronts,
    side
  };
  for (auto const lost : { loss::none, loss::holder, loss::all_fronts, loss::side }) {
    BOOST_TEST_CONTEXT("loss " << static_cast<int>(lost))
    {
      reborn_cluster cluster{ milliseconds{ 5000 } };
      cluster.DelayOrders(milliseconds{ 4000 });
      cluster.Submit(1);
      cluster.AwaitStartCall();
      auto const calledAt = base::Now();
      cluster.RunFor(milliseconds{ 200 });
      cluster.Rebirth();
      cluster.RunFor(milliseconds{ 700 });
      auto const holder = cluster.Holder() == cluster.mFronts[0].get() ? 0U : 1U;
      if (lost == loss::holder || lost == loss::all_fronts) {
        cluster.ReplaceFront(holder);
      }
      if (lost == loss::all_fronts) {
        cluster.ReplaceFront(1U - holder);
      }
      if (lost == loss::side) {
        cluster.ChosenSide().StartAgent(cluster.mStore);
      }
      cluster.RunFor(calledAt + milliseconds{ 3900 } - base::Now());
      cluster.ChosenSide().mSendsHeartbeats = false;
      cluster.Chosen().Crash();
      cluster.RunFor(milliseconds{ 500 });
      BOOST_TEST(cluster.Chosen().mStarted == 1U);
      cluster.ChosenSide().mSendsHeartbeats = true;
      for (auto const& side : cluster.mSides) {
        side->mWorker.mWork = milliseconds{ 300 };
      }
      cluster.CheckDone();
    }
  }
}

// Guards against the same with one crash: the incarnation that left the start unanswered has
// answered a stop of the run before it crashed.
BOOST_AUTO_TEST_CASE(a_late_start_after_an_answered_stop_runs_once)
{
  reborn_cluster cluster{ milliseconds{ 5000 } };
  cluster.DelayOrders(milliseconds{ 3500 });
  cluster.Submit(1);
  cluster.AwaitStartCall();
  auto const calledAt = base::Now();
  // All attempts are made, and no other task fits beside what the worker runs.
  cluster.RunFor(milliseconds{ 1300 });
  cluster.Chosen().mAccelerators = 0;
  cluster.ChosenSide().SendHeartbeat();
  for (auto const& side : cluster.mSides) {
    side->mWorker.mFaults.mOrderDelay = milliseconds{ 0 };
  }
  BOOST_REQUIRE(cluster.RunUntil([&] { return cluster.Chosen().mStopCalls > 0; }));
  cluster.RunFor(calledAt + milliseconds{ 3400 } - base::Now());
  cluster.ChosenSide().mSendsHeartbeats = false;
  cluster.Chosen().Crash();
  cluster.RunFor(milliseconds{ 500 });
  BOOST_TEST(cluster.Chosen().mStarted == 1U);
  cluster.ChosenSide().mSendsHeartbeats = true;
  for (auto const& side : cluster.mSides) {
    side->mWorker.mWork = milliseconds{ 300 };
  }
  cluster.CheckDone();
}

// Guards against a needless wait: all fronts were lost, and the worker is back under another
// identifier, so that it refuses every call for its predecessor. The state of the run tells.
BOOST_AUTO_TEST_CASE(a_worker_with_another_identifier_holds_no_task)
{
  reborn_cluster cluster{ milliseconds{ 4000 } };
  cluster.Submit(1);
  auto const task = JobId(1) + ".0.0.0";
  BOOST_REQUIRE(cluster.RunUntil([&] { return cluster.mRecorder.Starts(task) == 1; }));
  cluster.ChooseBusiest();
  cluster.RunFor(milliseconds{ 300 });
  cluster.ReplaceFront(0);
  cluster.ReplaceFront(1);
  cluster.Chosen().Crash("i-next");
  // No order that could rule the run out has an effect there.
  cluster.Chosen().mFaults.mDropsOrders = true;
  cluster.Chosen().mAccelerators = 0;
  cluster.ChosenSide().SendHeartbeat();
  BOOST_REQUIRE(cluster.RunUntil([&] { return cluster.Holder() != nullptr; }));
  BOOST_TEST(
    cluster.RunUntil([&] { return cluster.mRecorder.Starts(task) == 2; }, milliseconds{ 1000 }));
  RequireNoFaults(cluster);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace rattanpond::platform
