#pragma once

#include "dispatch/placement_decision.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace rattanpond::dispatch {

/// Why a group waits: the number of workers by what keeps its tasks from starting there, and how
/// much is free.
class wait_report
{
public:
  /// aClaims: of all groups, as the last decision has returned them.
  wait_report(waiting_group const& aGroup, std::vector<worker_snapshot> const& aWorkers,
              std::vector<placement_claim> const& aClaims);

  std::map<start_obstacle, std::uint32_t> const& Workers() const { return mWorkers; }
  /// Number of tasks that the free resources of the group's workers hold, as the users see it:
  /// whatever permits, quarantine, preferences, claims and the requirements of a gang say. No
  /// more are counted for each worker than twice the group.
  std::int64_t FreePlaces() const { return mFreePlaces; }
  /// Share of the service's capacity that is in use.
  double UsedShare() const { return mUsedShare; }
  /// Whether the group should be running: there is room for it twice over, and under half of the
  /// service's capacity is in use; the latter is not required for long-running tasks.
  bool HasRoom() const;
  /// "obstacle:workers" of all obstacles that occur.
  std::string Summary() const;

private:
  std::map<start_obstacle, std::uint32_t> mWorkers;
  std::int64_t mFreePlaces = 0;
  std::int64_t mRequiredPlaces = 0;
  double mUsedShare = 0;
  bool mIsLongRunning = false;
};

} // namespace rattanpond::dispatch
