#include "daemons/side_process.h"

#include "daemons/node_ports.h"
#include "dispatch/replica.h"
#include "platform/instance_routes.h"

namespace rattanpond::daemons {

namespace {

constexpr std::size_t kMaximumHeartbeatBytes = 4 * 1024 * 1024;

} // namespace

side_process::side_process(platform::deployment_settings const& aSettings)
  : node_process{ aSettings, aSettings.mTerminationGracePeriod }
{
}

base::result<std::unique_ptr<side_process>> side_process::Create(
  platform::deployment_settings const& aSettings)
{
  std::unique_ptr<side_process> created{ new side_process{ aSettings } };
  BOOST_LEAF_CHECK(created->Start());
  return created;
}

base::result<void> side_process::Start()
{
  if (!mSettings.mHeartbeats) {
    return base::Fail(base::result_code::invalid_settings,
                      "no address is configured for worker heartbeats");
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
      .mOnDeparture = [this](std::string const& aWorker) { mAgent->HandleDeparture(aWorker); } });
  BOOST_LEAF_ASSIGN(
    mHeartbeatServer,
    net::http_server::Create(context, { .mEndpoint = *mSettings.mHeartbeats,
                                        .mHandler =
                                          [this](net::http_request aRequest) {
                                            return mHeartbeatRouter.Handle(std::move(aRequest));
                                          },
                                        .mMaximumBodyBytes = kMaximumHeartbeatBytes }));
  BOOST_LEAF_CHECK(ServeMetrics());
  mDaemon.StateDump().Register("side", [this] { return mAgent->Dump(); });
  PublishAddress(dispatch::kSidePrefix, links);
  LogStart("side");
  return {};
}

} // namespace rattanpond::daemons
