#pragma once

#include "platform/tests/test_cluster.h"

namespace rattanpond::platform {

/// The test configuration without the queue "bulk".
inline std::string ConfigurationWithoutBulk(std::uint64_t aVersion)
{
  auto configuration = base::json::parse(Configuration(aVersion));
  auto& routes = configuration["routes"];
  routes.erase(std::ranges::find(
    routes, "bulk", [](base::json const& aRoute) { return aRoute.at("name").get<std::string>(); }));
  return configuration.dump();
}

/// A job of the queue "bulk" that is at work when the queue is removed, and fails afterwards.
struct removed_queue_cluster
{
  explicit removed_queue_cluster(std::size_t aMembers = 1)
    : mMembers{ aMembers }
  {
    SetWorkers(true);
    BOOST_TEST(mCluster.Call(*mCluster.Holder(), "POST", mPath,
                             JobBody(static_cast<int>(mMembers), 1, mMembers > 1)) == 200U);
    BOOST_REQUIRE(mCluster.RunUntil([&] { return mCluster.mRecorder.ActiveRuns() == mMembers; }));
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
      side->mWorker.mWork = base::milliseconds{ 3000 };
      side->mWorker.mFaults.mFailsAll = aFailsAll;
    }
  }

  /// Lets the first run fail and the following ones succeed.
  void FailOnce()
  {
    BOOST_REQUIRE(mCluster.RunUntil([&] { return mCluster.mRecorder.ActiveRuns() == 0; }));
    SetWorkers(false);
  }

  /// Replaces these fronts by processes that have seen no configuration with the queue.
  void RestartFronts(std::set<std::size_t> const& aFronts)
  {
    for (auto const index : aFronts) {
      mCluster.RestartFront(index);
    }
    BOOST_REQUIRE(mCluster.RunUntil([&] { return mCluster.Holder() != nullptr; }));
  }

  /// Callers are not told the state of a job whose queue is away.
  std::optional<dispatch::job_phase> StoredPhase()
  {
    auto const* const job = mCluster.Standby().mReplica.FindJob(JobId(71));
    return job == nullptr ? std::nullopt : std::optional{ job->StoredPhase() };
  }

  std::size_t HolderIndex() { return mCluster.Holder() == mCluster.mFronts[0].get() ? 0U : 1U; }

  bool IsAtWork()
  {
    return mCluster.RunUntil([&] { return mCluster.mRecorder.ActiveRuns() == mMembers; },
                             base::milliseconds{ 3000 });
  }

  void RequireDone(std::size_t aStarts = 2)
  {
    mCluster.mStore.Put(kOperatorTable, kConfigurationKey, Configuration(3));
    BOOST_REQUIRE(mCluster.RunUntil(
      [&] { return mCluster.Standby().mReplica.Configuration()->mVersion == 3; }));
    BOOST_TEST(mCluster.ReachesState(mPath, "done"));
    BOOST_TEST(mCluster.mRecorder.Starts(JobId(71) + ".0.0.0") == aStarts);
    RequireNoFaults(mCluster);
  }

  std::size_t mMembers;
  test_cluster mCluster;
  std::string mPath = "/b/" + JobId(71);
};

} // namespace rattanpond::platform
