#pragma once

#include "net/http_router.h"
#include "net/http_server.h"

#include <algorithm>
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

  struct client_endpoint
  {
    behavior mBehavior = behavior::serves;
    /// Delay of the behaviors late and slow.
    base::milliseconds mDelay{ 0 };
    /// Polls of the dispatch table.
    std::size_t mDispatchPolls = 0;
    std::unique_ptr<net::http_server> mServer;
  };

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

  /// Clients that request older changes have to read the table again.
  void DiscardHistory()
  {
    mHistory.clear();
    mOldest = mVersion;
  }

  std::optional<std::string> Text(std::string const& aTable, std::string const& aKey) const
  {
    auto const found = mRows.find({ aTable, aKey });
    return found == mRows.end() ? std::nullopt : std::optional{ found->second.mText };
  }

  std::size_t Commits() const { return mCommits; }

private:
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
    if (aRequest.mTarget.starts_with("/api/rows-feed") &&
        aRequest.mTarget.find(dispatch::kDispatchTable) != std::string::npos) {
      ++aEndpoint.mDispatchPolls;
    }
    auto const behavior = aEndpoint.mBehavior;
    if (behavior == behavior::refuses) {
      co_return net::JsonResponse(503, base::json::object());
    }
    if (behavior == behavior::silent) {
      boost::asio::steady_timer timer{ mContext, std::chrono::seconds{ 30 } };
      boost::system::error_code ignored;
      co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
      co_return LostResponse();
    }
    if (behavior == behavior::late || behavior == behavior::slow) {
      boost::asio::steady_timer timer{ mContext, aEndpoint.mDelay };
      boost::system::error_code ignored;
      co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    }
    auto response = co_await mRouter.Handle(std::move(aRequest));
    if (behavior == behavior::loses_answers || behavior == behavior::late) {
      response.mTransfer = net::response_transfer::none;
    }
    co_return response;
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
                 co_return Transact(base::json::parse(aRequest.mRequest.mBody));
               });
    router.Add("GET", "/api/rows-get",
               [this](net::routed_request aRequest) -> boost::asio::awaitable<net::http_response> {
                 co_return ReadTable(aRequest.mQuery);
               });
    router.Add("GET", "/api/rows-feed",
               [this](net::routed_request aRequest) { return Feed(std::move(aRequest.mQuery)); });
    return router;
  }

  static name NameOf(base::json const& aEntry)
  {
    return { aEntry.at("table").get<std::string>(), aEntry.at("key").get<std::string>() };
  }

  net::http_response Transact(base::json const& aBody)
  {
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
      return net::JsonResponse(412, { { "rows", current }, { "ver", mVersion }, { "now_ms", 1 } });
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
    return net::JsonResponse(200, { { "ver", mVersion }, { "now_ms", 1 } });
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
      200, { { "rows", rows }, { "has_more", hasMore }, { "ver", mVersion }, { "now_ms", 1 } });
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
        base::json body{ { "ver", mVersion }, { "now_ms", 1 } };
        body["rows"] = std::move(rows);
        co_return net::JsonResponse(200, body);
      }
      // Polls in short steps in place of a wake-up for each waiting client.
      boost::asio::steady_timer timer{ mContext, std::chrono::milliseconds{ 4 } };
      boost::system::error_code ignored;
      co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    }
  }

  boost::asio::io_context& mContext;
  net::http_router mRouter = MakeRouter();
  std::vector<std::unique_ptr<client_endpoint>> mClientEndpoints;
  std::map<name, row> mRows;
  std::vector<change> mHistory;
  std::uint64_t mVersion = 0;
  std::uint64_t mOldest = 0;
  std::size_t mCommits = 0;
};

} // namespace rattanpond::platform
