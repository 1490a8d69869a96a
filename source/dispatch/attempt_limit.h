#pragma once

#include "dispatch/job.h"
#include "dispatch/operator_configuration.h"

#include <algorithm>

namespace rattanpond::dispatch {

/// Whether the runs of a task have failed as often as its queue allows. aQueue: null if neither
/// this process nor the store knows the queue; aCounted: the task that has the failures, which is
/// the first one of a gang.
inline bool HasUsedAttempts(queue const* aQueue, job_step const& aStep, task_state const& aCounted)
{
  return aQueue != nullptr && !aStep.mIsLongRunning &&
         aCounted.mFailures >= std::max(1U, aQueue->mMaximumAttempts);
}

/// Whether a failed task waits until it is known how often it may fail: neither another start nor
/// the failure of its job can be taken back.
inline bool AwaitsQueue(queue const* aQueue, job_step const& aStep, task_state const& aCounted)
{
  return aQueue == nullptr && !aStep.mIsLongRunning && aCounted.mFailures > 0;
}

} // namespace rattanpond::dispatch
