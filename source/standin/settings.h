#pragma once

#include "base/codec.h"
#include "base/logging.h"

#include <string>
#include <vector>

namespace rattanpond::standin {

/// Settings of a simulated worker with its task runner.
struct worker_settings
{
  std::string mName;
  std::string mEndpoint;
  std::uint32_t mAccelerators = 8;

  static constexpr auto Fields()
  {
    return std::make_tuple(base::Required("name", &worker_settings::mName),
                           base::Required("endpoint", &worker_settings::mEndpoint),
                           base::Field("accelerators", &worker_settings::mAccelerators));
  }
};

/// Settings of a simulated executor of a service.
struct executor_settings
{
  std::string mName;
  std::string mEndpoint;
  std::string mService;
  /// Number of requests that the executor is meant to run at the same time. The limit is not
  /// enforced: requests beyond it run and are counted.
  std::uint32_t mSlots = 8;

  static constexpr auto Fields()
  {
    return std::make_tuple(base::Required("name", &executor_settings::mName),
                           base::Required("endpoint", &executor_settings::mEndpoint),
                           base::Required("service", &executor_settings::mService),
                           base::Field("slots", &executor_settings::mSlots, { 1, 10'000 }));
  }
};

/// Settings of rattanpond-standin.
struct settings
{
  base::log_level mLogLevel = base::log_level::info;
  /// Endpoint of the control server for fault injection, see docs/platform.md.
  std::string mControlEndpoint;
  /// Endpoint of the server for the table and the object store.
  std::string mTableEndpoint;
  std::vector<worker_settings> mWorkers;
  std::vector<executor_settings> mExecutors;
  /// The resource usage that a task runner reports is between one and two of these periods old.
  base::milliseconds mUsageLag{ 5000 };
  /// A task runner ends a task that ignores a stop after this time.
  base::milliseconds mForceAfter{ 5000 };
  /// Time that running requests have to finish after SIGTERM or SIGINT.
  base::milliseconds mShutdownLimit{ 5000 };

  static constexpr auto Fields()
  {
    return std::make_tuple(
      base::Field("log_level", &settings::mLogLevel),
      base::Required("control_endpoint", &settings::mControlEndpoint),
      base::Required("table_endpoint", &settings::mTableEndpoint),
      base::Field("workers", &settings::mWorkers), base::Field("executors", &settings::mExecutors),
      base::Field("usage_lag_ms", &settings::mUsageLag, { 0, 600'000 }),
      base::Field("force_after_ms", &settings::mForceAfter, { 0, 600'000 }),
      base::Field("shutdown_limit_ms", &settings::mShutdownLimit, { 0, 600'000 }));
  }
};

/// Checks that endpoints are valid and that names are present and unique.
base::result<void> Validate(settings const& aSettings);

} // namespace rattanpond::standin
