#include "dispatch/departure_decision.h"

#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

namespace rattanpond::dispatch {

using base::milliseconds;

BOOST_AUTO_TEST_SUITE(departure_decision_test)

// Guards against work that is lost with a worker whose departure was announced (14 runs on scale-1
// of further-grown, after a spot notice of 1.5 s), and against stops of runs that would have ended
// in time.
BOOST_AUTO_TEST_CASE(runs_leave_before_their_worker_does)
{
  struct departure_case
  {
    std::string mName;
    departing_run mRun;
    bool mIsStopped = false;
  };
  constexpr milliseconds kStop{ 900 };
  std::vector<departure_case> const cases{
    { "ends in time, short notice",
      { milliseconds{ 500 }, milliseconds{ 400 }, false, false, kStop },
      false },
    { "ends in time, checkpointable",
      { milliseconds{ 2000 }, milliseconds{ 1900 }, true, false, kStop },
      false },
    { "may just end in time, saves nothing: goes on",
      { milliseconds{ 4400 }, milliseconds{ 4900 }, false, false, kStop },
      false },
    { "cannot end, saves nothing: starts again elsewhere at once",
      { milliseconds{ 4000 }, milliseconds{ 8000 }, false, false, kStop },
      true },
    { "cannot end, checkpointable, time left: works on",
      { milliseconds{ 4000 }, milliseconds{ 8000 }, true, false, kStop },
      false },
    { "cannot end, checkpointable, last moment for a stop that saves",
      { milliseconds{ 1300 }, milliseconds{ 8000 }, true, false, kStop },
      true },
    { "notice is over, the worker lingers",
      { milliseconds{ -200 }, milliseconds{ 8000 }, true, false, kStop },
      true },
    { "lasting task, time left: serves on",
      { milliseconds{ 4000 }, milliseconds{ 0 }, false, true, kStop },
      false },
    { "lasting task, last moment",
      { milliseconds{ 1000 }, milliseconds{ 0 }, false, true, kStop },
      true },
  };
  for (auto const& each : cases) {
    BOOST_TEST_CONTEXT(each.mName)
    {
      BOOST_TEST(MustStopBeforeDeparture(each.mRun) == each.mIsStopped);
    }
  }
}

// Guards against a run that is stopped although its progress shows that it ends in time: declared
// run times are wrong by a factor of several.
BOOST_AUTO_TEST_CASE(progress_counts_more_than_the_expected_run_time)
{
  auto const left = [](int aElapsed, std::int64_t aPercent, int aPercentAge, int aExpected) {
    return RunTimeLeft({ .mElapsed = milliseconds{ aElapsed },
                         .mPercent = aPercent,
                         .mPercentAge = milliseconds{ aPercentAge },
                         .mExpected = milliseconds{ aExpected } })
      .count();
  };
  BOOST_TEST(left(3000, 75, 0, 60'000) == 1000);
  BOOST_TEST(left(3900, 75, 900, 60'000) == 100);
  BOOST_TEST(left(500, 0, 500, 2000) == 1500);
  // One percent after a second tells little: the run may just have started.
  BOOST_TEST(left(1000, 1, 0, 3000) == 2000);
  BOOST_TEST(left(5000, 0, 5000, 2000) == 0);
  BOOST_TEST(left(5000, 100, 0, 60'000) == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace rattanpond::dispatch
