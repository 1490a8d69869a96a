#include "platform/row_store.h"

#include "net/http_router.h"

#include <boost/beast/core/detail/base64.hpp>

namespace rattanpond::platform {

namespace base64 = boost::beast::detail::base64;
using boost::asio::awaitable;

namespace {

/// An answer of the store takes a few milliseconds across instances; the client treats a call that
/// exceeds its wait time by more than this as lost.
constexpr base::milliseconds kAnswerTimeoutMargin{ 800 };
constexpr base::milliseconds kConnectTimeout{ 800 };
constexpr std::size_t kMaximumConnections = 16;
constexpr std::size_t kPageRows = 500;

std::string EncodeBase64(std::string const& aText)
{
  std::string encoded(base64::encoded_size(aText.size()), '\0');
  encoded.resize(base64::encode(encoded.data(), aText.data(), aText.size()));
  return encoded;
}

std::string DecodeBase64(std::string const& aText)
{
  std::string decoded(base64::decoded_size(aText.size()), '\0');
  decoded.resize(base64::decode(decoded.data(), aText.data(), aText.size()).first);
  return decoded;
}

/// Decodes the version of an answer or of an entry.
std::optional<std::uint64_t> DecodeVersion(base::json const& aDocument)
{
  if (!aDocument.is_object()) {
    return std::nullopt;
  }
  auto const version = aDocument.find("ver");
  return version != aDocument.end() && version->is_number_integer()
           ? std::optional{ version->get<std::uint64_t>() }
           : std::nullopt;
}

/// Returns nothing for an entry that is not a valid row, since other programs may write anything to
/// the store.
std::optional<store_row> DecodeRow(base::json const& aEntry)
{
  if (!aEntry.is_object()) {
    return std::nullopt;
  }
  auto const part = aEntry.find("part");
  if (part != aEntry.end() && *part != base::json("")) {
    return std::nullopt;
  }
  auto const table = aEntry.find("table");
  auto const key = aEntry.find("key");
  if (table == aEntry.end() || !table->is_string() || key == aEntry.end() || !key->is_string()) {
    return std::nullopt;
  }
  store_row row{ .mTable = table->get<std::string>(), .mKey = key->get<std::string>() };
  row.mVersion = DecodeVersion(aEntry).value_or(0);
  auto const deleted = aEntry.find("deleted");
  row.mIsDeleted = deleted != aEntry.end() && *deleted == true;
  auto const value = aEntry.find("value");
  if (value != aEntry.end() && value->is_string()) {
    row.mValue = DecodeBase64(value->get_ref<std::string const&>());
  }
  return row;
}

std::vector<store_row> DecodeRows(base::json const& aDocument)
{
  std::vector<store_row> rows;
  auto const entries = aDocument.find("rows");
  if (entries == aDocument.end() || !entries->is_array()) {
    return rows;
  }
  for (auto const& entry : *entries) {
    if (auto row = DecodeRow(entry)) {
      rows.push_back(std::move(*row));
    }
  }
  return rows;
}

base::json RowName(std::string const& aTable, std::string const& aKey)
{
  return { { "table", aTable }, { "part", "" }, { "key", aKey } };
}

base::json EncodeTransaction(row_transaction const& aTransaction)
{
  base::json conditions = base::json::array();
  for (auto const& condition : aTransaction.mConditions) {
    conditions.push_back(RowName(condition.mTable, condition.mKey));
    conditions.back()["ver"] = condition.mVersion;
  }
  base::json puts = base::json::array();
  base::json removals = base::json::array();
  for (auto const& change : aTransaction.mChanges) {
    if (change.mValue) {
      puts.push_back(RowName(change.mTable, change.mKey));
      puts.back()["value"] = EncodeBase64(*change.mValue);
    } else {
      removals.push_back(RowName(change.mTable, change.mKey));
    }
  }
  return { { "expect_rev", std::move(conditions) },
           { "puts", std::move(puts) },
           { "remove", std::move(removals) } };
}

} // namespace

row_store::row_store(boost::asio::io_context& aContext, net::tcp::endpoint aEndpoint)
  : mClient{ aContext,
             { .mEndpoint = aEndpoint,
               .mMaximumConnections = kMaximumConnections,
               .mConnectTimeout = kConnectTimeout } }
{
}

awaitable<commit_result> row_store::Commit(row_transaction aTransaction,
                                           base::milliseconds aTimeout)
{
  auto request = net::JsonRequest("POST", "/api/rows-tx", EncodeTransaction(aTransaction));
  auto const sentAt = base::Now();
  auto const answer = co_await mClient.Send(std::move(request), aTimeout);
  if (!base::Succeeded(answer)) {
    auto const code = base::Error(answer).mCode;
    auto const isUnsent =
      code == base::result_code::connect_failed || code == base::result_code::queue_full;
    co_return commit_result{ isUnsent ? commit_outcome::refused : commit_outcome::unknown };
  }
  auto const& response = std::get<0>(answer);
  auto const document = base::json::parse(response.mBody, nullptr, false);
  RecordClock(document, sentAt);
  commit_result result;
  if (response.mStatus == 200) {
    result.mOutcome = commit_outcome::committed;
    result.mVersion = DecodeVersion(document).value_or(0);
  } else if (response.mStatus == 412) {
    result.mOutcome = commit_outcome::conflict;
    if (document.is_object()) {
      result.mCurrent = DecodeRows(document);
    }
  } else if (response.mStatus == 400 || response.mStatus == 413) {
    result.mOutcome = commit_outcome::rejected;
  } else {
    result.mOutcome = commit_outcome::refused;
  }
  co_return result;
}

void row_store::RecordClock(base::json const& aAnswer, base::time_point aSentAt)
{
  if (!aAnswer.is_object()) {
    return;
  }
  auto const now = aAnswer.find("now_ms");
  if (now != aAnswer.end() && now->is_number()) {
    mClock.RecordAnswer({ .mSentAt = aSentAt,
                          .mReceivedAt = base::Now(),
                          .mStoreMs = static_cast<std::int64_t>(now->get<double>()) });
  }
}

awaitable<read_result> row_store::Read(std::string aTarget, base::milliseconds aTimeout,
                                       bool& aHasMore)
{
  aHasMore = false;
  net::http_request request{ .mMethod = "GET", .mTarget = std::move(aTarget) };
  auto const sentAt = base::Now();
  auto const answer = co_await mClient.Send(std::move(request), aTimeout);
  read_result result;
  if (!base::Succeeded(answer)) {
    if (base::Error(answer).mCode == base::result_code::message_too_large) {
      result.mOutcome = read_outcome::too_large;
    }
    co_return result;
  }
  auto const& response = std::get<0>(answer);
  if (response.mStatus == 410) {
    result.mOutcome = read_outcome::history_lost;
    co_return result;
  }
  auto const document = base::json::parse(response.mBody, nullptr, false);
  RecordClock(document, sentAt);
  auto const version = DecodeVersion(document);
  if (response.mStatus != 200 || !version) {
    co_return result;
  }
  result.mOutcome = read_outcome::answered;
  result.mVersion = *version;
  result.mRows = DecodeRows(document);
  aHasMore = document.contains("has_more") && document["has_more"] == true;
  co_return result;
}

awaitable<read_result> row_store::ReadTable(std::string aTable, base::milliseconds aTimeout)
{
  read_result whole;
  std::string from;
  bool hasMore = true;
  while (hasMore) {
    auto const target = "/api/rows-get?table=" + net::PercentEncode(aTable) +
                        "&part=&limit=" + std::to_string(kPageRows) +
                        (from.empty() ? "" : "&from=" + net::PercentEncode(from));
    auto page = co_await Read(target, aTimeout, hasMore);
    if (page.mOutcome != read_outcome::answered) {
      co_return page;
    }
    if (whole.mOutcome != read_outcome::answered) {
      // Later pages may be newer. The version of the first page is returned, so a feed that
      // continues from it repeats the changes between the pages.
      whole.mVersion = page.mVersion;
      whole.mOutcome = read_outcome::answered;
    }
    if (page.mRows.empty()) {
      break;
    }
    // The smallest key after the last one.
    from = page.mRows.back().mKey + '\x01';
    std::move(page.mRows.begin(), page.mRows.end(), std::back_inserter(whole.mRows));
  }
  co_return whole;
}

awaitable<read_result> row_store::ReadRow(std::string aTable, std::string aKey,
                                          base::milliseconds aTimeout)
{
  bool hasMore = false;
  auto row = co_await Read("/api/rows-get?table=" + net::PercentEncode(aTable) +
                             "&part=&limit=1&from=" + net::PercentEncode(aKey),
                           aTimeout, hasMore);
  std::erase_if(row.mRows, [&](store_row const& aRow) { return aRow.mKey != aKey; });
  co_return row;
}

awaitable<read_result> row_store::Follow(std::string aTable, std::uint64_t aAfter,
                                         base::milliseconds aWait)
{
  auto const target = "/api/rows-feed?table=" + net::PercentEncode(aTable) +
                      "&after=" + std::to_string(aAfter) +
                      "&wait_ms=" + std::to_string(aWait.count());
  bool hasMore = false;
  co_return co_await Read(target, aWait + kAnswerTimeoutMargin, hasMore);
}

} // namespace rattanpond::platform
