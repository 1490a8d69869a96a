#include "requests/executor_service.h"

#include "base/logging.h"
#include "net/frame_dispatcher.h"
#include "net/http_client.h"
#include "net/link_server.h"
#include "requests/execution_ledger.h"
#include "requests/executor_call.h"

#include <algorithm>
#include <atomic>
#include <map>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace rattanpond::requests {

namespace asio = boost::asio;
using membership::target_state;

namespace {

// Upper bound on the time from the deadline of a queued attempt to its time-out answer.
constexpr base::milliseconds kTickPeriod{ 20 };
constexpr base::milliseconds kReportPeriod{ 1000 };

} // namespace

class executor_service::implementation : public std::enable_shared_from_this<implementation>
{
public:
  implementation(asio::io_context& aContext, options aOptions, base::metrics_registry& aMetrics)
    : mContext{ aContext }
    , mOptions{ std::move(aOptions) }
    , mStart{ base::Now() }
    , mLedger{ { .mIncarnation = mOptions.mIncarnation,
                 .mService = mOptions.mService,
                 .mSlots = mOptions.mSlots,
                 .mMaximumQueued = mOptions.mMaximumQueued,
                 .mStart = mStart,
                 .mHistory = { .mRetention = mOptions.mHistoryRetention } } }
    , mClient{ aContext,
               { .mEndpoint = mOptions.mExecutorEndpoint,
                 .mMaximumConnections = mOptions.mConnections } }
    , mHealthClient{ aContext,
                     { .mEndpoint = mOptions.mExecutorEndpoint, .mMaximumConnections = 1 } }
    , mTickTimer{ aContext }
    , mHealthTimer{ aContext }
    , mExecutions{ aMetrics.Counter("rattanpond_executor_executions_total") }
    , mServiceTime{ aMetrics.Histogram("rattanpond_executor_service_seconds") }
    , mLog{ base::Log("executor") }
  {
  }

  base::result<void> Start()
  {
    auto const self = weak_from_this();
    RegisterHandlers();
    net::link_handlers handlers{
      .mOnFrame =
        [self](net::link_ptr const& aLink, net::frame const& aFrame) {
          if (auto const live = self.lock()) {
            live->mDispatcher.Dispatch(aLink, aFrame);
          }
        },
      .mOnClose =
        [self](net::link_ptr const& aLink, base::error const&) {
          if (auto const live = self.lock()) {
            live->HandleClosedLink(aLink);
          }
        },
    };
    auto const opened = [self](net::link_ptr const& aLink) {
      if (auto const live = self.lock()) {
        live->HandleOpenedLink(aLink);
      }
    };
    BOOST_LEAF_AUTO(server, net::link_server::Create(mContext, mOptions.mTrafficEndpoint,
                                                     std::move(handlers), opened));
    mServer = std::move(server);
    Tick();
    asio::co_spawn(
      mContext, [live = shared_from_this()] { return live->PollHealth(); }, asio::detached);
    return {};
  }

  void Stop()
  {
    mIsStopped = true;
    mServer.reset();
    mTickTimer.cancel();
    mHealthTimer.cancel();
    for (auto const& [id, link] : mLinks) {
      link->Close(
        { .mCode = base::result_code::shutting_down, .mMessage = "the agent is stopping" });
    }
  }

  void Drain(std::function<void()> aDone)
  {
    mIsDraining = true;
    mOnDrained = std::move(aDone);
    ApplyState();
    NotifyIfDrained();
  }

  net::tcp::endpoint Endpoint() const { return mServer->Endpoint(); }
  target_state State() const { return mLedger.State(); }
  std::uint32_t Queued() const { return mQueued.load(std::memory_order_relaxed); }
  std::uint32_t Running() const { return mRunning.load(std::memory_order_relaxed); }

  base::json StateDump() const
  {
    return { { "state", base::Name(mLedger.State()) },
             { "incarnation", mOptions.mIncarnation },
             { "queued", mLedger.Queued() },
             { "running", mLedger.Running() },
             { "remembered_attempts", mLedger.History().Size() },
             { "remembered_body_bytes", mLedger.History().BodyBytes() },
             { "links", mLinks.size() },
             { "executor_connections", mClient.OpenConnections() } };
  }

private:
  template<class Message>
  void On(void (execution_ledger::*aEvent)(peer_id, Message const&, base::time_point,
                                           execution_ledger::actions&))
  {
    mDispatcher.On<Message>([this, aEvent](net::link_ptr const& aLink, Message aMessage) {
      execution_ledger::actions actions;
      (mLedger.*aEvent)(PeerOf(aLink), aMessage, base::Now(), actions);
      Perform(std::move(actions));
    });
  }

