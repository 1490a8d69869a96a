#pragma once

#include "net/endpoint.h"
#include "net/http_message.h"

#include <functional>
#include <memory>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

namespace rattanpond::net {

/// Handles one request on the thread of the server. An exception results in status 500.
using http_handler = std::function<boost::asio::awaitable<http_response>(http_request)>;

/// An HTTP/1.1 server on one io_context. Several servers, one per traffic thread, may share a port.
class http_server
{
public:
  struct options
  {
    tcp::endpoint mEndpoint;
    http_handler mHandler;
    std::size_t mMaximumBodyBytes = 4 * 1024 * 1024;
    std::size_t mMaximumHeaderBytes = 16 * 1024;
    std::size_t mMaximumConnections = 2000;
    /// Maximum time from the first byte of a request to its last; disconnects clients that send
    /// slowly.
    base::milliseconds mRequestTimeout{ 10'000 };
    base::milliseconds mIdleTimeout{ 60'000 };
    base::milliseconds mWriteTimeout{ 30'000 };
    /// Sets SO_REUSEPORT: the kernel distributes connections over all servers on the same endpoint.
    bool mSharesPort = false;
  };

  static base::result<std::unique_ptr<http_server>> Create(boost::asio::io_context& aContext,
                                                           options aOptions);
  ~http_server();
  http_server(http_server const&) = delete;
  http_server& operator=(http_server const&) = delete;

  tcp::endpoint Endpoint() const;

  /// Sends "Connection: close" with every further response, so that load balancers and clients move
  /// to another instance before Drain.
  void DisableKeepAlive();

  /// Stops accepting connections, closes idle ones and lets active requests complete with
  /// "Connection: close". Connections without a request so far may still send their first one
  /// within 1 s. Must be called on the thread of the server.
  void Drain();

  /// Returns the number of requests whose response has not been written yet. Thread-safe.
  std::size_t ActiveRequests() const;

  /// Returns whether Drain has been called and destroying the server would not interrupt a request.
  /// Thread-safe.
  bool IsDrained() const;

private:
  class implementation;
  explicit http_server(std::shared_ptr<implementation> aImplementation);
  std::shared_ptr<implementation> mImplementation;
};

} // namespace rattanpond::net
