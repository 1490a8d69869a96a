#include "net/endpoint.h"

#include <charconv>

#include <boost/asio/ip/address.hpp>

namespace rattanpond::net {

base::result<tcp::endpoint> ParseEndpoint(std::string_view aText)
{
  auto const invalid = [&] {
    return base::Fail(base::result_code::invalid_argument,
                      "'" + std::string{ aText } + "' is not a numeric IP address with a port");
  };
  auto const colon = aText.rfind(':');
  if (colon == std::string_view::npos || colon + 1 == aText.size()) {
    return invalid();
  }
  auto host = aText.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  auto const digits = aText.substr(colon + 1);
  std::uint16_t port = 0;
  auto const parsed = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  boost::system::error_code failure;
  auto const address = boost::asio::ip::make_address(std::string{ host }, failure);
  if (failure || parsed.ec != std::errc{} || parsed.ptr != digits.data() + digits.size()) {
    return invalid();
  }
  return tcp::endpoint{ address, port };
}

std::string ToString(tcp::endpoint const& aEndpoint)
{
  auto const address = aEndpoint.address().to_string();
  auto const host = aEndpoint.address().is_v6() ? "[" + address + "]" : address;
  return host + ":" + std::to_string(aEndpoint.port());
}

} // namespace rattanpond::net
