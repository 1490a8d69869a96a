#include "platform/http_table.h"

#include "net/http_router.h"
#include "platform/wire.h"

namespace rattanpond::platform {

namespace asio = boost::asio;
using base::done;
using base::reply;
using base::result_code;
using net::PercentEncode;

namespace {

constexpr platform_client::failures kReadFailures{ .mNotSent = result_code::store_unavailable,
                                                   .mAnswerLost = result_code::store_unavailable,
                                                   .mRetrySafety =
                                                     platform_client::retry_safety::safe };

/// A commit is sent to one endpoint only; Commit repeats it, because it keeps track of lost
/// answers.
constexpr platform_client::failures kCommitFailures{ .mNotSent = result_code::store_unavailable,
                                                     .mAnswerLost = result_code::outcome_unknown,
                                                     .mRetrySafety =
                                                       platform_client::retry_safety::unsafe };

} // namespace

http_table::http_table(asio::io_context& aContext, platform_client::options aOptions)
  : mClient{ aContext, std::move(aOptions) }
{
}

asio::awaitable<reply<std::optional<table_row>>> http_table::Read(std::string aKey)
{
  auto const answer = co_await mClient.Call(
    net::JsonRequest("GET", "/v1/rows/" + PercentEncode(aKey)), kReadFailures);
  if (!base::Succeeded(answer) && base::Error(answer).mCode == result_code::not_found) {
    co_return std::optional<table_row>{};
  }
  auto row = DecodeAnswer<table_row>(answer);
  if (!base::Succeeded(row)) {
    co_return base::Error(row);
  }
  co_return std::optional<table_row>{ std::get<0>(std::move(row)) };
}

asio::awaitable<reply<std::vector<table_row>>> http_table::Scan(std::string aPrefix,
                                                                std::string aAfter,
                                                                std::size_t aLimit)
{
  auto const target = "/v1/rows?prefix=" + PercentEncode(aPrefix) +
                      "&after=" + PercentEncode(aAfter) + "&limit=" + std::to_string(aLimit);
  auto const answer = co_await mClient.Call(net::JsonRequest("GET", target), kReadFailures);
  auto page = DecodeAnswer<rows_answer>(answer);
  if (!base::Succeeded(page)) {
    co_return base::Error(page);
  }
  co_return std::get<0>(std::move(page)).mRows;
}

asio::awaitable<reply<done>> http_table::CommitOnce(table_transaction aTransaction)
{
  for (auto const& write : aTransaction.mWrites) {
    // In the encoded transaction, a write whose value is null is a deletion.
    if (write.mValue && write.mValue->is_null()) {
      co_return base::error{ result_code::invalid_argument, "a row cannot hold null" };
    }
  }
  auto const answer = co_await mClient.Call(
    net::JsonRequest("POST", "/v1/transactions", base::Encode(aTransaction)), kCommitFailures);
  if (!base::Succeeded(answer)) {
    co_return base::Error(answer);
  }
  co_return done{};
}

} // namespace rattanpond::platform
