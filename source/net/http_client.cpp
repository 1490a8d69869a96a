#include "net/http_client.h"

#include <vector>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace rattanpond::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using base::error;
using base::reply;
using base::result_code;

namespace {

struct connection
{
  explicit connection(asio::io_context& aContext)
    : mStream{ aContext }
  {
  }

  beast::tcp_stream mStream;
  beast::flat_buffer mBuffer;
};

using connection_ptr = std::unique_ptr<connection>;
using body_consumer = http_client::body_consumer;

/// Bytes of a streamed body that are passed on at a time.
constexpr std::size_t kPieceBytes = 64 * 1024;

/// Returns whether the server has closed an idle connection, or has sent unsolicited bytes on it.
bool IsStale(connection& aConnection)
{
  char byte = 0;
  boost::system::error_code failure;
  auto& socket = aConnection.mStream.socket();
  socket.non_blocking(true, failure);
  socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, failure);
  return failure != asio::error::would_block;
}

error TransferError(boost::system::error_code aFailure)
{
  if (aFailure == beast::error::timeout) {
    return { result_code::timed_out, "the server did not respond before the deadline" };
  }
  if (aFailure == http::error::body_limit) {
    return { result_code::message_too_large, "the response exceeds the size limit" };
  }
  return { result_code::link_closed, "the connection failed: " + aFailure.message() };
}

http::request<http::string_body> ToBeast(http_request&& aRequest, std::string const& aHost)
{
  http::request<http::string_body> message;
  message.version(11);
  message.method_string(aRequest.mMethod);
  message.target(aRequest.mTarget);
  message.set(http::field::host, aHost);
  for (auto const& [name, value] : aRequest.mHeaders) {
    // A forwarded request keeps the Host header field of its caller.
    if (beast::iequals(name, "Host")) {
      message.set(http::field::host, value);
    } else {
      message.insert(name, value);
    }
  }
  message.body() = std::move(aRequest.mBody);
  message.prepare_payload();
  return message;
}

http_response FromBeast(http::response_header<> const& aHeader)
{
  http_response response;
  response.mStatus = aHeader.result_int();
  for (auto const& header : aHeader) {
    response.mHeaders.Add(std::string{ header.name_string() }, std::string{ header.value() });
  }
  return response;
}

} // namespace

class http_client::implementation
{
public:
  implementation(asio::io_context& aContext, options aOptions)
    : mContext{ aContext }
    , mOptions{ std::move(aOptions) }
    , mHost{ ToString(mOptions.mEndpoint) }
  {
  }

  asio::awaitable<reply<http_response>> Send(http_request aRequest, base::milliseconds aTimeout,
                                             body_consumer aConsumer)
  {
    auto const deadline = std::chrono::steady_clock::now() + aTimeout;
    auto pooled = TakeIdle();
    if (!pooled) {
      if (mInUse >= mOptions.mMaximumConnections) {
        co_return error{ result_code::queue_full, "all connections to the server are in use" };
      }
      pooled = std::make_unique<connection>(mContext);
      ++mInUse;
      auto const connectDeadline =
        std::min(deadline, std::chrono::steady_clock::now() + mOptions.mConnectTimeout);
      pooled->mStream.expires_at(connectDeadline);
      boost::system::error_code failure;
      co_await pooled->mStream.async_connect(mOptions.mEndpoint,
                                             asio::redirect_error(asio::use_awaitable, failure));
      if (failure) {
        --mInUse;
        co_return error{ result_code::connect_failed,
                         "cannot connect to " + mHost + ": " + failure.message() };
      }
      pooled->mStream.socket().set_option(tcp::no_delay{ true }, failure);
    } else {
      ++mInUse;
    }
    auto result = co_await Exchange(*pooled, std::move(aRequest), deadline, aConsumer);
    --mInUse;
    if (base::Succeeded(result) && mKeepsConnection) {
      pooled->mStream.expires_never();
      mIdle.push_back(std::move(pooled));
    }
    co_return result;
  }

