#include "platform/tests/test_cluster.h"

namespace rattanpond::platform {

using base::milliseconds;

namespace {

/// The test configuration without the queue "bulk".
std::string ConfigurationWithoutBulk(std::uint64_t aVersion)
{
  auto configuration = base::json::parse(Configuration(aVersion));
  auto& routes = configuration["routes"];
  routes.erase(std::ranges::find(
    routes, "bulk", [](base::json const& aRoute) { return aRoute.at("name").get<std::string>(); }));
  return configuration.dump();
}

/// A job of the queue "bulk" that is at work when the queue is removed, and fails once afterwards.
struct removed_queue_cluster
{
  removed_queue_cluster()
  {
    SetWorkers(true);
    BOOST_TEST(mCluster.Call(*mCluster.Holder(), "POST", mPath, JobBody(1, 1)) == 200U);
    BOOST_REQUIRE(mCluster.RunUntil([&] { return mCluster.mRecorder.ActiveRuns() == 1; }));
    mCluster.mStore.Put(kOperatorTable, kConfigurationKey, ConfigurationWithoutBulk(2));
    BOOST_REQUIRE(mCluster.RunUntil([&] {
      return std::ranges::all_of(mCluster.mFronts, [](auto const& aFront) {
        return aFront->mReplica.Configuration()->mVersion == 2;
      });
    }));
  }

  void SetWorkers(bool aFailsAll)
  {
    for (auto const& side : mCluster.mSides) {
      side->mWorker.mWork = milliseconds{ 3000 };
      side->mWorker.mFaults.mFailsAll = aFailsAll;
    }
  }

  /// Lets the first run fail and the following ones succeed.
  void FailOnce()
  {
    BOOST_REQUIRE(mCluster.RunUntil([&] { return mCluster.mRecorder.ActiveRuns() == 0; }));
    SetWorkers(false);
  }

  void RequireDone()
  {
    mCluster.mStore.Put(kOperatorTable, kConfigurationKey, Configuration(3));
    BOOST_REQUIRE(mCluster.RunUntil(
      [&] { return mCluster.Standby().mReplica.Configuration()->mVersion == 3; }));
    BOOST_TEST(mCluster.ReachesState(mPath, "done"));
    BOOST_TEST(mCluster.mRecorder.Starts(JobId(71) + ".0.0.0") == 2U);
    RequireNoFaults(mCluster);
  }

  test_cluster mCluster;
  std::string mPath = "/b/" + JobId(71);
};

} // namespace

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
