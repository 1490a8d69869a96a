#include "dispatch/placement_decision.h"

#include <algorithm>
#include <limits>
#include <set>

namespace rattanpond::dispatch {

using base::milliseconds;

namespace {

constexpr double kMillicoresPerCore = 1000.0;

/// Away from its data, or spread over racks, a task takes this many times as long; from the bounds
/// of the users' pages.
constexpr std::int64_t kRemoteSlowdown = 3;

bool Contains(std::vector<std::string> const& aList, std::string const& aText)
{
  return std::ranges::find(aList, aText) != aList.end();
}

/// Preferences of a group for some of the workers that may run it.
struct preferences
{
  /// For workers near its data, and for one rack if it is a gang that is to stay in one.
  bool mNearData = true;
  /// For workers that are not suspect and that it has not failed on.
  bool mReliable = true;

  bool AreAllInForce() const { return mNearData && mReliable; }
};

constexpr preferences kNoPreferences{ .mNearData = false, .mReliable = false };

/// The preferences of a group that has waited for some time while most of its service was free.
preferences PreferencesAfter(milliseconds aWaited, waiting_group const& aGroup, bool aIsJobRunning)
{
  // Waiting for as long as a remote run takes longer costs at most twice as much as knowing when a
  // preferred worker becomes free. A run that fails costs about its run time.
  auto nearData = aGroup.mExpectedRunTime.count() > 0
                    ? aGroup.mExpectedRunTime * (kRemoteSlowdown - 1)
                    : kLongestPreference;
  auto reliable = std::max(kLongestPreference, aGroup.mExpectedRunTime);
  // Each long-running task is owed by itself.
  if (!aIsJobRunning || aGroup.mShape->mIsLongRunning) {
    nearData = std::min(nearData, kLongestPreference);
    reliable = kLongestPreference;
  }
  return { .mNearData = aWaited < nearData, .mReliable = aWaited < reliable };
}

/// Places the groups one after the other on the remaining free resources of the workers.
class placement_round
{
public:
  placement_round(std::vector<worker_snapshot> aWorkers, std::vector<preemptible_run> const& aRuns,
                  base::time_point aNow)
    : mWorkers{ std::move(aWorkers) }
    , mRuns{ aRuns }
    , mIsStopped(aRuns.size(), false)
    , mNow{ aNow }
  {
    for (std::size_t index = 0; index < mWorkers.size(); ++index) {
      mIndex[mWorkers[index].mWorker] = index;
      mFree.push_back(mWorkers[index].mFree);
    }
    mFreeAfterStops = mFree;
    mReserved.resize(mWorkers.size());
    mRunsOn.resize(mWorkers.size());
    for (std::size_t run = 0; run < mRuns.size(); ++run) {
      positions runWorkers;
      for (auto const& name : mRuns[run].mWorkers) {
        if (auto const found = mIndex.find(name); found != mIndex.end()) {
          runWorkers.push_back(found->second);
        }
      }
      for (auto const worker : std::set<std::size_t>{ runWorkers.begin(), runWorkers.end() }) {
        mRunsOn[worker].push_back(run);
      }
      mRunWorkers.push_back(std::move(runWorkers));
      if (mRuns[run].mIsStopping) {
        mIsStopped[run] = true;
        ReleaseResources(run, mFreeAfterStops);
      }
    }
    for (auto& runs : mRunsOn) {
      // Least urgent first, then least lost work first.
      std::ranges::stable_sort(runs, {}, [&](std::size_t aRun) {
        return std::pair{ -static_cast<std::int64_t>(mRuns[aRun].mPriority),
                          mRuns[aRun].mLostWork };
      });
    }
  }

  /// Keeps the claimed workers for the group until its turn. Drops a claim that has become too old
  /// or cannot be met any more.
  ///
  /// Load pattern: a gang of eight whole workers waits for stopped runs to end. Without a claim,
  /// the next round gives the freed workers to others or finds other workers cheaper, and stops
  /// more runs there; 148 runs were stopped for one gang that started 8 s later.
  void Claim(waiting_group const& aGroup, placement_claim const& aClaim)
  {
    if (mNow - aClaim.mSince > kClaimDuration) {
      return;
    }
    positions claimed;
    auto freeAfterStops = mFreeAfterStops;
    for (auto const& name : aClaim.mWorkers) {
      if (claimed.size() == aGroup.mIndexes.size()) {
        break;
      }
      auto const found = mIndex.find(name);
      if (found == mIndex.end() || !MayRunOn(aGroup, mWorkers[found->second]) ||
          !freeAfterStops[found->second].Covers(ReservedDemand(*aGroup.mShape))) {
        return;
      }
      freeAfterStops[found->second] -= ReservedDemand(*aGroup.mShape);
      claimed.push_back(found->second);
    }
    if (aGroup.mShape->mIsGang && claimed.size() != aGroup.mIndexes.size()) {
      return;
    }
    Reserve(aGroup, claimed);
    mClaims[&aGroup] = { std::move(claimed), aClaim.mSince };
  }

