#include "platform/tests/test_cluster.h"

namespace rattanpond::platform {

using base::milliseconds;

namespace {

/// A JSON text with this many nested lists.
std::string Nested(std::size_t aDepth)
{
  return std::string(aDepth, '[') + std::string(aDepth, ']');
}

/// Values that another writer may leave in any row.
std::vector<std::string> OddValues()
{
  return { "",
           "{",
           "null",
           "7",
           "\xff\xfe",
           std::string(3, '\0'),
           "1e999",
           Nested(30'000),
           R"({"address":"10.0.0.1:99999"})",
           R"({"address":"10.0.0.1:0"})",
           R"({"address":"nowhere"})",
           R"({"address":7})",
           R"({"number":18446744073709551616,"node":"x","incarnation":"x"})",
           R"({"address":)" + Nested(20'000) + "}",
           R"([0,[[4294967295,4294967295,4294967295,1,1,"w",1,0,""]]])",
           R"([0,[[0,0,0,9,4294967296,"w",1,0,""]]])",
           R"([9,[]])" };
}

/// A description of a job as another writer may leave it.
std::string Description(base::json const& aStep, std::uint32_t aOccurrences = 0)
{
  base::json steps = base::json::array();
  for (auto const& step : aStep.is_array() ? aStep : base::json::array({ aStep })) {
    steps.push_back(step);
  }
  return base::json{
    { "queue", "bulk" },
    { "service", "service" },
    { "steps", steps },
    { "occurrences", aOccurrences }
  }.dump();
}

} // namespace

BOOST_AUTO_TEST_SUITE(odd_entries_test)

// Guards against processes that end, or stop following the store, at one entry of another writer.
BOOST_AUTO_TEST_CASE(odd_rows_do_not_stop_the_fronts)
{
  test_cluster cluster;
  auto& store = cluster.mStore;
  int number = 0;
  for (auto const& value : OddValues()) {
    auto const name = "odd-" + std::to_string(++number);
    for (auto const* const prefix : { dispatch::kSidePrefix, dispatch::kFrontPrefix }) {
      store.Put(dispatch::kDispatchTable, prefix + name, value);
    }
    for (auto const* const prefix :
         { dispatch::kJobPrefix, dispatch::kStatePrefix, dispatch::kCancellationPrefix }) {
      store.Put(dispatch::kDispatchTable, prefix + JobId(100 + number), value);
      store.Put(dispatch::kDispatchTable, prefix + name, value);
    }
    store.Put(dispatch::kDispatchTable, dispatch::kRunTimesKey, value);
    store.Put(dispatch::kDispatchTable, dispatch::kSilentSidesKey, value);
    store.Put(dispatch::kDispatchTable, name, value);
    store.Put(kOperatorTable, name, value);
    store.Put(kOperatorTable, kEvacuationPrefix + name, value);
  }
  auto const path = "/u/" + JobId(1);
  BOOST_TEST(cluster.Call(cluster.Standby(), "POST", path, JobBody(3, 1)) == 200U);
  BOOST_TEST(cluster.ReachesState(path, "done"));
  // The next holder begins with the odd rows, by a full read.
  auto const index = cluster.Holder() == cluster.mFronts[0].get() ? 0U : 1U;
  cluster.RestartFront(index);
  BOOST_REQUIRE(cluster.RunUntil([&] { return cluster.Holder() != nullptr; }));
  auto const next = "/u/" + JobId(2);
  BOOST_TEST(cluster.Call(*cluster.Holder(), "POST", next, JobBody(3, 1)) == 200U);
  BOOST_TEST(cluster.RunUntil([&] { return cluster.mRecorder.HasEndedDone(JobId(2) + ".0.0.2"); }));
  RequireNoFaults(cluster);
}

// Guards against fronts that end at the row of a job that no caller could submit: dependencies
// outside the job, more tasks than memory, demands below zero.
BOOST_AUTO_TEST_CASE(impossible_jobs_are_not_taken)
{
  test_cluster cluster;
  base::json const plain{ { "count", 1 } };
  std::vector<std::string> const impossible{
    Description({ { "count", 1 }, { "after", { 7 } } }),
    Description({ { "count", 1 }, { "after", { 0 } } }),
    Description({ { "count", 1 }, { "after", { 4'294'967'295U } } }),
    Description(base::json::array({ { { "count", 1 }, { "after", { 1 } } }, plain })),
    Description({ { "count", 100'000 } }, 1000),
    Description({ { "count", 1 }, { "need", { { "accelerators", -9'000'000'000'000'000'000 } } } }),
    Description(base::json::array())
  };
  int number = 0;
  for (auto const& description : impossible) {
    cluster.mStore.Put(dispatch::kDispatchTable, dispatch::kJobPrefix + JobId(50 + number++),
                       description);
  }
  auto const path = "/u/" + JobId(3);
  BOOST_TEST(cluster.Call(cluster.Standby(), "POST", path, JobBody(3, 1)) == 200U);
  BOOST_TEST(cluster.ReachesState(path, "done"));
  for (int job = 0; job < number; ++job) {
    BOOST_TEST((cluster.mFronts[0]->mReplica.FindJob(JobId(50 + job)) == nullptr));
  }
  RequireNoFaults(cluster);
}

// Guards against a side that ends, or no longer hears its worker, after one heartbeat of another
// writer.
BOOST_AUTO_TEST_CASE(odd_heartbeats_do_not_replace_a_worker)
{
  test_cluster cluster{ 2, 1 };
  auto& side = *cluster.mSides[0];
  auto const good = base::json::parse(side.mWorker.Heartbeat(side.mDomain, side.mRack));
  auto const send = [&](char const* aName, base::json const& aValue) {
    auto odd = good;
    odd[aName] = aValue;
    odd["seq"] = 1;
    odd["born"] =
      aName == std::string{ "born" } ? aValue : base::json(side.mWorker.IncarnationStart() + 1);
    side.Agent().Heartbeat("i-odd", odd.dump());
  };
  side.Agent().Heartbeat("i-odd", Nested(1'000'000));
  side.Agent().Heartbeat("i-odd", R"({"born":)" + Nested(1'000'000) + "}");
  side.Agent().Heartbeat("i-odd", R"({"born":1e999})");
  send("born", 9'007'199'254'740'991);
  send("address", "10.0.0.1:99999");
  send("address", "nowhere");
  send("address", 7);
  send("capacity", { { "gpu", -8 } });
  send("capacity", { { "gpu", 1e300 } });
  send("labels", { 7 });
  send("zone", 7);
  auto const path = "/u/" + JobId(4);
  BOOST_TEST(cluster.Call(cluster.Standby(), "POST", path, JobBody(3, 1)) == 200U);
  BOOST_TEST(cluster.ReachesState(path, "done"));
  RequireNoFaults(cluster);
}

// Guards against a process that ends at its start, or at a change of its settings.
BOOST_AUTO_TEST_CASE(odd_settings_are_refused_without_harm)
{
  for (auto const* const name : { "listen", "platform", "bounds", "internal_ports" }) {
    auto const text =
      R"({"node":"n","zone":"z","ip":"10.1.0.1","platform":{"address":"10.2.0.1:90"},")" +
      std::string{ name } + R"(":{"deep":)" + Nested(1'000'000) + "}}";
    (void)base::Capture([&] { return ParseDeploymentSettings(text); });
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace rattanpond::platform
