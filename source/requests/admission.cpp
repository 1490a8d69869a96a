#include "requests/admission.h"

#include <algorithm>
#include <cassert>

namespace rattanpond::requests {

admission::admission(options aOptions)
  : mOptions{ aOptions }
{
}

std::optional<base::result_code> admission::Admit(std::string const& aWorkspace,
                                                  configuration::request_limits const& aLimits,
                                                  base::time_point aNow)
{
  // A limit below one request would refuse every request.
  auto const burst = std::max(1.0, aLimits.mBurst * mOptions.mShare);
  auto const inFlight = std::max(1.0, aLimits.mInFlight * mOptions.mShare);
  auto const [found, isNew] = mUsage.try_emplace(aWorkspace);
  auto& used = found->second;
  if (isNew) {
    used.mTokens = burst;
    used.mRefilled = aNow;
  }
  auto const elapsed = std::chrono::duration<double>(aNow - used.mRefilled).count();
  auto const rate = aLimits.mRequestsPerSecond * mOptions.mShare;
  used.mTokens = std::min(burst, used.mTokens + elapsed * rate);
  used.mRefilled = aNow;
  if (used.mTokens < 1 || used.mInFlight >= inFlight) {
    return base::result_code::limit_exceeded;
  }
  used.mTokens -= 1;
  ++used.mInFlight;
  return std::nullopt;
}

void admission::Finished(std::string const& aWorkspace)
{
  auto& used = mUsage.at(aWorkspace);
  assert(used.mInFlight > 0);
  --used.mInFlight;
}

std::uint32_t admission::InFlight(std::string const& aWorkspace) const
{
  auto const found = mUsage.find(aWorkspace);
  return found == mUsage.end() ? 0 : found->second.mInFlight;
}

} // namespace rattanpond::requests
