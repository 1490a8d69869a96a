#pragma once

#include "net/http_router.h"
#include "net/http_server.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/detail/base64.hpp>

namespace rattanpond::platform {

/// In-memory version of the platform's store, with a separate endpoint for each client, so that it
/// can refuse one client and serve the others.
class fake_row_store
{
public:
  enum class behavior
  {
    serves,
    /// Answers 503 at once.
    refuses,
    /// Accepts the call, has no effect and does not answer.
    silent,
    /// Carries out the call and loses the answer.
    loses_answers,
    /// Carries out transactions after mDelay and loses all answers.
    late,
    /// Carries out the call after mDelay.
    slow
  };

  /// What happens to one transaction of a client.
  enum class transaction_fault
  {
    none,
    /// The transaction waits, and is carried out later even if the client has given up.
    held,
    /// Answers 503 at once.
    refused,
    /// Answers 400, as it does to a call that exceeds its limits.
    rejected,
    /// Carries out the transaction and closes the connection without an answer.
    answer_lost
  };

  struct client_transaction
  {
    /// Counts the client's transactions from 1; a repetition has a number of its own.
    std::size_t mNumber = 0;
    base::json mBody;

    /// Whether the transaction writes a row whose key begins with the prefix.
    bool Writes(std::string const& aPrefix) const
    {
      return std::ranges::any_of(mBody["puts"], [&](base::json const& aPut) {
        return aPut["key"].get_ref<std::string const&>().starts_with(aPrefix);
      });
    }
  };

  struct client_endpoint
  {
    behavior mBehavior = behavior::serves;
    std::size_t mTransactions = 0;
    /// Asked about each transaction, again and again while it is held.
    std::function<transaction_fault(client_transaction const&)> mOnTransaction;
    /// Time that a transaction takes.
    std::chrono::milliseconds mTransactionTime{ 0 };
    /// Transactions whose conditions did not hold.
    std::size_t mConflicts = 0;
    /// Answers about changes of the dispatch table are on their way for as long as this is set.
    bool mDelaysDispatchAnswers = false;
    /// Delayed answers that contain rows.
    std::size_t mDelayedAnswers = 0;
    /// Answers to polls of the operators' table are on their way for as long as this is set.
    bool mDelaysOperatorAnswers = false;
    /// Reads of whole tables come from the copy of the rows that KeepCopy has taken.
    bool mReadsCopy = false;
    /// Reads of whole tables, each page by itself.
    std::size_t mTableReads = 0;
    /// Delay of the behaviors late and slow.
    base::milliseconds mDelay{ 0 };
    /// Polls of the dispatch table.
    std::size_t mDispatchPolls = 0;
    std::unique_ptr<net::http_server> mServer;
  };

  /// Largest value of a row; a larger one is rejected, and so is a call over the limits below.
  std::size_t mMaximumRowBytes = 65'536;
  static constexpr std::size_t kMaximumEntries = 100;
  static constexpr std::size_t kMaximumCallBytes = 1'000'000;
  /// Calls that were rejected.
  std::size_t mRejectedCalls = 0;

  explicit fake_row_store(boost::asio::io_context& aContext)
    : mContext{ aContext }
  {
  }

  client_endpoint& AddEndpoint()
  {
    mClientEndpoints.push_back(std::make_unique<client_endpoint>());
    auto* const opened = mClientEndpoints.back().get();
    auto created = base::Capture([&] {
      return net::http_server::Create(mContext,
                                      { .mEndpoint = { boost::asio::ip::address_v4::loopback(), 0 },
                                        .mHandler = [this, opened](net::http_request aRequest) {
                                          return Handle(*opened, std::move(aRequest));
                                        } });
    });
    opened->mServer = std::move(std::get<0>(created));
    return *opened;
  }

  /// Writes a row in place of an operator.
  void Put(std::string const& aTable, std::string const& aKey, std::string const& aText)
  {
    Write(aTable, aKey, aText);
  }
  void Remove(std::string const& aTable, std::string const& aKey)
  {
    Write(aTable, aKey, std::nullopt);
  }

