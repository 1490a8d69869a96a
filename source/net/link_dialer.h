#pragma once

#include "net/link.h"

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>

namespace rattanpond::net {

/// Keeps a link to one endpoint: connects, and connects again after each loss, with a delay that
/// grows until a link has lasted.
/// No handler is called once the dialer is destroyed.
class link_dialer
{
public:
  struct options
  {
    tcp::endpoint mEndpoint;
    link_handlers mHandlers;
    std::function<void(link_ptr const&)> mOnOpen;
    base::milliseconds mShortestDelay{ 50 };
    base::milliseconds mLongestDelay{ 1000 };
    /// An instance without power answers no connection attempt; the kernel would try for minutes.
    base::milliseconds mConnectTimeout{ 1000 };
  };

  link_dialer(boost::asio::io_context& aContext, options aOptions);
  ~link_dialer();
  link_dialer(link_dialer const&) = delete;
  link_dialer& operator=(link_dialer const&) = delete;

  /// The open link, or null.
  link_ptr Current() const;
  tcp::endpoint const& Endpoint() const;

private:
  class implementation;
  std::shared_ptr<implementation> mImplementation;
};

} // namespace rattanpond::net