  void Place(waiting_group const& aGroup)
  {
    mEarlierStarts = mStartsOfSteps[StepOf(aGroup)];
    if (auto const found = mClaims.find(&aGroup); found != mClaims.end()) {
      auto claim = std::move(found->second);
      mClaims.erase(found);
      Unreserve(aGroup, claim.mWorkers);
      if (aGroup.mShape->mIsGang) {
        PlaceClaimedGang(aGroup, claim);
      } else {
        PlaceClaimedTasks(aGroup, claim);
      }
      return;
    }
    if (aGroup.mShape->mIsGang) {
      PlaceGang(aGroup);
    } else {
      PlaceTasks(aGroup);
    }
  }

  placement_decision Take() { return std::move(mDecision); }

private:
  using resources_by_worker = std::vector<resources>;
  using positions = std::vector<std::size_t>;

  struct claimed_workers
  {
    positions mWorkers;
    base::time_point mSince{};
  };

  /// Adds the resources of a run to the free ones.
  void ReleaseResources(std::size_t aRun, resources_by_worker& aTo) const
  {
    for (auto const worker : mRunWorkers[aRun]) {
      aTo[worker] += mRuns[aRun].mDemand;
    }
  }

  static bool MayRunOn(waiting_group const& aGroup, worker_snapshot const& aWorker)
  {
    return MeetsRequirements(aGroup, aWorker) && !IsKeptByLateStart(aGroup, aWorker) &&
           (!aGroup.mAllowed || Contains(*aGroup.mAllowed, aWorker.mWorker));
  }

  /// Best-effort tasks slow serving tasks down by an amount that cannot be predicted. They share a
  /// worker only if no other one has enough free resources, and then at a controlled pace.
  bool CausesInterference(job_step const& aShape, std::size_t aWorker) const
  {
    return (aShape.mIsBestEffort && mWorkers[aWorker].mHasServing) ||
           (aShape.mServingTarget.count() > 0 && mWorkers[aWorker].mHasBestEffort);
  }

  /// A preference ends once the group has waited for it long enough. While most of the service is
  /// in use it stays: the resources are then needed by others, for whom they may be near.
  preferences CurrentPreferences(waiting_group const& aGroup) const
  {
    auto const isJobRunning = aGroup.mIsJobRunning || mStartedJobs.contains(aGroup.mJob);
    auto const result = PreferencesAfter(mNow - aGroup.mWaitingSince, aGroup, isJobRunning);
    if (result.AreAllInForce() || aGroup.mShape->mIsLongRunning || IsMostlyFree(aGroup.mService)) {
      return result;
    }
    return {};
  }

  bool IsMostlyFree(std::string const& aService) const
  {
    service_load load;
    for (auto const& worker : mWorkers) {
      if (worker.mService == aService) {
        load.Add(worker);
      }
    }
    return load.Share() < kMostlyFreeShare;
  }

  /// Workers without runs are rare on a full service, so the wait for them is limited. A job
  /// without a running task waits for less while most of the service is free.
  bool MustRunAlone(waiting_group const& aGroup) const
  {
    if (!aGroup.mMustRunAlone) {
      return false;
    }
    auto const isOwed = aGroup.mShape->mIsLongRunning || IsMostlyFree(aGroup.mService);
    return mNow - aGroup.mWaitingSince < (isOwed ? kLongestPreference : kLongestIsolation);
  }

  bool IsNearData(waiting_group const& aGroup, std::size_t aWorker) const
  {
    return aGroup.mShape->mDataRack.empty() || mWorkers[aWorker].mRack == aGroup.mShape->mDataRack;
  }

  bool HasFailedOn(waiting_group const& aGroup, std::size_t aWorker) const
  {
    return Contains(aGroup.mFailedOn, mWorkers[aWorker].mWorker);
  }

