#include "platform/tests/test_cluster.h"

namespace rattanpond::platform {

using base::milliseconds;

BOOST_AUTO_TEST_SUITE(large_feed_test)

// Guards against a front that can never again read the store, and never takes over, since more has
// changed than one answer of its client may have: it asks for the same changes again and again.
BOOST_AUTO_TEST_CASE(more_changes_than_one_answer_can_hold_are_read)
{
  // Encoded, they have twice the bytes of the largest answer.
  constexpr int kRows = 100;
  test_cluster cluster;
  auto& standby = cluster.Standby();
  auto& holder = *cluster.Holder();
  standby.mIsFrozen = true;
  for (int row = 0; row < kRows; ++row) {
    cluster.mStore.Put(dispatch::kDispatchTable,
                       dispatch::CheckpointRowKey(JobId(9), static_cast<std::uint32_t>(row)),
                       std::string(60'000, 'c'));
  }
  BOOST_TEST(cluster.Call(holder, "POST", "/u/" + JobId(1), JobBody(3, 1)) == 200U);
  cluster.RunFor(milliseconds{ 300 });
  standby.mIsFrozen = false;
  BOOST_TEST(cluster.RunUntil([&] { return standby.mReplica.FindJob(JobId(1)) != nullptr; }));
  holder.mIsFrozen = true;
  BOOST_TEST(cluster.RunUntil([&] { return standby.mScheduler.IsHolder(); }));
  BOOST_TEST(cluster.RunUntil([&] {
    return cluster.Call(standby, "GET", "/u/" + JobId(1)) == 200U &&
           base::json::parse(cluster.mLastBody).at("state") == "done";
  }));
  RequireNoFaults(cluster);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace rattanpond::platform
