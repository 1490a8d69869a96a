#pragma once

#include "base/result_code.h"
#include "base/time.h"
#include "configuration/contract.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace rattanpond::requests {

/// Enforces the request limits of the contracts: a token bucket and a number in flight for each
/// workspace. Pure.
class admission
{
public:
  struct options
  {
    /// Part of each limit that this instance may use: one divided by the number of traffic threads
    /// of all entries.
    double mShare = 1;
  };

  explicit admission(options aOptions);

  /// Returns the reason for a refusal, or nothing and counts the request as in flight.
  std::optional<base::result_code> Admit(std::string const& aWorkspace,
                                         configuration::request_limits const& aLimits,
                                         base::time_point aNow);
  void Finished(std::string const& aWorkspace);

  std::uint32_t InFlight(std::string const& aWorkspace) const;

private:
  struct usage
  {
    double mTokens = 0;
    base::time_point mRefilled{};
    std::uint32_t mInFlight = 0;
  };

  options mOptions;
  std::unordered_map<std::string, usage> mUsage;
};

} // namespace rattanpond::requests