  /// Workers that may run the group: only those in the rack of its data, and without those on which
  /// it has failed, if the others suffice and the preference is in force.
  positions Candidates(waiting_group const& aGroup, preferences aPreferences = {}) const
  {
    positions all;
    for (std::size_t index = 0; index < mWorkers.size(); ++index) {
      if (MayRunOn(aGroup, mWorkers[index])) {
        all.push_back(index);
      }
    }
    // A gang starts as a whole, so it would wait for good on workers that it does not fit on even
    // when they are idle. Independent tasks can run one after the other on any that remain.
    auto const isSufficient = [&](positions const& aKept) {
      return aGroup.mShape->mIsGang ? FitsWhenIdle(aGroup, aKept) : !aKept.empty();
    };
    auto const keepIfSufficient = [&](auto const& aKeeps) {
      positions kept;
      std::ranges::copy_if(all, std::back_inserter(kept), aKeeps);
      if (isSufficient(kept)) {
        all = std::move(kept);
      }
    };
    if (aPreferences.mReliable) {
      keepIfSufficient(
        [&](std::size_t aIndex) { return !AvoidsSuspect(aGroup, mWorkers[aIndex]); });
    }
    if (aPreferences.mNearData) {
      keepIfSufficient([&](std::size_t aIndex) { return IsNearData(aGroup, aIndex); });
    }
    if (aPreferences.mReliable) {
      keepIfSufficient([&](std::size_t aIndex) { return !HasFailedOn(aGroup, aIndex); });
    }
    return all;
  }

  /// Sets of workers that a gang may be spread over. For a same-rack gang, each rack with enough
  /// capacity for it is one set; if there is none, all candidates are.
  std::vector<positions> Domains(waiting_group const& aGroup, positions const& aCandidates) const
  {
    if (!aGroup.mShape->mIsSameRack) {
      return { aCandidates };
    }
    std::map<std::string, positions> racks;
    for (auto const index : aCandidates) {
      racks[mWorkers[index].mRack].push_back(index);
    }
    std::vector<positions> domains;
    for (auto const& [name, members] : racks) {
      if (FitsWhenIdle(aGroup, members)) {
        domains.push_back(members);
      }
    }
    if (domains.empty()) {
      domains.push_back(aCandidates);
    }
    return domains;
  }

  std::uint32_t LimitPerWorker(waiting_group const& aGroup) const
  {
    return aGroup.mShape->mMaximumPerWorker == 0 ? std::numeric_limits<std::uint32_t>::max()
                                                 : aGroup.mShape->mMaximumPerWorker;
  }

  /// Best fit: the worker with the fewest free accelerators, then the fewest free processors, so
  /// that whole workers stay free for large tasks. Workers without interference come before all
  /// others. Where preferences have ended, the preferred workers still come first.
  std::optional<std::size_t> BestFit(waiting_group const& aGroup, positions const& aMembers,
                                     resources_by_worker const& aFree,
                                     std::map<std::size_t, std::uint32_t> const& aPlaced,
                                     preferences aPreferences = {},
                                     std::string const* aHeldAt = nullptr) const
  {
    std::optional<std::size_t> best;
    auto const& shape = *aGroup.mShape;
    auto const limit = LimitPerWorker(aGroup);
    auto const rank = [&](std::size_t aIndex) {
      return std::tuple{ !aPreferences.mReliable && AvoidsSuspect(aGroup, mWorkers[aIndex]),
                         !aPreferences.mNearData && !IsNearData(aGroup, aIndex),
                         !aPreferences.mReliable && HasFailedOn(aGroup, aIndex),
                         CausesInterference(shape, aIndex),
                         aFree[aIndex].mAccelerators,
                         aFree[aIndex].mMillicores };
    };
    for (auto const index : aMembers) {
      // One failing member fails the whole gang, so a single member there proves nothing.
      auto const isOnTrial = mWorkers[index].mIsSuspect && aPreferences.mReliable &&
                             !shape.mIsGang && CountAt(aPlaced, index) > 0;
      auto const isOccupied = mWorkers[index].mHasRuns && MustRunAlone(aGroup);
      auto const isElsewhere = aHeldAt != nullptr && *aHeldAt != mWorkers[index].mWorker;
      if (isElsewhere || isOnTrial || isOccupied || !aFree[index].Covers(ReservedDemand(shape)) ||
          RunningCount(aGroup, index) + CountAt(aPlaced, index) >= limit) {
        continue;
      }
      if (!best || rank(index) < rank(*best)) {
        best = index;
      }
    }
    return best;
  }

  /// The only worker that a task may start on; null if there are several.
  static std::string const* WorkerOfHeldTask(waiting_group const& aGroup, std::size_t aTask)
  {
    auto const found = aGroup.mHeldAt.find(aGroup.mIndexes[aTask]);
    return found == aGroup.mHeldAt.end() ? nullptr : &found->second;
  }

  static std::uint32_t CountAt(std::map<std::size_t, std::uint32_t> const& aCounts,
                               std::size_t aIndex)
  {
    auto const found = aCounts.find(aIndex);
    return found == aCounts.end() ? 0 : found->second;
  }

