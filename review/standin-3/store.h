#pragma once

#include "http.h"

#include <condition_variable>
#include <mutex>
#include <vector>

#include <nlohmann/json.hpp>

namespace standin {

using json = nlohmann::json;

/// The platform's metadata store: rows in tables, transactions under conditions, and a feed.
class store
{
public:
  explicit store(address aAddress)
    : mServer{ std::move(aAddress), [this](request const& aCall) { return Handle(aCall); } }
  {
  }

  bool Start() { return mServer.Start(); }

  /// Writes a row as the operator does. The return is the acknowledgement.
  void Put(std::string const& aTable, std::string const& aKey, std::string const& aText)
  {
    std::lock_guard const lock{ mMutex };
    ++mVersion;
    mRows[{ aTable, aKey }] = { .mValue = Base64(aText), .mVersion = mVersion };
    mChanged.notify_all();
  }

  /// Returns the text of a row, or an empty one.
  std::string Get(std::string const& aTable, std::string const& aKey)
  {
    std::lock_guard const lock{ mMutex };
    auto const found = mRows.find({ aTable, aKey });
    return found == mRows.end() || found->second.mIsDeleted ? std::string{}
                                                            : Plain(found->second.mValue);
  }

private:
  struct row
  {
    std::string mValue;
    std::uint64_t mVersion = 0;
    bool mIsDeleted = false;
  };

  using name = std::pair<std::string, std::string>;

  static constexpr char const* kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

  static std::string Base64(std::string const& aText)
  {
    std::string encoded;
    std::uint32_t bits = 0;
    int count = 0;
    for (auto const character : aText) {
      bits = (bits << 8U) | static_cast<unsigned char>(character);
      count += 8;
      while (count >= 6) {
        count -= 6;
        encoded += kDigits[(bits >> static_cast<unsigned>(count)) & 63U];
      }
    }
    if (count > 0) {
      encoded += kDigits[(bits << static_cast<unsigned>(6 - count)) & 63U];
    }
    while (encoded.size() % 4 != 0) {
      encoded += '=';
    }
    return encoded;
  }

  static std::string Plain(std::string const& aText)
  {
    std::string decoded;
    std::uint32_t bits = 0;
    int count = 0;
    for (auto const character : aText) {
      auto const* const digit = std::strchr(kDigits, character);
      if (character == '=' || digit == nullptr) {
        break;
      }
      bits = (bits << 6U) | static_cast<std::uint32_t>(digit - kDigits);
      count += 6;
      if (count >= 8) {
        count -= 8;
        decoded += static_cast<char>((bits >> static_cast<unsigned>(count)) & 255U);
      }
    }
    return decoded;
  }

  static std::string Decode(std::string const& aText)
  {
    std::string decoded;
    for (std::size_t index = 0; index < aText.size(); ++index) {
      if (aText[index] == '%') {
        decoded += static_cast<char>(std::stoi(aText.substr(index + 1, 2), nullptr, 16));
        index += 2;
      } else {
        decoded += aText[index];
      }
    }
    return decoded;
  }

  static std::map<std::string, std::string> Query(std::string const& aTarget)
  {
    std::map<std::string, std::string> values;
    auto position = aTarget.find('?');
    while (position != std::string::npos) {
      auto const end = aTarget.find('&', position + 1);
      auto const part = aTarget.substr(position + 1, end - position - 1);
      auto const equals = part.find('=');
      values[part.substr(0, equals)] =
        equals == std::string::npos ? std::string{} : Decode(part.substr(equals + 1));
      position = end;
    }
    return values;
  }

  json Entry(name const& aName, row const& aRow) const
  {
    json entry{
      { "table", aName.first }, { "part", "" }, { "key", aName.second }, { "ver", aRow.mVersion }
    };
    if (aRow.mIsDeleted) {
      entry["deleted"] = true;
    } else {
      entry["value"] = aRow.mValue;
    }
    return entry;
  }

