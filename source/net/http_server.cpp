#include "net/http_server.h"

#include "base/logging.h"

#include <atomic>
#include <set>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace rattanpond::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using base::result_code;

namespace {

constexpr base::milliseconds kAcceptRetryDelay{ 100 };

// A client sends its first request within one round trip of connecting; 1 s allows for a busy
// machine.
constexpr base::milliseconds kFirstRequestTimeout{ 1'000 };

using reuse_port = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

http_request FromBeast(http::request<http::string_body>&& aMessage)
{
  http_request request;
  request.mMethod = std::string{ aMessage.method_string() };
  request.mTarget = std::string{ aMessage.target() };
  for (auto const& header : aMessage) {
    request.mHeaders.Add(std::string{ header.name_string() }, std::string{ header.value() });
  }
  request.mBody = std::move(aMessage.body());
  return request;
}

http::response<http::string_body> ToBeast(http_response&& aResponse, unsigned aVersion,
                                          bool aKeepAlive)
{
  http::response<http::string_body> message;
  message.version(aVersion);
  message.result(aResponse.mStatus);
  for (auto const& [name, value] : aResponse.mHeaders) {
    message.insert(name, value);
  }
  message.body() = std::move(aResponse.mBody);
  message.keep_alive(aKeepAlive);
  message.prepare_payload();
  return message;
}

/// Maps a read failure to the error that is sent to the client. Returns nothing if the client has
/// disconnected or timed out, or if the connection failed.
std::optional<base::error> ReadError(boost::system::error_code aFailure)
{
  if (aFailure == http::error::body_limit || aFailure == http::error::header_limit ||
      aFailure == http::error::buffer_overflow) {
    return base::error{ result_code::message_too_large, "the request exceeds a size limit" };
  }
  if (aFailure == http::error::end_of_stream || aFailure == http::error::partial_message ||
      aFailure == beast::error::timeout ||
      aFailure.category() != http::make_error_code(http::error::bad_method).category()) {
    return std::nullopt;
  }
  return base::error{ result_code::malformed_message,
                      "the request is not valid HTTP: " + aFailure.message() };
}

} // namespace

class http_server::implementation : public std::enable_shared_from_this<implementation>
{
public:
  implementation(asio::io_context& aContext, options aOptions)
    : mContext{ aContext }
    , mAcceptor{ aContext }
    , mFirstRequestTimer{ aContext }
    , mOptions{ std::move(aOptions) }
  {
  }

  base::result<void> Listen()
  {
    boost::system::error_code failure;
    auto const& endpoint = mOptions.mEndpoint;
    mAcceptor.open(endpoint.protocol(), failure);
    if (!failure) {
      mAcceptor.set_option(asio::socket_base::reuse_address{ true }, failure);
    }
    if (!failure && mOptions.mSharesPort) {
      mAcceptor.set_option(reuse_port{ true }, failure);
    }
    if (!failure) {
      mAcceptor.bind(endpoint, failure);
    }
    if (!failure) {
      mAcceptor.listen(asio::socket_base::max_listen_connections, failure);
    }
    if (failure) {
      return base::Fail(result_code::connect_failed,
                        "cannot listen on " + ToString(endpoint) + ": " + failure.message());
    }
    asio::co_spawn(
      mContext, [self = shared_from_this()] { return self->AcceptLoop(); }, asio::detached);
    return {};
  }

  tcp::endpoint Endpoint() const { return mAcceptor.local_endpoint(); }

  void DisableKeepAlive() { mClosesConnections = true; }

  void Drain()
  {
    if (!CloseAcceptor()) {
      return;
    }
    for (auto* const idle : mIdle) {
      // The pending read fails and the session closes; no byte of a request has been received.
      idle->cancel();
    }
    mFirstRequestTimer.expires_after(kFirstRequestTimeout);
    mFirstRequestTimer.async_wait(
      [self = shared_from_this()](boost::system::error_code const& /*aIgnored*/) {
        for (auto* const stream : self->mUnused) {
          stream->cancel();
        }
      });
  }

