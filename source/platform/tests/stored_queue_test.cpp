#include "platform/tests/removed_queue_cluster.h"

namespace rattanpond::platform {

using base::milliseconds;

BOOST_AUTO_TEST_SUITE(stored_queue_test)

// Guards against a job that is shown as failed after one of its attempts: its queue is away, and
// all fronts, among them the holder, have started since.
BOOST_AUTO_TEST_CASE(fronts_that_start_after_the_removal_know_the_queue)
{
  removed_queue_cluster queue;
  queue.RestartFronts({ 0, 1 });
  queue.FailOnce();
  BOOST_TEST(queue.IsAtWork());
  queue.RequireDone();
}

// Guards against the same where only the holder has started since, and against a queue that is
// still away when the job has failed twice.
BOOST_AUTO_TEST_CASE(a_holder_that_starts_after_the_removal_knows_the_queue)
{
  removed_queue_cluster queue;
  auto const former = queue.HolderIndex();
  queue.RestartFronts({ former });
  queue.mCluster.mFronts[1 - former]->mIsFrozen = true;
  BOOST_REQUIRE(queue.mCluster.RunUntil([&] { return queue.mCluster.Holder() != nullptr; }));
  BOOST_REQUIRE(
    queue.mCluster.RunUntil([&] { return queue.mCluster.mRecorder.ActiveRuns() == 0; }));
  BOOST_TEST(queue.IsAtWork());
  queue.FailOnce();
  BOOST_TEST(queue.IsAtWork());
  BOOST_REQUIRE(
    queue.mCluster.RunUntil([&] { return queue.mCluster.mRecorder.ActiveRuns() == 0; }));
  queue.mCluster.mFronts[1 - former]->mIsFrozen = false;
  queue.RequireDone(3);
}

// Guards against the same for a gang whose sides have started since as well.
BOOST_AUTO_TEST_CASE(a_gang_keeps_its_attempts_across_new_fronts_and_sides)
{
  removed_queue_cluster queue{ 3 };
  queue.RestartFronts({ 0, 1 });
  for (auto const& side : queue.mCluster.mSides) {
    side->StartAgent(queue.mCluster.mStore);
  }
  queue.FailOnce();
  queue.RequireDone();
}

// Guards against a job that starts more often than its removed queue allows, once no running front
// has seen a configuration with the queue.
BOOST_AUTO_TEST_CASE(a_removed_queue_limits_the_attempts_after_a_restart)
{
  removed_queue_cluster queue;
  queue.RestartFronts({ 0, 1 });
  BOOST_TEST(queue.mCluster.RunUntil(
    [&] { return queue.StoredPhase() == dispatch::job_phase::failed; }, milliseconds{ 20'000 }));
  BOOST_TEST(queue.mCluster.mRecorder.Starts(JobId(71) + ".0.0.0") == 3U);
  RequireNoFaults(queue.mCluster);
}

// Guards against a decision that cannot be taken back while nothing tells the limit: an earlier
// version of the program has accepted and started the job, and stored no definition of its queue.
BOOST_AUTO_TEST_CASE(a_job_of_an_unknown_queue_waits_for_it_once_it_has_failed)
{
  removed_queue_cluster queue;
  queue.mCluster.mStore.Remove(dispatch::kDispatchTable,
                               std::string{ dispatch::kQueuePrefix } + "bulk");
  queue.RestartFronts({ 0, 1 });
  queue.FailOnce();
  queue.mCluster.RunFor(milliseconds{ 1500 });
  BOOST_TEST(queue.mCluster.mRecorder.Starts(JobId(71) + ".0.0.0") == 1U);
  queue.RequireDone();
}

// Guards against definitions that stay in the store for good.
BOOST_AUTO_TEST_CASE(the_definition_of_a_queue_goes_with_its_last_job)
{
  removed_queue_cluster queue;
  auto const isStored = [&] {
    return queue.mCluster.mStore
      .Text(dispatch::kDispatchTable, std::string{ dispatch::kQueuePrefix } + "bulk")
      .has_value();
  };
  BOOST_TEST(isStored());
  queue.FailOnce();
  BOOST_REQUIRE(
    queue.mCluster.RunUntil([&] { return queue.StoredPhase() == dispatch::job_phase::done; }));
  BOOST_TEST(isStored());
  for (auto const* const prefix : { dispatch::kJobPrefix, dispatch::kStatePrefix }) {
    queue.mCluster.mStore.RemoveAll(dispatch::kDispatchTable, prefix);
  }
  BOOST_TEST(queue.mCluster.RunUntil([&] { return !isStored(); }));
}

// Guards against a definition that is removed although a job needs it: the holder knows that the
// queue is away, but not yet that another front has accepted a job right before.
BOOST_AUTO_TEST_CASE(a_definition_stays_while_acceptances_may_be_unknown)
{
  test_cluster cluster;
  auto const key = std::string{ dispatch::kQueuePrefix } + "bulk";
  BOOST_TEST(cluster.Call(cluster.Standby(), "POST", "/b/" + JobId(72), JobBody(1, 1)) == 200U);
  BOOST_TEST(cluster.ReachesState("/b/" + JobId(72), "done"));
  for (auto const* const prefix : { dispatch::kJobPrefix, dispatch::kStatePrefix }) {
    cluster.mStore.RemoveAll(dispatch::kDispatchTable, prefix);
  }
  auto& holder = *cluster.Holder();
  BOOST_REQUIRE(cluster.RunUntil([&] { return holder.mReplica.Jobs().empty(); }));
  holder.mStoreEndpoint.mDelaysDispatchAnswers = true;
  BOOST_TEST(cluster.Call(cluster.Standby(), "POST", "/b/" + JobId(73), JobBody(1, 1)) == 200U);
  cluster.mStore.Put(kOperatorTable, kConfigurationKey, ConfigurationWithoutBulk(2));
  BOOST_REQUIRE(cluster.RunUntil([&] { return holder.mReplica.Configuration()->mVersion == 2; }));
  cluster.RunFor(milliseconds{ 5500 });
  BOOST_TEST(holder.mReplica.FindJob(JobId(73)) == nullptr);
  BOOST_TEST(cluster.mStore.Text(dispatch::kDispatchTable, key).has_value());
  holder.mStoreEndpoint.mDelaysDispatchAnswers = false;
  BOOST_TEST(cluster.RunUntil([&] { return holder.mReplica.FindJob(JobId(73)) != nullptr; }));
  BOOST_TEST(cluster.mStore.Text(dispatch::kDispatchTable, key).has_value());
  RequireNoFaults(cluster);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace rattanpond::platform
