#pragma once

#include "net/http_router.h"
#include "standin/fault.h"

#include <map>

namespace rattanpond::standin {

/// Knows which faults are in force and ends those whose time has passed.
class fault_board
{
public:
  /// aTarget must outlive the board.
  void Register(component aComponent, std::string const& aName, fault_target& aTarget);

  base::result<void> Begin(fault aFault, base::time_point aNow);
  /// Ends the faults that match; empty names and faults match all. Returns how many ended.
  std::size_t End(std::optional<component> aComponent, std::string const& aName,
                  std::string const& aFault);
  /// Ends the faults whose duration has passed.
  void Expire(base::time_point aNow);

  /// The faults in force and the state of each component.
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
