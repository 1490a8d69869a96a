#include "placement/policy.h"

#include "placement/guaranteed_policy.h"

namespace rattanpond::placement {

std::unique_ptr<policy> CreatePolicy(std::string_view aName, policy_options const& aOptions)
{
  if (aName == "guaranteed") {
    return std::make_unique<guaranteed_policy>(aOptions);
  }
  return nullptr;
}

} // namespace rattanpond::placement
