#define BOOST_TEST_MODULE dispatch
#include "dispatch/placement_decision.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <set>

namespace rattanpond::dispatch {

namespace {

constexpr resources kWholeWorker{ 64'000, 262'144, 8 };

worker_snapshot Snapshot(std::string aName, std::string aRack, resources aFree = kWholeWorker)
{
  return { .mWorker = std::move(aName),
           .mService = "service",
           .mRack = std::move(aRack),
           .mLabels = { "a" },
           .mCapacity = kWholeWorker,
           .mFree = aFree };
}

job_step Step(std::uint32_t aCount, std::int64_t aAccelerators, bool aIsGang)
{
  job_step step;
  step.mCount = aCount;
  step.mDemand = { 1000 * aAccelerators, 1000 * aAccelerators, aAccelerators };
  step.mIsGang = aIsGang;
  return step;
}

waiting_group Group(std::string aJob, job_step const& aStep, std::uint32_t aPriority = 1)
{
  waiting_group group{
    .mJob = std::move(aJob), .mShape = &aStep, .mService = "service", .mPriority = aPriority
  };
  for (std::uint32_t index = 0; index < aStep.mCount; ++index) {
    group.mIndexes.push_back(index);
  }
  return group;
}

preemptible_run Run(std::string aJob, std::vector<std::string> aWorkers, std::int64_t aAccelerators,
                    double aLostWork, std::uint32_t aPriority = 2)
{
  preemptible_run run{ .mJob = std::move(aJob),
                       .mWorkers = std::move(aWorkers),
                       .mDemand = { 1000 * aAccelerators, 1000 * aAccelerators, aAccelerators },
                       .mPriority = aPriority,
                       .mLostWork = aLostWork };
  run.mTasks.resize(run.mWorkers.size());
  return run;
}

resources FreeExcept(std::int64_t aAccelerators)
{
  auto free = kWholeWorker;
  free -= { 1000 * aAccelerators, 1000 * aAccelerators, aAccelerators };
  return free;
}

} // namespace

BOOST_AUTO_TEST_SUITE(placement_test)

// Guards against a gang that waits for good: it avoided the worker on which a member had stalled,
// and the workers that remained could not hold all its members even when idle.
BOOST_AUTO_TEST_CASE(gang_uses_a_worker_it_failed_on_if_the_others_are_too_few)
{
  auto const step = Step(2, 8, true);
  auto group = Group("job", step);
  group.mFailedOn = { "w1" };
  auto const needed =
    DecidePlacement({ Snapshot("w1", "r1"), Snapshot("w2", "r1") }, { group }, {});
  BOOST_TEST(needed.mStarts.size() == 2U);
  auto const avoided = DecidePlacement(
    { Snapshot("w1", "r1"), Snapshot("w2", "r1"), Snapshot("w3", "r1") }, { group }, {});
  BOOST_TEST(avoided.mStarts.size() == 2U);
  for (auto const& start : avoided.mStarts) {
    BOOST_TEST(start.mWorker != "w1");
  }
}

// Guards against a gang that waits for good because the rack of its data is too small for it.
BOOST_AUTO_TEST_CASE(gang_leaves_the_rack_of_its_data_if_that_is_too_small)
{
  auto step = Step(2, 8, true);
  step.mDataRack = "r1";
  auto const decision =
    DecidePlacement({ Snapshot("w1", "r1"), Snapshot("w2", "r2") }, { Group("job", step) }, {});
  BOOST_TEST(decision.mStarts.size() == 2U);
}

// Guards against stops in vain: a gang of eight whole workers waited for stopped runs to end. In
// each round other workers were cheaper or others took the freed ones; 148 runs were stopped for
// one urgent gang that started 8 s later (further-grown, scale-1, seed 12).
BOOST_AUTO_TEST_CASE(a_gang_keeps_the_workers_it_stopped_runs_on)
{
  constexpr base::time_point kStart{ base::milliseconds{ 100'000 } };
  auto urgentStep = Step(2, 8, true);
  urgentStep.mIsSameRack = true;
  auto urgent = Group("urgent", urgentStep, 0);
  urgent.mPreemptionBudget = 1000;
  std::vector<worker_snapshot> workers{ Snapshot("a1", "ra", {}), Snapshot("a2", "ra", {}),
                                        Snapshot("b1", "rb", {}), Snapshot("b2", "rb", {}) };
  std::vector<preemptible_run> runs{ Run("bulk1", { "a1" }, 8, 10), Run("bulk2", { "a2" }, 8, 10),
                                     Run("bulk3", { "b1" }, 8, 20), Run("bulk4", { "b2" }, 8, 20) };
  auto const first = DecidePlacement(workers, { urgent }, runs, {}, kStart);
  BOOST_REQUIRE(first.mStops.size() == 2U);
  BOOST_REQUIRE(first.mClaims.size() == 1U);
  runs[0].mIsStopping = true;
  runs[1].mIsStopping = true;

  // One of the stopped runs has ended, and the other rack has become cheaper. The group is late by
  // now, so that it may stop nothing any more. A second urgent group and bulk work wait too.
  workers[0].mFree = kWholeWorker;
  runs.erase(runs.begin());
  runs[1].mLostWork = 1;
  runs[2].mLostWork = 1;
  urgent.mIsLate = true;
  urgent.mPreemptionBudget = 0;
  auto const single = Step(1, 8, false);
  auto rival = Group("rival", single, 0);
  auto const bulk = Group("bulk5", single, 2);
  auto const later = kStart + base::milliseconds{ 900 };
  auto const second = DecidePlacement(workers, { urgent, rival, bulk }, runs, first.mClaims, later);
  BOOST_TEST(second.mStops.empty());
  BOOST_TEST(second.mStarts.empty());
  BOOST_REQUIRE(second.mClaims.size() == 1U);
  BOOST_TEST(second.mClaims.front().mSince.time_since_epoch().count() ==
             kStart.time_since_epoch().count());

  workers[1].mFree = kWholeWorker;
  runs.erase(runs.begin());
  auto const third = DecidePlacement(workers, { urgent, rival, bulk }, runs, second.mClaims, later);
  BOOST_TEST(third.mStarts.size() == 2U);
  BOOST_TEST(third.mClaims.empty());
  for (auto const& start : third.mStarts) {
    BOOST_TEST(start.mJob == "urgent");
  }

  // A claim does not wait for good on workers that do not become free.
  auto const expired = DecidePlacement(workers, { rival }, runs, second.mClaims,
                                       kStart + kClaimDuration + base::milliseconds{ 1 });
  BOOST_TEST(expired.mStarts.size() == 1U);
}

// Guards against claims that keep a workspace from its guarantee.
BOOST_AUTO_TEST_CASE(guaranteed_groups_come_before_claims_of_others)
{
  auto const step = Step(1, 8, false);
  auto const urgent = Group("urgent", step, 0);
  auto guaranteed = Group("guaranteed", step, 0);
  guaranteed.mIsGuaranteed = true;
  placement_claim const claim{ .mJob = "urgent", .mWorkers = { "w1" } };
  auto const decision =
    DecidePlacement({ Snapshot("w1", "r1") }, { urgent, guaranteed }, {}, { claim });
  BOOST_REQUIRE(decision.mStarts.size() == 1U);
  BOOST_TEST(decision.mStarts.front().mJob == "guaranteed");
}

// Guards against needless stops: small runs were chosen first, then a large one that alone frees
// enough.
BOOST_AUTO_TEST_CASE(only_the_needed_runs_are_preempted)
{
  auto const step = Step(1, 8, false);
  auto urgent = Group("urgent", step, 0);
  urgent.mPreemptionBudget = 1000;
  auto small = Run("small", { "w1" }, 1, 1);
  auto large = Run("large", { "w1" }, 8, 50);
  small.mDemand = { 1000, 1000, 0 };
  auto const decision =
    DecidePlacement({ Snapshot("w1", "r1", { 63'000, 261'000, 0 }) }, { urgent }, { small, large });
  BOOST_REQUIRE(decision.mStops.size() == 1U);
  BOOST_TEST(decision.mStops.front().mRun == 1U);
}

// Guards against urgent jobs and last attempts on a worker that fails tasks at once, and against
// such a worker receiving many tasks because its resources are free again at once.
BOOST_AUTO_TEST_CASE(a_suspect_worker_receives_single_tasks_that_can_afford_a_failure)
{
  auto suspect = Snapshot("suspect", "r1");
  suspect.mIsSuspect = true;
  auto const step = Step(8, 1, false);
  auto const bulk = Group("bulk", step, 2);
  auto const busy = Snapshot("busy", "r1", { 6'000, 200'000, 6 });
  auto const startsOnSuspect = [](placement_decision const& aDecision) {
    return std::ranges::count(aDecision.mStarts, "suspect", &placed_task::mWorker);
  };
  auto const decision = DecidePlacement({ suspect, busy }, { bulk }, {});
  BOOST_TEST(startsOnSuspect(decision) == 1);
  BOOST_TEST(decision.mStarts.size() == 7U);
  auto occupied = suspect;
  occupied.mHasRuns = true;
  BOOST_TEST(startsOnSuspect(DecidePlacement({ occupied, busy }, { bulk }, {})) == 0);
  auto last = bulk;
  last.mIsLastAttempt = true;
  BOOST_TEST(startsOnSuspect(DecidePlacement({ suspect, busy }, { last }, {})) == 0);
  auto const pair = Step(2, 4, true);
  BOOST_TEST(startsOnSuspect(DecidePlacement({ suspect, Snapshot("idle", "r1") },
                                             { Group("urgent", pair, 0) }, {})) == 0);
  // A gang that does not fit elsewhere is not kept waiting.
  auto const whole = Step(2, 8, true);
  BOOST_TEST(DecidePlacement({ suspect, Snapshot("idle", "r1") }, { Group("urgent", whole, 0) }, {})
               .mStarts.size() == 2U);
}

// Guards against gangs that start partially and wait for members that no worker has resources for.
BOOST_AUTO_TEST_CASE(gang_starts_whole_or_not_at_all)
{
  auto const step = Step(3, 8, true);
  auto const tooFew =
    DecidePlacement({ Snapshot("w1", "r1"), Snapshot("w2", "r1") }, { Group("job", step) }, {});
  BOOST_TEST(tooFew.mStarts.empty());
  auto const enough =
    DecidePlacement({ Snapshot("w1", "r1"), Snapshot("w2", "r1"), Snapshot("w3", "r2") },
                    { Group("job", step) }, {});
  BOOST_TEST(enough.mStarts.size() == 3U);
}

// Guards against the slowdown of a gang that is spread over racks although one rack has the
// capacity for it.
BOOST_AUTO_TEST_CASE(same_rack_gang_waits_for_its_rack)
{
  auto step = Step(2, 8, true);
  step.mIsSameRack = true;
  std::vector<worker_snapshot> const workers{ Snapshot("w1", "r1"),
                                              Snapshot("w2", "r1", FreeExcept(1)),
                                              Snapshot("w3", "r2"),
                                              Snapshot("w4", "r2", FreeExcept(8)) };
  BOOST_TEST(DecidePlacement(workers, { Group("job", step) }, {}).mStarts.empty());
  std::vector<worker_snapshot> const single{ Snapshot("w1", "r1"), Snapshot("w3", "r2") };
  // No rack has the capacity for the gang, and a slow gang is better than one that never runs.
  BOOST_TEST(DecidePlacement(single, { Group("job", step) }, {}).mStarts.size() == 2U);
}

// Guards against small tasks that fragment empty workers while a partly used one fits them.
BOOST_AUTO_TEST_CASE(small_tasks_fill_used_workers_first)
{
  auto const step = Step(2, 1, false);
  auto const decision = DecidePlacement(
    { Snapshot("w1", "r1"), Snapshot("w2", "r1", FreeExcept(6)) }, { Group("job", step) }, {});
  BOOST_TEST(decision.mStarts.size() == 2U);
  for (auto const& start : decision.mStarts) {
    BOOST_TEST(start.mWorker == "w2");
  }
}

// Guards against a guaranteed group that waits for borrowed resources, and against stopping more
// runs than needed.
BOOST_AUTO_TEST_CASE(guaranteed_group_preempts_least_lost_work)
{
  auto const step = Step(1, 8, true);
  auto owner = Group("owner", step, 0);
  owner.mIsGuaranteed = true;
  std::vector<worker_snapshot> const workers{ Snapshot("w1", "r1", FreeExcept(8)),
                                              Snapshot("w2", "r1", FreeExcept(8)) };
  std::vector<preemptible_run> const runs{ Run("old", { "w1" }, 8, 500.0),
                                           Run("young", { "w2" }, 8, 20.0) };
  auto const decision = DecidePlacement(workers, { owner }, runs);
  BOOST_TEST(decision.mStarts.empty());
  BOOST_REQUIRE(decision.mStops.size() == 1U);
  BOOST_TEST(decision.mStops.front().mRun == 1U);
  BOOST_TEST(decision.mStops.front().mForJob == "owner");
  BOOST_TEST(decision.mStops.front().mIsForGuarantee);
}

// Guards against a guaranteed group that preempts an urgent run although a bulk run could be
// preempted. Happens with several urgent jobs beside bulk work: the urgent task had run for 0.1 s
// only, and its job missed its objective.
BOOST_AUTO_TEST_CASE(guaranteed_group_preempts_urgent_runs_last)
{
  auto const step = Step(1, 8, true);
  auto owner = Group("owner", step, 0);
  owner.mIsGuaranteed = true;
  std::vector<worker_snapshot> const workers{ Snapshot("w1", "r1", FreeExcept(8)),
                                              Snapshot("w2", "r1", FreeExcept(8)) };
  std::vector<preemptible_run> const both{ Run("urgent", { "w1" }, 8, 5.0, 0),
                                           Run("bulk", { "w2" }, 8, 300.0, 2) };
  auto const decision = DecidePlacement(workers, { owner }, both);
  BOOST_REQUIRE(decision.mStops.size() == 1U);
  BOOST_TEST(decision.mStops.front().mRun == 1U);
  std::vector<preemptible_run> const urgentOnly{ Run("urgent", { "w1" }, 8, 5.0, 0) };
  BOOST_TEST(DecidePlacement({ workers.front() }, { owner }, urgentOnly).mStops.size() == 1U);
}

// Guards against a chain of preemptions: resources that preempted runs still hold are not freed
// twice, and are not given to other groups.
BOOST_AUTO_TEST_CASE(resources_of_stopping_runs_are_reserved)
{
  auto const large = Step(1, 8, true);
  auto const small = Step(8, 1, false);
  auto owner = Group("owner", large, 0);
  owner.mIsGuaranteed = true;
  std::vector<worker_snapshot> const workers{ Snapshot("w1", "r1", FreeExcept(4)) };
  auto stopping = Run("borrower", { "w1" }, 4, 10.0);
  stopping.mIsStopping = true;
  auto const decision = DecidePlacement(workers, { owner, Group("burst", small, 2) }, { stopping });
  BOOST_TEST(decision.mStops.empty());
  BOOST_TEST(decision.mStarts.empty());
}

// Guards against reclaiming the resources of another guaranteed job of the same priority.
BOOST_AUTO_TEST_CASE(guaranteed_runs_are_not_preempted)
{
  auto const step = Step(1, 8, true);
  auto owner = Group("owner", step, 0);
  owner.mIsGuaranteed = true;
  auto other = Run("other", { "w1" }, 8, 10.0, 0);
  other.mIsGuaranteed = true;
  auto const decision =
    DecidePlacement({ Snapshot("w1", "r1", FreeExcept(8)) }, { owner }, { other });
  BOOST_TEST(decision.mStops.empty());
}

// Guards against counting only one worker of a preempted gang: all of its members stop, which frees
// resources on other workers too.
BOOST_AUTO_TEST_CASE(preempted_gang_frees_all_its_workers)
{
  auto const step = Step(2, 8, true);
  auto owner = Group("owner", step, 0);
  owner.mIsGuaranteed = true;
  std::vector<worker_snapshot> const workers{ Snapshot("w1", "r1", FreeExcept(8)),
                                              Snapshot("w2", "r1", FreeExcept(8)) };
  auto const decision =
    DecidePlacement(workers, { owner }, { Run("gang", { "w1", "w2" }, 8, 100.0) });
  BOOST_TEST(decision.mStops.size() == 1U);
}

// Load pattern: urgent jobs beyond their guarantee meet workers full of less urgent work. Guards
// against urgent jobs that wait for long ones, and against preemption that discards more work than
// the budget.
BOOST_AUTO_TEST_CASE(urgent_work_preempts_within_its_budget)
{
  auto const step = Step(1, 8, false);
  auto urgent = Group("urgent", step, 0);
  urgent.mPreemptionBudget = 100.0;
  std::vector<worker_snapshot> const workers{ Snapshot("w1", "r1", FreeExcept(8)),
                                              Snapshot("w2", "r1", FreeExcept(8)) };
  auto const cheap = DecidePlacement(
    workers, { urgent }, { Run("old", { "w1" }, 8, 500.0), Run("young", { "w2" }, 8, 20.0) });
  BOOST_REQUIRE(cheap.mStops.size() == 1U);
  BOOST_TEST(cheap.mStops.front().mRun == 1U);
  auto const expensive = DecidePlacement(
    workers, { urgent }, { Run("old", { "w1" }, 8, 500.0), Run("older", { "w2" }, 8, 900.0) });
  BOOST_TEST(expensive.mStops.empty());
  auto const equal = DecidePlacement(workers, { urgent }, { Run("peer", { "w1" }, 8, 1.0, 0) });
  BOOST_TEST(equal.mStops.empty());
}

// Load pattern: a backlog after an outage. Guards against jobs that miss their objective anyway and
// take the resources of jobs that can still meet it.
BOOST_AUTO_TEST_CASE(jobs_that_can_meet_their_objective_come_first)
{
  auto const step = Step(1, 8, false);
  auto late = Group("late", step);
  late.mIsLate = true;
  late.mDueBy = base::time_point{ base::milliseconds{ 1 } };
  auto timely = Group("timely", step);
  timely.mDueBy = base::time_point{ base::milliseconds{ 1000 } };
  auto const decision = DecidePlacement({ Snapshot("w1", "r1") }, { late, timely }, {});
  BOOST_REQUIRE(decision.mStarts.size() == 1U);
  BOOST_TEST(decision.mStarts.front().mJob == "timely");
}

// Guards against best-effort tasks on a worker with serving tasks while another worker has free
// resources, and against best-effort tasks that never run because all workers have serving tasks.
BOOST_AUTO_TEST_CASE(best_effort_and_serving_tasks_share_a_worker_only_as_last_resort)
{
  auto serving = Step(1, 1, false);
  serving.mServingTarget = base::milliseconds{ 50 };
  auto bestEffort = Step(1, 0, false);
  bestEffort.mIsBestEffort = true;
  bestEffort.mDemand.mMillicores = 640'000;
  std::vector<waiting_group> const groups{ Group("serving", serving, 0),
                                           Group("filling", bestEffort) };
  auto const one = DecidePlacement({ Snapshot("w1", "r1") }, groups, {});
  BOOST_REQUIRE(one.mStarts.size() == 2U);
  BOOST_TEST(one.mStarts.front().mJob == "serving");

  // The worker with the serving task is the tighter fit.
  auto const two =
    DecidePlacement({ Snapshot("w1", "r1", FreeExcept(2)), Snapshot("w2", "r1") }, groups, {});
  BOOST_REQUIRE(two.mStarts.size() == 2U);
  BOOST_TEST(two.mStarts[0].mWorker == "w1");
  BOOST_TEST(two.mStarts[1].mWorker == "w2");

  auto withBestEffort = Snapshot("w1", "r1", FreeExcept(2));
  withBestEffort.mHasBestEffort = true;
  auto const other =
    DecidePlacement({ withBestEffort, Snapshot("w2", "r1") }, { Group("serving", serving, 0) }, {});
  BOOST_REQUIRE(other.mStarts.size() == 1U);
  BOOST_TEST(other.mStarts.front().mWorker == "w2");
}

// Guards against two runs at once: a call to start an earlier run may still be carried out on a
// worker, and the task starts on another one.
BOOST_AUTO_TEST_CASE(a_held_task_starts_on_its_worker_only)
{
  auto const full = FreeExcept(8);
  for (auto const isGang : { false, true }) {
    auto const step = Step(2, 1, isGang);
    auto group = Group("job", step);
    group.mHeldAt[1] = "w2";
    if (!isGang) {
      group.mIndexes = { 1 };
    }
    auto const starts =
      DecidePlacement({ Snapshot("w1", "r1"), Snapshot("w2", "r1") }, { group }, {}).mStarts;
    BOOST_TEST(starts.size() == group.mIndexes.size());
    for (auto const& start : starts) {
      BOOST_TEST((start.mPosition.mIndex != 1 || start.mWorker == "w2"));
    }
    BOOST_TEST(DecidePlacement({ Snapshot("w1", "r1"), Snapshot("w2", "r1", full) }, { group }, {})
                 .mStarts.empty());
    group.mIsGuaranteed = true;
    auto const reclaimed =
      DecidePlacement({ Snapshot("w1", "r1", full), Snapshot("w2", "r1", full) }, { group },
                      { Run("a", { "w1" }, 8, 1), Run("b", { "w2" }, 8, 9) });
    BOOST_TEST(std::ranges::any_of(reclaimed.mStops,
                                   [](preemption const& aStop) { return aStop.mRun == 1; }));
  }
}

// Guards against more tasks of a step on one worker than it allows: its waiting tasks form several
// groups, some of which are held at that worker, and all are placed in the same round.
BOOST_AUTO_TEST_CASE(the_groups_of_a_step_share_its_limit_per_worker)
{
  for (std::uint32_t const limit : { 1U, 2U }) {
    auto step = Step(6, 1, false);
    step.mMaximumPerWorker = limit;
    auto free = Group("job", step);
    free.mIndexes = { 0, 1, 2 };
    auto held = Group("job", step);
    held.mIndexes = { 3, 4 };
    held.mHeldAt = { { 3, "w1" }, { 4, "w1" } };
    auto other = Group("other", step);
    other.mIndexes = { 0, 1, 2, 3 };
    auto const starts =
      DecidePlacement({ Snapshot("w1", "r1") }, { free, held, other }, {}).mStarts;
    auto const ofJob = std::ranges::count(starts, std::string{ "job" },
                                          [](auto const& aStart) { return aStart.mJob; });
    BOOST_TEST(ofJob == static_cast<std::ptrdiff_t>(limit));
    BOOST_TEST(starts.size() == 2 * limit);
  }
}

// Guards against a job that fails since the worker that its task is held at keeps crashing.
BOOST_AUTO_TEST_CASE(a_held_task_does_not_start_on_a_worker_that_keeps_crashing)
{
  auto const step = Step(1, 1, false);
  auto group = Group("job", step);
  group.mHeldAt[0] = "w2";
  auto suspect = Snapshot("w2", "r1");
  suspect.mIsSuspect = true;
  BOOST_TEST(DecidePlacement({ Snapshot("w1", "r1"), suspect }, { group }, {}).mStarts.empty());
}

BOOST_AUTO_TEST_CASE(requirements_of_a_step_are_met)
{
  auto labelled = Step(1, 1, false);
  labelled.mRequiredLabel = "b";
  BOOST_TEST(
    DecidePlacement({ Snapshot("w1", "r1") }, { Group("job", labelled) }, {}).mStarts.empty());

  auto spread = Step(3, 1, false);
  spread.mMaximumPerWorker = 1;
  auto const apart =
    DecidePlacement({ Snapshot("w1", "r1"), Snapshot("w2", "r1") }, { Group("job", spread) }, {});
  BOOST_TEST(apart.mStarts.size() == 2U);
  BOOST_TEST(apart.mStarts[0].mWorker != apart.mStarts[1].mWorker);

  auto near = Step(1, 1, false);
  near.mDataRack = "r2";
  auto const local = DecidePlacement({ Snapshot("w1", "r1", FreeExcept(7)), Snapshot("w2", "r2") },
                                     { Group("job", near) }, {});
  BOOST_REQUIRE(local.mStarts.size() == 1U);
  BOOST_TEST(local.mStarts[0].mWorker == "w2");

  auto const plain = Step(1, 1, false);
  auto failed = Group("job", plain);
  failed.mFailedOn = { "w1" };
  auto const elsewhere =
    DecidePlacement({ Snapshot("w1", "r1", FreeExcept(7)), Snapshot("w2", "r2") }, { failed }, {});
  BOOST_REQUIRE(elsewhere.mStarts.size() == 1U);
  BOOST_TEST(elsewhere.mStarts[0].mWorker == "w2");

  auto advised = Group("job", plain);
  advised.mAllowed = std::vector<std::string>{ "w2" };
  auto const allowed =
    DecidePlacement({ Snapshot("w1", "r1", FreeExcept(7)), Snapshot("w2", "r2") }, { advised }, {});
  BOOST_REQUIRE(allowed.mStarts.size() == 1U);
  BOOST_TEST(allowed.mStarts[0].mWorker == "w2");
}

// No task starts on a worker that accepts no starts, beyond its free resources, as part of an
// incomplete gang, or twice.
BOOST_AUTO_TEST_CASE(random_decisions_keep_the_invariants)
{
  rc::check("placement invariants", [] {
    auto const workerCount = *rc::gen::inRange(1, 7);
    std::vector<worker_snapshot> workers;
    for (int index = 0; index < workerCount; ++index) {
      workers.push_back(Snapshot("w" + std::to_string(index), "r" + std::to_string(index / 3),
                                 FreeExcept(*rc::gen::inRange(0, 9))));
      if (*rc::gen::inRange(0, 5) == 0) {
        workers.back().mBarrier = start_obstacle::draining;
      }
    }
    std::vector<job_step> steps;
    auto const groupCount = *rc::gen::inRange(1, 8);
    for (int index = 0; index < groupCount; ++index) {
      steps.push_back(Step(static_cast<std::uint32_t>(*rc::gen::inRange(1, 6)),
                           *rc::gen::inRange(0, 9), *rc::gen::arbitrary<bool>()));
      steps.back().mIsSameRack = *rc::gen::arbitrary<bool>();
    }
    std::vector<waiting_group> groups;
    for (int index = 0; index < groupCount; ++index) {
      groups.push_back(Group("job" + std::to_string(index), steps[static_cast<std::size_t>(index)],
                             static_cast<std::uint32_t>(*rc::gen::inRange(0, 3))));
      groups.back().mIsGuaranteed = groups.back().mPriority == 0 && *rc::gen::arbitrary<bool>();
    }
    std::vector<preemptible_run> runs;
    for (auto const& worker : workers) {
      auto const used = kWholeWorker.mAccelerators - worker.mFree.mAccelerators;
      if (used > 0) {
        runs.push_back(Run("run" + worker.mWorker, { worker.mWorker }, used,
                           *rc::gen::inRange(0, 100),
                           static_cast<std::uint32_t>(*rc::gen::inRange(0, 3))));
        runs.back().mIsStopping = *rc::gen::inRange(0, 4) == 0;
      }
    }
    auto const decision = DecidePlacement(workers, groups, runs);

    std::map<std::string, resources> used;
    std::map<std::string, std::uint32_t> started;
    std::set<std::pair<std::string, task_position>> seen;
    for (auto const& start : decision.mStarts) {
      auto const group = std::ranges::find(groups, start.mJob, &waiting_group::mJob);
      RC_ASSERT(group != groups.end());
      used[start.mWorker] += group->mShape->mDemand;
      ++started[start.mJob];
      RC_ASSERT(seen.insert({ start.mJob, start.mPosition }).second);
    }
    for (auto const& worker : workers) {
      if (used.contains(worker.mWorker)) {
        RC_ASSERT(worker.AcceptsStarts());
        RC_ASSERT(worker.mFree.Covers(used[worker.mWorker]));
      }
    }
    for (auto const& group : groups) {
      if (group.mShape->mIsGang && started.contains(group.mJob)) {
        RC_ASSERT(started[group.mJob] == group.mIndexes.size());
      }
    }
    for (auto const& stop : decision.mStops) {
      RC_ASSERT(!runs[stop.mRun].mIsStopping);
      RC_ASSERT(!runs[stop.mRun].mIsGuaranteed);
    }
  });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace rattanpond::dispatch
