#include "daemons/front_process.h"

#include "base/identifiers.h"
#include "daemons/node_ports.h"
#include "net/sleep.h"
#include "platform/instance_routes.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace rattanpond::daemons {

namespace asio = boost::asio;
using base::milliseconds;

namespace {

/// A shutdown is limited to end this long before the termination grace period, after which the
/// platform kills the process.
constexpr milliseconds kTerminationMargin{ 1000 };
constexpr milliseconds kDrainPollInterval{ 50 };
/// The load balancer takes this front out of rotation after two health checks, one per second.
constexpr milliseconds kRotationDelay{ 2200 };

} // namespace

front_process::front_process(platform::deployment_settings const& aSettings)
  : node_process{ aSettings, aSettings.mTerminationGracePeriod - kTerminationMargin }
{
}

base::result<std::unique_ptr<front_process>> front_process::Create(
  platform::deployment_settings const& aSettings)
{
  std::unique_ptr<front_process> created{ new front_process{ aSettings } };
  BOOST_LEAF_CHECK(created->Start());
  return created;
}

base::result<void> front_process::Start()
{
  if (!mSettings.mCallers || !mSettings.mReadiness) {
    return base::Fail(base::result_code::invalid_settings,
                      "no addresses are configured for callers and readiness checks");
  }
  auto& context = mDaemon.Control();
  mReplica = std::make_unique<dispatch::replica>(
    dispatch::replica::options{ .mContext = context,
                                .mStore = mStore,
                                .mOnChange = [this] { mScheduler->ReplicaChanged(); },
                                .mIsWriter = [this] { return mScheduler->IsHolder(); } });
  mScheduler = std::make_unique<dispatch::scheduler>(
    dispatch::scheduler::options{ .mContext = context,
                                  .mStore = mStore,
                                  .mReplica = *mReplica,
                                  .mSettings = mSettings,
                                  .mMetrics = mDaemon.Metrics(),
                                  .mIncarnation = base::RandomIdentifier() });
  mCallers = std::make_unique<dispatch::caller_api>(
    dispatch::caller_api::options{ .mContext = context,
                                   .mStore = mStore,
                                   .mReplica = *mReplica,
                                   .mSettings = mSettings,
                                   .mMetrics = mDaemon.Metrics() });
  mDaemon.StateDump().Register("scheduler", [this] { return mScheduler->Dump(); });
  mDaemon.SetReadiness([this] { return mCallers->IsReady(); });
  platform::AddReadinessRoute(mReadinessRouter, [this] { return mCallers->IsReady(); });
  BOOST_LEAF_ASSIGN(
    mReadinessServer,
    net::http_server::Create(context, { .mEndpoint = *mSettings.mReadiness,
                                        .mHandler = [this](net::http_request aRequest) {
                                          return mReadinessRouter.Handle(std::move(aRequest));
                                        } }));
  BOOST_LEAF_ASSIGN(
    mCallerServer,
    net::http_server::Create(context, { .mEndpoint = *mSettings.mCallers,
                                        .mHandler =
                                          [this](net::http_request aRequest) {
                                            return mCallers->Handle(std::move(aRequest));
                                          },
                                        .mMaximumBodyBytes = mSettings.mMaximumBodyBytes }));
  BOOST_LEAF_AUTO(links, LinkEndpoint(mSettings));
  BOOST_LEAF_ASSIGN(
    mForwardServer,
    net::http_server::Create(context, { .mEndpoint = links,
                                        .mHandler =
                                          [this](net::http_request aRequest) {
                                            return mCallers->HandleForwarded(std::move(aRequest));
                                          },
                                        .mMaximumBodyBytes = mSettings.mMaximumBodyBytes }));
  PublishAddress(dispatch::kFrontPrefix, links);
  BOOST_LEAF_CHECK(ServeMetrics());
  mDaemon.OnShutdown([this] {
    asio::co_spawn(
      mDaemon.Control(), [this] { return Shutdown(); }, asio::detached);
  });
  mReplica->Start();
  mScheduler->Start();
  LogStart("front");
  return {};
}

asio::awaitable<void> front_process::Shutdown()
{
  mCallers->BeginShutdown();
  mCallerServer->DisableKeepAlive();
  co_await mScheduler->Release();
  co_await net::Sleep(kRotationDelay);
  mCallerServer->Drain();
  while (!mCallerServer->IsDrained()) {
    co_await net::Sleep(kDrainPollInterval);
  }
  mDaemon.Finish();
}

} // namespace rattanpond::daemons
