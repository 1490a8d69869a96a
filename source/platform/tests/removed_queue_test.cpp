#include "platform/tests/removed_queue_cluster.h"

namespace rattanpond::platform {

using base::milliseconds;

BOOST_AUTO_TEST_SUITE(removed_queue_test)

// Guards against a job that is shown as failed although it has attempts left: its queue was away
// for a moment while one of its tasks failed.
BOOST_AUTO_TEST_CASE(a_job_keeps_its_attempts_while_its_queue_is_away)
{
  removed_queue_cluster queue;
  queue.FailOnce();
  queue.RequireDone();
}

// Guards against the same for a queue that stays away: its jobs go on.
BOOST_AUTO_TEST_CASE(a_job_of_a_removed_queue_starts_again)
{
  removed_queue_cluster queue;
  queue.FailOnce();
  BOOST_TEST(queue.mCluster.RunUntil([&] { return queue.mCluster.mRecorder.ActiveRuns() == 1; },
                                     milliseconds{ 3000 }));
  BOOST_TEST(queue.mCluster.RunUntil([&] { return queue.mCluster.mRecorder.ActiveRuns() == 0; }));
  queue.RequireDone();
}

// Guards against a holder that knows the limit only if it held the term before the queue was
// removed.
BOOST_AUTO_TEST_CASE(the_next_holder_knows_a_removed_queue)
{
  removed_queue_cluster queue;
  auto& standby = queue.mCluster.Standby();
  queue.mCluster.Holder()->mIsFrozen = true;
  BOOST_REQUIRE(queue.mCluster.RunUntil([&] { return queue.mCluster.Holder() == &standby; }));
  queue.FailOnce();
  BOOST_TEST(queue.mCluster.RunUntil([&] { return queue.mCluster.mRecorder.ActiveRuns() == 1; },
                                     milliseconds{ 3000 }));
  RequireNoFaults(queue.mCluster);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace rattanpond::platform
