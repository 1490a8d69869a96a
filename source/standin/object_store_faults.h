#pragma once

#include "platform/memory_object_store.h"
#include "standin/fault_kind.h"

namespace rattanpond::standin {

/// Injects faults into the object store alone; its server also serves the table. Faults: down.
class object_store_faults : public fault_target
{
public:
  explicit object_store_faults(platform::memory_object_store& aObjects)
    : mObjects{ aObjects }
  {
  }

  base::result<void> Begin(fault const& aFault) override
  {
    return BeginFault(kKinds, *this, aFault);
  }

  base::result<void> End(fault const& aFault) override { return EndFault(kKinds, *this, aFault); }

  base::json State() const override
  {
    return { { "availability", base::Name(mObjects.Availability()) } };
  }

private:
  static base::result<void> SetDown(object_store_faults& aTarget, fault const* aFault)
  {
    using platform::availability;
    aTarget.mObjects.Inject(aFault ? availability::down : availability::up);
    return {};
  }

  static constexpr fault_kind<object_store_faults> kKinds[] = { { "down", &SetDown } };

  platform::memory_object_store& mObjects;
};

} // namespace rattanpond::standin
