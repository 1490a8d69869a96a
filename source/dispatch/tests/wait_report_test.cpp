#include "dispatch/wait_report.h"

#include <boost/test/unit_test.hpp>

namespace rattanpond::dispatch {

namespace {

constexpr resources kWholeWorker{ 64'000, 262'144, 8 };
constexpr resources kWholeDemand{ 8000, 8000, 8 };

worker_snapshot Idle(std::string aName, std::string aRack = "r1")
{
  return { .mWorker = std::move(aName),
           .mService = "service",
           .mRack = std::move(aRack),
           .mLabels = { "a" },
           .mCapacity = kWholeWorker,
           .mFree = kWholeWorker };
}

worker_snapshot Full(std::string aName, std::string aRack = "r1")
{
  auto worker = Idle(std::move(aName), std::move(aRack));
  worker.mFree = {};
  return worker;
}

job_step Step(std::uint32_t aCount, bool aIsGang = false)
{
  job_step step;
  step.mCount = aCount;
  step.mDemand = kWholeDemand;
  step.mIsGang = aIsGang;
  return step;
}

waiting_group Group(job_step const& aStep)
{
  waiting_group group{ .mJob = "job", .mShape = &aStep, .mService = "service", .mPriority = 1 };
  for (std::uint32_t index = 0; index < aStep.mCount; ++index) {
    group.mIndexes.push_back(index);
  }
  return group;
}

} // namespace

BOOST_AUTO_TEST_SUITE(wait_report_test)

// Guards against an overdue task whose log line does not tell, or tells wrongly, what it waits for.
BOOST_AUTO_TEST_CASE(each_worker_is_counted_under_the_first_obstacle)
{
  auto step = Step(1);
  step.mRequiredLabel = "a";
  step.mDataRack = "r1";
  step.mMaximumPerWorker = 1;
  auto group = Group(step);
  group.mRunningOn = { { "limited", 1 } };
  group.mFailedOn = { "failed" };
  std::vector<worker_snapshot> workers{ Full("full"),        Idle("usable"),  Idle("far", "r2"),
                                        Idle("failed"),      Idle("limited"), Idle("claimed"),
                                        Idle("unpermitted"), Idle("other"),   Idle("unlabelled"),
                                        Idle("small"),       Idle("suspect") };
  group.mAllowed.emplace();
  for (auto const& worker : workers) {
    if (worker.mWorker != "unpermitted") {
      group.mAllowed->push_back(worker.mWorker);
    }
  }
  workers[7].mService = "other";
  workers[8].mLabels.clear();
  workers[9].mCapacity = { 1000, 1000, 1 };
  workers[10].mIsSuspect = true;
  workers[10].mHasRuns = true;
  std::map<start_obstacle, std::uint32_t> expected{ { start_obstacle::no_free_resources, 1 },
                                                    { start_obstacle::none, 1 },
                                                    { start_obstacle::data_rack, 1 },
                                                    { start_obstacle::failed_on, 1 },
                                                    { start_obstacle::worker_limit, 1 },
                                                    { start_obstacle::claimed, 1 },
                                                    { start_obstacle::permit, 1 },
                                                    { start_obstacle::service, 1 },
                                                    { start_obstacle::label, 1 },
                                                    { start_obstacle::capacity, 1 },
                                                    { start_obstacle::suspect, 1 } };
  for (auto const barrier :
       { start_obstacle::absent, start_obstacle::draining, start_obstacle::evacuated,
         start_obstacle::paused, start_obstacle::quarantined }) {
    workers.push_back(Idle(std::string{ base::Name(barrier) }));
    workers.back().mBarrier = barrier;
    expected[barrier] = 1;
  }
  placement_claim const own{ .mJob = "job", .mWorkers = { "usable" } };
  placement_claim const other{ .mJob = "other", .mWorkers = { "claimed" } };
  wait_report const report{ group, workers, { own, other } };
  BOOST_TEST((report.Workers() == expected));
  BOOST_TEST(report.Summary().find("outside-data-rack:1") != std::string::npos);
  // The users see room on the paused, the quarantined and the unpermitted worker too.
  BOOST_TEST(report.FreePlaces() == 8);
}

// Guards against a gang that waits although the line shows usable workers.
BOOST_AUTO_TEST_CASE(a_gang_is_reported_as_a_whole)
{
  auto step = Step(2, true);
  std::vector<worker_snapshot> const workers{ Idle("w1", "r1"), Idle("w2", "r2"),
                                              Full("w3", "r2") };
  wait_report const spread{ Group(step), workers, {} };
  BOOST_TEST(spread.Workers().at(start_obstacle::none) == 2U);
  step.mIsSameRack = true;
  wait_report const sameRack{ Group(step), workers, {} };
  BOOST_TEST(sameRack.Workers().at(start_obstacle::gang) == 2U);
  BOOST_TEST(!sameRack.Workers().contains(start_obstacle::none));
  auto const wide = Step(3, true);
  wait_report const tooWide{ Group(wide), workers, {} };
  BOOST_TEST(tooWide.Workers().at(start_obstacle::gang) == 2U);
}

// Guards against lines about tasks that wait because the service is busy, and against silence about
// long-running tasks, which are owed however busy it is.
BOOST_AUTO_TEST_CASE(a_wait_counts_only_with_room_twice_over)
{
  auto step = Step(1);
  std::vector<worker_snapshot> workers{ Idle("w1"), Idle("w2"), Full("w3") };
  BOOST_TEST((wait_report{ Group(step), workers, {} }).HasRoom());
  workers.push_back(Full("w4"));
  BOOST_TEST(!(wait_report{ Group(step), workers, {} }).HasRoom());
  step.mIsLongRunning = true;
  BOOST_TEST((wait_report{ Group(step), workers, {} }).HasRoom());
  BOOST_TEST(!(wait_report{ Group(step), { Idle("w1"), Full("w2") }, {} }).HasRoom());
  auto const pair = Step(2, true);
  BOOST_TEST(!(wait_report{ Group(pair), { Idle("w1"), Idle("w2"), Idle("w3") }, {} }).HasRoom());
  // Workers that leave are not counted as free.
  auto leaving = Idle("w5");
  leaving.mBarrier = start_obstacle::draining;
  BOOST_TEST(!(wait_report{ Group(step), { Idle("w1"), leaving }, {} }).HasRoom());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace rattanpond::dispatch