  void RegisterHandlers()
  {
    mDispatcher.On<dispatch>([this](net::link_ptr const& aLink, dispatch aMessage) {
      execution_ledger::actions actions;
      mLedger.Dispatch(PeerOf(aLink), std::move(aMessage), base::Now(), actions);
      Perform(std::move(actions));
    });
    On<cancel>(&execution_ledger::Cancel);
    On<resolve>(&execution_ledger::Resolve);
  }

  peer_id PeerOf(net::link_ptr const& aLink) const
  {
    auto const found = mPeers.find(aLink.get());
    return found == mPeers.end() ? 0 : found->second;
  }

  void HandleOpenedLink(net::link_ptr const& aLink)
  {
    auto const id = ++mLastPeer;
    mLinks[id] = aLink;
    mPeers[aLink.get()] = id;
    aLink->Send(MakeLoadReport());
  }

  void HandleClosedLink(net::link_ptr const& aLink)
  {
    auto const id = PeerOf(aLink);
    mLinks.erase(id);
    mPeers.erase(aLink.get());
    mLedger.RemovePeer(id);
  }

  load_report MakeLoadReport() const
  {
    return { .mIncarnation = mOptions.mIncarnation,
             .mState = mLedger.State(),
             .mQueued = static_cast<std::uint32_t>(mLedger.Queued()),
             .mRunning = static_cast<std::uint32_t>(mLedger.Running()),
             .mAgentClock = base::Now() - mStart };
  }

  void BroadcastReport()
  {
    auto const frame = net::EncodeFrame(MakeLoadReport());
    for (auto const& [id, link] : mLinks) {
      link->SendBytes(frame);
    }
  }

  void Perform(execution_ledger::actions aActions)
  {
    for (auto& action : aActions) {
      std::visit([this](auto& aAction) { PerformOne(aAction); }, action);
    }
    mQueued.store(static_cast<std::uint32_t>(mLedger.Queued()), std::memory_order_relaxed);
    mRunning.store(static_cast<std::uint32_t>(mLedger.Running()), std::memory_order_relaxed);
    NotifyIfDrained();
  }

  void PerformOne(start_execution const& aAction)
  {
    mExecutions.Add();
    asio::co_spawn(
      mContext,
      [self = shared_from_this(), message = aAction.mDispatch, deadline = aAction.mDeadline] {
        return self->Execute(message, deadline);
      },
      asio::detached);
  }

  void PerformOne(send_answer const& aAction) { Send(aAction.mPeer, *aAction.mAnswer); }
  void PerformOne(send_resolve_reply const& aAction) { Send(aAction.mPeer, aAction.mReply); }

  template<net::message Message>
  void Send(peer_id aPeer, Message const& aMessage)
  {
    auto const found = mLinks.find(aPeer);
    if (found != mLinks.end()) {
      found->second->Send(aMessage);
    }
  }

