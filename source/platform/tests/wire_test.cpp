#include "platform/deployment_settings.h"
#include "platform/job_wire.h"
#include "platform/operator_rows.h"
#include "platform/worker_client.h"

#include <boost/test/unit_test.hpp>

#include <random>

namespace rattanpond::platform {

namespace {

char const* const kHeartbeat =
  R"({"service":"s","address":"10.128.0.9:8080","zone":"z","version":"v1","slots":8,"state":"ready",
      "cold_left_ms":0,"capacity":{"cpu":16000,"mem_mb":32768,"gpu":4},"labels":["a","r1-3"],
      "clock_ms":482113,"seq":4,"born":1767269633428,"news":[1]})";

char const* const kJob =
  R"({"spec":"text","times":2,"start_at_ms":5,"interval_ms":7,
      "steps":[{"count":4,"cpu":500,"mem_mb":256,"gpu":2,"estimate_ms":900,"data_rack":"r1-3",
                "gang":true,"same_rack":true,"max_per_server":3},
               {"count":20,"after":[0],"checkpointable":true,"long_running":true,"max_missing":2,
                "image":"i","target_ms":50,"fills":true,"speculative":true,
                "required_label":"a"}]})";

char const* const kConfiguration =
  R"({"version":7,"routes":[{"name":"r1","host":"h.example","prefix":"/a/","service":"s",
      "priority":2,"max_attempts":3,"stretch":1.5,"target_duration_ms":250,"public":false,
      "advice":{"decide_ms":10,"period_ms":2,"valid_ms":3000}},
      {"name":"r2","host":"h.example","prefix":"/a/b/","service":"s","public":true}],
      "services":[{"name":"s","rejects_overload":true}],
      "limits":{"max_body_bytes":1000},
      "tenants":[{"name":"t","keys":["k1","k2"],"guaranteed":{"gpu":16}}]})";

template<class T, class Function>
std::optional<T> Parsed(Function&& aParse)
{
  auto result = base::Capture(aParse);
  return base::Succeeded(result) ? std::optional<T>{ std::get<0>(std::move(result)) }
                                 : std::nullopt;
}

std::string Replaced(std::string aText, std::string const& aFrom, std::string const& aTo)
{
  auto const at = aText.find(aFrom);
  BOOST_REQUIRE(at != std::string::npos);
  return aText.replace(at, aFrom.size(), aTo);
}

} // namespace

BOOST_AUTO_TEST_SUITE(wire_test)

// Guards against a worker that is emptied, or a heartbeat that is refused, because of an unusable
// notice of departure.
BOOST_AUTO_TEST_CASE(the_time_left_of_a_draining_worker_is_read_if_usable)
{
  auto const timeLeft = [](std::string const& aState, base::json const& aValue) {
    auto body = base::json::parse(kHeartbeat);
    body["state"] = aState;
    body["remaining_ms"] = aValue;
    auto const parsed = base::Capture([&] { return ParseHeartbeat("w", body.dump()); });
    BOOST_REQUIRE(base::Succeeded(parsed));
    return std::get<0>(parsed).mTimeLeft;
  };
  BOOST_TEST((timeLeft("draining", 1500) == base::milliseconds{ 1500 }));
  BOOST_TEST((timeLeft("draining", 0) == base::milliseconds{ 0 }));
  for (base::json const& unusable : { base::json{}, base::json{ -1 }, base::json{ 1e300 },
                                      base::json{ "1500" }, base::json{ 90'000'000 } }) {
    BOOST_TEST(!timeLeft("draining", unusable).has_value());
  }
  BOOST_TEST(!timeLeft("ready", 1500).has_value());
}

