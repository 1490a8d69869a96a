#pragma once

#include "base/enum_names.h"

namespace rattanpond::dispatch {

/// What keeps a waiting task from starting on a worker. Of several obstacles the first in this
/// order is named: requirements, state of the worker, limits, free resources, preferences.
enum class start_obstacle
{
  none,
  service,
  label,
  capacity,
  absent,
  draining,
  evacuated,
  /// Nothing is started there for a moment, after a refused start.
  paused,
  quarantined,
  /// A task that may crash the worker is tried there alone.
  probation,
  permit,
  /// A call to start an earlier run of the task may still be carried out, by another worker or by
  /// this one, which keeps crashing.
  late_start,
  /// The step's limit of tasks per worker.
  worker_limit,
  no_free_resources,
  /// Kept free for a group that has had runs stopped there.
  claimed,
  suspect,
  data_rack,
  failed_on,
  /// The worker could take a member of the gang, but there are too few such workers, or too few in
  /// its rack, for all members.
  gang
};

} // namespace rattanpond::dispatch

template<>
struct rattanpond::base::enum_names<rattanpond::dispatch::start_obstacle>
{
  using obstacle = rattanpond::dispatch::start_obstacle;
  static constexpr enum_name<obstacle> kTable[] = {
    { obstacle::none, "usable" },
    { obstacle::service, "service" },
    { obstacle::label, "label" },
    { obstacle::capacity, "capacity" },
    { obstacle::absent, "absent" },
    { obstacle::draining, "draining" },
    { obstacle::evacuated, "evacuated" },
    { obstacle::paused, "paused" },
    { obstacle::quarantined, "quarantined" },
    { obstacle::probation, "probation" },
    { obstacle::permit, "permit" },
    { obstacle::late_start, "late-start" },
    { obstacle::worker_limit, "worker-limit" },
    { obstacle::no_free_resources, "no-free-resources" },
    { obstacle::claimed, "claimed" },
    { obstacle::suspect, "suspect" },
    { obstacle::data_rack, "outside-data-rack" },
    { obstacle::failed_on, "failed-on" },
    { obstacle::gang, "too-few-for-gang" },
  };
};
