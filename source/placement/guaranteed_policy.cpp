#include "placement/guaranteed_policy.h"

#include "placement/guaranteed_decision.h"

namespace rattanpond::placement {

namespace {

/// Translates worker indices from aOld to aNew; empty if one of the workers is gone.
placed_parts Rebase(topology const& aOld, topology const& aNew, placed_parts const& aParts)
{
  placed_parts parts;
  for (auto const& part : aParts) {
    auto const found = aNew.Find(aOld.Worker(part.mWorker).mName);
    if (!found) {
      return {};
    }
    parts.push_back({ *found, part.mTasks });
  }
  return parts;
}

} // namespace

guaranteed_policy::guaranteed_policy(policy_options const& aOptions)
{
  mPolicyState.mOptions = aOptions;
}

decisions guaranteed_policy::Decide(cluster_state const& aState, base::time_point aNow)
{
  RefreshTopology(aState);
  ReadmitWorkers(aState, aNow);
  mPolicyState.mHealth.Refresh(aState.mWorkers.size(), aNow);
  return guaranteed_decision{ mPolicyState, aState, aNow }.Run();
}

void guaranteed_policy::ReadmitWorkers(cluster_state const& aState, base::time_point aNow)
{
  if (mPolicyState.mHealth.Quarantined().empty()) {
    return;
  }
  for (auto const& [name, gang] : aState.mRunning) {
    for (auto const& part : gang.mParts) {
      mPolicyState.mHealth.RecordRunning(part.mWorker, gang.mStarted, aNow);
    }
  }
}

void guaranteed_policy::RecordGangEnd(running_gang const& aGang, gang_outcome aOutcome,
                                      std::string const& aFailedWorker, base::time_point aNow)
{
  mPolicyState.mHealth.RecordGangEnd(aGang, aOutcome, aFailedWorker, aNow);
  if (aOutcome == gang_outcome::finished) {
    mPolicyState.mEstimator.Observe(aGang.mWorkspace, aGang.mDeclaredRemaining,
                                    aNow - aGang.mStarted);
  }
}

std::vector<std::string> guaranteed_policy::Quarantined() const
{
  return mPolicyState.mHealth.Quarantined();
}

void guaranteed_policy::RefreshTopology(cluster_state const& aState)
{
  if (mPolicyState.mTopology.IsBuiltFrom(aState.mWorkers)) {
    return;
  }
  topology fresh{ aState.mWorkers };
  mPolicyState.mBinding.Rebase(mPolicyState.mTopology, fresh);
  for (auto& claim : mPolicyState.mClaims) {
    claim.mParts = Rebase(mPolicyState.mTopology, fresh, claim.mParts);
  }
  std::erase_if(mPolicyState.mClaims, [](claim const& aClaim) { return aClaim.mParts.empty(); });
  // The next decision plans new reservations.
  mPolicyState.mReservations.clear();
  mPolicyState.mTopology = std::move(fresh);
  mPolicyState.mShapes.Reset();
}

} // namespace rattanpond::placement