  std::size_t OpenConnections() const { return mInUse + mIdle.size(); }

private:
  connection_ptr TakeIdle()
  {
    while (!mIdle.empty()) {
      auto idle = std::move(mIdle.back());
      mIdle.pop_back();
      if (!IsStale(*idle)) {
        return idle;
      }
    }
    return nullptr;
  }

  asio::awaitable<reply<http_response>> Exchange(connection& aConnection, http_request aRequest,
                                                 std::chrono::steady_clock::time_point aDeadline,
                                                 body_consumer const& aConsumer)
  {
    auto const message = ToBeast(std::move(aRequest), mHost);
    auto& stream = aConnection.mStream;
    stream.expires_at(aDeadline);
    boost::system::error_code failure;
    co_await http::async_write(stream, message, asio::redirect_error(asio::use_awaitable, failure));
    if (failure) {
      co_return TransferError(failure);
    }
    if (aConsumer) {
      co_return co_await Stream(aConnection, aConsumer);
    }
    http::response_parser<http::string_body> parser;
    parser.body_limit(mOptions.mMaximumBodyBytes);
    co_await http::async_read(stream, aConnection.mBuffer, parser,
                              asio::redirect_error(asio::use_awaitable, failure));
    if (failure) {
      co_return TransferError(failure);
    }
    mKeepsConnection = parser.get().keep_alive();
    auto response = FromBeast(parser.get());
    response.mBody = std::move(parser.get().body());
    co_return response;
  }

  asio::awaitable<reply<http_response>> Stream(connection& aConnection,
                                               body_consumer const& aConsumer)
  {
    http::response_parser<http::buffer_body> parser;
    parser.body_limit(boost::none);
    boost::system::error_code failure;
    co_await http::async_read_header(aConnection.mStream, aConnection.mBuffer, parser,
                                     asio::redirect_error(asio::use_awaitable, failure));
    std::vector<char> piece(kPieceBytes);
    while (!failure && !parser.is_done()) {
      auto& body = parser.get().body();
      body.data = piece.data();
      body.size = piece.size();
      co_await http::async_read(aConnection.mStream, aConnection.mBuffer, parser,
                                asio::redirect_error(asio::use_awaitable, failure));
      // The parser reports a full buffer as an error.
      if (failure == http::error::need_buffer) {
        failure = {};
      }
      if (!failure) {
        aConsumer({ piece.data(), piece.size() - body.size });
      }
    }
    if (failure) {
      co_return TransferError(failure);
    }
    mKeepsConnection = parser.get().keep_alive();
    co_return FromBeast(parser.get());
  }

  asio::io_context& mContext;
  options mOptions;
  std::string mHost;
  std::vector<connection_ptr> mIdle;
  std::size_t mInUse = 0;
  // Set by Exchange immediately before Send resumes on the same thread, so that concurrent
  // exchanges cannot overwrite it.
  bool mKeepsConnection = false;
};

http_client::http_client(asio::io_context& aContext, options aOptions)
  : mImplementation{ std::make_shared<implementation>(aContext, std::move(aOptions)) }
{
}

http_client::~http_client() = default;

asio::awaitable<reply<http_response>> http_client::Send(http_request aRequest,
                                                        base::milliseconds aTimeout)
{
  // The local shared_ptr keeps the pool alive if the client is destroyed during the exchange.
  auto const implementation = mImplementation;
  co_return co_await implementation->Send(std::move(aRequest), aTimeout, {});
}

asio::awaitable<reply<http_response>> http_client::SendAndStream(http_request aRequest,
                                                                 base::milliseconds aTimeout,
                                                                 body_consumer aConsumer)
{
  auto const implementation = mImplementation;
  co_return co_await implementation->Send(std::move(aRequest), aTimeout, std::move(aConsumer));
}

std::size_t http_client::OpenConnections() const
{
  return mImplementation->OpenConnections();
}

} // namespace rattanpond::net
