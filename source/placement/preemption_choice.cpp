#include "placement/preemption_choice.h"

#include <algorithm>
#include <map>

namespace rattanpond::placement {

namespace {

/// Approximate run time that a gang loses by a stop and a restart, even right after a checkpoint.
constexpr double kRestartMilliseconds = 30'000;
/// Weight of the work lost by an urgent gang, which is preempted only if the alternatives would
/// lose several times as much.
constexpr double kUrgentFactor = 8;

using shortage = std::map<std::uint32_t, resources>;

bool IsMet(resources const& aMissing)
{
  return aMissing.mAccelerators <= 0 && aMissing.mCores <= 0 && aMissing.mMemoryMebibytes <= 0;
}

bool IsMet(shortage const& aMissing)
{
  return std::all_of(aMissing.begin(), aMissing.end(),
                     [](auto const& aEntry) { return IsMet(aEntry.second); });
}

shortage Shortage(cluster_view const& aView, placed_parts const& aParts, resources const& aTask)
{
  shortage missing;
  for (auto const& part : aParts) {
    missing[part.mWorker] += aTask * part.mTasks;
  }
  for (auto& [worker, amount] : missing) {
    amount -= aView.FreeAfterStops()[worker];
  }
  return missing;
}

void SubtractFreed(shortage& aMissing, gang_view const& aGang, std::int64_t aTimes)
{
  for (auto const& part : aGang.mParts) {
    auto const found = aMissing.find(part.mWorker);
    if (found != aMissing.end()) {
      found->second -= aGang.mTask * (part.mTasks * aTimes);
    }
  }
}

/// Shares of the missing resources that a stop of the gang would free, summed over workers and
/// kinds of resource.
double FreedShare(shortage const& aMissing, gang_view const& aGang)
{
  double freedShare = 0;
  auto const add = [&](std::int64_t aHas, std::int64_t aIsMissing) {
    if (aIsMissing > 0) {
      freedShare += std::min(1.0, static_cast<double>(aHas) / static_cast<double>(aIsMissing));
    }
  };
  for (auto const& part : aGang.mParts) {
    auto const found = aMissing.find(part.mWorker);
    if (found == aMissing.end()) {
      continue;
    }
    auto const freed = aGang.mTask * part.mTasks;
    add(freed.mAccelerators, found->second.mAccelerators);
    add(freed.mCores, found->second.mCores);
    add(freed.mMemoryMebibytes, found->second.mMemoryMebibytes);
  }
  return freedShare;
}

std::vector<std::uint32_t> Candidates(cluster_view const& aView, shortage const& aMissing,
                                      preemption_rule aRule)
{
  std::vector<std::uint32_t> candidates;
  for (auto const& [worker, amount] : aMissing) {
    if (IsMet(amount)) {
      continue;
    }
    for (auto const gang : aView.GangsOn(worker)) {
      if (MayStop(aView.Gangs()[gang], aRule)) {
        candidates.push_back(gang);
      }
    }
  }
  std::sort(candidates.begin(), candidates.end());
  candidates.erase(std::unique(candidates.begin(), candidates.end()), candidates.end());
  return candidates;
}

} // namespace

double LostWork(gang_view const& aGang, base::time_point aNow)
{
  auto const since = std::max(aGang.mGang->mLastCheckpoint, aGang.mGang->mStarted);
  auto const lost = static_cast<double>((aNow - since).count()) + kRestartMilliseconds;
  auto const factor = aGang.mGang->mUrgency == urgency::urgent ? kUrgentFactor : 1;
  return lost * factor * static_cast<double>(std::max<std::int64_t>(aGang.Accelerators(), 1));
}

bool MayStop(gang_view const& aGang, preemption_rule aRule)
{
  return !aGang.mIsProtected && !aGang.mIsStopping &&
         (aRule == preemption_rule::any_borrowed || aGang.mGang->mUrgency != urgency::urgent);
}

std::optional<std::vector<std::uint32_t>> ChoosePreemptions(cluster_view const& aView,
                                                            placed_parts const& aParts,
                                                            resources const& aTask,
                                                            preemption_rule aRule,
                                                            base::time_point aNow)
{
  auto missing = Shortage(aView, aParts, aTask);
  auto candidates = Candidates(aView, missing, aRule);
  std::vector<std::uint32_t> preempted;
  while (!IsMet(missing)) {
    auto best = candidates.end();
    double bestCost = 0;
    for (auto candidate = candidates.begin(); candidate != candidates.end(); ++candidate) {
      auto const& gang = aView.Gangs()[*candidate];
      auto const freedShare = FreedShare(missing, gang);
      if (freedShare <= 0) {
        continue;
      }
      auto const cost = LostWork(gang, aNow) / freedShare;
      if (best == candidates.end() || cost < bestCost) {
        best = candidate;
        bestCost = cost;
      }
    }
    if (best == candidates.end()) {
      return std::nullopt;
    }
    SubtractFreed(missing, aView.Gangs()[*best], 1);
    preempted.push_back(*best);
    candidates.erase(best);
  }
  // Gangs chosen later can make earlier choices unnecessary.
  std::erase_if(preempted, [&](std::uint32_t aPreempted) {
    SubtractFreed(missing, aView.Gangs()[aPreempted], -1);
    if (IsMet(missing)) {
      return true;
    }
    SubtractFreed(missing, aView.Gangs()[aPreempted], 1);
    return false;
  });
  return preempted;
}

} // namespace rattanpond::placement