  using step_key = std::tuple<std::string, std::uint32_t, std::uint32_t>;

  static step_key StepOf(waiting_group const& aGroup)
  {
    return { aGroup.mJob, aGroup.mOccurrence, aGroup.mStep };
  }

  /// Runs of the group's step on a worker, without the starts of the group itself. The waiting
  /// tasks of a step may form several groups.
  std::uint32_t RunningCount(waiting_group const& aGroup, std::size_t aIndex) const
  {
    auto const found = aGroup.mRunningOn.find(mWorkers[aIndex].mWorker);
    auto const running = found == aGroup.mRunningOn.end() ? 0U : found->second;
    return running + CountAt(mEarlierStarts, aIndex);
  }

  /// Returns one worker for each task, or nothing if they do not all fit.
  std::optional<positions> Fit(waiting_group const& aGroup, positions const& aMembers,
                               resources_by_worker aFree, preferences aPreferences = {}) const
  {
    positions chosen;
    std::map<std::size_t, std::uint32_t> placed;
    for (std::size_t task = 0; task < aGroup.mIndexes.size(); ++task) {
      auto const best =
        BestFit(aGroup, aMembers, aFree, placed, aPreferences, WorkerOfHeldTask(aGroup, task));
      if (!best) {
        return std::nullopt;
      }
      aFree[*best] -= ReservedDemand(*aGroup.mShape);
      ++placed[*best];
      chosen.push_back(*best);
    }
    return chosen;
  }

  bool FitsWhenIdle(waiting_group const& aGroup, positions const& aMembers) const
  {
    resources_by_worker capacities;
    for (auto const& worker : mWorkers) {
      capacities.push_back(worker.mCapacity);
    }
    return Fit(aGroup, aMembers, std::move(capacities)).has_value();
  }

  void Start(waiting_group const& aGroup, std::size_t aTask, std::size_t aWorker)
  {
    mFree[aWorker] -= ReservedDemand(*aGroup.mShape);
    mFreeAfterStops[aWorker] -= ReservedDemand(*aGroup.mShape);
    mWorkers[aWorker].mFree -= ReservedDemand(*aGroup.mShape);
    mWorkers[aWorker].mHasRuns = true;
    if (aGroup.mMustRunAlone) {
      mWorkers[aWorker].mBarrier = start_obstacle::probation;
    }
    mWorkers[aWorker].mHasServing =
      mWorkers[aWorker].mHasServing || aGroup.mShape->mServingTarget.count() > 0;
    mWorkers[aWorker].mHasBestEffort =
      mWorkers[aWorker].mHasBestEffort || aGroup.mShape->mIsBestEffort;
    mStartedJobs.insert(aGroup.mJob);
    ++mStartsOfSteps[StepOf(aGroup)][aWorker];
    mDecision.mStarts.push_back({ aGroup.mJob,
                                  { aGroup.mOccurrence, aGroup.mStep, aGroup.mIndexes[aTask] },
                                  mWorkers[aWorker].mWorker });
  }

  /// Reserves resources for a group that waits for preempted runs to stop.
  void Reserve(waiting_group const& aGroup, positions const& aChosen)
  {
    for (auto const worker : aChosen) {
      mFree[worker] -= ReservedDemand(*aGroup.mShape);
      mFreeAfterStops[worker] -= ReservedDemand(*aGroup.mShape);
      if (!aGroup.mIsGuaranteed) {
        mReserved[worker] += ReservedDemand(*aGroup.mShape);
      }
    }
  }

  void Unreserve(waiting_group const& aGroup, positions const& aChosen)
  {
    for (auto const worker : aChosen) {
      mFree[worker] += ReservedDemand(*aGroup.mShape);
      mFreeAfterStops[worker] += ReservedDemand(*aGroup.mShape);
      if (!aGroup.mIsGuaranteed) {
        mReserved[worker] -= ReservedDemand(*aGroup.mShape);
      }
    }
  }

  /// Free resources, those that are reserved for other groups included. A run that does not stop
  /// would otherwise keep a whole worker from tasks that fit beside it for as long as it is there.
  /// Reservations of guaranteed groups are not touched.
  resources_by_worker FreeWithReserved() const
  {
    auto free = mFree;
    for (std::size_t worker = 0; worker < free.size(); ++worker) {
      free[worker] += mReserved[worker];
    }
    return free;
  }

