#pragma once

#include "platform/deployment_settings.h"

namespace rattanpond::daemons {

/// Port of the links between our processes: the first internal one.
inline base::result<net::tcp::endpoint> LinkEndpoint(platform::deployment_settings const& aSettings)
{
  return net::ParseEndpoint(aSettings.mAddress + ":" + std::to_string(aSettings.mInternalPort));
}

/// deploy/system.toml names this port for the metrics.
inline constexpr std::uint16_t kMetricsPort = 7010;

inline base::result<net::tcp::endpoint> MetricsEndpoint(
  platform::deployment_settings const& aSettings)
{
  return net::ParseEndpoint(aSettings.mAddress + ":" + std::to_string(kMetricsPort));
}

} // namespace rattanpond::daemons
