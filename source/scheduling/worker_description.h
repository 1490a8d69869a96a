#pragma once

#include "membership/target_description.h"
#include "placement/types.h"

namespace rattanpond::scheduling {

/// The policy's view of an announced worker, available.
inline placement::worker WorkerOf(membership::target_description const& aTarget)
{
  placement::worker worker;
  worker.mName = aTarget.mTarget;
  worker.mRegion = aTarget.mRegion;
  worker.mDomain = aTarget.mDomain;
  worker.mRack = aTarget.mRack;
  worker.mKind = aTarget.mCapacity.mKind;
  worker.mAccelerators = aTarget.mCapacity.mAccelerators;
  worker.mCores = aTarget.mCapacity.mCores;
  worker.mMemoryMebibytes = aTarget.mCapacity.mMemoryMebibytes;
  return worker;
}

} // namespace rattanpond::scheduling
