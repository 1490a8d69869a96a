#include "dispatch/placement_decision.h"
#include "dispatch/wait_report.h"

#include <functional>
#include <random>

#include <boost/test/unit_test.hpp>

namespace rattanpond::dispatch {

using base::milliseconds;

namespace {

constexpr resources kWholeWorker{ 64'000, 262'144, 8 };
constexpr base::time_point kStart{ milliseconds{ 100'000 } };
constexpr milliseconds kPlanningInterval{ 200 };
/// The users count a job as lost after 3 s; the transaction (0.8 s) and the order (0.4 s) of the
/// start come after the decision.
constexpr milliseconds kDecisionBound{ 1800 };

resources Demand(std::int64_t aAccelerators)
{
  return { 1000 * aAccelerators, 1000 * aAccelerators, aAccelerators };
}

worker_snapshot Worker(std::string aName, std::string aRack, std::int64_t aUsed = 0)
{
  worker_snapshot worker{ .mWorker = std::move(aName),
                          .mService = "service",
                          .mRack = std::move(aRack),
                          .mLabels = { "a" },
                          .mCapacity = kWholeWorker,
                          .mFree = kWholeWorker };
  worker.mFree -= Demand(aUsed);
  worker.mHasRuns = aUsed > 0;
  return worker;
}

/// A fleet with a group that waits for it. Runs of others never end; the time of a decision is all
/// that changes.
struct scene
{
  std::vector<worker_snapshot> mWorkers;
  job_step mStep;
  waiting_group mGroup;
  std::vector<waiting_group> mRivals;
  std::vector<preemptible_run> mRuns;
  std::vector<placement_claim> mClaims;

  explicit scene(std::uint32_t aCount, std::int64_t aAccelerators, bool aIsGang)
  {
    mStep.mCount = aCount;
    mStep.mDemand = Demand(aAccelerators);
    mStep.mIsGang = aIsGang;
    mGroup = { .mJob = "job", .mService = "service", .mPriority = 1, .mWaitingSince = kStart };
    for (std::uint32_t index = 0; index < aCount; ++index) {
      mGroup.mIndexes.push_back(index);
    }
  }

  worker_snapshot& Find(std::string const& aName)
  {
    return *std::ranges::find(mWorkers, aName, &worker_snapshot::mWorker);
  }

  /// Whether there is room for the group twice over on workers that may run it, and under half of
  /// the service is in use.
  bool HasRoom() const
  {
    auto permitted = mWorkers;
    std::erase_if(permitted, [&](worker_snapshot const& aWorker) {
      return mGroup.mAllowed &&
             std::ranges::find(*mGroup.mAllowed, aWorker.mWorker) == mGroup.mAllowed->end();
    });
    auto const required =
      mStep.mIsGang ? static_cast<std::int64_t>(mGroup.mIndexes.size()) : std::int64_t{ 1 };
    return wait_report{ mGroup, permitted, {} }.FreePlaces() >= 2 * required &&
           wait_report{ mGroup, mWorkers, {} }.UsedShare() < 0.5;
  }

  /// Longest time for which there was room for the group and it was not started, up to a limit.
  milliseconds Wait()
  {
    constexpr milliseconds kLimit{ 8000 };
    mGroup.mShape = &mStep;
    milliseconds waited{ 0 };
    for (auto now = kStart; now <= kStart + kLimit; now += kPlanningInterval) {
      auto groups = mRivals;
      groups.push_back(mGroup);
      auto decision = DecidePlacement(mWorkers, groups, mRuns, mClaims, now);
      mClaims = std::move(decision.mClaims);
      for (auto const& stop : decision.mStops) {
        mRuns[stop.mRun].mIsStopping = true;
      }
      auto const isStarted = std::ranges::count(decision.mStarts, "job", &placed_task::mJob) > 0;
      for (auto const& start : decision.mStarts) {
        auto const rival = std::ranges::find(mRivals, start.mJob, &waiting_group::mJob);
        auto& started = rival == mRivals.end() ? mGroup : *rival;
        auto& free = Find(start.mWorker).mFree;
        BOOST_TEST(free.Covers(ReservedDemand(*started.mShape)));
        free -= ReservedDemand(*started.mShape);
        std::erase(started.mIndexes, start.mPosition.mIndex);
      }
      if (isStarted) {
        return waited;
      }
      std::erase_if(mRivals, [](waiting_group const& aRival) { return aRival.mIndexes.empty(); });
      waited = HasRoom() ? waited + kPlanningInterval : milliseconds{ 0 };
    }
    return waited;
  }
};

struct named_scene
{
  char const* mName;
  std::function<scene()> mMake;
};

/// Six workers in two racks. Those in the first have one task each, so that no task for a whole
/// worker fits there.
scene RackScene(std::uint32_t aCount, bool aIsGang)
{
  scene result{ aCount, 8, aIsGang };
  for (int index = 0; index < 6; ++index) {
    result.mWorkers.push_back(
      Worker("w" + std::to_string(index), index < 2 ? "r1" : "r2", index < 2 ? 1 : 0));
  }
  return result;
}

scene DataRack(std::uint32_t aCount, bool aIsGang)
{
  auto result = RackScene(aCount, aIsGang);
  result.mStep.mDataRack = "r1";
  return result;
}

scene FailedOn(std::uint32_t aCount, bool aIsGang)
{
  auto result = RackScene(aCount, aIsGang);
  result.mGroup.mFailedOn = { "w2", "w3", "w4", "w5" };
  return result;
}

scene Suspect(std::uint32_t aCount, bool aIsGang)
{
  auto result = RackScene(aCount, aIsGang);
  for (auto const* const name : { "w2", "w3", "w4", "w5" }) {
    result.Find(name).mIsSuspect = true;
  }
  return result;
}

std::vector<named_scene> const kScenes{
  { "data rack", [] { return DataRack(1, false); } },
  { "data rack of a gang", [] { return DataRack(2, true); } },
  { "failed on", [] { return FailedOn(1, false); } },
  { "gang failed on", [] { return FailedOn(2, true); } },
  { "suspects and an urgent task",
    [] {
      auto scene = Suspect(1, false);
      scene.mGroup.mPriority = 0;
      return scene;
    } },
  { "suspects and a last attempt",
    [] {
      auto scene = Suspect(1, false);
      scene.mGroup.mIsLastAttempt = true;
      return scene;
    } },
  { "suspects with a run",
    [] {
      auto scene = Suspect(1, false);
      scene.mStep.mDemand = Demand(4);
      scene.Find("w0").mFree = Demand(2);
      scene.Find("w1").mFree = Demand(2);
      for (auto& worker : scene.mWorkers) {
        worker.mHasRuns = true;
      }
      return scene;
    } },
  { "suspects and a gang", [] { return Suspect(2, true); } },
  { "several members of a gang on a suspect",
    [] {
      scene result{ 4, 2, true };
      result.mWorkers = { Worker("w0", "r1"), Worker("w1", "r1") };
      for (auto& worker : result.mWorkers) {
        worker.mIsSuspect = true;
      }
      return result;
    } },
  { "same rack",
    [] {
      scene result{ 2, 8, true };
      result.mStep.mIsSameRack = true;
      for (int rack = 0; rack < 4; ++rack) {
        auto const name = std::to_string(rack);
        result.mWorkers.push_back(Worker("idle" + name, "r" + name));
        result.mWorkers.push_back(Worker("used" + name, "r" + name, 1));
      }
      return result;
    } },
  { "data rack and failed on",
    [] {
      auto scene = DataRack(1, false);
      scene.Find("w1") = Worker("w1", "r1");
      scene.mGroup.mFailedOn = { "w1" };
      return scene;
    } },
  { "data rack, last attempt, suspect",
    [] {
      auto scene = DataRack(1, false);
      scene.mGroup.mIsLastAttempt = true;
      for (auto const* const name : { "w3", "w4", "w5" }) {
        scene.Find(name).mIsSuspect = true;
      }
      return scene;
    } },
  { "data rack, failed on, suspect, label",
    [] {
      auto scene = DataRack(1, false);
      scene.mStep.mRequiredLabel = "b";
      scene.mGroup.mIsLastAttempt = true;
      for (auto const* const name : { "w0", "w2", "w3" }) {
        scene.Find(name).mLabels.push_back("b");
      }
      scene.mGroup.mFailedOn = { "w2" };
      scene.Find("w3").mIsSuspect = true;
      return scene;
    } },
};

/// The only worker for both groups has a run that is being stopped for the other one, and does not
/// end.
scene ClaimedWorker()
{
  static job_step const rivalStep = [] {
    job_step step;
    step.mDemand = Demand(8);
    step.mRequiredLabel = "b";
    return step;
  }();
  scene result{ 1, 1, false };
  result.mStep.mRequiredLabel = "b";
  result.mWorkers = { Worker("w0", "r1", 1), Worker("w1", "r1"), Worker("w2", "r1") };
  result.Find("w0").mLabels.push_back("b");
  result.mRuns = { { .mJob = "run",
                     .mTasks = { {} },
                     .mWorkers = { "w0" },
                     .mDemand = Demand(1),
                     .mPriority = 2,
                     .mIsStopping = true } };
  result.mRivals = { { .mJob = "rival",
                       .mIndexes = { 0 },
                       .mShape = &rivalStep,
                       .mService = "service",
                       .mPriority = 0,
                       .mPreemptionBudget = 1000,
                       .mWaitingSince = kStart } };
  return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(placement_wait_test)

// Guards against a worker that is claimed again and again for a group whose stopped run does not
// end, while another task fits on it.
BOOST_AUTO_TEST_CASE(a_run_that_does_not_stop_keeps_no_worker_claimed)
{
  BOOST_TEST(ClaimedWorker().Wait() <= kDecisionBound);
}

// Guards against a task that waits for good for the workers that it prefers, while most of the
// service is idle: near its data, not suspect, not failed on. The users count its job as lost.
BOOST_AUTO_TEST_CASE(preferences_end_while_most_of_the_service_is_free)
{
  for (auto const& entry : kScenes) {
    auto scene = entry.mMake();
    auto const waited = scene.Wait();
    BOOST_TEST(waited <= kDecisionBound, entry.mName << " waited " << waited.count() << " ms");
  }
}

// Guards against preferences that end too early: a remote run takes three times as long, and on a
// busy service it takes the place of tasks that would be near.
BOOST_AUTO_TEST_CASE(preferences_hold_while_waiting_costs_less)
{
  auto const starts = [](scene aScene, milliseconds aWaited) {
    aScene.mGroup.mShape = &aScene.mStep;
    return DecidePlacement(aScene.mWorkers, { aScene.mGroup }, {}, {}, kStart + aWaited).mStarts;
  };
  auto const single = DataRack(1, false);
  BOOST_TEST(starts(single, milliseconds{ 1400 }).empty());
  BOOST_TEST(starts(single, milliseconds{ 1500 }).size() == 1U);
  auto brief = single;
  brief.mGroup.mExpectedRunTime = milliseconds{ 100 };
  BOOST_TEST(starts(brief, milliseconds{ 100 }).empty());
  BOOST_TEST(starts(brief, milliseconds{ 200 }).size() == 1U);

  // Other tasks of the job run, or one of them has just been started.
  auto running = single;
  running.mGroup.mIsJobRunning = true;
  running.mGroup.mExpectedRunTime = milliseconds{ 4000 };
  BOOST_TEST(starts(running, milliseconds{ 7900 }).empty());
  BOOST_TEST(starts(running, milliseconds{ 8000 }).size() == 1U);
  auto wide = DataRack(3, false);
  wide.mGroup.mExpectedRunTime = milliseconds{ 4000 };
  BOOST_TEST(starts(wide, milliseconds{ 1500 }).size() == 1U);
  wide.mStep.mIsLongRunning = true;
  BOOST_TEST(starts(wide, milliseconds{ 1500 }).size() == 3U);

  auto busy = single;
  for (auto const* const name : { "w2", "w3", "w4" }) {
    busy.Find(name).mFree = {};
  }
  BOOST_TEST(starts(busy, milliseconds{ 60'000 }).empty());
  // Long-running tasks are owed however busy the service is.
  busy.mStep.mIsLongRunning = true;
  BOOST_TEST(starts(busy, milliseconds{ 1500 }).size() == 1U);
}

// Guards against a last attempt on a worker that fails tasks, while another one is merely remote.
BOOST_AUTO_TEST_CASE(preferred_workers_still_come_first)
{
  auto scene = DataRack(1, false);
  scene.mGroup.mShape = &scene.mStep;
  scene.mGroup.mIsLastAttempt = true;
  scene.mGroup.mFailedOn = { "w2" };
  for (auto const* const name : { "w3", "w4" }) {
    scene.Find(name).mIsSuspect = true;
  }
  auto const decide = [&] {
    return DecidePlacement(scene.mWorkers, { scene.mGroup }, {}, {}, kStart + milliseconds{ 2000 });
  };
  auto const chosen = [&] {
    auto const decision = decide();
    return decision.mStarts.empty() ? std::string{} : decision.mStarts.front().mWorker;
  };
  BOOST_TEST(chosen() == "w5");
  scene.Find("w5").mFree = {};
  BOOST_TEST(chosen() == "w2");
  scene.Find("w2").mFree = Demand(7);
  BOOST_TEST(chosen() == "w3");
}

// Guards against a guaranteed group that waits for its rack, in which no run may be stopped for it,
// although it could start or reclaim elsewhere: it is to start within the reclaim bound.
BOOST_AUTO_TEST_CASE(a_guaranteed_group_reclaims_beyond_the_rack_of_its_data)
{
  for (auto const isGang : { true, false }) {
    BOOST_TEST_CONTEXT("gang " << isGang)
    {
      scene scene{ 1, 8, isGang };
      scene.mStep.mDataRack = "r1";
      scene.mGroup.mShape = &scene.mStep;
      scene.mGroup.mPriority = 0;
      scene.mGroup.mIsGuaranteed = true;
      scene.mWorkers = { Worker("near", "r1", 8), Worker("bulk", "r2", 8), Worker("idle", "r2") };
      scene.mRuns = { { .mJob = "guaranteed",
                        .mTasks = { {} },
                        .mWorkers = { "near" },
                        .mDemand = Demand(8),
                        .mPriority = 0,
                        .mIsGuaranteed = true },
                      { .mJob = "bulk",
                        .mTasks = { {} },
                        .mWorkers = { "bulk" },
                        .mDemand = Demand(8),
                        .mPriority = 2 } };
      auto const decide = [&] {
        return DecidePlacement(scene.mWorkers, { scene.mGroup }, scene.mRuns, {}, kStart);
      };
      auto const started = decide();
      BOOST_TEST(started.mStops.empty());
      BOOST_REQUIRE(started.mStarts.size() == 1U);
      BOOST_TEST(started.mStarts.front().mWorker == "idle");
      scene.mWorkers.pop_back();
      auto const reclaimed = decide();
      BOOST_REQUIRE(reclaimed.mStops.size() == 1U);
      BOOST_TEST(reclaimed.mStops.front().mRun == 1U);
      // Where a run in the rack may be stopped, the group stays near its data.
      scene.mRuns.front().mIsGuaranteed = false;
      scene.mRuns.front().mPriority = 2;
      auto const near = decide();
      BOOST_REQUIRE(near.mStops.size() == 1U);
      BOOST_TEST(near.mStops.front().mRun == 0U);
    }
  }
}

// Guards against a combination of obstacles that the scenes above lack: whatever keeps a group from
// some workers, it is started in time while there is room for it twice over.
BOOST_AUTO_TEST_CASE(random_groups_start_in_time_while_there_is_room)
{
  constexpr int kScenesDrawn = 3000;
  std::mt19937 random{ 20261204 };
  auto const draw = [&](int aFrom, int aTo) {
    return std::uniform_int_distribution{ aFrom, aTo }(random);
  };
  auto const chance = [&](int aPercent) { return draw(0, 99) < aPercent; };
  std::map<std::string, int> late;
  int withRoom = 0;
  for (int round = 0; round < kScenesDrawn; ++round) {
    scene drawn{ static_cast<std::uint32_t>(draw(1, 6)), draw(0, 8), chance(50) };
    auto const workers = draw(3, 12);
    auto const suspectPercent = chance(50) ? draw(10, 100) : 0;
    for (int index = 0; index < workers; ++index) {
      auto const name = "w" + std::to_string(index);
      auto worker = Worker(name, "r" + std::to_string(index / 3), chance(50) ? draw(1, 8) : 0);
      worker.mIsSuspect = chance(suspectPercent);
      worker.mBarrier = chance(10) ? start_obstacle::evacuated : start_obstacle::none;
      if (chance(60)) {
        worker.mLabels.push_back("b");
      }
      if (worker.mHasRuns) {
        auto demand = worker.mCapacity;
        demand -= worker.mFree;
        drawn.mRuns.push_back({ .mJob = "run-" + name,
                                .mTasks = { {} },
                                .mWorkers = { name },
                                .mDemand = demand,
                                .mPriority = static_cast<std::uint32_t>(draw(0, 2)),
                                .mLostWork = static_cast<double>(draw(0, 100)) });
      }
      drawn.mWorkers.push_back(std::move(worker));
    }
    auto const name = [&] { return "w" + std::to_string(draw(0, workers - 1)); };
    std::vector<std::string> obstacles;
    auto& group = drawn.mGroup;
    group.mPriority = static_cast<std::uint32_t>(draw(0, 2));
    if (group.mPriority == 0 && chance(50)) {
      group.mPreemptionBudget = draw(0, 200);
    }
    if (suspectPercent > 0) {
      obstacles.emplace_back("suspect");
    }
    if (chance(30)) {
      group.mIsLastAttempt = true;
      obstacles.emplace_back("last");
    }
    if (chance(40)) {
      drawn.mStep.mDataRack = "r" + std::to_string(draw(0, (workers - 1) / 3));
      obstacles.emplace_back("rack");
    }
    if (drawn.mStep.mIsGang && chance(40)) {
      drawn.mStep.mIsSameRack = true;
      obstacles.emplace_back("same-rack");
    }
    if (chance(20)) {
      drawn.mStep.mRequiredLabel = "b";
      obstacles.emplace_back("label");
    }
    if (chance(40)) {
      for (auto count = draw(1, workers); count > 0; --count) {
        group.mFailedOn.push_back(name());
      }
      obstacles.emplace_back("failed-on");
    }
    if (chance(20)) {
      drawn.mStep.mMaximumPerWorker = static_cast<std::uint32_t>(draw(1, 2));
      if (!drawn.mStep.mIsGang) {
        group.mRunningOn[name()] = 1;
      }
      obstacles.emplace_back("limit");
    }
    if (chance(20)) {
      group.mAllowed.emplace();
      for (auto const& worker : drawn.mWorkers) {
        if (chance(70)) {
          group.mAllowed->push_back(worker.mWorker);
        }
      }
      obstacles.emplace_back("permit");
    }
    job_step rivalStep;
    rivalStep.mDemand = Demand(8);
    if (chance(30)) {
      rivalStep.mIsGang = true;
      rivalStep.mCount = static_cast<std::uint32_t>(draw(1, 3));
      waiting_group rival{ .mJob = "rival",
                           .mShape = &rivalStep,
                           .mService = "service",
                           .mPriority = 0,
                           .mPreemptionBudget = 1000,
                           .mWaitingSince = kStart };
      for (std::uint32_t index = 0; index < rivalStep.mCount; ++index) {
        rival.mIndexes.push_back(index);
      }
      drawn.mRivals.push_back(std::move(rival));
      obstacles.emplace_back("rival");
    }
    drawn.mGroup.mShape = &drawn.mStep;
    if (!drawn.HasRoom()) {
      continue;
    }
    ++withRoom;
    if (drawn.Wait() > kDecisionBound) {
      std::string combination = drawn.mStep.mIsGang ? "gang" : "tasks";
      for (auto const& obstacle : obstacles) {
        combination += " " + obstacle;
      }
      ++late[combination];
    }
  }
  BOOST_TEST(withRoom > kScenesDrawn / 10);
  for (auto const& [combination, count] : late) {
    BOOST_ERROR(combination << ": " << count << " of " << withRoom << " late");
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace rattanpond::dispatch