  void RecordClaim(waiting_group const& aGroup, positions const& aChosen, base::time_point aSince)
  {
    placement_claim claim{ .mJob = aGroup.mJob,
                           .mOccurrence = aGroup.mOccurrence,
                           .mStep = aGroup.mStep,
                           .mSince = aSince };
    for (auto const worker : aChosen) {
      claim.mWorkers.push_back(mWorkers[worker].mWorker);
    }
    mDecision.mClaims.push_back(std::move(claim));
  }

  /// Starts the gang if its claimed workers, or any others, are free now; otherwise it keeps
  /// waiting for the claimed ones and stops no further runs.
  void PlaceClaimedGang(waiting_group const& aGroup, claimed_workers const& aClaim)
  {
    if (auto const fit = Fit(aGroup, aClaim.mWorkers, mFree)) {
      for (std::size_t task = 0; task < fit->size(); ++task) {
        Start(aGroup, task, (*fit)[task]);
      }
    } else if (!StartGang(aGroup)) {
      Reserve(aGroup, aClaim.mWorkers);
      RecordClaim(aGroup, aClaim.mWorkers, aClaim.mSince);
    }
  }

  /// Starts tasks on claimed workers that are free now, then on others; the rest keeps waiting for
  /// the claimed ones.
  void PlaceClaimedTasks(waiting_group const& aGroup, claimed_workers const& aClaim)
  {
    auto const candidates = Candidates(aGroup);
    auto claimed = aClaim.mWorkers;
    std::map<std::size_t, std::uint32_t> placed;
    std::size_t task = 0;
    for (; task < aGroup.mIndexes.size(); ++task) {
      auto best = BestFit(aGroup, claimed, mFree, placed);
      if (!best) {
        best = BestFreeWorker(aGroup, candidates, placed);
      }
      if (!best) {
        break;
      }
      ++placed[*best];
      Start(aGroup, task, *best);
      auto const used = std::ranges::find(claimed, *best);
      if (used != claimed.end()) {
        claimed.erase(used);
      }
    }
    auto const waiting = aGroup.mIndexes.size() - task;
    claimed.resize(std::min(claimed.size(), waiting));
    if (!claimed.empty()) {
      Reserve(aGroup, claimed);
      RecordClaim(aGroup, claimed, aClaim.mSince);
    }
  }

  std::int64_t FreeAccelerators(positions const& aMembers) const
  {
    std::int64_t sum = 0;
    for (auto const index : aMembers) {
      sum += mFree[index].mAccelerators;
    }
    return sum;
  }

  bool StartGang(waiting_group const& aGroup)
  {
    if (StartGangIn(aGroup, GangDomains(aGroup), {}, mFree)) {
      return true;
    }
    auto const current = CurrentPreferences(aGroup);
    if (current.AreAllInForce()) {
      return false;
    }
    auto const candidates = Candidates(aGroup, current);
    auto domains = Domains(aGroup, candidates);
    if (!current.mNearData) {
      domains.push_back(candidates);
    }
    return StartGangIn(aGroup, domains, current, mFree) ||
           (!current.mReliable && StartGangIn(aGroup, domains, current, FreeWithReserved()));
  }

  bool StartGangIn(waiting_group const& aGroup, std::vector<positions> const& aDomains,
                   preferences aPreferences, resources_by_worker const& aFree)
  {
    for (auto const& members : aDomains) {
      if (auto const chosen = Fit(aGroup, members, aFree, aPreferences)) {
        for (std::size_t task = 0; task < chosen->size(); ++task) {
          Start(aGroup, task, (*chosen)[task]);
        }
        return true;
      }
    }
    return false;
  }

  /// A worker that an independent task may start on now: a preferred one, or any other once the
  /// preferences have ended.
  std::optional<std::size_t> BestFreeWorker(
    waiting_group const& aGroup, positions const& aPreferred,
    std::map<std::size_t, std::uint32_t> const& aPlaced) const
  {
    auto const best = BestFit(aGroup, aPreferred, mFree, aPlaced);
    auto const current = best ? preferences{} : CurrentPreferences(aGroup);
    if (current.AreAllInForce()) {
      return best;
    }
    auto const candidates = Candidates(aGroup, current);
    auto const other = BestFit(aGroup, candidates, mFree, aPlaced, current);
    return other || current.mReliable
             ? other
             : BestFit(aGroup, candidates, FreeWithReserved(), aPlaced, current);
  }

  /// Domains for the group, those with the fewest free accelerators first.
  std::vector<positions> GangDomains(waiting_group const& aGroup) const
  {
    auto domains = Domains(aGroup, Candidates(aGroup));
    std::ranges::stable_sort(domains, {},
                             [&](positions const& aMembers) { return FreeAccelerators(aMembers); });
    return domains;
  }