  /// Removes all rows whose keys begin with a prefix.
  void RemoveAll(std::string const& aTable, std::string const& aPrefix)
  {
    std::vector<std::string> keys;
    for (auto const& [rowName, stored] : mRows) {
      if (rowName.first == aTable && rowName.second.starts_with(aPrefix)) {
        keys.push_back(rowName.second);
      }
    }
    for (auto const& key : keys) {
      Remove(aTable, key);
    }
  }

  /// Keys of a table that begin with a prefix.
  std::vector<std::string> Keys(std::string const& aTable, std::string const& aPrefix) const
  {
    std::vector<std::string> keys;
    for (auto const& entry : mRows) {
      if (entry.first.first == aTable && entry.first.second.starts_with(aPrefix)) {
        keys.push_back(entry.first.second);
      }
    }
    return keys;
  }

  /// Clients that request older changes have to read the table again.
  void DiscardHistory()
  {
    mHistory.clear();
    mOldest = mVersion;
  }

  /// Takes the copy from which clients read that lag behind.
  void KeepCopy()
  {
    mCopiedRows = mRows;
    mCopiedVersion = mVersion;
  }

  std::optional<std::string> Text(std::string const& aTable, std::string const& aKey) const
  {
    auto const found = mRows.find({ aTable, aKey });
    return found == mRows.end() ? std::nullopt : std::optional{ found->second.mText };
  }

  std::size_t Commits() const { return mCommits; }

private:
  /// Polls in short steps take the place of a wake-up for each waiting client.
  static constexpr std::chrono::milliseconds kStep{ 4 };

  using name = std::pair<std::string, std::string>;

  struct row
  {
    std::string mText;
    std::uint64_t mVersion = 0;
  };

  struct change
  {
    std::uint64_t mVersion = 0;
    name mName;
    std::optional<std::string> mText;
  };

  void Write(std::string const& aTable, std::string const& aKey, std::optional<std::string> aText)
  {
    ++mVersion;
    Apply({ aTable, aKey }, std::move(aText));
  }

  void Apply(name aName, std::optional<std::string> aText)
  {
    mHistory.push_back({ mVersion, aName, aText });
    if (aText) {
      mRows[aName] = { std::move(*aText), mVersion };
    } else {
      mRows.erase(aName);
    }
  }

  static base::json Entry(name const& aName, std::optional<std::string> const& aText,
                          std::uint64_t aVersion)
  {
    namespace base64 = boost::beast::detail::base64;
    base::json entry{
      { "table", aName.first }, { "part", "" }, { "key", aName.second }, { "ver", aVersion }
    };
    if (aText) {
      std::string encoded(base64::encoded_size(aText->size()), '\0');
      encoded.resize(base64::encode(encoded.data(), aText->data(), aText->size()));
      entry["value"] = encoded;
    } else {
      entry["deleted"] = true;
    }
    return entry;
  }

