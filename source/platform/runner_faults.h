#pragma once

#include "base/codec.h"
#include "platform/availability.h"

namespace rattanpond::platform {

enum class task_behavior
{
  as_commanded,
  /// Every task that is started fails at once.
  fails
};

enum class stop_behavior
{
  obeyed,
  /// Tasks continue after a stop until the runner ends them by force.
  ignored
};

/// Faults of a memory_task_runner.
struct runner_faults
{
  availability mAvailability = availability::up;
  task_behavior mTasks = task_behavior::as_commanded;
  stop_behavior mStops = stop_behavior::obeyed;

  static constexpr auto Fields()
  {
    return std::make_tuple(base::Field("availability", &runner_faults::mAvailability),
                           base::Field("tasks", &runner_faults::mTasks),
                           base::Field("stops", &runner_faults::mStops));
  }
};

} // namespace rattanpond::platform

template<>
struct rattanpond::base::enum_names<rattanpond::platform::task_behavior>
{
  using kind = rattanpond::platform::task_behavior;
  static constexpr enum_name<kind> kTable[] = { { kind::as_commanded, "as_commanded" },
                                                { kind::fails, "fails" } };
};

template<>
struct rattanpond::base::enum_names<rattanpond::platform::stop_behavior>
{
  using behavior = rattanpond::platform::stop_behavior;
  static constexpr enum_name<behavior> kTable[] = { { behavior::obeyed, "obeyed" },
                                                    { behavior::ignored, "ignored" } };
};
