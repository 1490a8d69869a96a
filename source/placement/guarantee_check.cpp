#include "placement/policy.h"

#include "base/enum_names.h"
#include "placement/shape_packing.h"

#include <set>

namespace rattanpond::placement {

namespace {

std::string Describe(configuration::guaranteed_shape const& aShape)
{
  return std::to_string(aShape.mAccelerators) + " accelerators of kind '" + aShape.mKind + "' in " +
         std::string{ base::Name(aShape.mLevel) } +
         (aShape.mRegion.empty() ? "" : " in region '" + aShape.mRegion + "'");
}

/// Closed workers count, because the check also covers each failure domain out of service. Lost and
/// quarantined workers do not count, because no guarantee can be met on them.
bool CanBeGuaranteed(worker const& aWorker)
{
  return aWorker.mAvailability == worker_availability::available ||
         aWorker.mAvailability == worker_availability::closed;
}

std::optional<unplaced_guarantee> Check(
  topology const& aTopology, std::map<std::string, configuration::contract> const& aContracts,
  std::string const* aMissingDomain)
{
  std::vector<resources> free(aTopology.size());
  for (std::size_t index = 0; index < aTopology.size(); ++index) {
    auto const& worker = aTopology.Worker(index);
    if (CanBeGuaranteed(worker) && (!aMissingDomain || worker.mDomain != *aMissingDomain)) {
      free[index] = Capacity(worker);
    }
  }
  auto shapes = Shapes(aContracts);
  auto const* const unplaced = PackShapes(aTopology, free, shapes);
  if (!unplaced) {
    return std::nullopt;
  }
  return unplaced_guarantee{
    .mWorkspace = unplaced->mWorkspace,
    .mReason = "no placement for " + Describe(unplaced->mShape) + " with " +
               (aMissingDomain ? "failure domain '" + *aMissingDomain + "' out of service"
                               : std::string{ "all workers" })
  };
}

} // namespace

std::optional<unplaced_guarantee> CheckGuarantees(
  std::map<std::string, worker> const& aWorkers,
  std::map<std::string, configuration::contract> const& aContracts, domain_loss aDomainLoss)
{
  topology const workers{ aWorkers };
  if (auto unplaced = Check(workers, aContracts, nullptr)) {
    return unplaced;
  }
  if (aDomainLoss == domain_loss::ignored) {
    return std::nullopt;
  }
  std::set<std::string> domains;
  for (auto const& [name, worker] : aWorkers) {
    domains.insert(worker.mDomain);
  }
  for (auto const& domain : domains) {
    if (auto unplaced = Check(workers, aContracts, &domain)) {
      return unplaced;
    }
  }
  return std::nullopt;
}

} // namespace rattanpond::placement
