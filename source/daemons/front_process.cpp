#include "daemons/front_process.h"

#include "base/identifiers.h"
#include "daemons/node_ports.h"
#include "dispatch/announcement.h"
#include "platform/instance_routes.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace rattanpond::daemons {

namespace asio = boost::asio;
using base::milliseconds;

namespace {

/// Left of the time that the platform gives a process to end, before it is killed.
constexpr milliseconds kTerminationReserve{ 1000 };
constexpr milliseconds kDrainPoll{ 50 };
/// The balancer needs two checks, one a second, to take this front out of rotation.
constexpr milliseconds kRotationNotice{ 2200 };

} // namespace

front_process::front_process(platform::deployment_settings aSettings)
  : mSettings{ std::move(aSettings) }
  , mDaemon{ { .mName = mSettings.mNode,
               .mLogTarget = base::log_target::standard_output,
               .mShutdownLimit = mSettings.mTermination - kTerminationReserve } }
  , mStore{ mDaemon.Control(), mSettings.mStore }
{
}

base::result<std::unique_ptr<front_process>> front_process::Create(
  platform::deployment_settings aSettings)
{
  std::unique_ptr<front_process> created{ new front_process{ std::move(aSettings) } };
  BOOST_LEAF_CHECK(created->Start());
  return created;
}

base::result<void> front_process::Start()
{
  if (!mSettings.mCallers || !mSettings.mReadiness) {
    return base::Fail(base::result_code::invalid_settings,
                      "the settings name no address for callers");
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
                                            return mCallers->HandleHere(std::move(aRequest));
                                          },
                                        .mMaximumBodyBytes = mSettings.mMaximumBodyBytes }));
  asio::co_spawn(
    context,
    [this, links] {
      return dispatch::Announce(mStore, dispatch::kFrontPrefix + mSettings.mNode,
                                net::ToString(links));
    },
    asio::detached);
  BOOST_LEAF_AUTO(metrics, MetricsEndpoint(mSettings));
  BOOST_LEAF_ASSIGN(
    mMetricsServer,
    net::http_server::Create(
      context, { .mEndpoint = metrics, .mHandler = [this](net::http_request aRequest) {
                  return mDaemon.Router().Handle(std::move(aRequest));
                } }));
  mDaemon.OnShutdown([this] {
    asio::co_spawn(
      mDaemon.Control(), [this] { return Shutdown(); }, asio::detached);
  });
  mDaemon.OnReload([this] { Reload(); });
  mReplica->Start();
  mScheduler->Start();
  base::Log("process")->info("start role=front node={} domain={}", mSettings.mNode,
                             mSettings.mFailureDomain);
  return {};
}

void front_process::Reload()
{
  auto loaded = base::Capture([] { return platform::LoadDeploymentSettings(); });
  if (!base::Succeeded(loaded)) {
    base::Log("process")->error("reload-refused reason=\"{}\"", base::Error(loaded).mMessage);
    return;
  }
  // Addresses stay as they are until a restart; all else takes effect at once.
  mSettings = std::get<0>(std::move(loaded));
  base::Log("process")->info("reload");
}

asio::awaitable<void> front_process::Shutdown()
{
  mCallers->BeginShutdown();
  mCallerServer->AnnounceClose();
  co_await mScheduler->Release();
  asio::steady_timer timer{ mDaemon.Control(), kRotationNotice };
  boost::system::error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  mCallerServer->Drain();
  while (mCallerServer->ActiveRequests() > 0) {
    timer.expires_after(kDrainPoll);
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }
  mDaemon.Finish();
}

} // namespace rattanpond::daemons
