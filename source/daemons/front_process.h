#pragma once

#include "daemons/node_process.h"
#include "dispatch/caller_api.h"
#include "dispatch/replica.h"
#include "dispatch/scheduler.h"

#include <memory>

namespace rattanpond::daemons {

/// Front role of rattanpond-node on the users' platform: serves callers, replicates the store's
/// rows in memory, and schedules while it holds the term.
class front_process : public node_process
{
public:
  static base::result<std::unique_ptr<front_process>> Create(
    platform::deployment_settings const& aSettings);

private:
  explicit front_process(platform::deployment_settings const& aSettings);
  base::result<void> Start();
  boost::asio::awaitable<void> Shutdown();

  std::unique_ptr<dispatch::replica> mReplica;
  std::unique_ptr<dispatch::scheduler> mScheduler;
  std::unique_ptr<dispatch::caller_api> mCallers;
  net::http_router mReadinessRouter;
  std::unique_ptr<net::http_server> mCallerServer;
  /// Serves calls that other fronts forward.
  std::unique_ptr<net::http_server> mForwardServer;
  std::unique_ptr<net::http_server> mReadinessServer;
};

} // namespace rattanpond::daemons
