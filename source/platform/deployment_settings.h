#pragma once

#include "base/error.h"
#include "base/time.h"
#include "net/endpoint.h"

#include <optional>
#include <string>

namespace rattanpond::platform {

/// Settings of a process, read from the JSON file that the platform provides.
struct deployment_settings
{
  std::string mNode{};
  std::string mFailureDomain{};
  std::string mAddress{};
  /// Listens here for callers; fronts only.
  std::optional<net::tcp::endpoint> mCallers{};
  std::optional<net::tcp::endpoint> mReadiness{};
  /// Listens here for heartbeats of the worker on this instance; side agents only.
  std::optional<net::tcp::endpoint> mHeartbeats{};
  /// API of the worker on this instance; side agents only.
  std::optional<net::tcp::endpoint> mWorker{};
  std::optional<net::tcp::endpoint> mAdvice{};
  net::tcp::endpoint mStore{};
  /// First of the ports reserved for links between rattanpond processes.
  std::uint16_t mInternalPort = 7000;
  std::size_t mMaximumBodyBytes = 262'144;
  /// Largest value of a row of the store.
  std::size_t mMaximumRowBytes = 65'536;

  base::milliseconds mMaximumLease{ 10'000 };
  base::milliseconds mRevocationLimit{ 5'000 };
  /// Longest time until a confirmed change of the configuration is in force at every front.
  base::milliseconds mConfigurationDelay{ 2'000 };
  /// Longest time that a worker takes to stop a run.
  base::milliseconds mStopTime{ 500 };
  /// An order that a worker leaves unanswered is carried out at most this much later. The
  /// platform's settings do not state it; the users describe such orders as 2 to 12 s late.
  base::milliseconds mLateOrderBound{ 12'000 };
  base::milliseconds mTerminationGracePeriod{ 6'000 };
  base::milliseconds mStatusRetention{ 120'000 };
};

/// Environment variable that names the settings file.
inline constexpr char const* kSettingsVariable = "RATTANPOND_CONFIG";

base::result<deployment_settings> ParseDeploymentSettings(std::string const& aText);
base::result<deployment_settings> LoadDeploymentSettings();

} // namespace rattanpond::platform
