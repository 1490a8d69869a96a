#include "daemons/settings_checks.h"

#include "daemons/agent_settings.h"
#include "daemons/entry_settings.h"
#include "placement/policy.h"

#include <algorithm>
#include <fstream>

namespace rattanpond::daemons {

using base::Fail;
using base::result_code;

namespace {

constexpr std::size_t kMaximumNameLength = 128;

bool IsNameCharacter(char aCharacter)
{
  return (aCharacter >= 'a' && aCharacter <= 'z') || (aCharacter >= 'A' && aCharacter <= 'Z') ||
         (aCharacter >= '0' && aCharacter <= '9') || aCharacter == '-' || aCharacter == '_' ||
         aCharacter == '.';
}

boost::leaf::error_id Invalid(std::string_view aKey, std::string const& aReason)
{
  return Fail(result_code::invalid_settings, "key '" + std::string{ aKey } + "': " + aReason);
}

base::result<void> CheckWorker(agent_settings const& aSettings)
{
  BOOST_LEAF_CHECK(CheckAddress("runner_address", aSettings.mRunnerAddress));
  if (aSettings.mCapacity.mCores == 0 || aSettings.mCapacity.mMemoryMebibytes == 0) {
    return Invalid("capacity", "cores and memory_mebibytes of a worker must not be 0");
  }
  return {};
}

base::result<void> CheckExecutor(agent_settings const& aSettings)
{
  BOOST_LEAF_CHECK(CheckName("service", aSettings.mService));
  BOOST_LEAF_CHECK(CheckAddress("traffic_address", aSettings.mTrafficAddress));
  BOOST_LEAF_CHECK(CheckAddress("executor_address", aSettings.mExecutorAddress));
  if (aSettings.mConnections < aSettings.mSlots) {
    return Invalid("connections", "must not be less than slots");
  }
  return {};
}

} // namespace

base::result<void> CheckName(std::string_view aKey, std::string_view aValue)
{
  if (aValue.empty() || aValue.size() > kMaximumNameLength ||
      !std::ranges::all_of(aValue, IsNameCharacter)) {
    return Invalid(aKey,
                   "'" + std::string{ aValue } +
                     "' is not a valid name: expected 1 to 128 letters, digits, '-', '_' or '.'");
  }
  return {};
}

base::result<net::tcp::endpoint> CheckAddress(std::string_view aKey, std::string_view aValue)
{
  auto const parsed = base::Capture([&] { return net::ParseEndpoint(aValue); });
  if (!base::Succeeded(parsed)) {
    return Invalid(aKey, base::Error(parsed).mMessage);
  }
  return std::get<0>(parsed);
}

base::result<std::vector<net::tcp::endpoint>> CheckAddresses(
  std::string_view aKey, std::vector<std::string> const& aValues)
{
  std::vector<net::tcp::endpoint> endpoints;
  for (auto const& value : aValues) {
    BOOST_LEAF_AUTO(endpoint, CheckAddress(aKey, value));
    if (std::ranges::find(endpoints, endpoint) != endpoints.end()) {
      return Invalid(aKey, "'" + value + "' is listed more than once");
    }
    endpoints.push_back(endpoint);
  }
  if (endpoints.empty()) {
    return Invalid(aKey, "at least one address is required");
  }
  return endpoints;
}

base::result<std::string> ReadToken(std::string const& aFile)
{
  std::ifstream file{ aFile };
  std::string token;
  std::getline(file, token);
  if (token.empty()) {
    return Invalid("operator_token_file", "'" + aFile + "' cannot be read or is empty");
  }
  return token;
}

base::result<void> Validate(entry_settings const& aSettings)
{
  BOOST_LEAF_CHECK(CheckName("name", aSettings.mName));
  BOOST_LEAF_CHECK(CheckName("region", aSettings.mRegion));
  BOOST_LEAF_CHECK(CheckName("domain", aSettings.mDomain));
  BOOST_LEAF_CHECK(CheckAddress("http_address", aSettings.mHttpAddress));
  BOOST_LEAF_AUTO(own, CheckAddress("control_address", aSettings.mControlAddress));
  BOOST_LEAF_AUTO(entries, CheckAddresses("entries", aSettings.mEntries));
  if (std::ranges::find(entries, own) == entries.end()) {
    return Invalid("entries", "the list does not contain the entry's own control_address");
  }
  BOOST_LEAF_CHECK(CheckAddresses("table_addresses", aSettings.mTableAddresses));
  BOOST_LEAF_CHECK(ReadToken(aSettings.mOperatorTokenFile));
  if (!placement::CreatePolicy(aSettings.mPlacementPolicy, {})) {
    return Invalid("placement_policy",
                   "'" + aSettings.mPlacementPolicy + "' is not a known placement policy");
  }
  return {};
}

base::result<void> Validate(agent_settings const& aSettings)
{
  BOOST_LEAF_CHECK(CheckName("target", aSettings.mTarget));
  BOOST_LEAF_CHECK(CheckName("region", aSettings.mRegion));
  BOOST_LEAF_CHECK(CheckName("domain", aSettings.mDomain));
  BOOST_LEAF_CHECK(CheckName("rack", aSettings.mRack));
  BOOST_LEAF_CHECK(CheckAddress("control_address", aSettings.mControlAddress));
  BOOST_LEAF_CHECK(CheckAddress("http_address", aSettings.mHttpAddress));
  BOOST_LEAF_CHECK(CheckAddresses("entries", aSettings.mEntries));
  BOOST_LEAF_CHECK(ReadToken(aSettings.mOperatorTokenFile));
  return aSettings.mKind == membership::target_kind::worker ? CheckWorker(aSettings)
                                                            : CheckExecutor(aSettings);
}

} // namespace rattanpond::daemons
