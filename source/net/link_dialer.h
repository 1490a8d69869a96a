#pragma once

#include "net/link.h"

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>

namespace rattanpond::net {

/// Maintains a link to one endpoint: reconnects after each failure or close, with an exponential
/// backoff that is reset after a link has stayed open for at least mMaximumDelay. No handler is
/// called after the dialer is destroyed.
class link_dialer
{
public:
  struct options
  {
    tcp::endpoint mEndpoint;
    link_handlers mHandlers;
    std::function<void(link_ptr const&)> mOnOpen;
    base::milliseconds mMinimumDelay{ 50 };
    base::milliseconds mMaximumDelay{ 1000 };
    /// An instance that is powered off does not respond to connection attempts, and the kernel
    /// would retry for minutes.
    base::milliseconds mConnectTimeout{ 1000 };
  };

  link_dialer(boost::asio::io_context& aContext, options aOptions);
  ~link_dialer();
  link_dialer(link_dialer const&) = delete;
  link_dialer& operator=(link_dialer const&) = delete;

  /// Returns the open link, or null if there is none.
  link_ptr Current() const;
  tcp::endpoint const& Endpoint() const;

private:
  class implementation;
  std::shared_ptr<implementation> mImplementation;
};

} // namespace rattanpond::net