  void PlaceGang(waiting_group const& aGroup)
  {
    if (StartGang(aGroup) || !MayPreempt(aGroup) || Preempt(aGroup, GangDomains(aGroup)) ||
        !aGroup.mIsGuaranteed) {
      return;
    }
    // The reclaim bound leaves no time to wait for preferred workers with runs that may not be
    // stopped.
    auto const all = Candidates(aGroup, kNoPreferences);
    auto const domains = Domains(aGroup, all);
    if (!StartGangIn(aGroup, domains, kNoPreferences, mFree) &&
        !StartGangIn(aGroup, { all }, kNoPreferences, mFree) && !Preempt(aGroup, domains)) {
      Preempt(aGroup, { all });
    }
  }

  void PlaceTasks(waiting_group const& aGroup)
  {
    auto const candidates = Candidates(aGroup);
    std::map<std::size_t, std::uint32_t> placed;
    std::size_t task = 0;
    for (; task < aGroup.mIndexes.size(); ++task) {
      auto const best = BestFreeWorker(aGroup, candidates, placed);
      if (!best) {
        break;
      }
      ++placed[*best];
      Start(aGroup, task, *best);
    }
    if (task < aGroup.mIndexes.size() && MayPreempt(aGroup)) {
      auto const remaining = Remaining(aGroup, task);
      if (!Preempt(remaining, { candidates }) && aGroup.mIsGuaranteed) {
        PlaceAnywhere(remaining, std::move(placed));
      }
    }
  }

  static waiting_group Remaining(waiting_group const& aGroup, std::size_t aPlaced)
  {
    auto remaining = aGroup;
    remaining.mIndexes.erase(remaining.mIndexes.begin(),
                             remaining.mIndexes.begin() + static_cast<std::ptrdiff_t>(aPlaced));
    return remaining;
  }

  /// Places independent tasks of a guaranteed group whose preferred workers have runs that may not
  /// be stopped.
  void PlaceAnywhere(waiting_group const& aGroup, std::map<std::size_t, std::uint32_t> aPlaced)
  {
    auto const all = Candidates(aGroup, kNoPreferences);
    std::size_t task = 0;
    for (; task < aGroup.mIndexes.size(); ++task) {
      auto const best = BestFit(aGroup, all, mFree, aPlaced, kNoPreferences);
      if (!best) {
        break;
      }
      ++aPlaced[*best];
      Start(aGroup, task, *best);
    }
    if (task < aGroup.mIndexes.size()) {
      Preempt(Remaining(aGroup, task), { all });
    }
  }

  /// Cost of stopping runs. A stopped urgent run misses its objective, however little work it has
  /// done, so it is preempted only if nothing else frees enough resources.
  struct stop_cost
  {
    std::size_t mUrgentRuns = 0;
    double mLostWork = 0;

    bool operator<(stop_cost const& aOther) const
    {
      return std::tie(mUrgentRuns, mLostWork) < std::tie(aOther.mUrgentRuns, aOther.mLostWork);
    }
  };

  /// A way to free resources for a group: the workers of its tasks and the runs to preempt.
  struct preemption_plan
  {
    positions mChosen;
    std::set<std::size_t> mPreempted;
    stop_cost mCost;
  };

  static bool MayPreempt(waiting_group const& aGroup)
  {
    // Nothing is stopped for a task that may crash the worker.
    return !aGroup.mMustRunAlone && (aGroup.mIsGuaranteed || aGroup.mPreemptionBudget > 0);
  }

  /// A guaranteed group reclaims from all runs that are not guaranteed; other groups preempt only
  /// less urgent runs.
  static bool MayStop(waiting_group const& aGroup, preemptible_run const& aRun)
  {
    return !aRun.mIsGuaranteed && (aGroup.mIsGuaranteed || aRun.mPriority > aGroup.mPriority);
  }

  /// Cheapest runs to preempt so that one task fits on the worker; nothing if it does not fit.
  std::optional<std::set<std::size_t>> PreemptionsOn(waiting_group const& aGroup,
                                                     std::size_t aWorker, resources aFree,
                                                     std::set<std::size_t> const& aPlanned) const
  {
    std::set<std::size_t> preempted;
    for (auto const run : mRunsOn[aWorker]) {
      if (aFree.Covers(ReservedDemand(*aGroup.mShape))) {
        break;
      }
      if (mIsStopped[run] || aPlanned.contains(run) || !MayStop(aGroup, mRuns[run])) {
        continue;
      }
      preempted.insert(run);
      auto const members = std::ranges::count(mRunWorkers[run], aWorker);
      for (std::ptrdiff_t member = 0; member < members; ++member) {
        aFree += mRuns[run].mDemand;
      }
    }
    if (!aFree.Covers(ReservedDemand(*aGroup.mShape))) {
      return std::nullopt;
    }
    DropNeedless(aGroup, aWorker, aFree, preempted);
    return preempted;
  }

