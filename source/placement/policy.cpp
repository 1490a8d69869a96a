#include "placement/policy.h"

#include "placement/best_fit_backfill.h"
#include "placement/first_fit_fifo.h"
#include "placement/guaranteed_policy.h"

namespace rattanpond::placement {

std::unique_ptr<policy> CreatePolicy(std::string_view aName, policy_options const& aOptions)
{
  if (aName == "guaranteed") {
    return std::make_unique<guaranteed_policy>(aOptions);
  }
  if (aName == "first-fit-fifo") {
    return std::make_unique<first_fit_fifo>();
  }
  if (aName == "best-fit-backfill") {
    return std::make_unique<best_fit_backfill>();
  }
  return nullptr;
}

} // namespace rattanpond::placement
