#include "platform/tests/reborn_cluster.h"

namespace rattanpond::platform {

using base::milliseconds;

namespace {

/// A job whose second step, in the first rack, follows a short one in the second rack. Since a task
/// of the job has succeeded, one crash does not make the others wait for a trial of their own.
std::string TwoStepJob()
{
  base::json const first{
    { "count", 1 }, { "cpu", 1000 }, { "mem_mb", 1000 }, { "required_label", "r2" }
  };
  base::json const second{ { "count", 1 },
                           { "cpu", 1000 },
                           { "mem_mb", 1000 },
                           { "required_label", "r1" },
                           { "after", { 0 } } };
  return base::json{ { "spec", "x" }, { "steps", { first, second } } }.dump();
}

} // namespace

BOOST_AUTO_TEST_SUITE(reborn_worker_test)

// Guards against two runs at once: a worker crashed, was back under its identifier before its next
// heartbeat, and had runs that were ordered meanwhile; they started again elsewhere.
BOOST_AUTO_TEST_CASE(a_start_that_reaches_the_next_incarnation_runs_once)
{
  constexpr milliseconds kTrafficInterval{ 60 };
  for (auto const heartbeatAfter : { milliseconds{ 1000 }, milliseconds{ 1400 } }) {
    // The first and the third worker are in the first rack.
    reborn_cluster cluster{ milliseconds{ 2000 }, 3, 2 };
    for (auto const& side : cluster.mSides) {
      side->mWorker.mWorkOf = [](std::string const& aTask) {
        return milliseconds{ aTask.ends_with(".0.0.0") ? 20 : 2000 };
      };
    }
    auto job = 1;
    auto const submitFor = [&](milliseconds aTime) {
      for (auto const until = base::Now() + aTime; base::Now() < until; ++job) {
        cluster.Submit(job, TwoStepJob());
        cluster.RunFor(kTrafficInterval);
      }
    };
    submitFor(milliseconds{ 600 });
    cluster.mChosen =
      cluster.mSides[0]->mWorker.mStarted > cluster.mSides[2]->mWorker.mStarted ? 0U : 2U;
    cluster.ChosenSide().mSendsHeartbeats = false;
    cluster.Chosen().Crash();
    submitFor(heartbeatAfter);
    // The next incarnation is of another kind, so that whatever starts again starts elsewhere.
    cluster.ChosenSide().mRack = "r3";
    cluster.ChosenSide().SendHeartbeat();
    cluster.ChosenSide().mSendsHeartbeats = true;
    cluster.CheckDone();
  }
}

// Guards against two runs at once: a start without an answer is carried out by the next
// incarnation, on whose clock its deadline is far ahead.
BOOST_AUTO_TEST_CASE(a_late_start_on_the_next_incarnation_runs_once)
{
  reborn_cluster cluster{ milliseconds{ 2000 } };
  cluster.DelayOrders(milliseconds{ 900 });
  for (int job = 1; job <= 4; ++job) {
    cluster.Submit(job);
  }
  cluster.AwaitStartCall();
  cluster.RunFor(milliseconds{ 200 });
  cluster.Rebirth();
  cluster.CheckDone();
}

// Guards against the same after a change of the scheduler, which knows of the start from the store
// only, and after a restart of the side, which remembers no call.
BOOST_AUTO_TEST_CASE(a_late_start_is_remembered_by_other_processes)
{
  for (auto const isSideRestarted : { false, true }) {
    reborn_cluster cluster{ milliseconds{ 6000 } };
    cluster.DelayOrders(milliseconds{ 4500 });
    cluster.Submit(1);
    cluster.Submit(2);
    cluster.AwaitStartCall();
    if (isSideRestarted) {
      cluster.ChosenSide().StartAgent(cluster.mStore);
    } else {
      cluster.ReplaceFront(cluster.Holder() == cluster.mFronts[0].get() ? 0U : 1U);
      BOOST_REQUIRE(cluster.RunUntil([&] { return cluster.Holder() != nullptr; }));
    }
    cluster.Rebirth();
    cluster.CheckDone();
  }
}

// Guards against two runs at once: the worker crashes a second time before the late start reaches
// it, and has forgotten the stop that the incarnation between has answered.
BOOST_AUTO_TEST_CASE(a_late_start_does_not_outlive_two_crashes)
{
  reborn_cluster cluster{ milliseconds{ 3000 } };
  cluster.DelayOrders(milliseconds{ 2000 });
  cluster.Submit(1);
  cluster.Submit(2);
  cluster.AwaitStartCall();
  cluster.RunFor(milliseconds{ 200 });
  cluster.Rebirth();
  cluster.RunFor(milliseconds{ 500 });
  cluster.Rebirth();
  cluster.CheckDone();
}

// Guards against a success that is forgotten: the next incarnation drops the ends that are
// acknowledged to its predecessor, and the task runs again.
BOOST_AUTO_TEST_CASE(the_next_incarnation_receives_no_acknowledgement_of_the_former_one)
{
  reborn_cluster cluster{ milliseconds{ 20 }, 1 };
  for (int job = 1; job <= 6; ++job) {
    cluster.Submit(job);
  }
  for (auto const& path : cluster.mPaths) {
    BOOST_TEST(cluster.ReachesState(path, "done"));
  }
  cluster.ChosenSide().mSendsHeartbeats = false;
  cluster.Chosen().Crash();
  auto job = 7;
  for (auto const until = base::Now() + milliseconds{ 1000 }; base::Now() < until; ++job) {
    cluster.Submit(job);
    cluster.RunFor(milliseconds{ 150 });
  }
  BOOST_TEST(cluster.Chosen().mUnknownAcknowledgements == 0U);
  cluster.ChosenSide().mSendsHeartbeats = true;
  cluster.CheckDone();
}

// Guards against a needless wait after a crash: a run that the worker has listed, with all calls of
// its start answered, cannot be on the next incarnation.
BOOST_AUTO_TEST_CASE(a_run_without_an_open_start_does_not_wait_for_the_next_incarnation)
{
  reborn_cluster cluster{ milliseconds{ 3000 } };
  cluster.Submit(1);
  auto const task = JobId(1) + ".0.0.0";
  BOOST_REQUIRE(cluster.RunUntil([&] { return cluster.mRecorder.Starts(task) == 1; }));
  cluster.RunFor(milliseconds{ 300 });
  auto& side = *cluster.mSides[cluster.Chosen().mStarted > 0 ? 0 : 1];
  side.mWorker.Crash();
  // The next incarnation registers, has no room and answers no order.
  side.mWorker.mAccelerators = 0;
  side.mWorker.mFaults.mDropsOrders = true;
  side.SendHeartbeat();
  BOOST_TEST(
    cluster.RunUntil([&] { return cluster.mRecorder.Starts(task) == 2; }, milliseconds{ 1000 }));
  RequireNoFaults(cluster);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace rattanpond::platform
