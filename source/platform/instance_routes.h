#pragma once

#include "net/http_router.h"

#include <functional>
#include <string>

namespace rattanpond::platform {

/// Adds the route by which the load balancer checks whether a front is ready.
void AddReadinessRoute(net::http_router& aRouter, std::function<bool()> aIsReady);

struct heartbeat_handlers
{
  /// Receives the worker's name and the body of a heartbeat. Every heartbeat is acknowledged,
  /// whatever its content.
  std::function<void(std::string const&, std::string const&)> mOnHeartbeat;
  /// Receives the name of a worker that shuts down in an orderly way.
  std::function<void(std::string const&)> mOnDeparture;
};

/// Adds the routes by which the worker on the same instance reports to its side agent.
void AddHeartbeatRoutes(net::http_router& aRouter, heartbeat_handlers aHandlers);

} // namespace rattanpond::platform
