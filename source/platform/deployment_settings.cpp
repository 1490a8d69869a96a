#include "platform/deployment_settings.h"

#include "platform/json_reader.h"

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <sstream>

namespace rattanpond::platform {

using base::milliseconds;
using base::result_code;

namespace {

/// A smaller limit of the store's rows is taken for an error of the settings.
constexpr std::int64_t kLeastRowBytes = 1024;

base::result<std::optional<net::tcp::endpoint>> OptionalEndpoint(json_reader& aReader,
                                                                 char const* aName)
{
  auto const text = aReader.Text(aName);
  if (text.empty()) {
    return std::optional<net::tcp::endpoint>{};
  }
  BOOST_LEAF_AUTO(endpoint, net::ParseEndpoint(text));
  return std::optional{ endpoint };
}

milliseconds Milliseconds(json_reader& aReader, char const* aName, milliseconds aDefault)
{
  return milliseconds{ aReader.Integer(aName, aDefault.count()) };
}

milliseconds Seconds(json_reader& aReader, char const* aName, milliseconds aDefault)
{
  using seconds = std::chrono::duration<double>;
  seconds const value{ aReader.Number(aName, seconds{ aDefault }.count()) };
  return std::chrono::duration_cast<milliseconds>(value);
}

void ReadBounds(json_reader& aBounds, deployment_settings& aSettings)
{
  aSettings.mMaximumLease = Milliseconds(aBounds, "hold_max_ms", aSettings.mMaximumLease);
  aSettings.mStopTime = Milliseconds(aBounds, "stop_grace_ms", aSettings.mStopTime);
  aSettings.mRevocationLimit = Milliseconds(aBounds, "revoke_ms", aSettings.mRevocationLimit);
  aSettings.mConfigurationDelay =
    Milliseconds(aBounds, "config_apply_ms", aSettings.mConfigurationDelay);
  aSettings.mTerminationGracePeriod =
    Seconds(aBounds, "grace_s", aSettings.mTerminationGracePeriod);
  aSettings.mStatusRetention = Seconds(aBounds, "status_s", aSettings.mStatusRetention);
}

/// No copy, since the copy of a deeply nested value exhausts the stack.
base::json const& ObjectOrEmpty(base::json const& aValue)
{
  static base::json const sEmpty = base::json::object();
  return aValue.is_object() ? aValue : sEmpty;
}

} // namespace

base::result<deployment_settings> ParseDeploymentSettings(std::string const& aText)
{
  auto const document = base::json::parse(aText, nullptr, false);
  if (!document.is_object()) {
    return base::Fail(result_code::invalid_settings, "settings are not a JSON object");
  }
  json_reader reader{ document };
  deployment_settings settings;
  settings.mNode = reader.RequiredText("node");
  settings.mFailureDomain = reader.RequiredText("zone");
  settings.mAddress = reader.RequiredText("ip");
  auto const& listenObject = ObjectOrEmpty(reader.Member("listen"));
  json_reader listen{ listenObject };
  BOOST_LEAF_ASSIGN(settings.mCallers, OptionalEndpoint(listen, "frontend"));
  BOOST_LEAF_ASSIGN(settings.mReadiness, OptionalEndpoint(listen, "readiness"));
  BOOST_LEAF_ASSIGN(settings.mHeartbeats, OptionalEndpoint(listen, "control"));
  BOOST_LEAF_ASSIGN(settings.mWorker, OptionalEndpoint(reader, "app"));
  BOOST_LEAF_ASSIGN(settings.mAdvice, OptionalEndpoint(reader, "advice"));
  auto const& storeObject = ObjectOrEmpty(reader.Member("platform"));
  json_reader store{ storeObject };
  BOOST_LEAF_ASSIGN(settings.mStore, net::ParseEndpoint(store.Text("address")));
  settings.mMaximumRowBytes = static_cast<std::size_t>(std::max<std::int64_t>(
    kLeastRowBytes,
    store.Integer("row_bytes", static_cast<std::int64_t>(settings.mMaximumRowBytes))));
  auto const& ports = reader.Member("internal_ports");
  if (ports.is_array() && !ports.empty() && ports[0].is_number_unsigned()) {
    settings.mInternalPort = ports[0].get<std::uint16_t>();
  }
  auto const& boundsObject = ObjectOrEmpty(reader.Member("bounds"));
  json_reader bounds{ boundsObject };
  ReadBounds(bounds, settings);
  for (auto const* const part : { &reader, &listen, &store, &bounds }) {
    if (!part->IsValid()) {
      return base::Fail(result_code::invalid_settings, "settings: " + part->Failure());
    }
  }
  return settings;
}

base::result<deployment_settings> LoadDeploymentSettings()
{
  auto const* const path = std::getenv(kSettingsVariable);
  if (path == nullptr) {
    return base::Fail(result_code::invalid_settings,
                      std::string{ kSettingsVariable } + " is not set");
  }
  std::ifstream file{ path };
  std::stringstream text;
  text << file.rdbuf();
  if (!file) {
    return base::Fail(result_code::invalid_settings,
                      std::string{ "cannot read settings file " } + path);
  }
  return ParseDeploymentSettings(text.str());
}

} // namespace rattanpond::platform
