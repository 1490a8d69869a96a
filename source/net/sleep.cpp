#include "net/sleep.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace rattanpond::net {

namespace asio = boost::asio;

asio::awaitable<void> Sleep(base::milliseconds aDuration)
{
  asio::steady_timer timer{ co_await asio::this_coro::executor, aDuration };
  boost::system::error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

} // namespace rattanpond::net
