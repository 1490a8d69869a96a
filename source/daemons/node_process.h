#pragma once

#include "daemons/daemon_process.h"
#include "net/http_server.h"
#include "platform/deployment_settings.h"
#include "platform/row_store.h"

#include <memory>
#include <string>

namespace rattanpond::daemons {

/// Base of both roles of rattanpond-node: reloads the settings file, serves metrics, and publishes
/// the process's address in the store.
class node_process
{
public:
  void Run() { mDaemon.Run(); }

protected:
  node_process(platform::deployment_settings aSettings, base::milliseconds aShutdownLimit);
  ~node_process() = default;

  base::result<void> ServeMetrics();
  /// Stores the endpoint on which this process accepts links, under aPrefix and the node's name.
  void PublishAddress(std::string const& aPrefix, net::tcp::endpoint const& aLinks);
  void LogStart(std::string_view aRole) const;

  platform::deployment_settings mSettings;
  daemon_process mDaemon;
  platform::row_store mStore;

private:
  void Reload();

  std::unique_ptr<net::http_server> mMetricsServer;
};

} // namespace rattanpond::daemons
