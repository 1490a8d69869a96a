#include "standin/table_server.h"

#include "platform/platform_client.h"
#include "platform/wire.h"
#include "standin/fault_kind.h"
#include "standin/responses.h"

#include <charconv>

namespace rattanpond::standin {

namespace asio = boost::asio;
using base::result;
using base::result_code;
using net::http_response;
using net::routed_request;
using platform::table_transaction;

namespace {

constexpr std::size_t kMaximumPageRows = 1000;

std::string QueryValue(routed_request const& aRequest, std::string const& aName)
{
  auto const found = aRequest.mQuery.find(aName);
  return found == aRequest.mQuery.end() ? std::string{} : found->second;
}

} // namespace

template<class Member>
void table_server::Change(Member platform::table_faults::*aMember, Member aValue)
{
  auto faults = mTable.Faults();
  faults.*aMember = aValue;
  mTable.Inject(faults);
}

struct table_server::faults
{
  using target = table_server;
  using values = platform::table_faults;
  static constexpr fault_kind<target> kKinds[] = {
    { "down",
      [](target& aTarget, fault const* aFault) {
        return aTarget.mServer.SetAvailability(aFault ? platform::availability::down
                                                      : platform::availability::up);
      } },
    { "slow",
      [](target& aTarget, fault const* aFault) -> result<void> {
        aTarget.Change(&values::mDelay, base::milliseconds{ FaultValue(aFault) });
        return {};
      } },
    { "lose_answers",
      [](target& aTarget, fault const* aFault) -> result<void> {
        aTarget.Change(&values::mLostAnswers, FaultValue(aFault));
        return {};
      } },
    { "drop_requests",
      [](target& aTarget, fault const* aFault) -> result<void> {
        aTarget.Change(&values::mLostRequests, FaultValue(aFault));
        return {};
      } },
    { "stale_reads",
      [](target& aTarget, fault const* aFault) -> result<void> {
        using mode = platform::read_mode;
        aTarget.Change(&values::mReads, aFault ? mode::stale : mode::current);
        return {};
      } },
    { "serve_only",
      [](target& aTarget, fault const* aFault) -> result<void> {
        aTarget.mServedClients.reset();
        if (aFault) {
          aTarget.mServedClients.emplace(aFault->mClients.begin(), aFault->mClients.end());
        }
        return {};
      } },
  };
};

table_server::table_server(asio::io_context& aContext)
  : mServer{ aContext, RouterHandler(Routes()) }
{
}

result<void> table_server::Begin(fault const& aFault)
{
  return BeginFault(faults::kKinds, *this, aFault);
}

result<void> table_server::End(fault const& aFault)
{
  return EndFault(faults::kKinds, *this, aFault);
}

base::json table_server::State() const
{
  auto state = base::Encode(mTable.Faults());
  state["availability"] = base::Name(mServer.Availability());
  if (mServedClients) {
    state["served_clients"] = base::Encode(*mServedClients);
  }
  return state;
}

net::http_router table_server::Routes()
{
  net::http_router router;
  router.Add("GET", "/v1/rows/{key}", RequireServedClient(&table_server::ReadRow));
  router.Add("GET", "/v1/rows", RequireServedClient(&table_server::ScanRows));
  router.Add("POST", "/v1/transactions", RequireServedClient(&table_server::CommitRows));
  router.Add("GET", "/v1/objects/{key}", RequireServedClient(&table_server::GetObject));
  router.Add("PUT", "/v1/objects/{key}", RequireServedClient(&table_server::PutObject));
  return router;
}

net::http_router::handler table_server::RequireServedClient(
  asio::awaitable<http_response> (table_server::*aHandler)(routed_request))
{
  return [this, aHandler](routed_request aRequest) -> asio::awaitable<http_response> {
    std::string const client{ aRequest.mRequest.mHeaders.Value(platform::kClientHeader) };
    if (mServedClients && !mServedClients->contains(client)) {
      co_return FailureResponse(
        { result_code::store_unavailable, "the table does not serve client '" + client + "'" });
    }
    co_return co_await (this->*aHandler)(std::move(aRequest));
  };
}

asio::awaitable<http_response> table_server::ReadRow(routed_request aRequest)
{
  auto const row = co_await mTable.Read(aRequest.mPath["key"]);
  if (!base::Succeeded(row)) {
    co_return FailureResponse(base::Error(row));
  }
  auto const& found = std::get<0>(row);
  if (!found) {
    co_return FailureResponse({ result_code::not_found, "there is no such row" });
  }
  co_return net::JsonResponse(200, base::Encode(*found));
}

asio::awaitable<http_response> table_server::ScanRows(routed_request aRequest)
{
  auto const text = QueryValue(aRequest, "limit");
  std::size_t limit = 0;
  auto const parsed = std::from_chars(text.data(), text.data() + text.size(), limit);
  if (parsed.ec != std::errc{} || limit == 0 || limit > kMaximumPageRows) {
    co_return FailureResponse(
      { result_code::invalid_argument,
        "limit must lie between 1 and " + std::to_string(kMaximumPageRows) });
  }
  auto rows =
    co_await mTable.Scan(QueryValue(aRequest, "prefix"), QueryValue(aRequest, "after"), limit);
  if (!base::Succeeded(rows)) {
    co_return FailureResponse(base::Error(rows));
  }
  platform::rows_answer const answer{ .mRows = std::get<0>(std::move(rows)) };
  co_return net::JsonResponse(200, base::Encode(answer));
}

asio::awaitable<http_response> table_server::CommitRows(routed_request aRequest)
{
  auto decoded =
    base::Capture([&] { return base::DecodeText<table_transaction>(aRequest.mRequest.mBody); });
  if (!base::Succeeded(decoded)) {
    co_return FailureResponse(base::Error(decoded));
  }
  co_return DoneResponse(co_await mTable.CommitOnce(std::get<0>(std::move(decoded))));
}

asio::awaitable<http_response> table_server::GetObject(routed_request aRequest)
{
  auto content = co_await mObjects.Get(aRequest.mPath["key"]);
  if (!base::Succeeded(content)) {
    co_return FailureResponse(base::Error(content));
  }
  http_response response;
  response.mHeaders.Add("Content-Type", "application/octet-stream");
  response.mBody = std::get<0>(std::move(content));
  co_return response;
}

asio::awaitable<http_response> table_server::PutObject(routed_request aRequest)
{
  co_return DoneResponse(
    co_await mObjects.Put(aRequest.mPath["key"], std::move(aRequest.mRequest.mBody)));
}

} // namespace rattanpond::standin
