#include "dispatch/call_forwarder.h"

#include "base/logging.h"

#include <algorithm>
#include <charconv>

namespace rattanpond::dispatch {

namespace asio = boost::asio;
using base::milliseconds;

namespace {

/// A front to which the store is available answers in tens of milliseconds.
constexpr milliseconds kForwardTimeout{ 700 };
constexpr milliseconds kConnectTimeout{ 300 };
constexpr std::size_t kMaximumFronts = 3;

bool MayHaveTakenEffect(base::reply<net::http_response> const& aAnswer)
{
  if (base::Succeeded(aAnswer)) {
    return std::get<0>(aAnswer).mStatus == 504;
  }
  auto const code = base::Error(aAnswer).mCode;
  return code != base::result_code::connect_failed && code != base::result_code::queue_full;
}

} // namespace

std::uint64_t ConfigurationVersionOf(net::http_headers const& aHeaders)
{
  auto const text = aHeaders.Value(kConfigurationVersionHeader);
  std::uint64_t version = 0;
  std::from_chars(text.data(), text.data() + text.size(), version);
  return version;
}

call_forwarder::call_forwarder(options aOptions)
  : mOptions{ std::move(aOptions) }
{
}

net::http_client* call_forwarder::Client(std::string const& aAddress)
{
  auto& client = mClients[aAddress];
  if (!client) {
    auto const endpoint = base::Capture([&] { return net::ParseEndpoint(aAddress); });
    if (!base::Succeeded(endpoint)) {
      return nullptr;
    }
    client = std::make_unique<net::http_client>(
      mOptions.mContext, net::http_client::options{ .mEndpoint = std::get<0>(endpoint),
                                                    .mConnectTimeout = kConnectTimeout });
  }
  return client.get();
}

asio::awaitable<call_forwarder::result> call_forwarder::Forward(net::http_request aRequest,
                                                                base::time_point aDeadline,
                                                                std::uint64_t aOldestVersion)
{
  result forwarded;
  aRequest.mHeaders.Set(kConfigurationVersionHeader, std::to_string(aOldestVersion));
  std::vector<std::pair<std::string, std::string>> others;
  for (auto const& [node, record] : mOptions.mReplica.Fronts()) {
    if (node != mOptions.mNode) {
      others.emplace_back(node, record.mAddress);
    }
  }
  std::stable_partition(others.begin(), others.end(),
                        [&](auto const& aOther) { return aOther.first == mPreferred; });
  others.resize(std::min(others.size(), kMaximumFronts));
  for (auto const& [node, address] : others) {
    auto const left = std::min(kForwardTimeout, aDeadline - base::Now());
    auto* const client = Client(address);
    if (client == nullptr || left <= milliseconds{ 0 }) {
      continue;
    }
    auto request = aRequest;
    auto answer = co_await client->Send(std::move(request), left);
    auto const status = base::Succeeded(answer) ? std::get<0>(answer).mStatus : 0U;
    auto const version = status == 0 ? 0 : ConfigurationVersionOf(std::get<0>(answer).mHeaders);
    base::Log("caller")->info("forwarded method={} path={} to={} status={} configuration={}",
                              aRequest.mMethod, aRequest.mTarget, node, status, version);
    if (status != 0 && status != 503 && status != 504) {
      mPreferred = node;
      forwarded.mConfigurationVersion = version;
      auto response = std::move(std::get<0>(answer));
      // Framing headers belong to one connection; only status, content type and body are copied.
      forwarded.mAnswer = net::http_response{ .mStatus = response.mStatus };
      forwarded.mAnswer->mHeaders.Add("Content-Type", "application/json");
      forwarded.mAnswer->mBody = std::move(response.mBody);
      co_return forwarded;
    }
    forwarded.mIsOutcomeUnknown = forwarded.mIsOutcomeUnknown || MayHaveTakenEffect(answer);
  }
  co_return forwarded;
}

} // namespace rattanpond::dispatch
