#include "store.h"

#include <algorithm>

namespace review {

namespace {

constexpr char const* kDigits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

} // namespace

std::string EncodeBase64(std::string const& aText)
{
  std::string encoded;
  for (std::size_t index = 0; index < aText.size(); index += 3) {
    std::uint32_t bits = 0;
    for (std::size_t offset = 0; offset < 3; ++offset) {
      bits = bits << 8U;
      if (index + offset < aText.size()) {
        bits |= static_cast<unsigned char>(aText[index + offset]);
      }
    }
    for (int digit = 0; digit < 4; ++digit) {
      encoded += index + static_cast<std::size_t>(digit) <= aText.size()
                   ? kDigits[(bits >> (18U - 6U * static_cast<unsigned>(digit))) & 63U]
                   : '=';
    }
  }
  return encoded;
}

std::string DecodeBase64(std::string const& aText)
{
  std::string decoded;
  std::uint32_t bits = 0;
  int count = 0;
  std::string const digits = kDigits;
  for (auto const letter : aText) {
    auto const value = digits.find(letter);
    if (value == std::string::npos) {
      break;
    }
    bits = (bits << 6U) | static_cast<std::uint32_t>(value);
    count += 6;
    if (count >= 8) {
      count -= 8;
      decoded += static_cast<char>((bits >> static_cast<unsigned>(count)) & 255U);
    }
  }
  return decoded;
}

store::store(std::string const& aAddress, int aPort)
  : mServer{ std::make_unique<http_server>(
      aAddress, aPort, [this](http_request const& aRequest) { return Handle(aRequest); }) }
{
}

store::~store()
{
  {
    std::lock_guard const lock{ mMutex };
    mIsEnding = true;
  }
  mChanged.notify_all();
  mServer->Stop();
  mServer->AwaitHandlers();
}

std::uint64_t store::Put(std::string const& aTable, std::string const& aKey,
                         std::string const& aText)
{
  std::lock_guard const lock{ mMutex };
  ++mVersion;
  Apply({ aTable, aKey }, EncodeBase64(aText));
  mChanged.notify_all();
  return mVersion;
}

std::size_t store::Rejected()
{
  std::lock_guard const lock{ mMutex };
  return mRejected;
}

std::string store::LastRejection()
{
  std::lock_guard const lock{ mMutex };
  return mLastRejection;
}

void store::Apply(name const& aName, std::optional<std::string> aValue)
{
  mHistory.push_back({ mVersion, NowMs(), aName, aValue });
  if (aValue) {
    mRows[aName] = { std::move(*aValue), mVersion };
  } else {
    mRows.erase(aName);
  }
  while (!mHistory.empty() && mHistory.front().mAtMs + kHistoryMs < NowMs()) {
    mForgotten = mHistory.front().mVersion;
    mHistory.pop_front();
  }
}

json store::Entry(name const& aName, std::optional<std::string> const& aValue,
                  std::uint64_t aVersion)
{
  json entry{
    { "table", aName.first }, { "part", "" }, { "key", aName.second }, { "ver", aVersion }
  };
  if (aValue) {
    entry["value"] = *aValue;
  } else {
    entry["deleted"] = true;
  }
  return entry;
}

http_response store::Handle(http_request const& aRequest)
{
  auto const path = aRequest.Path();
  if (path == "/api/rows-tx") {
    SleepMs(kTransactionMs);
    return Transact(aRequest.mBody);
  }
  if (path == "/api/rows-get") {
    return Read(aRequest);
  }
  if (path == "/api/rows-feed") {
    return Feed(aRequest);
  }
  return { .mStatus = 404, .mBody = "{}" };
}

http_response store::Reject(std::string const& aReason)
{
  ++mRejected;
  mLastRejection = aReason;
  return { .mStatus = 400, .mBody = json{ { "error", aReason } }.dump() };
}

http_response store::Transact(std::string const& aBody)
{
  auto const body = json::parse(aBody, nullptr, false);
  std::lock_guard const lock{ mMutex };
  if (!body.is_object()) {
    return Reject("not an object");
  }
  auto const conditions = body.value("expect_rev", json::array());
  auto const puts = body.value("puts", json::array());
  auto const removals = body.value("remove", json::array());
  if (conditions.size() + puts.size() + removals.size() > kEntries) {
    return Reject("more than 100 entries");
  }
  if (aBody.size() > kCallBytes) {
    return Reject("call of " + std::to_string(aBody.size()) + " bytes");
  }
  for (auto const& put : puts) {
    auto const bytes = DecodeBase64(put.at("value").get<std::string>()).size();
    if (put.at("table") == "op" || put.at("table") == "servers") {
      return { .mStatus = 403, .mBody = "{}" };
    }
    if (bytes > kRowBytes) {
      return Reject("row " + put.at("key").get<std::string>() + " of " + std::to_string(bytes) +
                    " bytes");
    }
  }
  json current = json::array();
  bool areMet = true;
  for (auto const& condition : conditions) {
    name const rowName{ condition.at("table"), condition.at("key") };
    auto const found = mRows.find(rowName);
    auto const version = found == mRows.end() ? 0 : found->second.mVersion;
    areMet = areMet && version == condition.at("ver").get<std::uint64_t>();
    if (found != mRows.end()) {
      current.push_back(Entry(rowName, found->second.mValue, version));
    }
  }
  if (!areMet) {
    return { .mStatus = 412,
             .mBody =
               json{ { "rows", current }, { "ver", mVersion }, { "now_ms", NowMs() } }.dump() };
  }
  ++mVersion;
  for (auto const& put : puts) {
    Apply({ put.at("table"), put.at("key") }, put.at("value").get<std::string>());
  }
  for (auto const& removal : removals) {
    Apply({ removal.at("table"), removal.at("key") }, std::nullopt);
  }
  mChanged.notify_all();
  return { .mStatus = 200, .mBody = json{ { "ver", mVersion }, { "now_ms", NowMs() } }.dump() };
}

http_response store::Read(http_request const& aRequest)
{
  constexpr std::size_t kPageRows = 500;
  auto const table = aRequest.Query("table");
  auto const from = aRequest.Query("from");
  auto const limitText = aRequest.Query("limit");
  auto const limit = limitText.empty() ? kPageRows : std::min(kPageRows, std::stoul(limitText));
  std::lock_guard const lock{ mMutex };
  json rows = json::array();
  bool hasMore = false;
  std::size_t bytes = 0;
  for (auto const& [rowName, stored] : mRows) {
    if (rowName.first != table || rowName.second < from) {
      continue;
    }
    if (rows.size() == limit || bytes > kCallBytes) {
      hasMore = true;
      break;
    }
    bytes += stored.mValue.size();
    rows.push_back(Entry(rowName, stored.mValue, stored.mVersion));
  }
  return {
    .mStatus = 200,
    .mBody =
      json{ { "rows", rows }, { "has_more", hasMore }, { "ver", mVersion }, { "now_ms", NowMs() } }
        .dump()
  };
}

http_response store::Feed(http_request const& aRequest)
{
  auto const table = aRequest.Query("table");
  auto const after = std::stoull("0" + aRequest.Query("after"));
  auto const waitText = aRequest.Query("wait_ms");
  auto const deadline = std::chrono::steady_clock::now() +
                        std::chrono::milliseconds{ waitText.empty() ? 0 : std::stol(waitText) };
  std::unique_lock lock{ mMutex };
  while (true) {
    if (after < mForgotten) {
      return { .mStatus = 410, .mBody = "{}" };
    }
    json rows = json::array();
    for (auto const& change : mHistory) {
      if (change.mVersion > after && change.mName.first == table) {
        rows.push_back(Entry(change.mName, change.mValue, change.mVersion));
      }
    }
    if (!rows.empty() || mIsEnding || std::chrono::steady_clock::now() >= deadline) {
      return { .mStatus = 200,
               .mBody =
                 json{ { "rows", rows }, { "ver", mVersion }, { "now_ms", NowMs() } }.dump() };
    }
    mChanged.wait_until(lock, deadline);
  }
}

} // namespace review
