#pragma once

#include "placement/types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace rattanpond::bench {

/// A job of the arrival table, with what no scheduler knows: its real run time and habits.
struct trace_job
{
  std::string mName;
  std::string mWorkspace;
  placement::urgency mUrgency = placement::urgency::normal;
  placement::gang_shape mShape;
  base::time_point mSubmitted{};
  base::milliseconds mReal{ 0 };
  base::milliseconds mDeclared{ 0 };
  base::milliseconds mCheckpointEvery{ 0 };
  /// Time that a checkpoint takes when the gang is told to stop.
  base::milliseconds mCheckpointTakes{ 0 };
  /// Does not react to a stop; the runner ends it this long after the notice.
  std::optional<base::milliseconds> mOverstays;
  std::optional<base::time_point> mCancelled;

  std::int64_t Accelerators() const
  {
    return static_cast<std::int64_t>(mShape.mTasks) * mShape.mTask.mAccelerators;
  }
};

struct workload_options
{
  std::string mDeployment = "tulay-kargada";
  std::uint64_t mSeed = 1;
  std::uint32_t mScale = 1;
  bool mHasDomainOut = false;
  bool mHasFailingWorker = false;
  bool mHasCancelWave = false;
};

/// A cluster, its contracts, the arrivals and the faults, all drawn from the seed.
struct policy_workload
{
  placement::cluster_state mCluster;
  std::vector<trace_job> mJobs;
  /// Empty without the fault.
  std::string mOutDomain;
  base::time_point mOutAt{};
  base::time_point mBackAt{};
  base::milliseconds mNotice{ 30'000 };
  std::string mFailingWorker;
  base::time_point mFailsFrom{};
  base::time_point mFailsUntil{};
};

policy_workload DrawWorkload(workload_options const& aOptions);

} // namespace rattanpond::bench
