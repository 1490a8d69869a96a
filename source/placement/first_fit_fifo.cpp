#include "placement/first_fit_fifo.h"

namespace rattanpond::placement {

decisions first_fit_fifo::Decide(cluster_state const& aState, base::time_point aNow)
{
  BeginDecision(aState, aNow);
  for (auto const* const job : InOrderOfSubmission()) {
    auto const parts = FirstFit(mTopology, Candidates(mTopology, mFree, job->mShape), job->mShape);
    if (parts && IsWithinQuota(*job)) {
      Start(*job, *parts, tenure::borrowed);
    } else if (IsTooLarge(*job)) {
      mDecisions.mParks.push_back({ job->mJob, "no group of workers is large enough" });
    } else {
      break;
    }
  }
  return std::move(mDecisions);
}

} // namespace rattanpond::placement
