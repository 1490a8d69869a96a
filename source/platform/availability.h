#pragma once

#include "base/enum_names.h"

namespace rattanpond::platform {

/// Whether a simulated service of the platform answers calls.
enum class availability
{
  up,
  down
};

} // namespace rattanpond::platform

template<>
struct rattanpond::base::enum_names<rattanpond::platform::availability>
{
  using value = rattanpond::platform::availability;
  static constexpr enum_name<value> kTable[] = { { value::up, "up" }, { value::down, "down" } };
};