  void Stop()
  {
    mIsDraining = true;
    boost::system::error_code ignored;
    mAcceptor.close(ignored);
    mFirstRequestTimer.cancel();
    for (auto* const stream : mStreams) {
      stream->close();
    }
  }

  std::size_t ActiveRequests() const { return mActive.load(); }

  bool IsDrained() const { return mIsDraining && mUnusedCount == 0 && mActive == 0; }

private:
  asio::awaitable<void> AcceptLoop()
  {
    auto const self = shared_from_this();
    while (mAcceptor.is_open()) {
      boost::system::error_code failure;
      auto socket =
        co_await mAcceptor.async_accept(asio::redirect_error(asio::use_awaitable, failure));
      if (!mAcceptor.is_open()) {
        break;
      }
      if (failure) {
        asio::steady_timer timer{ mContext, kAcceptRetryDelay };
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, failure));
        continue;
      }
      if (mStreams.size() >= mOptions.mMaximumConnections) {
        // The socket is closed at once, so that the load balancer tries another instance.
        continue;
      }
      StartSession(std::move(socket));
    }
  }

  /// Returns whether the acceptor was still open. Accepts all connections in the kernel's backlog
  /// first: their clients may have sent a request already, and closing the acceptor would reset
  /// them.
  bool CloseAcceptor()
  {
    if (!mAcceptor.is_open()) {
      return false;
    }
    mClosesConnections = true;
    boost::system::error_code failure;
    mAcceptor.non_blocking(true, failure);
    while (!failure && mStreams.size() < mOptions.mMaximumConnections) {
      auto socket = mAcceptor.accept(failure);
      if (!failure) {
        StartSession(std::move(socket));
      }
    }
    mAcceptor.close(failure);
    mIsDraining = true;
    return true;
  }

  void StartSession(tcp::socket aSocket)
  {
    boost::system::error_code ignored;
    aSocket.set_option(tcp::no_delay{ true }, ignored);
    auto stream = std::make_shared<beast::tcp_stream>(std::move(aSocket));
    mStreams.insert(stream.get());
    mUnused.insert(stream.get());
    ++mUnusedCount;
    asio::co_spawn(
      mContext,
      [self = shared_from_this(), stream = std::move(stream)] { return self->Session(stream); },
      asio::detached);
  }

  asio::awaitable<void> Session(std::shared_ptr<beast::tcp_stream> aStream)
  {
    auto const self = shared_from_this();
    beast::flat_buffer buffer;
    while (co_await AwaitRequest(*aStream, buffer)) {
      auto const keepsAlive = co_await ReadAndRespond(*aStream, buffer);
      --mActive;
      if (!keepsAlive) {
        break;
      }
    }
    mStreams.erase(aStream.get());
    boost::system::error_code ignored;
    aStream->socket().shutdown(tcp::socket::shutdown_send, ignored);
  }

  /// Waits for the first byte of a request, which counts as active from then on. Returns whether a
  /// byte was received.
  asio::awaitable<bool> AwaitRequest(beast::tcp_stream& aStream, beast::flat_buffer& aBuffer)
  {
    auto const isUnused = mUnused.contains(&aStream);
    boost::system::error_code failure;
    if (aBuffer.size() == 0) {
      if (!isUnused) {
        if (mIsDraining) {
          co_return false;
        }
        mIdle.insert(&aStream);
      }
      aStream.expires_after(mOptions.mIdleTimeout);
      auto const count = co_await aStream.async_read_some(
        aBuffer.prepare(4096), asio::redirect_error(asio::use_awaitable, failure));
      aBuffer.commit(count);
      mIdle.erase(&aStream);
    }
    // mActive is incremented before mUnusedCount is decremented. IsDrained reads them in the
    // opposite order, so it never misses a request.
    mActive += failure ? 0U : 1U;
    if (isUnused) {
      mUnused.erase(&aStream);
      --mUnusedCount;
    }
    co_return !failure;
  }

  asio::awaitable<bool> ReadAndRespond(beast::tcp_stream& aStream, beast::flat_buffer& aBuffer)
  {
    http::request_parser<http::string_body> parser;
    parser.header_limit(static_cast<std::uint32_t>(mOptions.mMaximumHeaderBytes));
    parser.body_limit(mOptions.mMaximumBodyBytes);
    aStream.expires_after(mOptions.mRequestTimeout);
    boost::system::error_code failure;
    co_await http::async_read(aStream, aBuffer, parser,
                              asio::redirect_error(asio::use_awaitable, failure));
    if (failure) {
      if (auto const reason = ReadError(failure)) {
        co_await WriteResponse(aStream, ErrorResponse(*reason), 11, false);
      }
      co_return false;
    }
    auto const version = parser.get().version();
    auto const wantsKeepAlive = parser.get().keep_alive();
    aStream.expires_never();
    auto response = co_await Handle(FromBeast(parser.release()));
    co_return co_await WriteResponse(aStream, std::move(response), version,
                                     wantsKeepAlive && !mClosesConnections);
  }

  asio::awaitable<http_response> Handle(http_request aRequest)
  {
    std::string failure;
    try {
      co_return co_await mOptions.mHandler(std::move(aRequest));
    } catch (std::exception const& thrown) {
      failure = thrown.what();
    }
    base::Log("http")->error("Request handler threw an exception: {}.", failure);
    co_return ErrorResponse({ result_code::internal, "internal error while handling the request" });
  }

  asio::awaitable<bool> WriteResponse(beast::tcp_stream& aStream, http_response aResponse,
                                      unsigned aVersion, bool aKeepAlive)
  {
    auto const transfer = aResponse.mTransfer;
    if (transfer == response_transfer::none) {
      co_return false;
    }
    auto message = ToBeast(std::move(aResponse), aVersion, aKeepAlive);
    aStream.expires_after(mOptions.mWriteTimeout);
    boost::system::error_code failure;
    if (transfer == response_transfer::truncated) {
      http::response_serializer<http::string_body> serializer{ message };
      serializer.split(true);
      co_await http::async_write_header(aStream, serializer,
                                        asio::redirect_error(asio::use_awaitable, failure));
      if (!failure) {
        co_await asio::async_write(aStream,
                                   asio::buffer(message.body().data(), message.body().size() / 2),
                                   asio::redirect_error(asio::use_awaitable, failure));
      }
      co_return false;
    }
    co_await http::async_write(aStream, message,
                               asio::redirect_error(asio::use_awaitable, failure));
    co_return !failure && aKeepAlive;
  }

  asio::io_context& mContext;
  tcp::acceptor mAcceptor;
  asio::steady_timer mFirstRequestTimer;
  options mOptions;
  std::set<beast::tcp_stream*> mStreams;
  /// Connections on which no byte of a request has been received yet.
  std::set<beast::tcp_stream*> mUnused;
  /// Keep-alive connections that wait for a further request.
  std::set<beast::tcp_stream*> mIdle;
  std::atomic<std::size_t> mUnusedCount = 0;
  std::atomic<std::size_t> mActive = 0;
  bool mClosesConnections = false;
  std::atomic<bool> mIsDraining = false;
};

base::result<std::unique_ptr<http_server>> http_server::Create(asio::io_context& aContext,
                                                               options aOptions)
{
  auto created = std::make_shared<implementation>(aContext, std::move(aOptions));
  BOOST_LEAF_CHECK(created->Listen());
  return std::unique_ptr<http_server>{ new http_server{ std::move(created) } };
}

http_server::http_server(std::shared_ptr<implementation> aImplementation)
  : mImplementation{ std::move(aImplementation) }
{
}

http_server::~http_server()
{
  mImplementation->Stop();
}

tcp::endpoint http_server::Endpoint() const
{
  return mImplementation->Endpoint();
}

void http_server::DisableKeepAlive()
{
  mImplementation->DisableKeepAlive();
}

void http_server::Drain()
{
  mImplementation->Drain();
}

std::size_t http_server::ActiveRequests() const
{
  return mImplementation->ActiveRequests();
}

bool http_server::IsDrained() const
{
  return mImplementation->IsDrained();
}

} // namespace rattanpond::net
