#pragma once

#include "net/endpoint.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

namespace rattanpond::bench {

/// A bare Beast server that answers each request with its body: the yardstick of the request path,
/// and its executor.
class echo_server
{
public:
  explicit echo_server(boost::asio::io_context& aContext);

  net::tcp::endpoint Endpoint() const { return mAcceptor.local_endpoint(); }

private:
  boost::asio::awaitable<void> Accept();

  boost::asio::io_context& mContext;
  net::tcp::acceptor mAcceptor;
};

} // namespace rattanpond::bench