  boost::asio::awaitable<net::http_response> Handle(client_endpoint& aEndpoint,
                                                    net::http_request aRequest)
  {
    auto const isDispatchPoll =
      aRequest.mTarget.starts_with("/api/rows-feed") &&
      aRequest.mTarget.find(dispatch::kDispatchTable) != std::string::npos;
    if (isDispatchPoll) {
      ++aEndpoint.mDispatchPolls;
    }
    auto const behavior = aEndpoint.mBehavior;
    if (behavior == behavior::refuses) {
      co_return net::JsonResponse(503, base::json::object());
    }
    if (behavior == behavior::silent) {
      co_await Wait(std::chrono::seconds{ 30 });
      co_return LostResponse();
    }
    auto fault = transaction_fault::none;
    auto const isTransaction = aRequest.mTarget.starts_with("/api/rows-tx");
    if (isTransaction && aEndpoint.mTransactionTime.count() > 0) {
      co_await Wait(aEndpoint.mTransactionTime);
    }
    if (isTransaction && aEndpoint.mOnTransaction) {
      client_transaction const transaction{ .mNumber = ++aEndpoint.mTransactions,
                                            .mBody = base::json::parse(aRequest.mBody) };
      fault = aEndpoint.mOnTransaction(transaction);
      while (fault == transaction_fault::held) {
        co_await Wait(kStep);
        fault = aEndpoint.mOnTransaction(transaction);
      }
    }
    if (fault == transaction_fault::refused) {
      co_return net::JsonResponse(503, base::json::object());
    }
    if (fault == transaction_fault::rejected) {
      ++mRejectedCalls;
      co_return net::JsonResponse(400, base::json::object());
    }
    if (behavior == behavior::late || behavior == behavior::slow) {
      co_await Wait(aEndpoint.mDelay);
    }
    auto const isTableRead = aRequest.mTarget.starts_with("/api/rows-get");
    aEndpoint.mTableReads += isTableRead ? 1 : 0;
    auto const isOperatorPoll = aRequest.mTarget.starts_with("/api/rows-feed") && !isDispatchPoll;
    auto const readsCopy = isTableRead && aEndpoint.mReadsCopy;
    if (readsCopy) {
      std::swap(mRows, mCopiedRows);
      std::swap(mVersion, mCopiedVersion);
    }
    auto response = co_await mRouter.Handle(std::move(aRequest));
    if (readsCopy) {
      std::swap(mRows, mCopiedRows);
      std::swap(mVersion, mCopiedVersion);
    }
    while (isOperatorPoll && aEndpoint.mDelaysOperatorAnswers) {
      co_await Wait(kStep);
    }
    aEndpoint.mConflicts += response.mStatus == 412 ? 1 : 0;
    if (isDispatchPoll && aEndpoint.mDelaysDispatchAnswers &&
        !base::json::parse(response.mBody)["rows"].empty()) {
      ++aEndpoint.mDelayedAnswers;
      while (aEndpoint.mDelaysDispatchAnswers) {
        co_await Wait(kStep);
      }
    }
    if (behavior == behavior::loses_answers || behavior == behavior::late ||
        fault == transaction_fault::answer_lost) {
      response.mTransfer = net::response_transfer::none;
    }
    co_return response;
  }

  boost::asio::awaitable<void> Wait(std::chrono::milliseconds aTime)
  {
    boost::asio::steady_timer timer{ mContext, aTime };
    boost::system::error_code ignored;
    co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
  }

  static net::http_response LostResponse()
  {
    net::http_response response;
    response.mTransfer = net::response_transfer::none;
    return response;
  }

  net::http_router MakeRouter()
  {
    net::http_router router;
    router.Add("POST", "/api/rows-tx",
               [this](net::routed_request aRequest) -> boost::asio::awaitable<net::http_response> {
                 co_return Transact(base::json::parse(aRequest.mRequest.mBody),
                                    aRequest.mRequest.mBody.size());
               });
    router.Add("GET", "/api/rows-get",
               [this](net::routed_request aRequest) -> boost::asio::awaitable<net::http_response> {
                 co_return ReadTable(aRequest.mQuery);
               });
    router.Add("GET", "/api/rows-feed",
               [this](net::routed_request aRequest) { return Feed(std::move(aRequest.mQuery)); });
    return router;
  }

  /// The store's steady clock began at another time than that of the clients.
  static std::int64_t ClockMs() { return base::Now().time_since_epoch().count() + 7'000'000; }

  static name NameOf(base::json const& aEntry)
  {
    return { aEntry.at("table").get<std::string>(), aEntry.at("key").get<std::string>() };
  }

  /// Whether a call exceeds a limit of the store.
  bool IsTooLarge(base::json const& aBody, std::size_t aBytes)
  {
    auto const entries = aBody["expect_rev"].size() + aBody["puts"].size() + aBody["remove"].size();
    auto const hasLargeRow = std::ranges::any_of(aBody["puts"], [&](base::json const& aPut) {
      constexpr std::size_t kPadding = 2;
      auto const bytes = aPut["value"].get_ref<std::string const&>().size() / 4 * 3;
      return bytes > mMaximumRowBytes + kPadding;
    });
    return hasLargeRow || entries > kMaximumEntries || aBytes > kMaximumCallBytes;
  }

