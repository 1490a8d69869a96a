#pragma once

#include "base/time.h"
#include "configuration/contract.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace rattanpond::placement {

using configuration::adjacency;
using configuration::urgency;

enum class worker_availability
{
  available,
  /// The worker's failure domain is out of service or its agent is draining: no gang starts there.
  closed,
  quarantined,
  lost
};

/// A worker as the policy sees it.
struct worker
{
  std::string mName;
  std::string mRegion;
  std::string mDomain;
  std::string mRack;
  std::string mKind;
  std::uint32_t mAccelerators = 0;
  std::uint32_t mCores = 0;
  std::uint64_t mMemoryMebibytes = 0;
  worker_availability mAvailability = worker_availability::available;
  /// Time that running gangs have to checkpoint and stop once the worker is closed.
  base::milliseconds mNotice{ 30'000 };

  bool operator==(worker const&) const = default;
};

/// Resource demand of one task of a gang.
struct task_shape
{
  std::uint32_t mAccelerators = 0;
  std::uint32_t mCores = 0;
  std::uint64_t mMemoryMebibytes = 0;

  bool operator==(task_shape const&) const = default;
};

/// Resource and placement demand of a whole gang.
struct gang_shape
{
  std::uint32_t mTasks = 1;
  task_shape mTask;
  std::string mKind;
  adjacency mLevel = adjacency::same_region;
  std::string mRegion;

  bool operator==(gang_shape const&) const = default;
};

/// A job that waits for a placement.
struct waiting_job
{
  std::string mJob;
  std::string mWorkspace;
  urgency mUrgency = urgency::normal;
  gang_shape mShape;
  /// Remaining part of the declared run time. Declared run times are often far off.
  base::milliseconds mDeclaredRemaining{ 0 };
  base::time_point mSubmitted{};
  /// When the job last became eligible; later than mSubmitted after a preemption or a failure.
  base::time_point mWaitingSince{};
};

/// Tasks of a gang on one worker.
struct gang_part
{
  std::string mWorker;
  std::uint32_t mTasks = 0;

  bool operator==(gang_part const&) const = default;
};

/// Whether a gang runs within its workspace's guarantee, or borrows accelerators and may be
/// preempted for a guarantee.
enum class tenure
{
  guaranteed,
  borrowed
};

/// A gang that is starting, running or stopping; it uses its accelerators in all three states.
struct running_gang
{
  std::string mJob;
  std::string mWorkspace;
  urgency mUrgency = urgency::normal;
  gang_shape mShape;
  std::vector<gang_part> mParts;
  tenure mTenure = tenure::borrowed;
  base::time_point mStarted{};
  base::time_point mLastCheckpoint{};
  base::milliseconds mDeclaredRemaining{ 0 };
  /// True once the gang was ordered to checkpoint and stop; its accelerators should be free by
  /// mStopsBy.
  bool mIsStopping = false;
  base::time_point mStopsBy{};
};

/// The whole input of a policy. Plain data, so that the entry and the bench use the same type.
struct cluster_state
{
  std::map<std::string, worker> mWorkers;
  std::map<std::string, configuration::contract> mContracts;
  std::map<std::string, waiting_job> mWaiting;
  std::map<std::string, running_gang> mRunning;
};

/// Starts a whole gang.
struct start_gang
{
  std::string mJob;
  std::vector<gang_part> mParts;
  tenure mTenure = tenure::borrowed;
};

/// The running gang of a waiting job that starts at aNow.
inline running_gang StartedGang(waiting_job const& aJob, start_gang const& aStart,
                                base::time_point aNow)
{
  return { .mJob = aJob.mJob,
           .mWorkspace = aJob.mWorkspace,
           .mUrgency = aJob.mUrgency,
           .mShape = aJob.mShape,
           .mParts = aStart.mParts,
           .mTenure = aStart.mTenure,
           .mStarted = aNow,
           .mLastCheckpoint = aNow,
           .mDeclaredRemaining = aJob.mDeclaredRemaining };
}

enum class stop_reason
{
  reclaim,
  domain_out,
  defragment,
  worker_lost,
  urgent
};

/// Checkpoints and stops a whole gang; its job waits again.
struct stop_gang
{
  std::string mJob;
  stop_reason mReason = stop_reason::reclaim;
  base::milliseconds mNotice{ 0 };
};

/// Removes a job that can never run from the queue.
struct park_job
{
  std::string mJob;
  std::string mReason;
};

struct decisions
{
  std::vector<start_gang> mStarts;
  std::vector<stop_gang> mStops;
  std::vector<park_job> mParks;
};

} // namespace rattanpond::placement
