#include "daemons/node_process.h"

#include "daemons/node_ports.h"
#include "dispatch/address_publication.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace rattanpond::daemons {

namespace asio = boost::asio;

node_process::node_process(platform::deployment_settings aSettings,
                           base::milliseconds aShutdownLimit)
  : mSettings{ std::move(aSettings) }
  , mDaemon{ { .mName = mSettings.mNode,
               .mLogOutput = base::log_output::standard_output,
               .mShutdownLimit = aShutdownLimit } }
  , mStore{ mDaemon.Control(), mSettings.mStore }
{
  mDaemon.OnReload([this] { Reload(); });
}

base::result<void> node_process::ServeMetrics()
{
  BOOST_LEAF_AUTO(metrics, MetricsEndpoint(mSettings));
  BOOST_LEAF_ASSIGN(
    mMetricsServer,
    net::http_server::Create(
      mDaemon.Control(), { .mEndpoint = metrics, .mHandler = [this](net::http_request aRequest) {
                            return mDaemon.Router().Handle(std::move(aRequest));
                          } }));
  return {};
}

void node_process::PublishAddress(std::string const& aPrefix, net::tcp::endpoint const& aLinks)
{
  asio::co_spawn(
    mDaemon.Control(),
    [this, key = aPrefix + mSettings.mNode, address = net::ToString(aLinks)] {
      return dispatch::PublishAddress(mStore, key, address);
    },
    asio::detached);
}

void node_process::LogStart(std::string_view aRole) const
{
  base::Log("process")->info("start role={} node={} domain={}", aRole, mSettings.mNode,
                             mSettings.mFailureDomain);
}

void node_process::Reload()
{
  auto loaded = base::Capture([] { return platform::LoadDeploymentSettings(); });
  if (!base::Succeeded(loaded)) {
    base::Log("process")->error("reload-refused reason=\"{}\"", base::Error(loaded).mMessage);
    return;
  }
  // New addresses take effect at the next restart; all other settings apply immediately.
  mSettings = std::get<0>(std::move(loaded));
  base::Log("process")->info("reload");
}

} // namespace rattanpond::daemons
