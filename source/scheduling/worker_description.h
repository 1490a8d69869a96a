#pragma once

#include "membership/target_description.h"
#include "placement/types.h"

namespace rattanpond::scheduling {

/// Converts the description of an announced worker to the placement policy's form. The worker is
/// marked as available.
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
