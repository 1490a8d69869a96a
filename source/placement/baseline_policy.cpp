#include "placement/baseline_policy.h"

#include <algorithm>

namespace rattanpond::placement {

void baseline_policy::BeginDecision(cluster_state const& aState, base::time_point aNow)
{
  mState = &aState;
  mNow = aNow;
  mDecisions = {};
  if (!mTopology.IsBuiltFrom(aState.mWorkers)) {
    mTopology = topology{ aState.mWorkers };
  }
  mFree.assign(mTopology.size(), {});
  for (std::size_t index = 0; index < mFree.size(); ++index) {
    if (mTopology.Worker(index).mAvailability == worker_availability::available) {
      mFree[index] = Capacity(mTopology.Worker(index));
    }
  }
  mAccelerators.clear();
  for (auto const& [name, gang] : aState.mRunning) {
    auto reason = stop_reason::reclaim;
    base::milliseconds notice{ 0 };
    for (auto const& part : gang.mParts) {
      auto const worker = mTopology.Find(part.mWorker);
      if (!worker) {
        continue;
      }
      mFree[*worker] -= Demand(gang.mShape.mTask) * part.mTasks;
      auto const availability = mTopology.Worker(*worker).mAvailability;
      if (availability == worker_availability::lost) {
        reason = stop_reason::worker_lost;
        notice = base::milliseconds{ 0 };
      } else if (availability == worker_availability::closed && reason == stop_reason::reclaim) {
        reason = stop_reason::domain_out;
        notice = mTopology.Worker(*worker).mNotice;
      }
    }
    mAccelerators[gang.mWorkspace] +=
      static_cast<std::int64_t>(gang.mShape.mTasks) * gang.mShape.mTask.mAccelerators;
    if (reason != stop_reason::reclaim && !gang.mIsStopping) {
      Stop(name, reason, notice);
    }
  }
}

void baseline_policy::Start(waiting_job const& aJob, placed_parts const& aParts, tenure aTenure)
{
  for (auto const& part : aParts) {
    mFree[part.mWorker] -= Demand(aJob.mShape.mTask) * part.mTasks;
  }
  mAccelerators[aJob.mWorkspace] +=
    static_cast<std::int64_t>(aJob.mShape.mTasks) * aJob.mShape.mTask.mAccelerators;
  mDecisions.mStarts.push_back({ aJob.mJob, NamedParts(mTopology, aParts), aTenure });
}

void baseline_policy::Stop(std::string const& aJob, stop_reason aReason, base::milliseconds aNotice)
{
  mDecisions.mStops.push_back({ aJob, aReason, aNotice });
}

bool baseline_policy::IsTooLarge(waiting_job const& aJob) const
{
  std::vector<resources> all(mTopology.size());
  for (std::size_t index = 0; index < all.size(); ++index) {
    all[index] = Capacity(mTopology.Worker(index));
  }
  return !FirstFit(mTopology, Candidates(mTopology, all, aJob.mShape), aJob.mShape);
}

bool baseline_policy::IsWithinQuota(waiting_job const& aJob) const
{
  auto const contract = mState->mContracts.find(aJob.mWorkspace);
  if (contract == mState->mContracts.end() || contract->second.mAcceleratorQuota == 0) {
    return true;
  }
  auto const used = mAccelerators.find(aJob.mWorkspace);
  return (used == mAccelerators.end() ? 0 : used->second) +
           static_cast<std::int64_t>(aJob.mShape.mTasks) * aJob.mShape.mTask.mAccelerators <=
         contract->second.mAcceleratorQuota;
}

std::vector<waiting_job const*> baseline_policy::InOrderOfSubmission() const
{
  std::vector<waiting_job const*> jobs;
  for (auto const& [name, job] : mState->mWaiting) {
    jobs.push_back(&job);
  }
  std::stable_sort(jobs.begin(), jobs.end(), [](auto const* aLeft, auto const* aRight) {
    return aLeft->mSubmitted < aRight->mSubmitted;
  });
  return jobs;
}

} // namespace rattanpond::placement
