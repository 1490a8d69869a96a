#include "platform/advice_client.h"

#include "base/logging.h"
#include "platform/json_reader.h"

namespace rattanpond::platform {

using boost::asio::awaitable;

namespace {

/// The service handles the calls of one instance one after another, so more connections would only
/// wait.
constexpr std::size_t kMaximumConnections = 2;

net::http_request AdviceRequest(std::string const& aStep, std::vector<std::string> const& aWorkers)
{
  return net::JsonRequest("POST", "/api/advise", { { "step", aStep }, { "workers", aWorkers } });
}

} // namespace

std::optional<std::vector<worker_permit>> ParseAdvice(std::string const& aBody)
{
  auto const document = base::json::parse(aBody, nullptr, false);
  json_reader reader{ document };
  auto const& good = reader.Member("good");
  if (!reader.IsValid() || !good.is_array()) {
    return std::nullopt;
  }
  std::vector<worker_permit> permits;
  for (auto const& row : good) {
    if (row.is_array() && row.size() >= 2 && row[0].is_string() && row[1].is_string()) {
      permits.push_back({ row[0].get<std::string>(), row[1].get<std::string>() });
    }
  }
  return permits;
}

advice_client::advice_client(boost::asio::io_context& aContext, net::tcp::endpoint aEndpoint)
  : mClient{ aContext, { .mEndpoint = aEndpoint, .mMaximumConnections = kMaximumConnections } }
{
}

awaitable<std::optional<std::vector<worker_permit>>> advice_client::QueryAdvice(
  std::string aStep, std::vector<std::string> aWorkers, base::milliseconds aTimeout)
{
  auto const answer = co_await mClient.Send(AdviceRequest(aStep, aWorkers), aTimeout);
  if (!base::Succeeded(answer)) {
    base::Log("advice")->warn("no-answer step={} workers={} reason=\"{}\"", aStep, aWorkers.size(),
                              base::Error(answer).mMessage);
    co_return std::nullopt;
  }
  auto const& response = std::get<0>(answer);
  auto permits = response.mStatus == 200 ? ParseAdvice(response.mBody) : std::nullopt;
  if (!permits) {
    base::Log("advice")->warn("refused step={} workers={} status={}", aStep, aWorkers.size(),
                              response.mStatus);
  }
  co_return permits;
}

} // namespace rattanpond::platform
