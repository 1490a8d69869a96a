#pragma once

#include "base/error.h"
#include "base/logging.h"
#include "base/metrics.h"
#include "base/state_dump.h"
#include "configuration/access_control.h"
#include "net/http_router.h"

#include <functional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

namespace rattanpond::daemons {

/// Facilities shared by all daemons: the control thread's io_context, signal handling, metrics, the
/// state dump and the HTTP routes that expose them. The thread that calls Run is the control
/// thread.
class daemon_process
{
public:
  struct options
  {
    std::string mName;
    base::log_level mLogLevel = base::log_level::info;
    base::log_output mLogOutput = base::log_output::standard_error;
    std::string mOperatorToken{};
    /// The process stops when a graceful shutdown exceeds this time.
    base::milliseconds mShutdownLimit{ 60'000 };
  };

  explicit daemon_process(options aOptions);

  boost::asio::io_context& Control() { return mControl; }
  base::metrics_registry& Metrics() { return mMetrics; }
  base::state_dump& StateDump() { return mStateDump; }
  net::http_router& Router() { return mRouter; }
  configuration::access_control const& Access() const { return mAccess; }

  /// The handler runs on SIGTERM or SIGINT and must lead to a call of Finish when the shutdown is
  /// complete.
  void OnShutdown(std::function<void()> aHandler) { mOnShutdown = std::move(aHandler); }
  /// The handler runs on SIGHUP, which signals that the settings file has changed.
  void OnReload(std::function<void()> aHandler) { mOnReload = std::move(aHandler); }
  /// Sets the predicate behind GET /v1/health/ready: whether the process accepts new work.
  void SetReadiness(std::function<bool()> aIsReady) { mIsReady = std::move(aIsReady); }

  /// Runs the control thread's event loop until Finish is called.
  void Run();
  void Finish();

private:
  void AddRoutes();
  void AwaitSignal();
  void HandleSignal(int aSignal);
  void BeginShutdown();

  options mOptions;
  configuration::access_control mAccess;
  boost::asio::io_context mControl{ 1 };
  boost::asio::signal_set mSignals;
  boost::asio::steady_timer mShutdownTimer;
  base::metrics_registry mMetrics;
  base::state_dump mStateDump;
  net::http_router mRouter;
  std::function<void()> mOnShutdown;
  std::function<void()> mOnReload;
  std::function<bool()> mIsReady;
  base::time_point mStartedAt = base::Now();
  bool mIsShuttingDown = false;
};

} // namespace rattanpond::daemons
