#pragma once

#include "base/result_code.h"
#include "base/time.h"
#include "configuration/contract.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace rattanpond::requests {

/// Enforces the request limits of the contracts: a token bucket and a maximum number of requests in
/// flight for each workspace. Has no I/O; callers pass the time.
class admission
{
public:
  struct options
  {
    /// Fraction of each limit that this object may use: one divided by the number of traffic
    /// threads of all entries.
    double mShare = 1;
  };

  explicit admission(options aOptions);

  /// Counts the request as in flight and returns nothing, or returns the reason for refusing it.
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
