#include "dispatch/set_aside_limit.h"

#include <algorithm>

#include <boost/test/unit_test.hpp>

namespace rattanpond::dispatch {

namespace {

void Add(std::vector<worker_snapshot>& aWorkers, char const* aService, int aCount,
         start_obstacle aBarrier, bool aIsSuspect = false)
{
  for (int index = 0; index < aCount; ++index) {
    aWorkers.push_back({ .mService = aService, .mBarrier = aBarrier, .mIsSuspect = aIsSuspect });
  }
}

std::ptrdiff_t SetAside(std::vector<worker_snapshot> const& aWorkers, char const* aService)
{
  return std::ranges::count_if(aWorkers, [&](worker_snapshot const& aWorker) {
    return aWorker.mService == aService &&
           (aWorker.mBarrier == start_obstacle::quarantined || aWorker.mIsSuspect);
  });
}

} // namespace

BOOST_AUTO_TEST_SUITE(set_aside_limit_test)

// Guards against a service without any worker for its tasks: the share of workers that may be set
// aside was taken of all workers known, of other services and absent ones too.
BOOST_AUTO_TEST_CASE(the_share_counts_the_workers_that_a_service_has)
{
  std::vector<worker_snapshot> workers;
  Add(workers, "small", 3, start_obstacle::quarantined);
  Add(workers, "large", 20, start_obstacle::none);
  LimitSetAside(workers);
  BOOST_TEST(SetAside(workers, "small") == 1);

  std::vector<worker_snapshot> evacuated;
  Add(evacuated, "service", 6, start_obstacle::evacuated);
  Add(evacuated, "service", 3, start_obstacle::quarantined);
  LimitSetAside(evacuated);
  BOOST_TEST(SetAside(evacuated, "service") == 1);
}

// Guards against suspects that take up the share, so that workers known to fail are used.
BOOST_AUTO_TEST_CASE(quarantined_workers_come_before_suspects)
{
  std::vector<worker_snapshot> workers;
  Add(workers, "service", 3, start_obstacle::none, true);
  Add(workers, "service", 2, start_obstacle::quarantined);
  Add(workers, "service", 4, start_obstacle::none);
  LimitSetAside(workers);
  BOOST_TEST(SetAside(workers, "service") == 3);
  BOOST_TEST(std::ranges::count(workers, start_obstacle::quarantined, &worker_snapshot::mBarrier) ==
             2);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace rattanpond::dispatch
