#pragma once

#include "configuration/contract.h"

#include <cstdint>
#include <string>
#include <vector>

namespace rattanpond::configuration {

/// Changes that are committed in one transaction. Contracts and failure domains replace existing
/// ones of the same name.
struct change_batch
{
  /// The version that the changes were based on.
  std::uint64_t mBaseVersion = 0;
  std::vector<contract> mContracts;
  std::vector<domain_service> mDomains;
  std::vector<std::string> mRemoveContracts;

  static constexpr auto Fields()
  {
    return std::make_tuple(base::Required("base_version", &change_batch::mBaseVersion),
                           base::Field("contracts", &change_batch::mContracts),
                           base::Field("domains", &change_batch::mDomains),
                           base::Field("remove_contracts", &change_batch::mRemoveContracts));
  }

  bool IsEmpty() const
  {
    return mContracts.empty() && mDomains.empty() && mRemoveContracts.empty();
  }
};

/// Fails with invalid_argument, duplicate_name or not_found if aBatch cannot be applied to
/// aSnapshot.
base::result<void> CheckBatch(change_batch const& aBatch, configuration_snapshot const& aSnapshot);

/// Checks the rules that the field ranges of a contract cannot express: names, the number of shapes
/// and sums.
base::result<void> CheckContract(contract const& aContract);
base::result<void> CheckDomain(domain_service const& aDomain);

/// The snapshot after the batch, with the next version.
configuration_snapshot ApplyBatch(configuration_snapshot const& aSnapshot,
                                  change_batch const& aBatch);

/// Whether the batch adds a guaranteed shape that its workspace does not have yet.
bool RaisesGuarantee(configuration_snapshot const& aSnapshot, change_batch const& aBatch);

} // namespace rattanpond::configuration
