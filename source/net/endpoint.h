#pragma once

#include "base/error.h"

#include <string>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>

namespace rattanpond::net {

using tcp = boost::asio::ip::tcp;

/// Parses "address:port" with a numeric IP address; an IPv6 address is enclosed in brackets. Host
/// names are not resolved, since the platform addresses processes by numeric address.
base::result<tcp::endpoint> ParseEndpoint(std::string_view aText);

std::string ToString(tcp::endpoint const& aEndpoint);

} // namespace rattanpond::net
