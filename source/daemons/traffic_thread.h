#pragma once

#include "configuration/access_control.h"
#include "net/http_router.h"
#include "net/http_server.h"
#include "platform/http_table.h"
#include "requests/request_service.h"

#include <memory>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

namespace rattanpond::daemons {

/// An entry's thread that serves HTTP. It handles service requests itself and dispatches all other
/// calls to the control thread.
class traffic_thread
{
public:
  struct options
  {
    net::tcp::endpoint mHttpEndpoint;
    requests::request_service::options mRequests;
    platform::platform_client::options mTable;
  };

  static base::result<std::unique_ptr<traffic_thread>> Create(
    options aOptions, boost::asio::io_context& aControl, net::http_router const& aControlRouter,
    configuration::access_control const& aAccess, base::metrics_registry& aMetrics);
  ~traffic_thread();
  traffic_thread(traffic_thread const&) = delete;
  traffic_thread& operator=(traffic_thread const&) = delete;

  void Start();
  /// Stops and joins the thread; requests that are still active on it are lost.
  void Stop();

  requests::request_service& Requests() { return *mRequests; }
  /// May be called from any thread; see net::http_server.
  void DisableKeepAlive();
  void Drain();
  bool IsDrained() const { return mServer->IsDrained() && mRequests->Active() == 0; }

private:
  traffic_thread(options const& aOptions, boost::asio::io_context& aControl,
                 net::http_router const& aControlRouter,
                 configuration::access_control const& aAccess, base::metrics_registry& aMetrics);

  boost::asio::awaitable<net::http_response> Handle(net::http_request aRequest);

  boost::asio::io_context mContext{ 1 };
  boost::asio::io_context& mControl;
  net::http_router const& mControlRouter;
  net::http_router mRouter;
  platform::http_table mTable;
  std::unique_ptr<requests::request_service> mRequests;
  std::unique_ptr<net::http_server> mServer;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> mWorkGuard;
  std::thread mThread;
};

} // namespace rattanpond::daemons
