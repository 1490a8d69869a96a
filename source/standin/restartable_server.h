#pragma once

#include "net/http_router.h"
#include "net/http_server.h"
#include "platform/availability.h"

#include <memory>

namespace rattanpond::standin {

/// An HTTP server that can be taken down, so that connections to it are refused, and brought back
/// on the same endpoint.
class restartable_server
{
public:
  restartable_server(boost::asio::io_context& aContext, net::http_handler aHandler);

  base::result<void> Listen(net::tcp::endpoint const& aEndpoint);
  /// Down: refuses connections, drops those that are open, and loses answers that are not yet
  /// written. Up: listens again on the same endpoint.
  base::result<void> Switch(platform::availability aAvailability);
  /// Finishes the running requests.
  void Drain();

  platform::availability Availability() const
  {
    return mServer ? platform::availability::up : platform::availability::down;
  }
  net::tcp::endpoint Endpoint() const { return mEndpoint; }
  std::size_t ActiveRequests() const { return mServer ? mServer->ActiveRequests() : 0; }

private:
  boost::asio::awaitable<net::http_response> Handle(net::http_request aRequest);

  boost::asio::io_context& mContext;
  net::http_handler mHandler;
  net::tcp::endpoint mEndpoint;
  std::unique_ptr<net::http_server> mServer;
  // Distinguishes requests that arrived before the server went down from those after it.
  std::uint64_t mIncarnation = 0;
};

/// A handler that serves the routes of aRouter.
net::http_handler Routed(net::http_router aRouter);

} // namespace rattanpond::standin
