#pragma once

#include "net/http_router.h"
#include "standin/fault.h"

#include <map>

namespace rattanpond::standin {

/// Records the active faults and ends those whose duration has passed.
class fault_registry
{
public:
  /// aTarget must outlive the registry.
  void Register(component aComponent, std::string const& aName, fault_target& aTarget);

  base::result<void> Begin(fault aFault, base::time_point aNow);
  /// Ends the matching faults and returns their number. An absent component, an empty name and an
  /// empty fault match all.
  std::size_t End(std::optional<component> aComponent, std::string const& aName,
                  std::string const& aFault);
  /// Ends the faults whose duration has passed.
  void Expire(base::time_point aNow);

  /// Returns the active faults and the state of each component.
  base::json List() const;

private:
  struct active_fault
  {
    fault mFault;
    std::optional<base::time_point> mEnd;
  };

  using key = std::pair<component, std::string>;

  template<class Predicate>
  std::size_t EndIf(Predicate aPredicate);

  std::map<key, fault_target*> mTargets;
  std::vector<active_fault> mActive;
};

} // namespace rattanpond::standin
