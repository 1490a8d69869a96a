#pragma once

#include "net/frame_dispatcher.h"
#include "net/link_dialer.h"

#include <map>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

namespace rattanpond::scheduling {

/// Links from this agent to the agents that coordinate its gangs, dialed on first use.
class gang_peers
{
public:
  /// aDispatcher handles the frames that arrive on the links.
  gang_peers(boost::asio::io_context& aContext, net::frame_dispatcher const& aDispatcher);

  template<net::message T>
  void Send(std::string const& aAddress, T const& aMessage)
  {
    if (auto const link = Link(aAddress)) {
      link->Send(aMessage);
    }
  }

  /// Closes links that have been idle for longer than the idle timeout.
  void Expire(base::time_point aNow);

private:
  struct peer
  {
    std::unique_ptr<net::link_dialer> mDialer;
    base::time_point mLastUsedAt{};
  };

  net::link_ptr Link(std::string const& aAddress);

  boost::asio::io_context& mContext;
  net::frame_dispatcher const& mDispatcher;
  std::map<std::string, peer> mPeers;
};

} // namespace rattanpond::scheduling
