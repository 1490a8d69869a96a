#include "platform/instance_routes.h"

namespace rattanpond::platform {

using boost::asio::awaitable;
using net::http_response;
using net::routed_request;

void AddReadinessRoute(net::http_router& aRouter, std::function<bool()> aIsReady)
{
  aRouter.Add("GET", "/api/ready",
              [isReady = std::move(aIsReady)](routed_request) -> awaitable<http_response> {
                auto const ready = isReady();
                co_return net::JsonResponse(ready ? 200 : 503, { { "ready", ready } });
              });
}

void AddHeartbeatRoutes(net::http_router& aRouter, heartbeat_handlers aHandlers)
{
  aRouter.Add(
    "PUT", "/api/instances/{worker}",
    [handler = aHandlers.mOnHeartbeat](routed_request aRequest) -> awaitable<http_response> {
      handler(aRequest.mPath["worker"], aRequest.mRequest.mBody);
      co_return net::JsonResponse(200, base::json::object());
    });
  aRouter.Add(
    "DELETE", "/api/instances/{worker}",
    [handler = aHandlers.mOnDeparture](routed_request aRequest) -> awaitable<http_response> {
      handler(aRequest.mPath["worker"]);
      co_return net::JsonResponse(200, base::json::object());
    });
}

} // namespace rattanpond::platform
