#include "platform/tests/test_cluster.h"

namespace rattanpond::platform {

using base::milliseconds;

namespace {

std::string ServingJob()
{
  return base::json{
    { "spec", "x" },
    { "steps",
      { { { "count", 1 },
          { "cpu", 1000 },
          { "mem_mb", 1000 },
          { "long_running", true },
          { "target_ms", 100 } } } }
  }.dump();
}

std::string FillingJob()
{
  return base::json{
    { "spec", "x" },
    { "steps", { { { "count", 1 }, { "cpu", 640'000 }, { "mem_mb", 1000 }, { "fills", true } } } }
  }.dump();
}

} // namespace

BOOST_AUTO_TEST_SUITE(pace_test)

// Guards against filling work that never runs where all workers serve users, against filling work
// that goes on while those users wait too long, and against stopping work that is only paced.
BOOST_AUTO_TEST_CASE(filling_work_yields_to_the_tasks_that_serve)
{
  test_cluster cluster{ 1, 1 };
  auto& worker = cluster.mSides[0]->mWorker;
  worker.mWork = milliseconds{ 60'000 };
  worker.mServingJob = JobId(1);
  worker.mTail = 30;
  auto const filling = JobId(2) + ".0.0.0";
  auto& front = *cluster.Holder();
  BOOST_TEST(cluster.Call(front, "POST", "/u/" + JobId(1), ServingJob()) == 200U);
  BOOST_REQUIRE(cluster.Until([&] { return cluster.mJournal.Live() == 1; }));
  BOOST_TEST(cluster.Call(front, "POST", "/b/" + JobId(2), FillingJob()) == 200U);
  BOOST_REQUIRE(cluster.Until([&] { return cluster.mJournal.Live() == 2; }, milliseconds{ 3000 }));
  // It shows first at a low pace what it does to its neighbour.
  BOOST_REQUIRE(
    cluster.Until([&] { return worker.mPaces.contains(filling); }, milliseconds{ 1000 }));
  BOOST_TEST(worker.mPaces[filling] < 50U);
  BOOST_TEST(cluster.Until([&] { return worker.mPaces[filling] >= 30; }, milliseconds{ 6000 }));

  // Users wait too long for four seconds at most.
  worker.mTail = 140;
  BOOST_TEST(cluster.Until([&] { return worker.mPaces[filling] == 0; }, milliseconds{ 2500 }));
  cluster.For(milliseconds{ 4000 });
  BOOST_TEST(worker.mPaces[filling] == 0U);
  worker.mTail = 30;
  BOOST_TEST(cluster.Until([&] { return worker.mPaces[filling] > 0; }, milliseconds{ 5000 }));
  BOOST_TEST(cluster.mJournal.Starts(filling) == 1U);
  BOOST_TEST(worker.mStopCalls == 0U);
  RequireNoFaults(cluster);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace rattanpond::platform
