#include "platform/tests/test_cluster.h"

namespace rattanpond::platform {

using base::milliseconds;
using behavior = fake_row_store::behavior;

namespace {

constexpr char const* kBulkQueue = "/b/";
constexpr char const* kPublicQueue = "/p/";

/// A configuration with a public queue, and without those queues whose prefixes are given.
std::string ConfigurationWithout(std::uint64_t aVersion, std::set<std::string> const& aPrefixes)
{
  auto document = base::json::parse(Configuration(aVersion));
  document["routes"].push_back({ { "name", "public" },
                                 { "host", "h" },
                                 { "prefix", kPublicQueue },
                                 { "service", "service" },
                                 { "public", true } });
  auto& routes = document["routes"];
  for (auto route = routes.begin(); route != routes.end();) {
    route = aPrefixes.contains((*route)["prefix"].get<std::string>()) ? routes.erase(route)
                                                                      : std::next(route);
  }
  return document.dump();
}

void Declare(test_cluster& aCluster, std::string const& aConfiguration)
{
  aCluster.mStore.Put(kOperatorTable, kConfigurationKey, aConfiguration);
}

bool HasVersion(test_front const& aFront, std::uint64_t aVersion)
{
  auto const& configuration = aFront.mReplica.Configuration();
  return configuration && configuration->mVersion == aVersion;
}

void RequireVersion(test_cluster& aCluster, test_front const& aFront, std::uint64_t aVersion)
{
  BOOST_REQUIRE(aCluster.RunUntil([&] { return HasVersion(aFront, aVersion); }));
}

/// The store refuses the front from now on, and its last polls have ended.
void CutOff(test_cluster& aCluster, test_front& aFront)
{
  aFront.mStoreEndpoint.mBehavior = behavior::refuses;
  aCluster.RunFor(milliseconds{ 950 });
  BOOST_REQUIRE(aCluster.RunUntil([&] { return !aFront.mReplica.IsStoreAvailable(); }));
}

} // namespace

BOOST_AUTO_TEST_SUITE(configuration_test)

// Guards against an answer by an older configuration than the front has shown: a front that had
// lost the store forwarded a call to a front that had lost it before the last change.
BOOST_AUTO_TEST_CASE(a_call_is_not_decided_by_a_front_with_an_older_configuration)
{
  test_cluster cluster;
  auto& newer = *cluster.mFronts[0];
  auto& older = *cluster.mFronts[1];
  BOOST_TEST(cluster.Call(newer, "GET", kBulkQueue) == 200U);
  CutOff(cluster, older);
  Declare(cluster, ConfigurationWithout(2, { kBulkQueue }));
  RequireVersion(cluster, newer, 2);
  BOOST_TEST(cluster.Call(newer, "GET", kBulkQueue) == 404U);
  CutOff(cluster, newer);
  BOOST_TEST(cluster.Call(newer, "GET", kBulkQueue) != 200U);
}

// Guards against a front that hands on an answer by a newer configuration and then decides a later
// call by its own, older one.
BOOST_AUTO_TEST_CASE(a_front_does_not_decide_by_less_than_it_has_handed_on)
{
  test_cluster cluster;
  auto& newer = *cluster.mFronts[0];
  auto& older = *cluster.mFronts[1];
  CutOff(cluster, older);
  Declare(cluster, ConfigurationWithout(2, { kBulkQueue }));
  RequireVersion(cluster, newer, 2);
  BOOST_TEST(cluster.Call(older, "GET", kBulkQueue) == 404U);
  newer.mIsFrozen = true;
  BOOST_TEST(cluster.Call(older, "GET", kBulkQueue) == 503U);
}

// Guards against a removed public queue that is served for as long as the store is unavailable.
BOOST_AUTO_TEST_CASE(a_public_queue_is_not_served_by_an_outdated_configuration)
{
  test_cluster cluster{ 1, 1 };
  auto& front = *cluster.mFronts[0];
  Declare(cluster, ConfigurationWithout(2, {}));
  RequireVersion(cluster, front, 2);
  BOOST_TEST(cluster.Call(front, "GET", kPublicQueue) == 200U);
  CutOff(cluster, front);
  Declare(cluster, ConfigurationWithout(3, { kPublicQueue }));
  cluster.RunFor(front.mSettings.mRevocationLimit);
  BOOST_TEST(cluster.Call(front, "GET", kPublicQueue) == 503U);
}

// Guards against 404 and 401 for a queue and a key that exist: such an answer is final for the
// caller, and a change has to be in force before the admission of keys ends.
BOOST_AUTO_TEST_CASE(nothing_is_denied_by_a_configuration_that_may_be_replaced)
{
  test_cluster cluster{ 1, 1 };
  auto& front = *cluster.mFronts[0];
  Declare(cluster, ConfigurationWithout(2, { kBulkQueue }));
  RequireVersion(cluster, front, 2);
  BOOST_TEST(cluster.Call(front, "GET", kBulkQueue) == 404U);
  BOOST_TEST(cluster.Call(front, "GET", "/u/", {}, "key-2") == 401U);
  CutOff(cluster, front);
  auto configuration = base::json::parse(ConfigurationWithout(3, {}));
  configuration["tenants"][0]["keys"].push_back("key-2");
  Declare(cluster, configuration.dump());
  // The last confirmation is up to 900 ms older than the cut.
  cluster.RunFor(front.mSettings.mConfigurationDelay - milliseconds{ 800 });
  BOOST_TEST(cluster.Call(front, "GET", kBulkQueue) == 503U);
  BOOST_TEST(cluster.Call(front, "GET", "/u/", {}, "key-2") == 503U);
  BOOST_TEST(cluster.Call(front, "GET", "/u/") == 200U);
}

// Guards against a success for a key that was taken away: a repeated submission of a known job was
// answered without a look at the store, however old the configuration was.
BOOST_AUTO_TEST_CASE(a_repeated_submission_is_not_answered_by_an_outdated_configuration)
{
  test_cluster cluster{ 1, 1 };
  auto& front = *cluster.mFronts[0];
  auto const path = "/u/" + JobId(1);
  BOOST_TEST(cluster.Call(front, "POST", path, JobBody(1, 1)) == 200U);
  CutOff(cluster, front);
  Declare(cluster, Configuration(2, "key-2"));
  cluster.RunFor(front.mSettings.mRevocationLimit);
  // The job runs, so a refusal would be untrue as well.
  BOOST_TEST(cluster.Call(front, "POST", path, JobBody(1, 1)) == 504U);
}

// Guards against the same success by way of the conflict that a repeated submission meets.
BOOST_AUTO_TEST_CASE(a_conflict_with_a_known_job_does_not_admit_a_revoked_key)
{
  test_cluster cluster;
  auto& behind = cluster.Standby();
  auto& other = *cluster.Holder();
  CutOff(cluster, behind);
  cluster.RunFor(behind.mSettings.mRevocationLimit);
  auto const path = "/u/" + JobId(2);
  BOOST_TEST(cluster.Call(other, "POST", path, JobBody(1, 1)) == 200U);
  Declare(cluster, Configuration(2, "key-2"));
  behind.mStoreEndpoint.mBehavior = behavior::serves;
  // The tables are followed independently of each other: the jobs may arrive first.
  behind.mStoreEndpoint.mDelaysOperatorAnswers = true;
  BOOST_REQUIRE(cluster.RunUntil([&] { return behind.mReplica.IsStoreAvailable(); }));
  BOOST_TEST(cluster.Call(behind, "POST", path, JobBody(1, 1), kKey, forwarding::disabled) == 401U);
  behind.mStoreEndpoint.mDelaysOperatorAnswers = false;
}

// Guards against submissions that repeat their transaction without a pause until their deadline:
// the condition named the last configuration that could be read, and the store held a later one.
BOOST_AUTO_TEST_CASE(submissions_go_on_beside_a_configuration_that_cannot_be_read)
{
  test_cluster cluster{ 1, 1 };
  auto& front = *cluster.mFronts[0];
  for (auto const* const text : { "{", R"({"version":2,"routes":7})" }) {
    Declare(cluster, text);
    cluster.RunFor(milliseconds{ 200 });
    auto const conflicts = front.mStoreEndpoint.mConflicts;
    auto const path = "/u/" + JobId(10 + static_cast<int>(cluster.mStore.Commits()));
    BOOST_TEST(cluster.Call(front, "POST", path, JobBody(1, 1)) == 200U);
    BOOST_TEST(front.mStoreEndpoint.mConflicts - conflicts <= 1U);
  }
  BOOST_TEST(front.mReplica.RejectedConfigurations() == 2U);
  Declare(cluster, ConfigurationWithout(3, { kBulkQueue }));
  RequireVersion(cluster, front, 3);
}

// Guards against a read of a lagging copy that makes the configuration count as confirmed.
BOOST_AUTO_TEST_CASE(an_older_read_confirms_nothing)
{
  test_cluster cluster{ 1, 1 };
  auto& front = *cluster.mFronts[0];
  cluster.mStore.KeepCopy();
  Declare(cluster, ConfigurationWithout(2, { kBulkQueue }));
  cluster.mStore.Put(kOperatorTable, "evacuate/zone-0", "{}");
  RequireVersion(cluster, front, 2);
  BOOST_REQUIRE(cluster.RunUntil([&] { return front.mReplica.Evacuations().contains("zone-0"); }));
  front.mStoreEndpoint.mReadsCopy = true;
  // Both feeds end before the history that is left begins.
  cluster.mStore.Put(kOperatorTable, "other", "");
  cluster.mStore.DiscardHistory();
  cluster.RunFor(milliseconds{ 1500 });
  auto const confirmedAt = front.mReplica.OperatorRowsConfirmedAt();
  auto const reads = front.mStoreEndpoint.mTableReads;
  cluster.RunFor(milliseconds{ 500 });
  BOOST_TEST((front.mReplica.OperatorRowsConfirmedAt() == confirmedAt));
  // Two tables, with a pause of at least 60 ms between two reads.
  BOOST_TEST(front.mStoreEndpoint.mTableReads - reads <= 40U);
  BOOST_TEST(HasVersion(front, 2));
  BOOST_TEST(front.mReplica.Evacuations().contains("zone-0"));
  front.mStoreEndpoint.mReadsCopy = false;
  BOOST_TEST(cluster.RunUntil(
    [&] { return front.mReplica.OperatorRowsConfirmedAt() > confirmedAt; }, milliseconds{ 1000 }));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace rattanpond::platform