  /// Removes runs that were chosen early and are not needed beside a larger one that was chosen
  /// later, those that lose the most work first.
  void DropNeedless(waiting_group const& aGroup, std::size_t aWorker, resources aFree,
                    std::set<std::size_t>& aPreempted) const
  {
    auto const& runs = mRunsOn[aWorker];
    for (auto run = runs.rbegin(); run != runs.rend(); ++run) {
      if (!aPreempted.contains(*run)) {
        continue;
      }
      auto without = aFree;
      auto const members = std::ranges::count(mRunWorkers[*run], aWorker);
      for (std::ptrdiff_t member = 0; member < members; ++member) {
        without -= mRuns[*run].mDemand;
      }
      if (without.Covers(ReservedDemand(*aGroup.mShape))) {
        aFree = without;
        aPreempted.erase(*run);
      }
    }
  }

  stop_cost Cost(std::set<std::size_t> const& aPreempted) const
  {
    stop_cost cost;
    for (auto const run : aPreempted) {
      cost.mUrgentRuns += mRuns[run].mPriority == 0 ? 1 : 0;
      cost.mLostWork += mRuns[run].mLostWork;
    }
    return cost;
  }

  std::optional<preemption_plan> PlanPreemption(waiting_group const& aGroup,
                                                positions const& aMembers) const
  {
    preemption_plan result;
    auto freeAfterStops = mFreeAfterStops;
    std::map<std::size_t, std::uint32_t> placed;
    auto const limit = LimitPerWorker(aGroup);
    for (std::size_t task = 0; task < aGroup.mIndexes.size(); ++task) {
      std::optional<std::size_t> best;
      std::set<std::size_t> bestPreempted;
      stop_cost bestCost;
      auto const* const heldAt = WorkerOfHeldTask(aGroup, task);
      for (auto const index : aMembers) {
        if (heldAt != nullptr && *heldAt != mWorkers[index].mWorker) {
          continue;
        }
        if (RunningCount(aGroup, index) + CountAt(placed, index) >= limit) {
          continue;
        }
        auto const preempted =
          PreemptionsOn(aGroup, index, freeAfterStops[index], result.mPreempted);
        if (!preempted) {
          continue;
        }
        auto const cost = Cost(*preempted);
        if (!best || cost < bestCost) {
          best = index;
          bestPreempted = *preempted;
          bestCost = cost;
        }
      }
      if (!best) {
        return std::nullopt;
      }
      for (auto const run : bestPreempted) {
        ReleaseResources(run, freeAfterStops);
        result.mPreempted.insert(run);
      }
      freeAfterStops[*best] -= ReservedDemand(*aGroup.mShape);
      ++placed[*best];
      result.mChosen.push_back(*best);
      result.mCost.mUrgentRuns += bestCost.mUrgentRuns;
      result.mCost.mLostWork += bestCost.mLostWork;
    }
    return result;
  }

  /// Stops the cheapest runs that free enough resources in one of the domains, and claims these.
  /// Returns false if there are none that may be stopped.
  bool Preempt(waiting_group const& aGroup, std::vector<positions> const& aDomains)
  {
    std::optional<preemption_plan> best;
    for (auto const& members : aDomains) {
      auto plan = PlanPreemption(aGroup, members);
      if (plan && (!best || plan->mCost < best->mCost)) {
        best = std::move(plan);
      }
    }
    if (!best || (!aGroup.mIsGuaranteed && best->mCost.mLostWork > aGroup.mPreemptionBudget)) {
      return false;
    }
    for (auto const run : best->mPreempted) {
      mIsStopped[run] = true;
      ReleaseResources(run, mFreeAfterStops);
      mDecision.mStops.push_back(
        { .mRun = run, .mForJob = aGroup.mJob, .mIsForGuarantee = aGroup.mIsGuaranteed });
    }
    Reserve(aGroup, best->mChosen);
    RecordClaim(aGroup, best->mChosen, mNow);
    return true;
  }

