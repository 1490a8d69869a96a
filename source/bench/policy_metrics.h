#pragma once

#include "base/codec.h"
#include "bench/policy_workload.h"

#include <map>
#include <string>
#include <vector>

namespace rattanpond::bench {

/// Quantile of the values, 0 if there are none.
double Quantile(std::vector<double> aValues, double aQuantile);
double Mean(std::vector<double> const& aValues);

/// What a replay counted. Times are in seconds.
struct policy_metrics
{
  struct finished_job
  {
    trace_job const* mJob = nullptr;
    double mCompletion = 0;
  };

  std::vector<finished_job> mFinished;
  std::vector<double> mUrgentStarts;
  std::vector<double> mReclaims;

  /// Accelerator-seconds over the arrivals.
  double mFree = 0;
  double mStranded = 0;
  /// The same while enough is free in all, so that a better arrangement could serve the shape.
  double mFreeEnough = 0;
  double mStrandedOfEnough = 0;
  double mLargeJobsBlocked = 0;

  /// Accelerator-seconds from the domain's leaving until ten minutes after its return.
  double mAbsenceWork = 0;
  double mAbsenceCapacity = 0;

  double mLostToPreemption = 0;
  std::uint64_t mPreemptions = 0;
  std::uint64_t mParked = 0;
  std::uint64_t mUnfinished = 0;

  std::uint64_t mPartialGangs = 0;
  std::uint64_t mStartsInOutDomain = 0;
  std::uint64_t mGuaranteesMissed = 0;
  std::uint64_t mOverlaps = 0;

  base::json Report(policy_workload const& aWorkload) const;

private:
  base::json Completion() const;
  base::json Slowdown(policy_workload const& aWorkload) const;
};

/// Mean completion time that no scheduler can beat: all accelerators taken as one machine that can
/// be divided at will and preempted at no cost, which serves the smallest remaining work first
/// (optimal for the mean on one machine); and never less than the mean of the run times.
double MeanCompletionBound(policy_workload const& aWorkload);

} // namespace rattanpond::bench
