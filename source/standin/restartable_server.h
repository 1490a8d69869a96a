#pragma once

#include "net/http_router.h"
#include "net/http_server.h"
#include "platform/availability.h"

#include <memory>

namespace rattanpond::standin {

/// HTTP server that can be shut down, so that connections to it are refused, and started again on
/// the same endpoint.
class restartable_server
{
public:
  restartable_server(boost::asio::io_context& aContext, net::http_handler aHandler);

  base::result<void> Listen(net::tcp::endpoint const& aEndpoint);
  /// Down: refuses connections, closes those that are open, and discards responses that are not yet
  /// written. Up: listens again on the same endpoint.
  base::result<void> SetAvailability(platform::availability aAvailability);
  /// Stops accepting connections; requests that are running may finish.
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
  // Number of shutdowns; distinguishes requests that arrived before a shutdown from those after it.
  std::uint64_t mIncarnation = 0;
};

/// Returns a handler that serves the routes of aRouter.
net::http_handler RouterHandler(net::http_router aRouter);

} // namespace rattanpond::standin