  net::http_response Transact(base::json const& aBody, std::size_t aBytes)
  {
    if (IsTooLarge(aBody, aBytes)) {
      ++mRejectedCalls;
      return net::JsonResponse(400, base::json::object());
    }
    base::json current = base::json::array();
    bool areConditionsMet = true;
    for (auto const& condition : aBody["expect_rev"]) {
      auto const rowName = NameOf(condition);
      auto const found = mRows.find(rowName);
      auto const version = found == mRows.end() ? 0 : found->second.mVersion;
      areConditionsMet = areConditionsMet && version == condition["ver"].get<std::uint64_t>();
      if (found != mRows.end()) {
        current.push_back(Entry(rowName, found->second.mText, version));
      }
    }
    if (!areConditionsMet) {
      return net::JsonResponse(
        412, { { "rows", current }, { "ver", mVersion }, { "now_ms", ClockMs() } });
    }
    namespace base64 = boost::beast::detail::base64;
    ++mVersion;
    ++mCommits;
    for (auto const& put : aBody["puts"]) {
      auto const encoded = put["value"].get<std::string>();
      std::string text(base64::decoded_size(encoded.size()), '\0');
      text.resize(base64::decode(text.data(), encoded.data(), encoded.size()).first);
      Apply(NameOf(put), text);
    }
    for (auto const& removal : aBody["remove"]) {
      Apply(NameOf(removal), std::nullopt);
    }
    return net::JsonResponse(200, { { "ver", mVersion }, { "now_ms", ClockMs() } });
  }

  net::http_response ReadTable(std::map<std::string, std::string> const& aQuery)
  {
    constexpr std::size_t kPage = 5;
    auto const from = aQuery.find("from");
    base::json rows = base::json::array();
    bool hasMore = false;
    for (auto const& [rowName, stored] : mRows) {
      if (rowName.first != aQuery.at("table") ||
          (from != aQuery.end() && rowName.second < from->second)) {
        continue;
      }
      if (rows.size() == kPage) {
        hasMore = true;
        break;
      }
      rows.push_back(Entry(rowName, stored.mText, stored.mVersion));
    }
    return net::JsonResponse(
      200,
      { { "rows", rows }, { "has_more", hasMore }, { "ver", mVersion }, { "now_ms", ClockMs() } });
  }

  boost::asio::awaitable<net::http_response> Feed(std::map<std::string, std::string> aQuery)
  {
    auto const after = std::stoull(aQuery.at("after"));
    auto const deadline = std::chrono::steady_clock::now() +
                          std::chrono::milliseconds{ std::stoi(aQuery.at("wait_ms")) };
    while (true) {
      if (after < mOldest) {
        co_return net::JsonResponse(410, base::json::object());
      }
      base::json rows = base::json::array();
      for (auto const& change : mHistory) {
        if (change.mVersion > after && change.mName.first == aQuery.at("table")) {
          rows.push_back(Entry(change.mName, change.mText, change.mVersion));
        }
      }
      if (!rows.empty() || std::chrono::steady_clock::now() >= deadline) {
        base::json body{ { "ver", mVersion }, { "now_ms", ClockMs() } };
        body["rows"] = std::move(rows);
        co_return net::JsonResponse(200, body);
      }
      co_await Wait(kStep);
    }
  }

  boost::asio::io_context& mContext;
  net::http_router mRouter = MakeRouter();
  std::vector<std::unique_ptr<client_endpoint>> mClientEndpoints;
  std::map<name, row> mRows;
  std::map<name, row> mCopiedRows;
  std::uint64_t mCopiedVersion = 0;
  std::vector<change> mHistory;
  std::uint64_t mVersion = 0;
  std::uint64_t mOldest = 0;
  std::size_t mCommits = 0;
};

} // namespace rattanpond::platform
