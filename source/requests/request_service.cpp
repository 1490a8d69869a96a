#include "requests/request_service.h"

#include "requests/admission.h"
#include "requests/request_runner.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <mutex>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace rattanpond::requests {

namespace asio = boost::asio;
using base::result_code;

namespace {

constexpr base::milliseconds kDumpPeriod{ 500 };

/// Ends the admission of a request when its coroutine ends, on every path.
class admitted_request
{
public:
  admitted_request(admission& aAdmission, std::string aWorkspace)
    : mAdmission{ aAdmission }
    , mWorkspace{ std::move(aWorkspace) }
  {
  }
  ~admitted_request() { mAdmission.Finished(mWorkspace); }
  admitted_request(admitted_request const&) = delete;
  admitted_request& operator=(admitted_request const&) = delete;

private:
  admission& mAdmission;
  std::string mWorkspace;
};

request_result Refusal(result_code aCode, std::string aMessage)
{
  return MakeResult(outcome::refused_not_run, aCode, std::move(aMessage));
}

} // namespace

class request_service::implementation : public std::enable_shared_from_this<implementation>
{
public:
  implementation(asio::io_context& aContext, options aOptions, platform::table_service& aTable,
                 configuration::access_control const& aAccess, base::metrics_registry& aMetrics)
    : mContext{ aContext }
    , mOptions{ aOptions }
    , mAccess{ aAccess }
    , mAdmission{ { .mShare = aOptions.mLimitShare } }
    , mRunner{ std::make_shared<request_runner>(
        aContext,
        request_runner::options{
          .mRouter = { .mPolicy = aOptions.mPolicy, .mSeed = aOptions.mSeed },
          .mClaims = { .mCommitTimeLimit = aOptions.mClaimTimeLimit } },
        aTable, aMetrics) }
    , mDumpTimer{ aContext }
    , mDuration{ aMetrics.Histogram("rattanpond_requests_seconds") }
  {
    for (auto const& entry : base::enum_names<outcome>::kTable) {
      mOutcomes.at(static_cast<std::size_t>(entry.mValue)) =
        &aMetrics.Counter("rattanpond_requests_" + std::string{ entry.mName } + "_total");
    }
    mRunner->Start();
  }

  asio::io_context& Context() { return mContext; }
  request_runner& Runner() { return *mRunner; }

  void Stop()
  {
    mIsStopped = true;
    mDumpTimer.cancel();
    mRunner->Stop();
  }

  void SetPeers(std::vector<std::shared_ptr<implementation>> aPeers)
  {
    for (auto const& peer : aPeers) {
      if (peer.get() != this) {
        mPeers.emplace_back(peer);
      }
    }
  }

  template<class Function>
  void Post(Function aFunction)
  {
    asio::post(mContext, [self = shared_from_this(), function = std::move(aFunction)] {
      if (!self->mIsStopped) {
        function(*self);
      }
    });
  }

  void SetConfiguration(std::shared_ptr<configuration::configuration_snapshot const> aSnapshot)
  {
    mConfiguration = std::move(aSnapshot);
    mRunner->SetConfiguration(mConfiguration);
  }

  void SetAdmissionState(admission_state aState) { mAdmissionState = aState; }

  asio::awaitable<net::http_response> Serve(net::routed_request aRequest)
  {
    auto const self = shared_from_this();
    auto const begin = std::chrono::steady_clock::now();
    auto result = co_await Answer(std::move(aRequest));
    auto const elapsed = std::chrono::steady_clock::now() - begin;
    mDuration.Record(std::chrono::duration<double>(elapsed).count());
    mOutcomes.at(static_cast<std::size_t>(result.mOutcome))->Add();
    co_return ToResponse(std::move(result));
  }

  asio::awaitable<net::http_response> ServeCancel(net::routed_request aRequest)
  {
    auto const self = shared_from_this();
    auto const workspace =
      std::string{ aRequest.mRequest.mHeaders.Value("X-Rattanpond-Workspace") };
    auto const checked = base::Capture([&] { return CheckCaller(aRequest, workspace); });
    if (!base::Succeeded(checked)) {
      co_return net::ErrorResponse(base::Error(checked));
    }
    auto const service = aRequest.mPath["service"];
    auto const key = aRequest.mPath["key"];
    auto count = mRunner->Cancel(workspace, service, key);
    for (auto const& weak : mPeers) {
      if (auto const peer = weak.lock()) {
        count += co_await asio::co_spawn(peer->mContext, CancelAt(peer, workspace, service, key),
                                         asio::use_awaitable);
      }
    }
    if (count == 0) {
      co_return net::ErrorResponse(
        { result_code::not_found, "this process has no active request with the idempotency key" });
    }
    co_return net::JsonResponse(200, { { "cancelled", count } });
  }

  void PublishDump()
  {
    auto dump = std::make_shared<base::json const>(mRunner->StateDump());
    {
      std::lock_guard const lock{ mDumpMutex };
      mDump = std::move(dump);
    }
    mDumpTimer.expires_after(kDumpPeriod);
    mDumpTimer.async_wait([self = weak_from_this()](boost::system::error_code aFailure) {
      auto const live = self.lock();
      if (!aFailure && live && !live->mIsStopped) {
        live->PublishDump();
      }
    });
  }

  base::json StateDump() const
  {
    std::shared_ptr<base::json const> dump;
    {
      std::lock_guard const lock{ mDumpMutex };
      dump = mDump;
    }
    return dump ? *dump : base::json::object();
  }