BOOST_AUTO_TEST_CASE(heartbeats_are_decoded_completely_or_refused)
{
  auto const parse = [](std::string const& aBody) {
    return Parsed<worker_heartbeat>([&] { return ParseHeartbeat("i-1", aBody); });
  };
  auto const good = parse(kHeartbeat);
  BOOST_REQUIRE(good.has_value());
  BOOST_TEST(good->mCapacity.mAccelerators == 4);
  BOOST_TEST(good->mIncarnationStart == 1767269633428);
  BOOST_TEST(good->mLabels.size() == 2U);
  auto const draining = parse(Replaced(kHeartbeat, "\"ready\"", "\"draining\""));
  BOOST_REQUIRE(draining.has_value());
  BOOST_TEST((draining->mState == dispatch::worker_state::draining));

  // A malformed heartbeat must not yield a usable worker.
  std::pair<char const*, char const*> const faults[] = {
    { "\"ready\"", "\"waking\"" },  { "\"ready\"", "7" },
    { "\"service\":\"s\",", "" },   { "1767269633428", "\"x\"" },
    { "\"seq\":4", "\"seq\":4.5" }, { "[\"a\",\"r1-3\"]", "[\"a\",3]" },
    { "16000", "\"many\"" },        { "\"z\"", "null" },
  };
  for (auto const& [from, to] : faults) {
    BOOST_TEST(!parse(Replaced(kHeartbeat, from, to)).has_value(), from << " -> " << to);
  }
  BOOST_TEST(!parse("\xff\xfe{").has_value());
  BOOST_TEST(!parse("[]").has_value());
}

BOOST_AUTO_TEST_CASE(submissions_are_decoded_completely_or_refused)
{
  auto const parse = [](std::string const& aBody) {
    return Parsed<dispatch::job_description>([&] { return ParseSubmission(aBody); });
  };
  auto const good = parse(kJob);
  BOOST_REQUIRE(good.has_value());
  BOOST_TEST(good->mOccurrences == 2U);
  BOOST_TEST(good->mInterval.count() == 7);
  BOOST_REQUIRE(good->mSteps.size() == 2U);
  BOOST_TEST(good->mSteps[0].mIsGang);
  BOOST_TEST(good->mSteps[0].mDemand.mAccelerators == 2);
  BOOST_TEST(good->mSteps[1].mIsLongRunning);
  BOOST_TEST(good->mSteps[1].mIsBestEffort);
  BOOST_TEST(good->mSteps[1].mServingTarget.count() == 50);

  std::pair<char const*, char const*> const faults[] = {
    { "\"count\":4", "\"count\":0" },
    { "\"count\":4", "\"count\":99999999" },
    { "\"after\":[0]", "\"after\":[1]" },
    { "\"after\":[0]", "\"after\":0" },
    { "\"cpu\":500", "\"cpu\":-1" },
    { "\"gang\":true", "\"gang\":1" },
    { "\"text\"", "{}" },
    { "\"times\":2", "\"times\":100000" },
  };
  for (auto const& [from, to] : faults) {
    BOOST_TEST(!parse(Replaced(kJob, from, to)).has_value(), from << " -> " << to);
  }
  BOOST_TEST(!parse("{}").has_value());
  BOOST_TEST(!parse(R"({"steps":[]})").has_value());

  BOOST_TEST(IsJobId("5c0e7a21d94b36f8"));
  BOOST_TEST(!IsJobId("5c0e7a21d94b36f"));
  BOOST_TEST(!IsJobId("5c0e7a21d94b36fg"));
}

BOOST_AUTO_TEST_CASE(configurations_are_read_and_route_by_the_longest_prefix)
{
  auto const parse = [](std::string const& aBody) {
    return Parsed<dispatch::operator_configuration>([&] { return ParseConfiguration(aBody); });
  };
  auto const good = parse(kConfiguration);
  BOOST_REQUIRE(good.has_value());
  BOOST_TEST(good->Route("h.example", "/a/b/x")->mName == "r2");
  BOOST_TEST(good->Route("h.example", "/a/x")->mName == "r1");
  BOOST_TEST((good->Route("other.example", "/a/x") == nullptr));
  BOOST_TEST(good->WorkspaceOfKey("k2")->mGuaranteedAccelerators == 16);
  BOOST_TEST((good->WorkspaceOfKey("") == nullptr));
  BOOST_TEST(good->FindQueue("r1")->mAdvice.has_value());
  BOOST_TEST(!parse(Replaced(kConfiguration, "\"version\":7", "\"version\":\"7\"")).has_value());
  BOOST_TEST(!parse(Replaced(kConfiguration, "\"/a/\"", "4")).has_value());
}

