#pragma once

#include "net/endpoint.h"

#include <array>
#include <functional>
#include <memory>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace rattanpond::platform {

/// Forwards TCP connections to one endpoint. Can hold back all bytes, as a partition does, and
/// reset all connections.
class link_relay
{
public:
  link_relay(boost::asio::io_context& aContext, net::tcp::endpoint aTarget)
    : mContext{ aContext }
    , mState{ std::make_shared<state>(
        state{ .mAcceptor = { aContext, { boost::asio::ip::address_v4::loopback(), 0 } },
               .mTarget = std::move(aTarget) }) }
  {
    boost::asio::co_spawn(mContext, Accept(mContext, mState), boost::asio::detached);
  }

  ~link_relay()
  {
    boost::system::error_code ignored;
    mState->mAcceptor.close(ignored);
    Reset();
  }
  link_relay(link_relay const&) = delete;
  link_relay& operator=(link_relay const&) = delete;

  net::tcp::endpoint Endpoint() const { return mState->mAcceptor.local_endpoint(); }

  /// Bytes that arrive while the relay is silent are forwarded afterwards.
  void SetSilent(bool aIsSilent) { mState->mIsSilent = aIsSilent; }

  void Reset()
  {
    for (auto const& weak : mState->mSockets) {
      if (auto const socket = weak.lock()) {
        boost::system::error_code ignored;
        socket->close(ignored);
      }
    }
    mState->mSockets.clear();
  }

private:
  using socket_ptr = std::shared_ptr<net::tcp::socket>;

  struct state
  {
    net::tcp::acceptor mAcceptor;
    net::tcp::endpoint mTarget;
    bool mIsSilent = false;
    std::vector<std::weak_ptr<net::tcp::socket>> mSockets{};
  };

  static boost::asio::awaitable<void> WaitWhileSilent(boost::asio::io_context& aContext,
                                                      std::shared_ptr<state> aState)
  {
    while (aState->mIsSilent) {
      boost::asio::steady_timer timer{ aContext, std::chrono::milliseconds{ 5 } };
      co_await timer.async_wait(boost::asio::use_awaitable);
    }
  }

  static boost::asio::awaitable<void> Accept(boost::asio::io_context& aContext,
                                             std::shared_ptr<state> aState)
  {
    while (aState->mAcceptor.is_open()) {
      boost::system::error_code failure;
      auto near = std::make_shared<net::tcp::socket>(aContext);
      co_await aState->mAcceptor.async_accept(
        *near, boost::asio::redirect_error(boost::asio::use_awaitable, failure));
      if (failure) {
        continue;
      }
      boost::asio::co_spawn(aContext, Connect(aContext, aState, std::move(near)),
                            boost::asio::detached);
    }
  }

  static boost::asio::awaitable<void> Connect(boost::asio::io_context& aContext,
                                              std::shared_ptr<state> aState, socket_ptr aNear)
  {
    co_await WaitWhileSilent(aContext, aState);
    auto far = std::make_shared<net::tcp::socket>(aContext);
    boost::system::error_code failure;
    co_await far->async_connect(aState->mTarget,
                                boost::asio::redirect_error(boost::asio::use_awaitable, failure));
    if (failure) {
      co_return;
    }
    aState->mSockets.push_back(aNear);
    aState->mSockets.push_back(far);
    boost::asio::co_spawn(aContext, Forward(aContext, aState, aNear, far), boost::asio::detached);
    boost::asio::co_spawn(aContext, Forward(aContext, aState, far, aNear), boost::asio::detached);
  }

  static boost::asio::awaitable<void> Forward(boost::asio::io_context& aContext,
                                              std::shared_ptr<state> aState, socket_ptr aFrom,
                                              socket_ptr aTo)
  {
    constexpr std::size_t kBufferBytes = 16'384;
    std::array<char, kBufferBytes> buffer{};
    boost::system::error_code failure;
    while (!failure) {
      auto const size = co_await aFrom->async_read_some(
        boost::asio::buffer(buffer),
        boost::asio::redirect_error(boost::asio::use_awaitable, failure));
      co_await WaitWhileSilent(aContext, aState);
      if (!failure) {
        co_await boost::asio::async_write(
          *aTo, boost::asio::buffer(buffer.data(), size),
          boost::asio::redirect_error(boost::asio::use_awaitable, failure));
      }
    }
    boost::system::error_code ignored;
    aFrom->close(ignored);
    aTo->close(ignored);
  }

  boost::asio::io_context& mContext;
  std::shared_ptr<state> mState;
};

} // namespace rattanpond::platform
