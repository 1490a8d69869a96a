#pragma once

#include "net/link.h"

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>

namespace rattanpond::net {

/// Listens on one endpoint and creates a link for each accepted connection.
class link_server
{
public:
  /// Called with each accepted link before its first frame is handled.
  using open_handler = std::function<void(link_ptr const&)>;

  static base::result<std::unique_ptr<link_server>> Create(boost::asio::io_context& aContext,
                                                           tcp::endpoint const& aEndpoint,
                                                           link_handlers aHandlers,
                                                           open_handler aOnOpen = {});
  ~link_server();
  link_server(link_server const&) = delete;
  link_server& operator=(link_server const&) = delete;

  tcp::endpoint Endpoint() const;

private:
  class implementation;
  explicit link_server(std::shared_ptr<implementation> aImplementation);
  std::shared_ptr<implementation> mImplementation;
};

} // namespace rattanpond::net
