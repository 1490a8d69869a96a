#include "placement/best_fit_backfill.h"

#include <algorithm>

namespace rattanpond::placement {

namespace {

constexpr base::milliseconds kNotice{ 28'000 };
/// Urgent jobs must start quickly, so gangs that are stopped for them get a shorter notice.
constexpr base::milliseconds kUrgentNotice{ 4'000 };

std::int64_t Accelerators(gang_shape const& aShape)
{
  return static_cast<std::int64_t>(aShape.mTasks) * aShape.mTask.mAccelerators;
}

base::time_point DeclaredEnd(running_gang const& aGang, base::time_point aNow)
{
  return aGang.mIsStopping ? aGang.mStopsBy
                           : std::max(aGang.mStarted + aGang.mDeclaredRemaining, aNow);
}

} // namespace

decisions best_fit_backfill::Decide(cluster_state const& aState, base::time_point aNow)
{
  BeginDecision(aState, aNow);
  CountGuarantees();
  std::vector<capacity_hold> holds;
  auto hasReserved = false;
  for (auto const* const job : Queue()) {
    if (IsTooLarge(*job)) {
      mDecisions.mParks.push_back({ job->mJob, "no group of workers is large enough" });
      continue;
    }
    if (!IsWithinQuota(*job)) {
      continue;
    }
    auto const isEntitled = IsEntitled(*job);
    if (auto const parts = BestFit(*job, FreeOutsideHolds(holds, *job))) {
      Start(*job, *parts, isEntitled ? tenure::guaranteed : tenure::borrowed);
      mUsedOfGuarantee[job->mWorkspace] += isEntitled ? Accelerators(job->mShape) : 0;
      continue;
    }
    if (isEntitled || job->mUrgency == urgency::urgent) {
      if (auto held = Preempt(*job)) {
        mUsedOfGuarantee[job->mWorkspace] += isEntitled ? Accelerators(job->mShape) : 0;
        holds.push_back(std::move(*held));
        continue;
      }
    }
    if (!hasReserved) {
      if (auto held = Reserve(*job)) {
        holds.push_back(std::move(*held));
        hasReserved = true;
      }
    }
  }
  return std::move(mDecisions);
}

void best_fit_backfill::CountGuarantees()
{
  mGuaranteed.clear();
  mUsedOfGuarantee.clear();
  for (auto const& [name, contract] : mState->mContracts) {
    for (auto const& shape : contract.mGuarantee) {
      mGuaranteed[name] += shape.mAccelerators;
    }
  }
  for (auto const& [name, gang] : mState->mRunning) {
    if (gang.mTenure == tenure::guaranteed) {
      mUsedOfGuarantee[gang.mWorkspace] += Accelerators(gang.mShape);
    }
  }
}

bool best_fit_backfill::IsEntitled(waiting_job const& aJob) const
{
  auto const guaranteed = mGuaranteed.find(aJob.mWorkspace);
  auto const used = mUsedOfGuarantee.find(aJob.mWorkspace);
  return guaranteed != mGuaranteed.end() &&
         (used == mUsedOfGuarantee.end() ? 0 : used->second) + Accelerators(aJob.mShape) <=
           guaranteed->second;
}

std::vector<waiting_job const*> best_fit_backfill::Queue() const
{
  auto jobs = InOrderOfSubmission();
  std::stable_sort(jobs.begin(), jobs.end(), [&](auto const* aLeft, auto const* aRight) {
    auto const rank = [&](waiting_job const& aJob) {
      return aJob.mUrgency == urgency::urgent ? 0 : IsEntitled(aJob) ? 1 : 2;
    };
    return rank(*aLeft) < rank(*aRight);
  });
  return jobs;
}

std::optional<placed_parts> best_fit_backfill::BestFit(waiting_job const& aJob,
                                                       std::vector<resources> const& aFree) const
{
  auto const score = [&](placed_parts const& aParts) {
    std::int64_t left = 0;
    for (auto const& part : aParts) {
      left += aFree[part.mWorker].mAccelerators;
    }
    return static_cast<double>(left);
  };
  return FitGang(mTopology, Candidates(mTopology, aFree, aJob.mShape), aJob.mShape, score);
}

void best_fit_backfill::Release(std::vector<resources>& aFree, running_gang const& aGang) const
{
  for (auto const& part : aGang.mParts) {
    auto const worker = mTopology.Find(part.mWorker);
    if (worker && mTopology.Worker(*worker).mAvailability == worker_availability::available) {
      aFree[*worker] += Demand(aGang.mShape.mTask) * part.mTasks;
    }
  }
}

bool best_fit_backfill::MayPreempt(running_gang const& aGang) const
{
  return aGang.mTenure == tenure::borrowed && aGang.mUrgency != urgency::urgent;
}

std::optional<best_fit_backfill::capacity_hold> best_fit_backfill::Preempt(waiting_job const& aJob)
{
  std::vector<running_gang const*> preemptible;
  auto free = mFree;
  for (auto const& [name, gang] : mState->mRunning) {
    if (gang.mIsStopping) {
      Release(free, gang);
    } else if (MayPreempt(gang)) {
      preemptible.push_back(&gang);
    }
  }
  std::stable_sort(
    preemptible.begin(), preemptible.end(),
    [](auto const* aLeft, auto const* aRight) { return aLeft->mStarted > aRight->mStarted; });
  std::vector<running_gang const*> chosen;
  auto parts = BestFit(aJob, free);
  for (auto const* const candidate : preemptible) {
    if (parts) {
      break;
    }
    Release(free, *candidate);
    chosen.push_back(candidate);
    parts = BestFit(aJob, free);
  }
  if (!parts) {
    return std::nullopt;
  }
  auto const isUsed = [&](running_gang const& aGang) {
    return std::any_of(aGang.mParts.begin(), aGang.mParts.end(), [&](auto const& aPart) {
      return std::any_of(parts->begin(), parts->end(), [&](auto const& aPlaced) {
        return mTopology.Worker(aPlaced.mWorker).mName == aPart.mWorker;
      });
    });
  };
  for (auto const* const candidate : chosen) {
    if (isUsed(*candidate)) {
      auto const isUrgent = aJob.mUrgency == urgency::urgent;
      Stop(candidate->mJob, isUrgent ? stop_reason::urgent : stop_reason::reclaim,
           isUrgent ? kUrgentNotice : kNotice);
    }
  }
  return MakeHold(aJob, *parts, mNow);
}

std::optional<best_fit_backfill::capacity_hold> best_fit_backfill::Reserve(
  waiting_job const& aJob) const
{
  std::vector<running_gang const*> gangs;
  for (auto const& [name, gang] : mState->mRunning) {
    gangs.push_back(&gang);
  }
  std::stable_sort(gangs.begin(), gangs.end(), [&](auto const* aLeft, auto const* aRight) {
    return DeclaredEnd(*aLeft, mNow) < DeclaredEnd(*aRight, mNow);
  });
  auto free = mFree;
  for (auto const* const gang : gangs) {
    Release(free, *gang);
    if (auto const parts = BestFit(aJob, free)) {
      return MakeHold(aJob, *parts, DeclaredEnd(*gang, mNow));
    }
  }
  return std::nullopt;
}

best_fit_backfill::capacity_hold best_fit_backfill::MakeHold(waiting_job const& aJob,
                                                             placed_parts const& aParts,
                                                             base::time_point aFrom) const
{
  capacity_hold held{ .mFrom = aFrom, .mResources = std::vector<resources>(mTopology.size()) };
  for (auto const& part : aParts) {
    held.mResources[part.mWorker] += Demand(aJob.mShape.mTask) * part.mTasks;
  }
  return held;
}

std::vector<resources> best_fit_backfill::FreeOutsideHolds(std::vector<capacity_hold> const& aHolds,
                                                           waiting_job const& aJob) const
{
  auto free = mFree;
  for (auto const& held : aHolds) {
    if (mNow + aJob.mDeclaredRemaining > held.mFrom) {
      for (std::size_t index = 0; index < free.size(); ++index) {
        free[index] -= held.mResources[index];
      }
    }
  }
  return free;
}

} // namespace rattanpond::placement
