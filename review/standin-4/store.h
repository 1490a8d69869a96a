#pragma once

#include "record.h"

#include <algorithm>
#include <condition_variable>
#include <list>
#include <memory>
#include <vector>

#include <nlohmann/json.hpp>

namespace review {

using json = nlohmann::json;

inline std::string Base64(std::string const& aText)
{
  static char const* const kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string encoded;
  for (std::size_t index = 0; index < aText.size(); index += 3) {
    std::uint32_t group = 0;
    auto const count = std::min<std::size_t>(3, aText.size() - index);
    for (std::size_t byte = 0; byte < 3; ++byte) {
      group = group << 8 | (byte < count ? static_cast<unsigned char>(aText[index + byte]) : 0U);
    }
    for (std::size_t digit = 0; digit < 4; ++digit) {
      encoded += digit <= count ? kDigits[group >> (18 - 6 * digit) & 63] : '=';
    }
  }
  return encoded;
}

/// What the store does with one transaction of a node.
enum class store_fault
{
  none,
  /// 503, nothing is done.
  refuse,
  /// Done, and the connection is closed without an answer.
  lose_answer,
  /// The connection is closed without an answer; done after mLateMs if the condition still holds.
  late
};

/// The platform's store as PROTOCOL.md describes it: rows, with an address of its own for each
/// node, so that faults can concern one node.
class store
{
public:
  struct client
  {
    std::string mNode;
    std::unique_ptr<server> mServer;
  };

  explicit store(std::string aIp)
    : mIp{ std::move(aIp) }
  {
  }

  /// Asked before each transaction of a node.
  std::function<store_fault(std::string const& aNode, json const& aTransaction)> mOnTransaction;
  /// Told after each transaction of a node that was done.
  std::function<void(std::string const& aNode, json const& aTransaction)> mOnDone;
  std::int64_t mLateMs = 2000;
  /// Time of one answer, and of one transaction.
  std::int64_t mAnswerMs = 1;
  std::int64_t mTransactionMs = 3;

  address AddNode(std::string const& aNode)
  {
    mClients.push_back({ aNode, nullptr });
    auto& added = mClients.back();
    added.mServer = std::make_unique<server>(
      mIp, [this, aNode](request const& aRequest) { return Handle(aNode, aRequest); });
    return added.mServer->Address();
  }

  /// A write of the operator.
  void Put(std::string const& aTable, std::string const& aKey, std::string const& aText)
  {
    std::lock_guard const lock{ mMutex };
    ++mVersion;
    Apply({ aTable, "", aKey }, Base64(aText));
    mChanged.notify_all();
  }

  void Remove(std::string const& aTable, std::string const& aKey)
  {
    std::lock_guard const lock{ mMutex };
    ++mVersion;
    Apply({ aTable, "", aKey }, std::nullopt);
    mChanged.notify_all();
  }

  bool Has(std::string const& aTable, std::string const& aKey)
  {
    std::lock_guard const lock{ mMutex };
    return mRows.contains({ aTable, "", aKey });
  }

  std::size_t Count(std::string const& aTable, std::string const& aPrefix)
  {
    std::lock_guard const lock{ mMutex };
    std::size_t count = 0;
    for (auto const& entry : mRows) {
      count += std::get<0>(entry.first) == aTable && std::get<2>(entry.first).starts_with(aPrefix);
    }
    return count;
  }

private:
  using row_name = std::tuple<std::string, std::string, std::string>;

  struct row
  {
    /// Nothing if the row was removed.
    std::optional<std::string> mValue;
    std::uint64_t mVersion = 0;
  };

  static std::int64_t ClockMs() { return NowMs() + 5'000'000; }

  static row_name NameOf(json const& aEntry)
  {
    return { aEntry.at("table").get<std::string>(), aEntry.value("part", std::string{}),
             aEntry.at("key").get<std::string>() };
  }

  static json Entry(row_name const& aName, row const& aRow)
  {
    json entry{ { "table", std::get<0>(aName) },
                { "part", std::get<1>(aName) },
                { "key", std::get<2>(aName) },
                { "ver", aRow.mVersion } };
    if (aRow.mValue) {
      entry["value"] = *aRow.mValue;
    } else {
      entry["deleted"] = true;
    }
    return entry;
  }

  void Apply(row_name const& aName, std::optional<std::string> aValue)
  {
    row const changed{ std::move(aValue), mVersion };
    if (changed.mValue) {
      mRows[aName] = changed;
    } else {
      mRows.erase(aName);
    }
    mHistory.emplace_back(aName, changed);
  }

  static std::map<std::string, std::string> Query(std::string const& aTarget)
  {
    std::map<std::string, std::string> query;
    auto position = aTarget.find('?');
    while (position != std::string::npos && position < aTarget.size()) {
      auto const end = std::min(aTarget.find('&', position + 1), aTarget.size());
      auto const item = aTarget.substr(position + 1, end - position - 1);
      auto const equals = item.find('=');
      std::string value;
      for (auto index = equals + 1; index < item.size(); ++index) {
        if (item[index] == '%') {
          value += static_cast<char>(std::stoi(item.substr(index + 1, 2), nullptr, 16));
          index += 2;
        } else {
          value += item[index];
        }
      }
      query[item.substr(0, equals)] = value;
      position = end;
    }
    return query;
  }

