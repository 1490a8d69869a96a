#pragma once

#include "daemons/node_process.h"
#include "dispatch/side_agent.h"

#include <memory>

namespace rattanpond::daemons {

/// Side role of rattanpond-node on the users' platform: runs the side agent of one worker.
class side_process : public node_process
{
public:
  static base::result<std::unique_ptr<side_process>> Create(
    platform::deployment_settings const& aSettings);

private:
  explicit side_process(platform::deployment_settings const& aSettings);
  base::result<void> Start();

  std::unique_ptr<dispatch::side_agent> mAgent;
  net::http_router mHeartbeatRouter;
  std::unique_ptr<net::http_server> mHeartbeatServer;
};

} // namespace rattanpond::daemons
