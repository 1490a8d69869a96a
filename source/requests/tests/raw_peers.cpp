#include "requests/tests/raw_peers.h"

#include <array>
#include <memory>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace rattanpond::requests {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

net::tcp::endpoint AnyPort()
{
  return { asio::ip::make_address("127.0.0.1"), 0 };
}

} // namespace

raw_executor::raw_executor(asio::io_context& aContext, std::string aAnswer)
  : mAcceptor{ aContext, AnyPort() }
  , mAnswer{ std::move(aAnswer) }
{
  asio::co_spawn(
    aContext, [this] { return Accept(); }, asio::detached);
}

asio::awaitable<void> raw_executor::Accept()
{
  error_code failure;
  while (!failure) {
    auto socket =
      co_await mAcceptor.async_accept(asio::redirect_error(asio::use_awaitable, failure));
    if (failure) {
      break;
    }
    error_code ignored;
    std::string received;
    co_await asio::async_read_until(socket, asio::dynamic_buffer(received), "\r\n\r\n",
                                    asio::redirect_error(asio::use_awaitable, ignored));
    co_await asio::async_write(socket, asio::buffer(mAnswer),
                               asio::redirect_error(asio::use_awaitable, ignored));
  }
}

struct cutting_proxy::pair
{
  explicit pair(net::tcp::socket aClient)
    : mClient{ std::move(aClient) }
    , mServer{ mClient.get_executor() }
  {
  }

  void Close()
  {
    error_code ignored;
    mClient.close(ignored);
    mServer.close(ignored);
  }

  net::tcp::socket mClient;
  net::tcp::socket mServer;
};

cutting_proxy::cutting_proxy(asio::io_context& aContext, net::tcp::endpoint aServer,
                             std::size_t aCutAfter)
  : mContext{ aContext }
  , mAcceptor{ aContext, AnyPort() }
  , mServer{ std::move(aServer) }
  , mCutAfter{ aCutAfter }
{
  asio::co_spawn(
    aContext, [this] { return Accept(); }, asio::detached);
}

asio::awaitable<void> cutting_proxy::Accept()
{
  error_code failure;
  while (!failure) {
    auto socket =
      co_await mAcceptor.async_accept(asio::redirect_error(asio::use_awaitable, failure));
    if (failure) {
      break;
    }
    auto const made = std::make_shared<pair>(std::move(socket));
    co_await made->mServer.async_connect(mServer,
                                         asio::redirect_error(asio::use_awaitable, failure));
    asio::co_spawn(
      mContext, [this, made] { return Forward(made); }, asio::detached);
    asio::co_spawn(
      mContext, [this, made] { return Return(made); }, asio::detached);
  }
}

asio::awaitable<void> cutting_proxy::Forward(std::shared_ptr<pair> aPair)
{
  std::array<char, 4096> buffer{};
  error_code failure;
  while (!failure) {
    auto const count = co_await aPair->mClient.async_read_some(
      asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, failure));
    if (!failure) {
      co_await asio::async_write(aPair->mServer, asio::buffer(buffer, count),
                                 asio::redirect_error(asio::use_awaitable, failure));
    }
  }
  aPair->Close();
}

asio::awaitable<void> cutting_proxy::Return(std::shared_ptr<pair> aPair)
{
  std::array<char, 4096> buffer{};
  std::size_t total = 0;
  error_code failure;
  while (!failure && (mHasCut || total < mCutAfter)) {
    auto const count = co_await aPair->mServer.async_read_some(
      asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, failure));
    if (!failure) {
      co_await asio::async_write(aPair->mClient, asio::buffer(buffer, count),
                                 asio::redirect_error(asio::use_awaitable, failure));
    }
    total += count;
  }
  mHasCut = mHasCut || total >= mCutAfter;
  aPair->Close();
}

} // namespace rattanpond::requests