  response Answer(int aStatus, json aBody) const
  {
    aBody["ver"] = mVersion;
    aBody["now_ms"] = NowMs();
    return { .mStatus = aStatus, .mBody = aBody.dump() };
  }

  std::optional<response> Handle(request const& aCall)
  {
    auto const path = aCall.mTarget.substr(0, aCall.mTarget.find('?'));
    auto query = Query(aCall.mTarget);
    // An answer of the users' store takes 4 ms.
    SleepMs(3);
    if (path == "/api/rows-tx") {
      return Transact(json::parse(aCall.mBody));
    }
    if (path == "/api/rows-get") {
      return Read(query);
    }
    if (path == "/api/rows-feed") {
      return Feed(query);
    }
    return response{ .mStatus = 404, .mBody = "{}" };
  }

  static name NameOf(json const& aEntry)
  {
    return { aEntry.at("table").get<std::string>(), aEntry.at("key").get<std::string>() };
  }

  response Transact(json const& aBody)
  {
    constexpr std::size_t kRowBytes = 65'536;
    std::lock_guard const lock{ mMutex };
    bool holds = true;
    json current = json::array();
    for (auto const& condition : aBody.at("expect_rev")) {
      auto const found = mRows.find(NameOf(condition));
      auto const exists = found != mRows.end() && !found->second.mIsDeleted;
      auto const version = exists ? found->second.mVersion : 0;
      holds = holds && version == condition.at("ver").get<std::uint64_t>();
      if (exists) {
        current.push_back(Entry(found->first, found->second));
      }
    }
    if (!holds) {
      return Answer(412, { { "rows", current } });
    }
    for (auto const& put : aBody.at("puts")) {
      if (Plain(put.at("value").get<std::string>()).size() > kRowBytes) {
        return Answer(400, json::object());
      }
    }
    ++mVersion;
    for (auto const& put : aBody.at("puts")) {
      mRows[NameOf(put)] = { .mValue = put.at("value").get<std::string>(), .mVersion = mVersion };
    }
    for (auto const& removed : aBody.at("remove")) {
      if (auto const found = mRows.find(NameOf(removed)); found != mRows.end()) {
        found->second = { .mValue = {}, .mVersion = mVersion, .mIsDeleted = true };
      }
    }
    mChanged.notify_all();
    return Answer(200, json::object());
  }

  response Read(std::map<std::string, std::string>& aQuery)
  {
    std::lock_guard const lock{ mMutex };
    auto const limit = aQuery["limit"].empty() ? 500U : std::stoul(aQuery["limit"]);
    json rows = json::array();
    bool hasMore = false;
    for (auto const& [key, value] : mRows) {
      if (key.first != aQuery["table"] || key.second < aQuery["from"] || value.mIsDeleted) {
        continue;
      }
      if (rows.size() == limit) {
        hasMore = true;
        break;
      }
      rows.push_back(Entry(key, value));
    }
    return Answer(200, { { "rows", rows }, { "has_more", hasMore } });
  }

  response Feed(std::map<std::string, std::string>& aQuery)
  {
    std::unique_lock lock{ mMutex };
    auto const after = std::stoull(aQuery["after"]);
    auto const deadline =
      steady::now() + std::chrono::milliseconds{ std::stoll(aQuery["wait_ms"]) };
    while (true) {
      std::map<std::uint64_t, std::vector<json>> changed;
      for (auto const& [key, value] : mRows) {
        if (key.first == aQuery["table"] && value.mVersion > after) {
          changed[value.mVersion].push_back(Entry(key, value));
        }
      }
      if (!changed.empty() || steady::now() >= deadline) {
        json rows = json::array();
        for (auto const& [version, entries] : changed) {
          for (auto const& entry : entries) {
            rows.push_back(entry);
          }
        }
        return Answer(200, { { "rows", rows } });
      }
      mChanged.wait_until(lock, deadline);
    }
  }

  server mServer;
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::uint64_t mVersion = 0;
  std::map<name, row> mRows;
};

} // namespace standin