  std::size_t Active() const { return mActive.load(std::memory_order_relaxed); }

private:
  static asio::awaitable<std::size_t> CancelAt(std::shared_ptr<implementation> aPeer,
                                               std::string aWorkspace, std::string aService,
                                               std::string aKey)
  {
    co_return aPeer->mRunner->Cancel(aWorkspace, aService, aKey);
  }

  base::result<configuration::contract> CheckCaller(net::routed_request const& aRequest,
                                                    std::string const& aWorkspace) const
  {
    if (!mConfiguration) {
      return base::Fail(result_code::not_synchronized, "the configuration is not loaded yet");
    }
    auto const found = mConfiguration->mContracts.find(aWorkspace);
    if (found == mConfiguration->mContracts.end()) {
      return base::Fail(result_code::unknown_workspace,
                        "no contract for workspace '" + aWorkspace + "'");
    }
    auto const authorization = aRequest.mRequest.mHeaders.Value("Authorization");
    BOOST_LEAF_CHECK(mAccess.CheckCaller(authorization, found->second));
    return found->second;
  }

  std::optional<request_result> CheckState() const
  {
    switch (mAdmissionState) {
      case admission_state::open:
        break;
      case admission_state::not_ready:
        return Refusal(result_code::not_synchronized, "this entry is not ready");
      case admission_state::draining:
        return Refusal(result_code::shutting_down, "this entry is shutting down");
    }
    if (mActive >= mOptions.mMaximumActive) {
      return Refusal(result_code::queue_full,
                     "this entry has reached its maximum number of active requests");
    }
    return std::nullopt;
  }

  asio::awaitable<request_result> Answer(net::routed_request aRequest)
  {
    if (auto const refusal = CheckState()) {
      co_return *refusal;
    }
    auto const workspace =
      std::string{ aRequest.mRequest.mHeaders.Value("X-Rattanpond-Workspace") };
    request_limits limits;
    auto parsed = base::Capture([&]() -> base::result<request_description> {
      BOOST_LEAF_AUTO(contract, CheckCaller(aRequest, workspace));
      limits = contract.mRequests;
      return ParseRequest(std::move(aRequest), contract.mUrgency);
    });
    if (!base::Succeeded(parsed)) {
      auto const& failure = base::Error(parsed);
      co_return Refusal(failure.mCode, failure.mMessage);
    }
    if (auto const refused = mAdmission.Admit(workspace, limits, base::Now())) {
      co_return Refusal(*refused, "the workspace has reached its request limits");
    }
    admitted_request const admitted{ mAdmission, workspace };
    ++mActive;
    auto result = co_await mRunner->Run(std::get<0>(std::move(parsed)));
    --mActive;
    co_return result;
  }

  using request_limits = configuration::request_limits;

  asio::io_context& mContext;
  options mOptions;
  configuration::access_control const& mAccess;
  admission mAdmission;
  std::shared_ptr<request_runner> mRunner;
  std::vector<std::weak_ptr<implementation>> mPeers;
  std::shared_ptr<configuration::configuration_snapshot const> mConfiguration;
  admission_state mAdmissionState = admission_state::not_ready;
  std::atomic<std::size_t> mActive = 0;
  bool mIsStopped = false;
  asio::steady_timer mDumpTimer;
  mutable std::mutex mDumpMutex;
  std::shared_ptr<base::json const> mDump;
  base::duration_histogram& mDuration;
  std::array<base::counter*, std::size(base::enum_names<outcome>::kTable)> mOutcomes{};
};

request_service::request_service(asio::io_context& aContext, options aOptions,
                                 platform::table_service& aTable,
                                 configuration::access_control const& aAccess,
                                 base::metrics_registry& aMetrics)
  : mImplementation{ std::make_shared<implementation>(aContext, aOptions, aTable, aAccess,
                                                      aMetrics) }
{
  mImplementation->Post([](implementation& aService) { aService.PublishDump(); });
}

request_service::~request_service()
{
  mImplementation->Stop();
}

void request_service::Register(net::http_router& aRouter)
{
  aRouter.Add("POST", "/v1/services/{service}/requests",
              [service = mImplementation](net::routed_request aRequest) {
                return service->Serve(std::move(aRequest));
              });
  aRouter.Add("DELETE", "/v1/services/{service}/requests/{key}",
              [service = mImplementation](net::routed_request aRequest) {
                return service->ServeCancel(std::move(aRequest));
              });
}

void request_service::SetPeers(std::vector<request_service*> aPeers)
{
  std::vector<std::shared_ptr<implementation>> peers;
  peers.reserve(aPeers.size());
  for (auto* const peer : aPeers) {
    peers.push_back(peer->mImplementation);
  }
  mImplementation->SetPeers(std::move(peers));
}

void request_service::UpdateTargets(
  std::shared_ptr<std::vector<membership::target_description> const> aTargets)
{
  mImplementation->Post([targets = std::move(aTargets)](implementation& aService) {
    aService.Runner().Update(*targets);
  });
}

void request_service::UpdateConfiguration(
  std::shared_ptr<configuration::configuration_snapshot const> aConfiguration)
{
  mImplementation->Post([snapshot = std::move(aConfiguration)](implementation& aService) {
    aService.SetConfiguration(snapshot);
  });
}

void request_service::SetAdmissionState(admission_state aState)
{
  mImplementation->Post([aState](implementation& aService) { aService.SetAdmissionState(aState); });
}

std::size_t request_service::Active() const
{
  return mImplementation->Active();
}

base::json request_service::StateDump() const
{
  return mImplementation->StateDump();
}

} // namespace rattanpond::requests
