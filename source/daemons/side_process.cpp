#include "daemons/side_process.h"

#include "daemons/node_ports.h"
#include "dispatch/announcement.h"
#include "dispatch/replica.h"
#include "platform/instance_routes.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace rattanpond::daemons {

namespace asio = boost::asio;

namespace {

constexpr std::size_t kLargestHeartbeatBytes = 4 * 1024 * 1024;

} // namespace

side_process::side_process(platform::deployment_settings aSettings)
  : mSettings{ std::move(aSettings) }
  , mDaemon{ { .mName = mSettings.mNode, .mLogTarget = base::log_target::standard_output } }
  , mStore{ mDaemon.Control(), mSettings.mStore }
{
}

base::result<std::unique_ptr<side_process>> side_process::Create(
  platform::deployment_settings aSettings)
{
  std::unique_ptr<side_process> created{ new side_process{ std::move(aSettings) } };
  BOOST_LEAF_CHECK(created->Start());
  return created;
}

base::result<void> side_process::Start()
{
  if (!mSettings.mHeartbeats) {
    return base::Fail(base::result_code::invalid_settings,
                      "the settings name no address for heartbeats");
  }
  auto& context = mDaemon.Control();
  mAgent = std::make_unique<dispatch::side_agent>(dispatch::side_agent::options{
    .mContext = context, .mSettings = mSettings, .mMetrics = mDaemon.Metrics() });
  BOOST_LEAF_AUTO(links, LinkEndpoint(mSettings));
  BOOST_LEAF_CHECK(mAgent->Start(links));
  platform::AddHeartbeatRoutes(
    mHeartbeatRouter,
    { .mOnHeartbeat = [this](std::string const& aWorker,
                             std::string const& aBody) { mAgent->Heartbeat(aWorker, aBody); },
      .mOnLeave = [this](std::string const& aWorker) { mAgent->Leave(aWorker); } });
  BOOST_LEAF_ASSIGN(
    mHeartbeatServer,
    net::http_server::Create(context, { .mEndpoint = *mSettings.mHeartbeats,
                                        .mHandler =
                                          [this](net::http_request aRequest) {
                                            return mHeartbeatRouter.Handle(std::move(aRequest));
                                          },
                                        .mMaximumBodyBytes = kLargestHeartbeatBytes }));
  BOOST_LEAF_AUTO(metrics, MetricsEndpoint(mSettings));
  BOOST_LEAF_ASSIGN(
    mMetricsServer,
    net::http_server::Create(
      context, { .mEndpoint = metrics, .mHandler = [this](net::http_request aRequest) {
                  return mDaemon.Router().Handle(std::move(aRequest));
                } }));
  mDaemon.StateDump().Register("side", [this] { return mAgent->Dump(); });
  mDaemon.OnReload([this] {
    auto loaded = base::Capture([] { return platform::LoadDeploymentSettings(); });
    if (!base::Succeeded(loaded)) {
      base::Log("process")->error("reload-refused reason=\"{}\"", base::Error(loaded).mMessage);
      return;
    }
    mSettings = std::get<0>(std::move(loaded));
    base::Log("process")->info("reload");
  });
  asio::co_spawn(
    context,
    [this, links] {
      return dispatch::Announce(mStore, dispatch::kSidePrefix + mSettings.mNode,
                                net::ToString(links));
    },
    asio::detached);
  base::Log("process")->info("start role=side node={} domain={}", mSettings.mNode,
                             mSettings.mFailureDomain);
  return {};
}

} // namespace rattanpond::daemons
