#pragma once

#include "net/endpoint.h"
#include "net/http_message.h"

#include <functional>
#include <memory>
#include <string_view>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

namespace rattanpond::net {

/// An HTTP/1.1 client for one server with a pool of keep-alive connections. Used on one thread
/// only.
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

  /// Sends a request and reads the complete response. After connect_failed or queue_full (all
  /// connections in use) the server has received no byte of the request; after any other error it
  /// may have processed the request. Never retries.
  boost::asio::awaitable<base::reply<http_response>> Send(http_request aRequest,
                                                          base::milliseconds aTimeout);

  /// Called with each piece of a response body as soon as it has arrived.
  using body_consumer = std::function<void(std::string_view)>;

  /// Like Send, but passes the body to aConsumer instead of storing it, so its size is not limited.
  /// After an error, aConsumer may have received a part of the body.
  boost::asio::awaitable<base::reply<http_response>> SendAndStream(http_request aRequest,
                                                                   base::milliseconds aTimeout,
                                                                   body_consumer aConsumer);

  std::size_t OpenConnections() const;

private:
  class implementation;
  std::shared_ptr<implementation> mImplementation;
};

} // namespace rattanpond::net
