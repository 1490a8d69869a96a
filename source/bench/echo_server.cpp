#include "bench/echo_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace rattanpond::bench {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

asio::awaitable<void> Session(std::shared_ptr<beast::tcp_stream> aStream)
{
  beast::flat_buffer buffer;
  boost::system::error_code failure;
  while (!failure) {
    http::request<http::string_body> request;
    co_await http::async_read(*aStream, buffer, request,
                              asio::redirect_error(asio::use_awaitable, failure));
    if (failure) {
      break;
    }
    http::response<http::string_body> response{ http::status::ok, 11 };
    response.body() = std::move(request.body());
    response.prepare_payload();
    co_await http::async_write(*aStream, response,
                               asio::redirect_error(asio::use_awaitable, failure));
  }
}

} // namespace

echo_server::echo_server(asio::io_context& aContext)
  : mContext{ aContext }
  , mAcceptor{ aContext, { asio::ip::make_address("127.0.0.1"), 0 } }
{
  asio::co_spawn(
    aContext, [this] { return Accept(); }, asio::detached);
}

asio::awaitable<void> echo_server::Accept()
{
  boost::system::error_code failure;
  while (!failure) {
    auto socket =
      co_await mAcceptor.async_accept(asio::redirect_error(asio::use_awaitable, failure));
    if (!failure) {
      socket.set_option(net::tcp::no_delay{ true });
      asio::co_spawn(
        mContext,
        [stream = std::make_shared<beast::tcp_stream>(std::move(socket))] {
          return Session(stream);
        },
        asio::detached);
    }
  }
}

} // namespace rattanpond::bench
