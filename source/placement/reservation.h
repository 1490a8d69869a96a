#pragma once

#include "placement/cluster_view.h"
#include "placement/run_time_estimator.h"

#include <optional>
#include <string>
#include <vector>

namespace rattanpond::placement {

/// A place that is kept free for a large job from mFrom on. mPlanned is the time of planning.
struct reservation
{
  std::string mJob;
  placed_parts mParts;
  resources mTask;
  base::time_point mFrom{};
  base::time_point mPlanned{};
};

/// The earliest place for a job by the expected ends of the running gangs. aFree are the resources
/// that are free now and not reserved for other jobs.
std::optional<reservation> PlanReservation(topology const& aTopology, cluster_view const& aView,
                                           run_time_estimator const& aEstimator,
                                           waiting_job const& aJob, std::vector<resources> aFree,
                                           base::time_point aNow);

/// aFree without the resources of the reservations that begin before aEnd, the expected end of the
/// job to be placed.
std::vector<resources> FreeOutsideReservations(std::span<resources const> aFree,
                                               std::vector<reservation> const& aReservations,
                                               base::time_point aEnd);

} // namespace rattanpond::placement
