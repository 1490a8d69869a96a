#include "daemons/agent_process.h"

#include "base/identifiers.h"
#include "daemons/settings_checks.h"

#include <boost/asio/post.hpp>

namespace rattanpond::daemons {

namespace asio = boost::asio;
using membership::target_kind;
using membership::target_state;

namespace {

constexpr base::milliseconds kHeartbeatInterval{ 1000 };

membership::target_description Describe(agent_settings const& aSettings)
{
  membership::target_description target;
  target.mTarget = aSettings.mTarget;
  target.mIncarnation = base::RandomIdentifier();
  target.mKind = aSettings.mKind;
  target.mRegion = aSettings.mRegion;
  target.mDomain = aSettings.mDomain;
  target.mRack = aSettings.mRack;
  target.mControlAddress = aSettings.mControlAddress;
  target.mTrafficAddress = aSettings.mTrafficAddress;
  target.mCapacity = aSettings.mCapacity;
  target.mService = aSettings.mService;
  target.mSlots = aSettings.mKind == target_kind::executor ? aSettings.mSlots : 0;
  return target;
}

membership::hello Hello(membership::target_description const& aTarget)
{
  return { .mProcess = aTarget.mTarget,
           .mIncarnation = aTarget.mIncarnation,
           .mRole = membership::process_role::agent,
           .mRegion = aTarget.mRegion,
           .mDomain = aTarget.mDomain };
}

} // namespace

base::result<std::unique_ptr<agent_process>> agent_process::Create(agent_settings aSettings)
{
  BOOST_LEAF_AUTO(token, ReadToken(aSettings.mOperatorTokenFile));
  BOOST_LEAF_AUTO(entries, CheckAddresses("entries", aSettings.mEntries));
  std::unique_ptr<agent_process> created{ new agent_process{ std::move(aSettings), token,
                                                             std::move(entries) } };
  BOOST_LEAF_CHECK(created->Listen());
  if (created->mSettings.mKind == target_kind::executor) {
    BOOST_LEAF_CHECK(created->StartExecutor());
  } else {
    created->StartWorker();
  }
  created->StartControl();
  return created;
}

agent_process::agent_process(agent_settings aSettings, std::string const& aToken,
                             std::vector<net::tcp::endpoint> aEntries)
  : mSettings{ std::move(aSettings) }
  , mTarget{ Describe(mSettings) }
  , mProcess{ { .mName = mSettings.mTarget,
                .mLogLevel = mSettings.mLogLevel,
                .mOperatorToken = aToken,
                .mShutdownLimit = mSettings.mShutdownLimit } }
  , mEntryLinks{ mProcess.Control(),
                 { .mEntries = std::move(aEntries), .mHello = Hello(mTarget) },
                 mDispatcher }
  , mConfiguration{ mEntryLinks, {} }
  , mHeartbeatTimer{ mProcess.Control() }
  , mTrafficWorkGuard{ asio::make_work_guard(mTrafficContext) }
{
}

agent_process::~agent_process()
{
  mTrafficContext.stop();
  if (mTrafficThread.joinable()) {
    mTrafficThread.join();
  }
}

base::result<void> agent_process::Listen()
{
  BOOST_LEAF_AUTO(httpEndpoint, CheckAddress("http_address", mSettings.mHttpAddress));
  BOOST_LEAF_AUTO(controlEndpoint, CheckAddress("control_address", mSettings.mControlAddress));
  AddRoutes();
  net::http_server::options serving;
  serving.mEndpoint = httpEndpoint;
  serving.mHandler = [this](net::http_request aRequest) {
    return mProcess.Router().Handle(std::move(aRequest));
  };
  BOOST_LEAF_ASSIGN(mHttpServer, net::http_server::Create(mProcess.Control(), std::move(serving)));
  net::link_handlers handlers{
    .mOnFrame = [this](net::link_ptr const& aLink,
                       net::frame const& aFrame) { mDispatcher.Dispatch(aLink, aFrame); },
    .mOnClose = {},
  };
  BOOST_LEAF_ASSIGN(mControlServer, net::link_server::Create(mProcess.Control(), controlEndpoint,
                                                             std::move(handlers)));
  return {};
}

base::result<void> agent_process::StartExecutor()
{
  BOOST_LEAF_AUTO(trafficEndpoint, CheckAddress("traffic_address", mSettings.mTrafficAddress));
  BOOST_LEAF_AUTO(executorEndpoint, CheckAddress("executor_address", mSettings.mExecutorAddress));
  requests::executor_service::options options;
  options.mTrafficEndpoint = trafficEndpoint;
  options.mExecutorEndpoint = executorEndpoint;
  options.mIncarnation = mTarget.mIncarnation;
  options.mService = mSettings.mService;
  options.mSlots = mSettings.mSlots;
  options.mMaximumQueued = mSettings.mQueueLimit;
  options.mConnections = mSettings.mConnections;
  options.mOnStateChange = [this](target_state aState) {
    asio::post(mProcess.Control(), [this, aState] { SetState(aState); });
  };
  BOOST_LEAF_ASSIGN(mExecutor, requests::executor_service::Create(
                                 mTrafficContext, std::move(options), mProcess.Metrics()));
  mTrafficThread = std::thread{ [this] { mTrafficContext.run(); } };
  return {};
}

void agent_process::StartWorker()
{
  auto const endpoint = net::ParseEndpoint(mSettings.mRunnerAddress).value();
  mRunner = std::make_unique<platform::http_task_runner>(
    mProcess.Control(), platform::platform_client::options{ .mEndpoints = { endpoint },
                                                            .mClientName = mSettings.mTarget });
  scheduling::worker_service::options options;
  options.mTarget = mTarget;
  options.mMayStart = [this]() -> base::result<void> {
    if (mTarget.mState == target_state::draining) {
      return base::Fail(base::result_code::target_draining, "the worker is draining");
    }
    if (!mConfiguration.MayStart(mTarget.mDomain)) {
      return base::Fail(base::result_code::start_gate_closed,
                        "the failure domain is out of service, or its state is not confirmed");
    }
    return {};
  };
  mWorker =
    std::make_unique<scheduling::worker_service>(mProcess.Control(), *mRunner, std::move(options));
  mWorker->Register(mDispatcher);
  mWorker->Register(mProcess.StateDump());
  mWorker->Attach(mEntryLinks);
  mWorker->Start();
}

void agent_process::StartControl()
{
  mConfiguration.Register(mDispatcher);
  mConfiguration.Register(mProcess.StateDump());
  mEntryLinks.Register(mProcess.StateDump());
  mProcess.StateDump().Register("target", [this] { return base::Encode(mTarget); });
  mDispatcher.On<membership::hello>(
    [this](net::link_ptr const& aLink, membership::hello const& aHello) {
      mConfiguration.HelloReceived(aLink, aHello);
    });
  mEntryLinks.OnOpen(
    [this](net::link_ptr const& aLink) { aLink->Send(membership::announce{ mTarget }); });
  mEntryLinks.Start();
  ScheduleHeartbeat();
  mProcess.OnShutdown([this] { BeginShutdown(); });
  base::Log("process")->info("Agent of {} {} started.", base::Name(mTarget.mKind), mTarget.mTarget);
}

void agent_process::AddRoutes()
{
  auto const add = [this](std::string_view aPath, target_state aState) {
    mProcess.Router().Add(
      "POST", aPath,
      [this, aState](net::routed_request aRequest) -> asio::awaitable<net::http_response> {
        auto const allowed = base::Capture([&] {
          return mProcess.Access().CheckOperator(aRequest.mRequest.mHeaders.Value("Authorization"));
        });
        if (!base::Succeeded(allowed)) {
          co_return net::ErrorResponse(base::Error(allowed));
        }
        SetState(aState);
        co_return net::JsonResponse(200, base::json{ { "state", base::Name(aState) } });
      });
  };
  // An executor reports its state through its own health endpoint, so only a worker's state is set
  // here.
  if (mSettings.mKind == target_kind::worker) {
    add("/v1/target/drain", target_state::draining);
    add("/v1/target/serve", target_state::serving);
  }
}

void agent_process::SetState(target_state aState)
{
  if (mTarget.mState == aState) {
    return;
  }
  mTarget.mState = aState;
  base::Log("process")->info("Target {} changed its state to {}.", mTarget.mTarget,
                             base::Name(aState));
  mEntryLinks.Broadcast(membership::announce{ mTarget });
}

void agent_process::ScheduleHeartbeat()
{
  mHeartbeatTimer.expires_after(kHeartbeatInterval);
  mHeartbeatTimer.async_wait([this](boost::system::error_code aFailure) {
    if (!aFailure) {
      SendHeartbeat();
      ScheduleHeartbeat();
    }
  });
}

void agent_process::SendHeartbeat()
{
  membership::target_heartbeat message;
  if (mExecutor) {
    message.mQueued = mExecutor->Queued();
    message.mRunning = mExecutor->Running();
  }
  mEntryLinks.Broadcast(message);
}

void agent_process::BeginShutdown()
{
  SetState(target_state::draining);
  if (mWorker) {
    // Tasks continue under the runner's leases; the agent that replaces this process adopts them.
    mWorker->Drain();
    mProcess.Finish();
    return;
  }
  asio::post(mTrafficContext, [this] {
    mExecutor->Drain([this] { asio::post(mProcess.Control(), [this] { mProcess.Finish(); }); });
  });
}

} // namespace rattanpond::daemons
