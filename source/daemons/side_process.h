#pragma once

#include "daemons/daemon_process.h"
#include "dispatch/side_agent.h"
#include "net/http_server.h"
#include "platform/deployment_settings.h"
#include "platform/row_store.h"

#include <memory>

namespace rattanpond::daemons {

/// The process beside one worker on the users' platform.
class side_process
{
public:
  static base::result<std::unique_ptr<side_process>> Create(
    platform::deployment_settings aSettings);

  void Run() { mDaemon.Run(); }

private:
  explicit side_process(platform::deployment_settings aSettings);
  base::result<void> Start();

  platform::deployment_settings mSettings;
  daemon_process mDaemon;
  platform::row_store mStore;
  std::unique_ptr<dispatch::side_agent> mAgent;
  net::http_router mHeartbeatRouter;
  std::unique_ptr<net::http_server> mHeartbeatServer;
  std::unique_ptr<net::http_server> mMetricsServer;
};

} // namespace rattanpond::daemons
