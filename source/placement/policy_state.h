#pragma once

#include "placement/guarantee_binding.h"
#include "placement/policy.h"
#include "placement/reservation.h"
#include "placement/run_time_estimator.h"
#include "placement/shape_table.h"
#include "placement/topology.h"
#include "placement/worker_health.h"

#include <string>
#include <vector>

namespace rattanpond::placement {

/// Resources that are kept for a job until the gangs on them have stopped.
struct claim
{
  std::string mJob;
  placed_parts mParts;
  tenure mTenure = tenure::borrowed;
};

/// State that the policy "guaranteed" keeps between decisions. It need not be persistent: the
/// policy rebuilds or measures all of it again.
struct policy_state
{
  policy_options mOptions;
  topology mTopology;
  worker_health mHealth;
  run_time_estimator mEstimator;
  guarantee_binding mBinding;
  shape_table mShapes;
  std::vector<claim> mClaims;
  std::vector<reservation> mReservations;
};

} // namespace rattanpond::placement
