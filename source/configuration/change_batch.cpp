#include "configuration/change_batch.h"

#include <algorithm>
#include <set>

namespace rattanpond::configuration {

using base::Fail;
using base::result_code;

namespace {

// Limits that prevent an erroneous file from filling the table. They are ten times the size that is
// expected after two years.
constexpr std::size_t kMaximumContracts = 2000;
constexpr std::size_t kMaximumDomains = 200;
constexpr std::size_t kMaximumShapes = 256;
constexpr std::size_t kMaximumNameLength = 128;
// The largest number of accelerators that a worker can announce.
constexpr std::uint32_t kMaximumWorkerAccelerators = 1024;

bool IsValidName(std::string const& aName)
{
  constexpr std::string_view kCharacters =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789_-.";
  return !aName.empty() && aName.size() <= kMaximumNameLength &&
         aName.find_first_not_of(kCharacters) == std::string::npos;
}

base::result<void> CheckName(std::string const& aName, std::string_view aKind)
{
  if (!IsValidName(aName)) {
    return Fail(result_code::invalid_argument,
                std::string{ aKind } + ": '" + aName.substr(0, kMaximumNameLength) +
                  "' is not a valid name: expected 1 to 128 letters, digits, '_', '-' or '.'");
  }
  return {};
}

base::result<void> AddUnique(std::set<std::string>& aNames, std::string const& aName,
                             std::string_view aKind)
{
  if (!aNames.insert(aName).second) {
    return Fail(result_code::duplicate_name,
                "the batch contains the " + std::string{ aKind } + " '" + aName + "' twice");
  }
  return {};
}

} // namespace

base::result<void> CheckContract(contract const& aContract)
{
  BOOST_LEAF_CHECK(CheckName(aContract.mWorkspace, "workspace"));
  if (aContract.mGuarantee.size() > kMaximumShapes) {
    return Fail(result_code::invalid_argument,
                "guarantee: more than " + std::to_string(kMaximumShapes) + " shapes");
  }
  std::uint64_t guaranteed = 0;
  for (auto const& shape : aContract.mGuarantee) {
    BOOST_LEAF_CHECK(CheckName(shape.mKind, "guarantee: kind"));
    guaranteed += shape.mAccelerators;
    if (shape.mLevel == adjacency::same_worker &&
        shape.mAccelerators > kMaximumWorkerAccelerators) {
      return Fail(result_code::invalid_argument, "guarantee: a same_worker shape cannot have " +
                                                   std::to_string(shape.mAccelerators) +
                                                   " accelerators");
    }
  }
  if (aContract.mAcceleratorQuota != 0 && guaranteed > aContract.mAcceleratorQuota) {
    return Fail(result_code::invalid_argument, "accelerator_quota: the guarantee of " +
                                                 std::to_string(guaranteed) +
                                                 " accelerators exceeds the quota of " +
                                                 std::to_string(aContract.mAcceleratorQuota));
  }
  return {};
}

base::result<void> CheckDomain(domain_service const& aDomain)
{
  return CheckName(aDomain.mDomain, "domain");
}

base::result<void> CheckBatch(change_batch const& aBatch, configuration_snapshot const& aSnapshot)
{
  std::set<std::string> contracts;
  std::set<std::string> domains;
  for (auto const& contract : aBatch.mContracts) {
    BOOST_LEAF_CHECK(CheckContract(contract));
    BOOST_LEAF_CHECK(AddUnique(contracts, contract.mWorkspace, "contract"));
  }
  for (auto const& domain : aBatch.mDomains) {
    BOOST_LEAF_CHECK(CheckDomain(domain));
    BOOST_LEAF_CHECK(AddUnique(domains, domain.mDomain, "domain"));
  }
  for (auto const& workspace : aBatch.mRemoveContracts) {
    BOOST_LEAF_CHECK(AddUnique(contracts, workspace, "contract"));
    if (!aSnapshot.mContracts.contains(workspace)) {
      return Fail(result_code::not_found, "there is no contract '" + workspace + "' to remove");
    }
  }
  auto const after = ApplyBatch(aSnapshot, aBatch);
  if (after.mContracts.size() > kMaximumContracts || after.mDomains.size() > kMaximumDomains) {
    return Fail(result_code::invalid_argument,
                "a configuration has at most " + std::to_string(kMaximumContracts) +
                  " contracts and " + std::to_string(kMaximumDomains) + " failure domains");
  }
  return {};
}

configuration_snapshot ApplyBatch(configuration_snapshot const& aSnapshot,
                                  change_batch const& aBatch)
{
  auto after = aSnapshot;
  ++after.mVersion;
  for (auto const& contract : aBatch.mContracts) {
    after.mContracts.insert_or_assign(contract.mWorkspace, contract);
  }
  for (auto const& domain : aBatch.mDomains) {
    after.mDomains.insert_or_assign(domain.mDomain, domain);
  }
  for (auto const& workspace : aBatch.mRemoveContracts) {
    after.mContracts.erase(workspace);
  }
  return after;
}

bool RaisesGuarantee(configuration_snapshot const& aSnapshot, change_batch const& aBatch)
{
  return std::ranges::any_of(aBatch.mContracts, [&](contract const& aContract) {
    auto const found = aSnapshot.mContracts.find(aContract.mWorkspace);
    auto unmatched = found == aSnapshot.mContracts.end() ? std::vector<guaranteed_shape>{}
                                                         : found->second.mGuarantee;
    return std::ranges::any_of(aContract.mGuarantee, [&](guaranteed_shape const& aShape) {
      auto const same = std::ranges::find(unmatched, aShape);
      if (same == unmatched.end()) {
        return true;
      }
      unmatched.erase(same);
      return false;
    });
  });
}

} // namespace rattanpond::configuration
