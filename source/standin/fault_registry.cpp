#include "standin/fault_registry.h"

#include "base/logging.h"

#include <algorithm>

namespace rattanpond::standin {

using base::result_code;

namespace {

bool IsSameFault(fault const& aLeft, fault const& aRight)
{
  return aLeft.mComponent == aRight.mComponent && aLeft.mName == aRight.mName &&
         aLeft.mFault == aRight.mFault;
}

} // namespace

void fault_registry::Register(component aComponent, std::string const& aName, fault_target& aTarget)
{
  mTargets[{ aComponent, aName }] = &aTarget;
}

base::result<void> fault_registry::Begin(fault aFault, base::time_point aNow)
{
  auto const found = mTargets.find({ aFault.mComponent, aFault.mName });
  if (found == mTargets.end()) {
    return base::Fail(result_code::not_found, "there is no " +
                                                std::string{ base::Name(aFault.mComponent) } +
                                                " named '" + aFault.mName + "'");
  }
  BOOST_LEAF_CHECK(found->second->Begin(aFault));
  std::erase_if(mActive, [&](auto const& aActive) { return IsSameFault(aActive.mFault, aFault); });
  auto const end = aFault.mDuration ? std::optional{ aNow + *aFault.mDuration }
                                    : std::optional<base::time_point>{};
  base::Log("standin")->info("Fault '{}' of {} '{}' begins.", aFault.mFault,
                             base::Name(aFault.mComponent), aFault.mName);
  mActive.push_back({ std::move(aFault), end });
  return {};
}

std::size_t fault_registry::End(std::optional<component> aComponent, std::string const& aName,
                                std::string const& aFault)
{
  return EndIf([&](active_fault const& aActive) {
    auto const& active = aActive.mFault;
    return (!aComponent || *aComponent == active.mComponent) &&
           (aName.empty() || aName == active.mName) && (aFault.empty() || aFault == active.mFault);
  });
}

void fault_registry::Expire(base::time_point aNow)
{
  EndIf([&](active_fault const& aActive) { return aActive.mEnd && *aActive.mEnd <= aNow; });
}

base::json fault_registry::List() const
{
  auto active = base::json::array();
  for (auto const& entry : mActive) {
    active.push_back(base::Encode(entry.mFault));
  }
  auto state = base::json::object();
  for (auto const& [name, target] : mTargets) {
    auto const path =
      std::string{ base::Name(name.first) } + (name.second.empty() ? "" : "/" + name.second);
    state[path] = target->State();
  }
  return { { "active", std::move(active) }, { "state", std::move(state) } };
}

template<class Predicate>
std::size_t fault_registry::EndIf(Predicate aPredicate)
{
  return std::erase_if(mActive, [&](active_fault const& aActive) {
    if (!aPredicate(aActive)) {
      return false;
    }
    auto const& ending = aActive.mFault;
    auto const ended = base::Capture([&] {
      return mTargets.at({ ending.mComponent, ending.mName })->End(ending);
    });
    if (!base::Succeeded(ended)) {
      // Listening again fails if the port has been taken meanwhile; the fault then stays active.
      base::Log("standin")->error("Cannot end fault '{}' of {} '{}': {}.", ending.mFault,
                                  base::Name(ending.mComponent), ending.mName,
                                  base::Error(ended).mMessage);
      return false;
    }
    base::Log("standin")->info("Fault '{}' of {} '{}' ends.", ending.mFault,
                               base::Name(ending.mComponent), ending.mName);
    return true;
  });
}

} // namespace rattanpond::standin
