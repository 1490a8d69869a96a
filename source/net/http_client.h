#pragma once

#include "net/endpoint.h"
#include "net/http_message.h"

#include <memory>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

namespace rattanpond::net {

/// An HTTP/1.1 client for one server with a pool of kept connections. Used on one thread.
class http_client
{
public:
  struct options
  {
    tcp::endpoint mEndpoint;
    std::size_t mMaximumConnections = 60;
    std::size_t mMaximumBodyBytes = 4 * 1024 * 1024;
    base::milliseconds mConnectTimeout{ 1000 };
  };

  http_client(boost::asio::io_context& aContext, options aOptions);
  ~http_client();
  http_client(http_client const&) = delete;
  http_client& operator=(http_client const&) = delete;

  /// Sends a request and reads the whole answer. Errors connect_failed and queue_full (no
  /// connection free) mean that the server has not received any byte of it; after every other error
  /// it may have processed the request. Never retries.
  boost::asio::awaitable<base::reply<http_response>> Send(http_request aRequest,
                                                          base::milliseconds aTimeout);

  std::size_t OpenConnections() const;

private:
  class implementation;
  std::shared_ptr<implementation> mImplementation;
};

} // namespace rattanpond::net
