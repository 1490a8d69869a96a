#pragma once

#include "net/http_server.h"

#include <map>
#include <string>
#include <vector>

namespace rattanpond::net {

/// A request with the parameters parsed from its path and query.
struct routed_request
{
  http_request mRequest;
  /// Values of the {name} segments of the matched pattern, percent-decoded.
  std::map<std::string, std::string> mPath;
  /// Query parameters, percent-decoded.
  std::map<std::string, std::string> mQuery;
};

/// Selects a handler by method and path pattern, such as "/v1/jobs/{id}".
class http_router
{
public:
  using handler = std::function<boost::asio::awaitable<http_response>(routed_request)>;

  void Add(std::string aMethod, std::string_view aPattern, handler aHandler);

  /// Calls the matching handler. Responds with 404 if no pattern matches the path, and with 405 if
  /// only the method does not match.
  boost::asio::awaitable<http_response> Handle(http_request aRequest) const;

private:
  struct route
  {
    std::string mMethod;
    std::vector<std::string> mSegments;
    handler mHandler;
  };

  std::vector<route> mRoutes;
};

/// Percent-encodes text for use as one path segment or query value.
std::string PercentEncode(std::string_view aText);

} // namespace rattanpond::net
