#pragma once

#include "placement/gang_fit.h"
#include "placement/group_sums.h"

#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace rattanpond::placement {

/// A running gang whose parts refer to workers by their index in the topology.
struct gang_view
{
  running_gang const* mGang = nullptr;
  placed_parts mParts;
  resources mTask;
  /// The gang runs within the resources that are bound for its workspace.
  bool mIsProtected = false;
  bool mIsStopping = false;
  /// The gang has not stopped in time; its accelerators cannot be expected to become free soon.
  bool mIsStuck = false;

  std::int64_t Accelerators() const
  {
    std::int64_t tasks = 0;
    for (auto const& part : mParts) {
      tasks += part.mTasks;
    }
    return tasks * mTask.mAccelerators;
  }
};

/// Free resources of every worker during one decision: Free now, and FreeAfterStops once all gangs
/// that are stopping have ended, except stuck ones. Claims, which keep resources for a job that
/// waits for gangs to stop, are subtracted from both.
class cluster_view
{
public:
  cluster_view(topology const& aTopology, std::vector<resources> aUsable,
               cluster_state const& aState, base::time_point aNow);

  std::vector<gang_view>& Gangs() { return mGangs; }
  std::vector<gang_view> const& Gangs() const { return mGangs; }
  /// Indices of the gangs with parts on a worker.
  std::vector<std::uint32_t> const& GangsOn(std::uint32_t aWorker) const
  {
    return mGangsOn[aWorker];
  }

  std::span<resources const> Free() const { return mFree; }
  std::span<resources const> FreeAfterStops() const { return mFreeAfterStops; }
  std::span<resources const> Usable() const { return mUsable; }
  group_sums const& Sums() const { return mSums; }

  /// Subtracts the resources of a start or a claim, or adds them back with aTimes -1.
  void Take(placed_parts const& aParts, resources const& aTask, std::int64_t aTimes = 1);
  /// Marks a gang as stopping.
  void Stop(gang_view& aGang);
  /// Resources that stuck gangs use, per worker.
  std::vector<resources> StuckUse() const;

private:
  void AddGang(running_gang const& aGang, base::time_point aNow);

  topology const& mTopology;
  std::vector<resources> mUsable;
  std::vector<resources> mFree;
  std::vector<resources> mFreeAfterStops;
  std::vector<gang_view> mGangs;
  std::vector<std::vector<std::uint32_t>> mGangsOn;
  group_sums mSums;
};

/// True if aFree covers aTask for every task of all parts.
bool CoversAll(std::span<resources const> aFree, placed_parts const& aParts,
               resources const& aTask);

} // namespace rattanpond::placement
