#pragma once

#include "placement/guarantee_binding.h"

#include <vector>

namespace rattanpond::placement {

/// Resources that one workspace uses and may still claim, during one decision.
struct workspace_ledger
{
  std::string mName;
  configuration::contract const* mContract = nullptr;
  /// Bound for the workspace and used by none of its guaranteed gangs or claims, per worker.
  guarantee_binding::worker_amounts mUnused;
  std::int64_t mUnusedAccelerators = 0;
  /// Accelerators that running gangs and claims use.
  std::int64_t mAccelerators = 0;
  /// Resources that running gangs and claims use outside the guarantee.
  resources mBorrowed;
  /// Waiting jobs in the order in which they should start.
  std::vector<waiting_job const*> mJobs;
  std::size_t mNext = 0;

  bool IsWithinQuota(std::int64_t aMore) const
  {
    auto const quota = mContract ? mContract->mAcceleratorQuota : 0;
    return quota == 0 || mAccelerators + aMore <= quota;
  }

  bool CoversUnused(placed_parts const& aParts, resources const& aTask) const
  {
    return std::all_of(aParts.begin(), aParts.end(), [&](placed_part const& aPart) {
      auto const found = mUnused.find(aPart.mWorker);
      return found != mUnused.end() && found->second.Covers(aTask * aPart.mTasks);
    });
  }

  void UseGuarantee(placed_parts const& aParts, resources const& aTask)
  {
    for (auto const& part : aParts) {
      mUnused[part.mWorker] -= aTask * part.mTasks;
      mUnusedAccelerators -= aTask.mAccelerators * part.mTasks;
    }
  }

  /// The largest share of aAll that the workspace borrows of any resource, divided by the
  /// contract's weight (weighted dominant resource fairness).
  double DominantShare(resources const& aAll) const
  {
    auto const share = [](std::int64_t aPart, std::int64_t aWhole) {
      return aWhole > 0 ? static_cast<double>(aPart) / static_cast<double>(aWhole) : 0;
    };
    auto const dominant = std::max({ share(mBorrowed.mAccelerators, aAll.mAccelerators),
                                     share(mBorrowed.mCores, aAll.mCores),
                                     share(mBorrowed.mMemoryMebibytes, aAll.mMemoryMebibytes) });
    return dominant / (mContract ? mContract->mShare : 1);
  }
};

inline std::int64_t Accelerators(gang_shape const& aShape)
{
  return static_cast<std::int64_t>(aShape.mTasks) * aShape.mTask.mAccelerators;
}

} // namespace rattanpond::placement
