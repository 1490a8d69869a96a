#include "placement/cluster_view.h"

#include <algorithm>

namespace rattanpond::placement {

namespace {

/// The report of a stop takes a moment to arrive, so a gang counts as stuck only if it is later
/// than this.
constexpr base::milliseconds kStopGrace{ 300 };

std::int64_t FreeAccelerators(resources const& aAmount)
{
  return std::max<std::int64_t>(aAmount.mAccelerators, 0);
}

} // namespace

cluster_view::cluster_view(topology const& aTopology, std::vector<resources> aUsable,
                           cluster_state const& aState, base::time_point aNow)
  : mTopology(aTopology)
  , mUsable(std::move(aUsable))
  , mFree(mUsable)
  , mFreeAfterStops(mUsable)
  , mGangsOn(aTopology.size())
{
  mGangs.reserve(aState.mRunning.size());
  for (auto const& [job, gang] : aState.mRunning) {
    AddGang(gang, aNow);
  }
  mSums = group_sums{ aTopology, mFree };
}

void cluster_view::AddGang(running_gang const& aGang, base::time_point aNow)
{
  gang_view view{ .mGang = &aGang,
                  .mParts = {},
                  .mTask = Demand(aGang.mShape.mTask),
                  .mIsStopping = aGang.mIsStopping,
                  .mIsStuck = aGang.mIsStopping && aNow > aGang.mStopsBy + kStopGrace };
  for (auto const& part : aGang.mParts) {
    auto const worker = mTopology.Find(part.mWorker);
    if (!worker) {
      continue;
    }
    view.mParts.push_back({ *worker, part.mTasks });
    mFree[*worker] -= view.mTask * part.mTasks;
    if (!view.mIsStopping || view.mIsStuck) {
      mFreeAfterStops[*worker] -= view.mTask * part.mTasks;
    }
    mGangsOn[*worker].push_back(static_cast<std::uint32_t>(mGangs.size()));
  }
  mGangs.push_back(std::move(view));
}

void cluster_view::Take(placed_parts const& aParts, resources const& aTask, std::int64_t aTimes)
{
  for (auto const& part : aParts) {
    auto const amount = aTask * (part.mTasks * aTimes);
    auto const before = FreeAccelerators(mFree[part.mWorker]);
    mFree[part.mWorker] -= amount;
    mFreeAfterStops[part.mWorker] -= amount;
    mSums.Add(part.mWorker, FreeAccelerators(mFree[part.mWorker]) - before);
  }
}

void cluster_view::Stop(gang_view& aGang)
{
  if (aGang.mIsStopping) {
    return;
  }
  aGang.mIsStopping = true;
  for (auto const& part : aGang.mParts) {
    mFreeAfterStops[part.mWorker] += aGang.mTask * part.mTasks;
  }
}

std::vector<resources> cluster_view::StuckUse() const
{
  std::vector<resources> use(mUsable.size());
  for (auto const& gang : mGangs) {
    if (gang.mIsStuck) {
      for (auto const& part : gang.mParts) {
        use[part.mWorker] += gang.mTask * part.mTasks;
      }
    }
  }
  return use;
}

bool CoversAll(std::span<resources const> aFree, placed_parts const& aParts, resources const& aTask)
{
  return std::all_of(aParts.begin(), aParts.end(), [&](placed_part const& aPart) {
    return aFree[aPart.mWorker].Covers(aTask * aPart.mTasks);
  });
}

} // namespace rattanpond::placement
