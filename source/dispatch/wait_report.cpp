#include "dispatch/wait_report.h"

#include <algorithm>
#include <tuple>

namespace rattanpond::dispatch {

namespace {

/// Room for a group counts once there is this many times as much as it requires.
constexpr std::int64_t kSpareFactor = 2;

bool Contains(std::vector<std::string> const& aList, std::string const& aText)
{
  return std::ranges::find(aList, aText) != aList.end();
}

std::uint32_t RunningOn(waiting_group const& aGroup, worker_snapshot const& aWorker)
{
  auto const found = aGroup.mRunningOn.find(aWorker.mWorker);
  return found == aGroup.mRunningOn.end() ? 0 : found->second;
}

/// Tasks that the resources hold, at most the number that may still be added to the worker.
std::int64_t Places(waiting_group const& aGroup, worker_snapshot const& aWorker)
{
  auto const& shape = *aGroup.mShape;
  auto const demand = ReservedDemand(shape);
  auto places = static_cast<std::int64_t>(aGroup.mIndexes.size()) * kSpareFactor;
  for (auto const part :
       { &resources::mMillicores, &resources::mMemoryMebibytes, &resources::mAccelerators }) {
    if (demand.*part > 0) {
      places = std::min(places, std::max<std::int64_t>(0, aWorker.mFree.*part / (demand.*part)));
    }
  }
  if (shape.mMaximumPerWorker > 0) {
    places = std::min(places, static_cast<std::int64_t>(shape.mMaximumPerWorker) -
                                static_cast<std::int64_t>(RunningOn(aGroup, aWorker)));
  }
  return std::max<std::int64_t>(0, places);
}

/// Requirements, the worker's state, limits and free resources.
start_obstacle FirmObstacle(waiting_group const& aGroup, worker_snapshot const& aWorker)
{
  auto const& shape = *aGroup.mShape;
  if (aWorker.mService != aGroup.mService) {
    return start_obstacle::service;
  }
  if (!shape.mRequiredLabel.empty() && !Contains(aWorker.mLabels, shape.mRequiredLabel)) {
    return start_obstacle::label;
  }
  if (!aWorker.mCapacity.Covers(ReservedDemand(shape))) {
    return start_obstacle::capacity;
  }
  if (aWorker.mBarrier != start_obstacle::none) {
    return aWorker.mBarrier;
  }
  if (IsKeptByLateStart(aGroup, aWorker)) {
    return start_obstacle::late_start;
  }
  if (aGroup.mAllowed && !Contains(*aGroup.mAllowed, aWorker.mWorker)) {
    return start_obstacle::permit;
  }
  if (shape.mMaximumPerWorker > 0 && RunningOn(aGroup, aWorker) >= shape.mMaximumPerWorker) {
    return start_obstacle::worker_limit;
  }
  return aWorker.mFree.Covers(ReservedDemand(shape)) ? start_obstacle::none
                                                     : start_obstacle::no_free_resources;
}

start_obstacle Preference(waiting_group const& aGroup, worker_snapshot const& aWorker)
{
  if (AvoidsSuspect(aGroup, aWorker)) {
    return start_obstacle::suspect;
  }
  if (!aGroup.mShape->mDataRack.empty() && aWorker.mRack != aGroup.mShape->mDataRack) {
    return start_obstacle::data_rack;
  }
  return Contains(aGroup.mFailedOn, aWorker.mWorker) ? start_obstacle::failed_on
                                                     : start_obstacle::none;
}

/// Whether the users see room on a worker with this obstacle.
bool IsRoom(start_obstacle aObstacle)
{
  return aObstacle == start_obstacle::none || aObstacle == start_obstacle::paused ||
         aObstacle == start_obstacle::quarantined || aObstacle == start_obstacle::permit;
}

bool IsOf(placement_claim const& aClaim, waiting_group const& aGroup)
{
  return std::tie(aClaim.mJob, aClaim.mOccurrence, aClaim.mStep) ==
         std::tie(aGroup.mJob, aGroup.mOccurrence, aGroup.mStep);
}

} // namespace

wait_report::wait_report(waiting_group const& aGroup, std::vector<worker_snapshot> const& aWorkers,
                         std::vector<placement_claim> const& aClaims)
  : mRequiredPlaces{ aGroup.mShape->mIsGang ? static_cast<std::int64_t>(aGroup.mIndexes.size())
                                            : 1 }
  , mIsLongRunning{ aGroup.mShape->mIsLongRunning }
{
  auto const isClaimed = [&](worker_snapshot const& aWorker) {
    return std::ranges::any_of(aClaims, [&](placement_claim const& aClaim) {
      return !IsOf(aClaim, aGroup) && Contains(aClaim.mWorkers, aWorker.mWorker);
    });
  };
  service_load load;
  std::map<std::string, std::int64_t> usablePlaces;
  std::map<std::string, std::uint32_t> usableWorkers;
  for (auto const& worker : aWorkers) {
    if (worker.mService == aGroup.mService) {
      load.Add(worker);
    }
    auto obstacle = FirmObstacle(aGroup, worker);
    if (IsRoom(obstacle)) {
      mFreePlaces += Places(aGroup, worker);
    }
    if (obstacle == start_obstacle::none) {
      obstacle = isClaimed(worker) ? start_obstacle::claimed : Preference(aGroup, worker);
    }
    if (obstacle == start_obstacle::none && aGroup.mShape->mIsGang) {
      auto const domain = aGroup.mShape->mIsSameRack ? worker.mRack : std::string{};
      usablePlaces[domain] += Places(aGroup, worker);
      ++usableWorkers[domain];
      continue;
    }
    ++mWorkers[obstacle];
  }
  for (auto const& [domain, places] : usablePlaces) {
    mWorkers[places < mRequiredPlaces ? start_obstacle::gang : start_obstacle::none] +=
      usableWorkers[domain];
  }
  mUsedShare = load.Share();
}

bool wait_report::HasRoom() const
{
  return mFreePlaces >= kSpareFactor * mRequiredPlaces &&
         (mIsLongRunning || mUsedShare < kMostlyFreeShare);
}

std::string wait_report::Summary() const
{
  std::string text;
  for (auto const& [obstacle, workers] : mWorkers) {
    text += (text.empty() ? "" : " ") + std::string{ base::Name(obstacle) } + ':' +
            std::to_string(workers);
  }
  return text;
}

} // namespace rattanpond::dispatch