// Guards against an invalid configuration that is taken in part: one without queues took all of
// them away, and keys that were no strings were left out without a trace.
BOOST_AUTO_TEST_CASE(an_invalid_configuration_is_not_taken_in_part)
{
  auto const isTaken = [](char const* aName, base::json aValue) {
    auto document = base::json::parse(kConfiguration);
    if (aValue.is_null()) {
      document.erase(aName);
    } else {
      document[aName] = std::move(aValue);
    }
    return Parsed<dispatch::operator_configuration>(
             [&] { return ParseConfiguration(document.dump()); })
      .has_value();
  };
  auto const document = base::json::parse(kConfiguration);
  BOOST_TEST(isTaken("routes", document["routes"]));
  BOOST_TEST(isTaken("routes", base::json::array()));
  BOOST_TEST(!isTaken("routes", nullptr));
  BOOST_TEST(!isTaken("routes", 7));
  BOOST_TEST(!isTaken("routes", base::json::object()));
  BOOST_TEST(!isTaken("routes", { 7 }));
  BOOST_TEST(!isTaken("tenants", "all"));
  BOOST_TEST(!isTaken("tenants", { { { "name", "t" }, { "keys", "k" } } }));
  BOOST_TEST(!isTaken("tenants", { { { "name", "t" }, { "keys", { "k", 7 } } } }));
  BOOST_TEST(!isTaken("tenants", { { { "name", "t" }, { "guaranteed", 4 } } }));
  BOOST_TEST(!isTaken("limits", 4));
  // A member that rattanpond does not know may be anything.
  BOOST_TEST(isTaken("later", 7));
}

BOOST_AUTO_TEST_CASE(settings_without_a_store_are_refused)
{
  auto const parse = [](std::string const& aBody) {
    return Parsed<deployment_settings>([&] { return ParseDeploymentSettings(aBody); });
  };
  std::string const settings =
    R"({"node":"n","zone":"z","ip":"10.1.0.1","listen":{"frontend":"10.1.0.1:80"},
        "internal_ports":[7000,7015],"bounds":{"hold_max_ms":6000,"grace_s":6,"later":1},
        "platform":{"address":"10.2.0.1:90"}})";
  auto const good = parse(settings);
  BOOST_REQUIRE(good.has_value());
  BOOST_TEST(good->mMaximumLease.count() == 6000);
  BOOST_TEST(good->mTerminationGracePeriod.count() == 6000);
  BOOST_TEST(good->mInternalPort == 7000);
  BOOST_TEST(!parse(Replaced(settings, "10.2.0.1:90", "nowhere")).has_value());
  BOOST_TEST(!parse(Replaced(settings, "\"node\":\"n\",", "")).has_value());
  BOOST_TEST(!parse(Replaced(settings, "6000", "\"long\"")).has_value());
  BOOST_TEST(!parse("").has_value());
}

// Guards against input that crashes a process: each decoder returns a value or an error for any
// bytes.
BOOST_AUTO_TEST_CASE(damaged_input_is_refused_without_harm)
{
  constexpr int kRounds = 3000;
  std::mt19937 random{ 20261204 };
  std::string const samples[] = { kHeartbeat, kJob, kConfiguration };
  for (int round = 0; round < kRounds; ++round) {
    auto text = samples[static_cast<std::size_t>(round) % std::size(samples)];
    auto const changes = random() % 4;
    for (std::uint32_t change = 0; change <= changes; ++change) {
      auto const at = random() % text.size();
      switch (random() % 3) {
        case 0:
          text[at] = static_cast<char>(random());
          break;
        case 1:
          text.erase(at, 1 + random() % 8);
          break;
        default:
          text.insert(at, text.substr(random() % text.size(), random() % 12));
          break;
      }
      if (text.empty()) {
        break;
      }
    }
    (void)Parsed<worker_heartbeat>([&] { return ParseHeartbeat("i-1", text); });
    (void)Parsed<dispatch::job_description>([&] { return ParseSubmission(text); });
    (void)Parsed<dispatch::operator_configuration>([&] { return ParseConfiguration(text); });
  }
  std::string deep(50'000, '[');
  BOOST_TEST(!Parsed<dispatch::job_description>([&] { return ParseSubmission(deep); }).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace rattanpond::platform
