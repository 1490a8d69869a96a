#pragma once

#include "platform/deployment_settings.h"

namespace rattanpond::daemons {

/// Endpoint on which a process accepts links from the other processes: the first internal port.
inline base::result<net::tcp::endpoint> LinkEndpoint(platform::deployment_settings const& aSettings)
{
  return net::ParseEndpoint(aSettings.mAddress + ":" + std::to_string(aSettings.mInternalPort));
}

/// Metrics port. deploy/system.toml lists the same number.
inline constexpr std::uint16_t kMetricsPort = 7010;

inline base::result<net::tcp::endpoint> MetricsEndpoint(
  platform::deployment_settings const& aSettings)
{
  return net::ParseEndpoint(aSettings.mAddress + ":" + std::to_string(kMetricsPort));
}

} // namespace rattanpond::daemons
