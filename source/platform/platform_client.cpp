#include "platform/platform_client.h"

namespace rattanpond::platform {

namespace asio = boost::asio;
using base::error;
using base::reply;
using base::result_code;
using net::http_request;
using net::http_response;

namespace {

/// A page of the table holds up to a few hundred rows of about 16 KiB each.
constexpr std::size_t kMaximumAnswerBytes = 64 * 1024 * 1024;

bool NothingWasSent(result_code aCode)
{
  return aCode == result_code::connect_failed || aCode == result_code::queue_full;
}

/// Returns the error that an answer reports, or nothing if the answer does not come from the
/// service itself or leaves the outcome unknown.
std::optional<error> ReportedError(http_response const& aResponse)
{
  auto const document = base::json::parse(aResponse.mBody, nullptr, false);
  if (!document.is_object() || !document.contains("name") || !document["name"].is_string()) {
    return std::nullopt;
  }
  auto const code = base::ParseEnum<result_code>(document["name"].get_ref<std::string const&>());
  // An internal error may have occurred after the call took effect.
  if (!code || *code == result_code::internal || *code == result_code::outcome_unknown) {
    return std::nullopt;
  }
  auto const message = document.find("message");
  auto const hasText = message != document.end() && message->is_string();
  return error{ *code, hasText ? message->get<std::string>() : std::string{ base::Name(*code) } };
}

} // namespace

platform_client::platform_client(asio::io_context& aContext, options aOptions)
  : mOptions{ std::move(aOptions) }
{
  mClients.reserve(mOptions.mEndpoints.size());
  for (auto const& endpoint : mOptions.mEndpoints) {
    mClients.push_back(std::make_unique<net::http_client>(
      aContext, net::http_client::options{ .mEndpoint = endpoint,
                                           .mMaximumConnections = mOptions.mMaximumConnections,
                                           .mMaximumBodyBytes = kMaximumAnswerBytes,
                                           .mConnectTimeout = mOptions.mConnectTimeout }));
  }
}

platform_client::~platform_client() = default;

asio::awaitable<reply<http_response>> platform_client::Call(http_request aRequest,
                                                            failures aFailures)
{
  aRequest.mHeaders.Add(kClientHeader, mOptions.mClientName);
  auto const deadline = base::Now() + mOptions.mTimeout;
  error last{ aFailures.mNotSent, "no endpoint of the service is configured" };
  for (std::size_t attempt = 0; attempt < mClients.size(); ++attempt) {
    auto const index = (mPreferred + attempt) % mClients.size();
    auto const remaining = deadline - base::Now();
    if (remaining.count() <= 0) {
      break;
    }
    auto answer = co_await mClients[index]->Send(aRequest, remaining);
    if (base::Succeeded(answer)) {
      auto const& response = std::get<0>(answer);
      if (response.mStatus >= 200 && response.mStatus < 300) {
        mPreferred = index;
        co_return answer;
      }
      if (auto const reported = ReportedError(response)) {
        co_return *reported;
      }
      last = { aFailures.mAnswerLost, "the service answered with status " +
                                        std::to_string(response.mStatus) + " and no error code" };
    } else if (NothingWasSent(base::Error(answer).mCode)) {
      // An earlier endpoint may have processed the call; then its lost answer stays the reported
      // outcome.
      if (last.mCode == aFailures.mNotSent) {
        last.mMessage = base::Error(answer).mMessage;
      }
      continue;
    } else {
      last = { aFailures.mAnswerLost, base::Error(answer).mMessage };
    }
    if (aFailures.mRetrySafety == retry_safety::unsafe) {
      break;
    }
  }
  co_return last;
}

} // namespace rattanpond::platform
