#include "placement/reservation.h"

#include <algorithm>

namespace rattanpond::placement {

namespace {

/// Resources that become free on a worker at the expected end of a gang.
struct release
{
  base::time_point mAt{};
  std::uint32_t mWorker = 0;
  resources mAmount;
};

std::vector<release> Releases(cluster_view const& aView, run_time_estimator const& aEstimator,
                              base::time_point aNow)
{
  std::vector<release> releases;
  for (auto const& gang : aView.Gangs()) {
    if (gang.mIsStuck) {
      continue;
    }
    auto const& running = *gang.mGang;
    auto const end =
      running.mIsStopping
        ? running.mStopsBy
        : aNow + aEstimator.ExpectedLeft(running.mWorkspace, running.mDeclaredRemaining,
                                         aNow - running.mStarted);
    for (auto const& part : gang.mParts) {
      if (aView.Usable()[part.mWorker] != resources{}) {
        releases.push_back({ end, part.mWorker, gang.mTask * part.mTasks });
      }
    }
  }
  std::stable_sort(releases.begin(), releases.end(),
                   [](auto const& aLeft, auto const& aRight) { return aLeft.mAt < aRight.mAt; });
  return releases;
}

/// The place of a gang within one group that is large enough for it.
placed_parts PartsInGroup(topology const& aTopology, std::vector<resources> const& aFree,
                          gang_shape const& aShape, std::uint32_t aGroup)
{
  auto candidates = Candidates(aTopology, aFree, aShape);
  std::erase_if(candidates, [&](fit_candidate const& aCandidate) {
    return aTopology.Group(aShape.mLevel, aCandidate.mWorker) != aGroup;
  });
  return FitGang(aTopology, candidates, aShape, [](placed_parts const&) { return 0.0; })
    .value_or(placed_parts{});
}

} // namespace

std::optional<reservation> PlanReservation(topology const& aTopology, cluster_view const& aView,
                                           run_time_estimator const& aEstimator,
                                           waiting_job const& aJob, std::vector<resources> aFree,
                                           base::time_point aNow)
{
  auto const& shape = aJob.mShape;
  auto const task = Demand(shape.mTask);
  std::vector<std::uint32_t> copies(aTopology.size(), 0);
  std::vector<std::uint64_t> inGroup(aTopology.GroupCount(shape.mLevel), 0);
  auto const recount = [&](std::uint32_t aWorker) {
    if (!Admits(aTopology.Worker(aWorker), shape)) {
      return;
    }
    auto const now = Copies(aFree[aWorker], task, shape.mTasks);
    inGroup[aTopology.Group(shape.mLevel, aWorker)] += now;
    inGroup[aTopology.Group(shape.mLevel, aWorker)] -= copies[aWorker];
    copies[aWorker] = now;
  };
  for (std::uint32_t worker = 0; worker < aTopology.size(); ++worker) {
    recount(worker);
  }
  for (auto const& next : Releases(aView, aEstimator, aNow)) {
    aFree[next.mWorker] += next.mAmount;
    recount(next.mWorker);
    auto const group = aTopology.Group(shape.mLevel, next.mWorker);
    if (inGroup[group] >= shape.mTasks) {
      return reservation{ .mJob = aJob.mJob,
                          .mParts = PartsInGroup(aTopology, aFree, shape, group),
                          .mTask = task,
                          .mFrom = next.mAt,
                          .mPlanned = aNow };
    }
  }
  return std::nullopt;
}

std::vector<resources> FreeOutsideReservations(std::span<resources const> aFree,
                                               std::vector<reservation> const& aReservations,
                                               base::time_point aEnd)
{
  std::vector<resources> free{ aFree.begin(), aFree.end() };
  for (auto const& entry : aReservations) {
    if (aEnd > entry.mFrom) {
      for (auto const& part : entry.mParts) {
        free[part.mWorker] -= entry.mTask * part.mTasks;
      }
    }
  }
  return free;
}

} // namespace rattanpond::placement
