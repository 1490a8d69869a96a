#pragma once

#include "standin/fault.h"

#include <string_view>

namespace rattanpond::standin {

/// A kind of fault that a component knows. mSet puts the fault into force, or ends it when it is
/// called with null.
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
                    "unknown fault '" + aFault.mFault + "'; known are: " + names);
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

/// The value of a fault in force, or zero for one that ends.
inline std::uint32_t FaultValue(fault const* aFault)
{
  return aFault ? aFault->mValue : 0;
}

} // namespace rattanpond::standin
