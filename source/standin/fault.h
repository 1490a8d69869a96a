#pragma once

#include "base/codec.h"

#include <string>
#include <vector>

namespace rattanpond::standin {

enum class component
{
  table,
  object_store,
  worker,
  executor
};

} // namespace rattanpond::standin

template<>
struct rattanpond::base::enum_names<rattanpond::standin::component>
{
  using kind = rattanpond::standin::component;
  static constexpr enum_name<kind> kTable[] = { { kind::table, "table" },
                                                { kind::object_store, "object_store" },
                                                { kind::worker, "worker" },
                                                { kind::executor, "executor" } };
};

namespace rattanpond::standin {

/// A fault as callers request it and as it is listed.
struct fault
{
  component mComponent = component::table;
  /// Name of the worker or executor; empty for other components.
  std::string mName = {};
  std::string mFault = {};
  /// Milliseconds or a count, depending on the fault.
  std::uint32_t mValue = 0;
  /// The fault ends after this time; if absent, it stays active until it is ended.
  std::optional<base::milliseconds> mDuration = {};
  /// For serve_only: the names of the clients that are served.
  std::vector<std::string> mClients = {};
  /// For lapse_lease: the task whose lease expires.
  std::string mTask = {};

  static constexpr auto Fields()
  {
    return std::make_tuple(
      base::Required("component", &fault::mComponent), base::Field("name", &fault::mName),
      base::Required("fault", &fault::mFault), base::Field("value", &fault::mValue),
      base::Field("duration_ms", &fault::mDuration, { 1, 86'400'000 }),
      base::Field("clients", &fault::mClients), base::Field("task", &fault::mTask));
  }
};

/// A simulated component that faults can be injected into.
class fault_target
{
public:
  virtual ~fault_target() = default;

  /// Activates a fault and replaces an active one of the same kind.
  virtual base::result<void> Begin(fault const& aFault) = 0;
  virtual base::result<void> End(fault const& aFault) = 0;
  /// Returns the active faults with their remaining counts.
  virtual base::json State() const = 0;
};

} // namespace rattanpond::standin