  std::vector<worker_snapshot> mWorkers;
  std::vector<preemptible_run> const& mRuns;
  std::vector<bool> mIsStopped;
  base::time_point mNow{};
  std::map<waiting_group const*, claimed_workers> mClaims;
  /// Indexes of the workers of each run, one for each member.
  std::vector<positions> mRunWorkers;
  /// Runs on each worker, in the order in which they are preempted.
  std::vector<positions> mRunsOn;
  std::map<std::string, std::size_t> mIndex;
  /// Resources that are free now, less those assigned or reserved in this round.
  resources_by_worker mFree;
  /// Resources that are reserved for groups that wait for stops, but for guaranteed ones; not part
  /// of mFree.
  resources_by_worker mReserved;
  /// Resources that are free once all stopping runs have ended.
  resources_by_worker mFreeAfterStops;
  /// Jobs with a start in this decision.
  std::set<std::string> mStartedJobs;
  /// Starts of this round by step and worker.
  std::map<step_key, std::map<std::size_t, std::uint32_t>> mStartsOfSteps;
  /// Those of the step of the present group by the groups before it.
  std::map<std::size_t, std::uint32_t> mEarlierStarts;
  placement_decision mDecision;
};

} // namespace

bool MeetsRequirements(waiting_group const& aGroup, worker_snapshot const& aWorker)
{
  auto const& shape = *aGroup.mShape;
  return aWorker.AcceptsStarts() && aWorker.mService == aGroup.mService &&
         aWorker.mCapacity.Covers(ReservedDemand(shape)) &&
         (shape.mRequiredLabel.empty() || Contains(aWorker.mLabels, shape.mRequiredLabel));
}

bool IsKeptByLateStart(waiting_group const& aGroup, worker_snapshot const& aWorker)
{
  if (aGroup.mShape->mIsGang || aGroup.mHeldAt.empty()) {
    return false;
  }
  return aGroup.mHeldAt.begin()->second != aWorker.mWorker ||
         (aWorker.mIsSuspect && !aGroup.mShape->mIsLongRunning);
}

bool AvoidsSuspect(waiting_group const& aGroup, worker_snapshot const& aWorker)
{
  return aWorker.mIsSuspect && (aGroup.mPriority == 0 || aGroup.mIsLastAttempt ||
                                aGroup.mShape->mIsGang || aWorker.mHasRuns);
}

resources ReservedDemand(job_step const& aStep)
{
  auto demand = aStep.mDemand;
  if (aStep.mIsBestEffort) {
    demand.mMillicores = 0;
  }
  return demand;
}

double WeightInCores(resources const& aDemand)
{
  return static_cast<double>(aDemand.mMillicores) / kMillicoresPerCore +
         static_cast<double>(aDemand.mAccelerators) * kCoresPerAccelerator;
}

void service_load::Add(worker_snapshot const& aWorker)
{
  if (aWorker.mBarrier == start_obstacle::none || aWorker.mBarrier == start_obstacle::paused ||
      aWorker.mBarrier == start_obstacle::quarantined ||
      aWorker.mBarrier == start_obstacle::probation) {
    mCapacity += WeightInCores(aWorker.mCapacity);
    mFree += WeightInCores(aWorker.mFree);
  }
}

placement_decision DecidePlacement(std::vector<worker_snapshot> aWorkers,
                                   std::vector<waiting_group> const& aGroups,
                                   std::vector<preemptible_run> const& aRuns,
                                   std::vector<placement_claim> const& aClaims,
                                   base::time_point aNow)
{
  std::vector<waiting_group const*> ordered;
  ordered.reserve(aGroups.size());
  for (auto const& group : aGroups) {
    ordered.push_back(&group);
  }
  std::ranges::stable_sort(ordered, {}, [](waiting_group const* aGroup) {
    return std::tuple{ !aGroup->mIsGuaranteed, aGroup->mPriority, aGroup->mIsLate, aGroup->mDueBy };
  });
  placement_round round{ std::move(aWorkers), aRuns, aNow };
  auto const claim = [&](waiting_group const& aGroup) {
    auto const found = std::ranges::find_if(aClaims, [&](placement_claim const& aClaim) {
      return std::tie(aClaim.mJob, aClaim.mOccurrence, aClaim.mStep) ==
             std::tie(aGroup.mJob, aGroup.mOccurrence, aGroup.mStep);
    });
    if (found != aClaims.end()) {
      round.Claim(aGroup, *found);
    }
  };
  // Claims of guaranteed groups come before all groups, those of others after the guaranteed ones.
  auto const others = std::ranges::find_if(
    ordered, [](waiting_group const* aGroup) { return !aGroup->mIsGuaranteed; });
  for (auto const& [begin, end] :
       { std::pair{ ordered.begin(), others }, std::pair{ others, ordered.end() } }) {
    std::for_each(begin, end, [&](waiting_group const* aGroup) { claim(*aGroup); });
    std::for_each(begin, end, [&](waiting_group const* aGroup) { round.Place(*aGroup); });
  }
  return round.Take();
}

} // namespace rattanpond::dispatch
