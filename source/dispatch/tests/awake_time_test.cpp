#include "dispatch/awake_time.h"

#include <boost/test/unit_test.hpp>

namespace rattanpond::dispatch {

using base::milliseconds;

BOOST_AUTO_TEST_SUITE(awake_time_test)

// Guards against a lease that is taken for expired while the machine of its worker was suspended.
BOOST_AUTO_TEST_CASE(a_gap_does_not_count)
{
  awake_time time;
  auto now = awake_time::clock::time_point{} + std::chrono::hours{ 1 };
  time.Advance(now);
  for (int step = 0; step < 4; ++step) {
    now += milliseconds{ 250 };
    BOOST_TEST(time.Advance(now).count() == 0);
  }
  BOOST_TEST(time.Total().count() == 1000);
  now += awake_time::kLongestGap + milliseconds{ 1 };
  BOOST_TEST(time.Advance(now).count() == awake_time::kLongestGap.count() + 1);
  BOOST_TEST(time.Total().count() == 1000);
  now += awake_time::kLongestGap;
  BOOST_TEST(time.Advance(now).count() == 0);
  BOOST_TEST(time.Total().count() == 1000 + awake_time::kLongestGap.count());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace rattanpond::dispatch