  std::optional<response> Handle(std::string const& aNode, request const& aRequest)
  {
    SleepMs(mAnswerMs);
    auto const path = aRequest.mTarget.substr(0, aRequest.mTarget.find('?'));
    if (path == "/api/rows-tx") {
      return Transaction(aNode, json::parse(aRequest.mBody));
    }
    if (path == "/api/rows-get") {
      return Get(Query(aRequest.mTarget));
    }
    if (path == "/api/rows-feed") {
      return Feed(Query(aRequest.mTarget));
    }
    return response{ 404, "{}" };
  }

  std::optional<response> Transaction(std::string const& aNode, json const& aTransaction)
  {
    auto const fault = mOnTransaction ? mOnTransaction(aNode, aTransaction) : store_fault::none;
    if (fault == store_fault::refuse) {
      return response{ 503, "{}" };
    }
    if (fault == store_fault::late) {
      std::thread{
        [this, aNode, aTransaction] {
          SleepMs(mLateMs);
          Perform(aNode, aTransaction);
        }
      }.detach();
      return std::nullopt;
    }
    auto const answer = Perform(aNode, aTransaction);
    return fault == store_fault::lose_answer ? std::nullopt : std::optional{ answer };
  }

  response Perform(std::string const& aNode, json const& aTransaction)
  {
    response answer;
    {
      // A part handles one transaction after the other.
      std::lock_guard const order{ mTransactionMutex };
      SleepMs(mTransactionMs);
      std::lock_guard const lock{ mMutex };
      answer = PerformLocked(aTransaction);
    }
    if (answer.mStatus == 200 && mOnDone) {
      mOnDone(aNode, aTransaction);
    }
    return answer;
  }

  response PerformLocked(json const& aTransaction)
  {
    auto const none = json::array();
    auto const conditions = aTransaction.value("expect_rev", none);
    auto const puts = aTransaction.value("puts", none);
    auto const removals = aTransaction.value("remove", none);
    for (auto const& list : { puts, removals }) {
      for (auto const& entry : list) {
        auto const table = std::get<0>(NameOf(entry));
        if (table == "op" || table == "servers") {
          return { 403, "{}" };
        }
      }
    }
    if (conditions.size() + puts.size() + removals.size() > 100) {
      return { 400, "{}" };
    }
    auto current = json::array();
    bool isMet = true;
    for (auto const& condition : conditions) {
      auto const name = NameOf(condition);
      auto const found = mRows.find(name);
      auto const version = found == mRows.end() ? 0 : found->second.mVersion;
      isMet = isMet && version == condition.at("ver").get<std::uint64_t>();
      if (found != mRows.end()) {
        current.push_back(Entry(name, found->second));
      }
    }
    if (!isMet) {
      return { 412,
               json{ { "rows", current }, { "ver", mVersion }, { "now_ms", ClockMs() } }.dump() };
    }
    ++mVersion;
    for (auto const& put : puts) {
      Apply(NameOf(put), put.at("value").get<std::string>());
    }
    for (auto const& removal : removals) {
      Apply(NameOf(removal), std::nullopt);
    }
    mChanged.notify_all();
    return { 200, json{ { "ver", mVersion }, { "now_ms", ClockMs() } }.dump() };
  }

  response Get(std::map<std::string, std::string> aQuery)
  {
    std::lock_guard const lock{ mMutex };
    auto const limit = aQuery.contains("limit") ? std::stoul(aQuery["limit"]) : 500UL;
    auto rows = json::array();
    bool hasMore = false;
    for (auto const& [name, stored] : mRows) {
      auto const& [table, part, key] = name;
      if (table != aQuery["table"] || part != aQuery["part"] || key < aQuery["from"] ||
          (aQuery.contains("target") && key >= aQuery["target"])) {
        continue;
      }
      if (rows.size() == std::min(limit, 500UL)) {
        hasMore = true;
        break;
      }
      rows.push_back(Entry(name, stored));
    }
    return { 200, json{ { "rows", rows },
                        { "has_more", hasMore },
                        { "ver", mVersion },
                        { "now_ms", ClockMs() } }
                    .dump() };
  }

  response Feed(std::map<std::string, std::string> aQuery)
  {
    auto const after = std::stoull(aQuery["after"]);
    auto const until = steady::now() + milliseconds{ std::stoll(aQuery["wait_ms"]) };
    std::unique_lock lock{ mMutex };
    while (true) {
      auto rows = json::array();
      for (auto entry = mHistory.rbegin(); entry != mHistory.rend(); ++entry) {
        if (entry->second.mVersion <= after) {
          break;
        }
        if (std::get<0>(entry->first) == aQuery["table"]) {
          rows.push_back(Entry(entry->first, entry->second));
        }
      }
      if (!rows.empty() || steady::now() >= until) {
        std::reverse(rows.begin(), rows.end());
        return { 200,
                 json{ { "rows", rows }, { "ver", mVersion }, { "now_ms", ClockMs() } }.dump() };
      }
      mChanged.wait_until(lock, until);
    }
  }

  std::string mIp;
  std::list<client> mClients;
  std::mutex mTransactionMutex;
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::uint64_t mVersion = 100;
  std::map<row_name, row> mRows;
  std::vector<std::pair<row_name, row>> mHistory;
};

} // namespace review
