#include "daemons/daemon_process.h"

#include "base/program.h"

#include <csignal>

#include <sys/resource.h>

#include <boost/asio/executor_work_guard.hpp>

namespace rattanpond::daemons {

namespace asio = boost::asio;
using net::http_response;
using net::routed_request;

namespace {

constexpr double kMicrosecondsPerSecond = 1e6;

base::json ResourceUsage(base::time_point aStartedAt)
{
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  auto const seconds = [](timeval const& aTime) {
    return static_cast<double>(aTime.tv_sec) +
           static_cast<double>(aTime.tv_usec) / kMicrosecondsPerSecond;
  };
  return {
    { "uptime_ms", (base::Now() - aStartedAt).count() },
    { "cpu_seconds", seconds(usage.ru_utime) + seconds(usage.ru_stime) },
    { "peak_memory_kibibytes", usage.ru_maxrss },
  };
}

} // namespace

daemon_process::daemon_process(options aOptions)
  : mOptions{ std::move(aOptions) }
  , mAccess{ mOptions.mOperatorToken }
  , mSignals{ mControl, SIGTERM, SIGINT, SIGUSR1 }
  , mShutdownTimer{ mControl }
{
  mSignals.add(SIGHUP);
  base::ConfigureLogging(mOptions.mLogLevel, mOptions.mName, mOptions.mLogOutput);
  mStateDump.Register("process", [this] {
    auto document = ResourceUsage(mStartedAt);
    document["name"] = mOptions.mName;
    document["version"] = base::kVersion;
    document["shutting_down"] = mIsShuttingDown;
    return document;
  });
  AddRoutes();
}

void daemon_process::AddRoutes()
{
  mRouter.Add("GET", "/v1/health/live", [](routed_request) -> asio::awaitable<http_response> {
    co_return net::JsonResponse(200, { { "live", true } });
  });
  mRouter.Add("GET", "/v1/health/ready", [this](routed_request) -> asio::awaitable<http_response> {
    auto const isReady = !mIsShuttingDown && (!mIsReady || mIsReady());
    co_return net::JsonResponse(isReady ? 200 : 503, { { "ready", isReady } });
  });
  mRouter.Add("GET", "/metrics", [this](routed_request) -> asio::awaitable<http_response> {
    http_response response;
    response.mHeaders.Add("Content-Type", "text/plain; version=0.0.4");
    response.mBody = mMetrics.Exposition();
    co_return response;
  });
  mRouter.Add("GET", "/v1/state",
              [this](routed_request aRequest) -> asio::awaitable<http_response> {
                auto const allowed = base::Capture([&] {
                  return mAccess.CheckOperator(aRequest.mRequest.mHeaders.Value("Authorization"));
                });
                if (!base::Succeeded(allowed)) {
                  co_return net::ErrorResponse(base::Error(allowed));
                }
                co_return net::JsonResponse(200, mStateDump.Collect());
              });
}

void daemon_process::Run()
{
  AwaitSignal();
  auto const work = asio::make_work_guard(mControl);
  mControl.run();
}

void daemon_process::Finish()
{
  base::Log("process")->info("Stopped.");
  mControl.stop();
}

void daemon_process::AwaitSignal()
{
  mSignals.async_wait([this](boost::system::error_code aFailure, int aSignal) {
    if (!aFailure) {
      HandleSignal(aSignal);
      AwaitSignal();
    }
  });
}

void daemon_process::HandleSignal(int aSignal)
{
  if (aSignal == SIGUSR1) {
    base::Log("process")->info("State: {}", mStateDump.Collect().dump());
    return;
  }
  if (aSignal == SIGHUP) {
    base::Log("process")->info("Reload requested.");
    if (mOnReload) {
      mOnReload();
    }
    return;
  }
  BeginShutdown();
}

void daemon_process::BeginShutdown()
{
  if (mIsShuttingDown) {
    return;
  }
  mIsShuttingDown = true;
  base::Log("process")->info("Graceful shutdown started.");
  mShutdownTimer.expires_after(mOptions.mShutdownLimit);
  mShutdownTimer.async_wait([this](boost::system::error_code aFailure) {
    if (!aFailure) {
      base::Log("process")->warn("The graceful shutdown exceeded its time limit; stopping now.");
      Finish();
    }
  });
  if (mOnShutdown) {
    mOnShutdown();
  } else {
    Finish();
  }
}

} // namespace rattanpond::daemons
