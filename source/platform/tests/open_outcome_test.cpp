#include "platform/tests/pending_call.h"

namespace rattanpond::platform {

using base::milliseconds;

namespace {

/// The second configuration: the key, the route or both are gone.
struct withdrawal
{
  char const* mName;
  bool mTakesKey;
  bool mTakesRoute;

  std::string Text() const
  {
    auto configuration = base::json::parse(Configuration(2, mTakesKey ? "key-2" : kKey));
    if (mTakesRoute) {
      configuration["routes"].erase(0);
    }
    return configuration.dump();
  }
};

constexpr withdrawal kWithdrawals[] = { { "key", true, false },
                                        { "route", false, true },
                                        { "key and route", true, true } };

} // namespace

BOOST_AUTO_TEST_SUITE(open_outcome_test)

// Guards against the refusal of a job that runs: a front that the store turns away forwards a
// submission to one that stores the job and loses the store's answer. Meanwhile the key or the
// route is withdrawn, and the next front refuses the call.
BOOST_AUTO_TEST_CASE(a_refusal_by_the_next_front_is_not_passed_on)
{
  for (auto const& withdrawn : kWithdrawals) {
    for (auto const isHolder : { false, true }) {
      BOOST_TEST_CONTEXT(withdrawn.mName << ", the holder is turned away: " << isHolder)
      {
        test_cluster cluster{ 3, 2 };
        auto& asked = isHolder ? *cluster.Holder() : cluster.Standby();
        auto& storing = *cluster.mFronts[&asked == cluster.mFronts[0].get() ? 1 : 0];
        asked.mStoreEndpoint.mBehavior = fake_row_store::behavior::refuses;
        BOOST_REQUIRE(cluster.RunUntil([&] { return !asked.mReplica.IsStoreAvailable(); }));
        storing.mStoreEndpoint.mBehavior = fake_row_store::behavior::loses_answers;
        auto const id = JobId(1);
        pending_call call{ asked, "POST", "/u/" + id, JobBody(1, 1) };
        BOOST_REQUIRE(cluster.RunUntil([&] {
          return cluster.mStore.Text(dispatch::kDispatchTable, dispatch::kJobPrefix + id)
            .has_value();
        }));
        cluster.mStore.Put(kOperatorTable, kConfigurationKey, withdrawn.Text());
        BOOST_REQUIRE(cluster.RunUntil([&] { return call.Status() != 0; }));
        BOOST_TEST(call.Status() == 504U);
        storing.mStoreEndpoint.mBehavior = fake_row_store::behavior::serves;
        BOOST_TEST(cluster.RunUntil([&] { return cluster.mRecorder.Starts(id + ".0.0.0") == 1; }));
        RequireNoFaults(cluster);
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace rattanpond::platform
