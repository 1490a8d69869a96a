#pragma once

#include "standin/fault.h"

#include <string_view>

namespace rattanpond::standin {

/// A kind of fault that a component supports. mSet activates the fault, or ends it if aFault is
/// null.
template<class Target>
struct fault_kind
{
  std::string_view mName;
  base::result<void> (*mSet)(Target& aTarget, fault const* aFault);
};

template<class Target, std::size_t Size>
base::result<void> BeginFault(fault_kind<Target> const (&aKinds)[Size], Target& aTarget,
                              fault const& aFault)
{
  std::string names;
  for (auto const& kind : aKinds) {
    if (kind.mName == aFault.mFault) {
      return kind.mSet(aTarget, &aFault);
    }
    names += (names.empty() ? "" : ", ") + std::string{ kind.mName };
  }
  return base::Fail(base::result_code::invalid_argument,
                    "unknown fault '" + aFault.mFault + "'; expected one of: " + names);
}

template<class Target, std::size_t Size>
base::result<void> EndFault(fault_kind<Target> const (&aKinds)[Size], Target& aTarget,
                            fault const& aFault)
{
  for (auto const& kind : aKinds) {
    if (kind.mName == aFault.mFault) {
      return kind.mSet(aTarget, nullptr);
    }
  }
  return {};
}

/// Returns the value of an active fault, or zero for one that ends.
inline std::uint32_t FaultValue(fault const* aFault)
{
  return aFault ? aFault->mValue : 0;
}

} // namespace rattanpond::standin