  asio::awaitable<void> Execute(std::shared_ptr<dispatch const> aDispatch,
                                base::time_point aDeadline)
  {
    auto const self = shared_from_this();
    auto const begin = std::chrono::steady_clock::now();
    auto const remaining = std::max(base::milliseconds{ 1 }, aDeadline - base::Now());
    auto reply = co_await mClient.Send(
      ToExecutorRequest(*aDispatch, mOptions.mExecutorPath, remaining), remaining);
    auto ended = FromExecutorReply(aDispatch->mRepeatability, std::move(reply));
    auto const elapsed = std::chrono::steady_clock::now() - begin;
    if (ended.mProof == run_proof::may_have_run) {
      ended.mServiceMicroseconds = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(elapsed).count());
      mServiceTime.Record(std::chrono::duration<double>(elapsed).count());
    }
    execution_ledger::actions actions;
    mLedger.Finished(aDispatch->mAttempt, std::move(ended), base::Now(), actions);
    Perform(std::move(actions));
  }

  void Tick()
  {
    execution_ledger::actions actions;
    auto const now = base::Now();
    mLedger.Expire(now, actions);
    Perform(std::move(actions));
    if (now >= mNextReport) {
      mNextReport = now + kReportPeriod;
      BroadcastReport();
    }
    mTickTimer.expires_after(kTickPeriod);
    mTickTimer.async_wait([self = weak_from_this()](boost::system::error_code aFailure) {
      auto const live = self.lock();
      if (!aFailure && live && !live->mIsStopped) {
        live->Tick();
      }
    });
  }

  asio::awaitable<void> PollHealth()
  {
    auto const self = shared_from_this();
    while (!mIsStopped) {
      net::http_request request;
      request.mTarget = mOptions.mHealthPath;
      auto const reply = co_await mHealthClient.Send(std::move(request), mOptions.mHealthTimeout);
      if (base::Succeeded(reply)) {
        ReadHealth(std::get<0>(reply).mBody);
      }
      mHealthTimer.expires_after(mOptions.mHealthPeriod);
      boost::system::error_code ignored;
      co_await mHealthTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
  }

  void ReadHealth(std::string const& aBody)
  {
    auto const document = base::json::parse(aBody, nullptr, false);
    if (!document.is_object() || !document.contains("state") || !document["state"].is_string()) {
      return;
    }
    auto const state =
      base::ParseEnum<target_state>(document["state"].get_ref<std::string const&>());
    if (state && !mIsStopped) {
      mExecutorState = *state;
      ApplyState();
    }
  }

  void ApplyState()
  {
    auto const state = mIsDraining ? target_state::draining : mExecutorState;
    if (state == mLedger.State()) {
      return;
    }
    mLedger.SetState(state);
    mLog->info("The state of the target is now {}.", base::Name(state));
    BroadcastReport();
    if (mOptions.mOnStateChange) {
      mOptions.mOnStateChange(state);
    }
  }

  void NotifyIfDrained()
  {
    auto const isFlushed =
      std::ranges::all_of(mLinks, [](auto const& aEntry) { return aEntry.second->IsFlushed(); });
    // The process may end after this callback, so all answers must be written to the links before.
    // Tick repeats this check.
    if (mOnDrained && isFlushed && mLedger.Queued() + mLedger.Running() == 0) {
      asio::post(mContext, std::exchange(mOnDrained, nullptr));
    }
  }

  asio::io_context& mContext;
  options mOptions;
  base::time_point mStart;
  execution_ledger mLedger;
  net::http_client mClient;
  // A separate client, so that health queries work while all request connections are in use.
  net::http_client mHealthClient;
  asio::steady_timer mTickTimer;
  asio::steady_timer mHealthTimer;
  base::counter& mExecutions;
  base::duration_histogram& mServiceTime;
  std::shared_ptr<spdlog::logger> mLog;
  net::frame_dispatcher mDispatcher;
  std::unique_ptr<net::link_server> mServer;
  std::map<peer_id, net::link_ptr> mLinks;
  std::map<net::link*, peer_id> mPeers;
  peer_id mLastPeer = 0;
  target_state mExecutorState = target_state::serving;
  bool mIsDraining = false;
  bool mIsStopped = false;
  base::time_point mNextReport{};
  std::function<void()> mOnDrained;
  std::atomic<std::uint32_t> mQueued = 0;
  std::atomic<std::uint32_t> mRunning = 0;
};

base::result<std::unique_ptr<executor_service>> executor_service::Create(
  asio::io_context& aContext, options aOptions, base::metrics_registry& aMetrics)
{
  auto created = std::make_shared<implementation>(aContext, std::move(aOptions), aMetrics);
  BOOST_LEAF_CHECK(created->Start());
  return std::unique_ptr<executor_service>{ new executor_service{ std::move(created) } };
}

executor_service::executor_service(std::shared_ptr<implementation> aImplementation)
  : mImplementation{ std::move(aImplementation) }
{
}

executor_service::~executor_service()
{
  mImplementation->Stop();
}

net::tcp::endpoint executor_service::Endpoint() const
{
  return mImplementation->Endpoint();
}

target_state executor_service::State() const
{
  return mImplementation->State();
}

std::uint32_t executor_service::Queued() const
{
  return mImplementation->Queued();
}

std::uint32_t executor_service::Running() const
{
  return mImplementation->Running();
}

void executor_service::Drain(std::function<void()> aDone)
{
  mImplementation->Drain(std::move(aDone));
}

base::json executor_service::StateDump() const
{
  return mImplementation->StateDump();
}

} // namespace rattanpond::requests
