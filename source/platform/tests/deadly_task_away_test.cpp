#include "platform/tests/test_cluster.h"

namespace rattanpond::platform {

using base::milliseconds;

namespace {

/// A task that crashes its workers may be started three times more after three crashes.
constexpr std::size_t kMaximumStarts = 5;
constexpr milliseconds kLease{ 3000 };
/// Longer than the lease of a worker, so that its runs are known to be over before it is back.
constexpr milliseconds kAway{ 6000 };
constexpr milliseconds kGivenUpWithin{ 60'000 };

/// A deadly task whose workers stay away for aAway after their crash, or for good.
void CheckGivenUp(std::optional<milliseconds> aAway)
{
  test_cluster cluster{ cluster_options{ .mSides = 6, .mMaximumLease = kLease } };
  std::vector<std::optional<base::time_point>> crashedAt(cluster.mSides.size());
  std::vector<std::size_t> crashes(cluster.mSides.size());
  for (auto const& side : cluster.mSides) {
    side->mWorker.mFaults.mDeadlyJob = JobId(91);
  }
  auto const setAway = [&](std::size_t aSide, bool aIsAway) {
    cluster.mSides[aSide]->mWorker.mFaults.mIsDown = aIsAway;
    cluster.mSides[aSide]->mSendsHeartbeats = !aIsAway;
  };
  auto const moveWorkers = [&] {
    for (std::size_t index = 0; index < crashes.size(); ++index) {
      if (cluster.mSides[index]->mWorker.mCrashes > crashes[index]) {
        crashes[index] = cluster.mSides[index]->mWorker.mCrashes;
        crashedAt[index] = base::Now();
        setAway(index, true);
      }
      if (aAway && crashedAt[index] && base::Now() - *crashedAt[index] > *aAway) {
        crashedAt[index].reset();
        setAway(index, false);
      }
    }
  };
  auto const path = "/b/" + JobId(91);
  BOOST_TEST(cluster.Call(cluster.Standby(), "POST", path, JobBody(1, 1)) == 200U);
  auto const isGivenUp = [&] {
    moveWorkers();
    return cluster.State(path) == "failed";
  };
  BOOST_TEST(cluster.RunUntil(isGivenUp, kGivenUpWithin));
  auto const starts = cluster.mRecorder.Starts(JobId(91) + ".0.0.0");
  BOOST_TEST(starts >= 2U);
  BOOST_TEST(starts <= kMaximumStarts);
  RequireNoFaults(cluster);
}

} // namespace

BOOST_AUTO_TEST_SUITE(deadly_task_away_test)

// Guards against a task that crashes worker after worker, since each of them is back only after its
// lease has expired.
BOOST_AUTO_TEST_CASE(a_deadly_task_is_given_up_although_its_workers_are_away_for_long)
{
  CheckGivenUp(kAway);
}

// Guards against the same where no worker comes back, so that none shows that it has crashed.
BOOST_AUTO_TEST_CASE(a_deadly_task_is_given_up_although_its_workers_are_lost)
{
  CheckGivenUp(std::nullopt);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace rattanpond::platform
