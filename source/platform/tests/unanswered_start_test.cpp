#include "platform/tests/reborn_cluster.h"

namespace rattanpond::platform {

using base::milliseconds;

BOOST_AUTO_TEST_SUITE(unanswered_start_test)

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
