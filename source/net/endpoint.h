#pragma once

#include "base/error.h"

#include <string>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>

namespace rattanpond::net {

using tcp = boost::asio::ip::tcp;

/// Parses "address:port" with a numeric address; IPv6 addresses stand in brackets. Names are not
/// resolved, since the platform addresses processes by number.
base::result<tcp::endpoint> ParseEndpoint(std::string_view aText);

std::string ToString(tcp::endpoint const& aEndpoint);

} // namespace rattanpond::net
