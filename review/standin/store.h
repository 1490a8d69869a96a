#pragma once

#include "http.h"

#include <condition_variable>
#include <deque>
#include <optional>

#include <nlohmann/json.hpp>

namespace review {

using json = nlohmann::json;

std::string EncodeBase64(std::string const& aText);
std::string DecodeBase64(std::string const& aText);

/// The platform's metadata store: rows, transactions under conditions and the feed, with the limits
/// that the pages and the settings state.
class store
{
public:
  store(std::string const& aAddress, int aPort);
  ~store();

  store(store const&) = delete;
  store& operator=(store const&) = delete;

  /// Writes a row in place of the operator. Returns its version.
  std::uint64_t Put(std::string const& aTable, std::string const& aKey, std::string const& aText);

  /// Calls that exceeded a stated limit and were answered with 400.
  std::size_t Rejected();
  std::string LastRejection();

private:
  static constexpr std::size_t kRowBytes = 65536;
  static constexpr std::size_t kEntries = 100;
  static constexpr std::size_t kCallBytes = 1'000'000;
  static constexpr std::int64_t kTransactionMs = 3;
  static constexpr std::int64_t kHistoryMs = 20'000;

  using name = std::pair<std::string, std::string>;

  struct row
  {
    std::string mValue;
    std::uint64_t mVersion = 0;
  };

  struct change
  {
    std::uint64_t mVersion = 0;
    std::int64_t mAtMs = 0;
    name mName;
    std::optional<std::string> mValue;
  };

  http_response Handle(http_request const& aRequest);
  http_response Transact(std::string const& aBody);
  http_response Read(http_request const& aRequest);
  http_response Feed(http_request const& aRequest);
  http_response Reject(std::string const& aReason);
  void Apply(name const& aName, std::optional<std::string> aValue);
  static json Entry(name const& aName, std::optional<std::string> const& aValue,
                    std::uint64_t aVersion);

  std::mutex mMutex;
  bool mIsEnding = false;
  std::condition_variable mChanged;
  std::map<name, row> mRows;
  std::deque<change> mHistory;
  std::uint64_t mVersion = 0;
  std::uint64_t mForgotten = 0;
  std::size_t mRejected = 0;
  std::string mLastRejection;
  std::unique_ptr<http_server> mServer;
};

} // namespace review
