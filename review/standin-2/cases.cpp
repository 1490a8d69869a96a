#include "world.h"

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace review {

namespace {

/// Whether the disruption of the case takes place; TROUBLE=0 leaves it out.
bool HasTrouble()
{
  auto const* const text = std::getenv("TROUBLE");
  return text == nullptr || std::string{ text } != "0";
}

int IntegerOf(char const* aName, int aDefault)
{
  auto const* const text = std::getenv(aName);
  return text == nullptr ? aDefault : std::atoi(text);
}

std::string StateOf(call_result const& aAnswer)
{
  auto const document = json::parse(aAnswer.mBody, nullptr, false);
  return document.is_object() ? document.value("state", "") : std::string{};
}

/// Polls the state of a job until it has ended or the time is over.
std::string AwaitEnd(deployment& aWorld, std::size_t aFront, std::string const& aPath,
                     std::int64_t aTimeMs)
{
  auto const until = NowMs() + aTimeMs;
  std::string state;
  while (NowMs() < until) {
    state = StateOf(aWorld.Get(aFront, aPath));
    if (state == "done" || state == "failed" || state == "cancelled") {
      break;
    }
    SleepMs(1000);
  }
  return state;
}

json Step(std::size_t aCount, executor::demand aDemand, std::int64_t aEstimateMs)
{
  json step{ { "count", aCount }, { "estimate_ms", aEstimateMs } };
  if (aDemand.mMillicores > 0) {
    step["cpu"] = aDemand.mMillicores;
  }
  if (aDemand.mMemory > 0) {
    step["mem_mb"] = aDemand.mMemory;
  }
  if (aDemand.mAccelerators > 0) {
    step["gpu"] = aDemand.mAccelerators;
  }
  if (aDemand.mGangMembers > 0) {
    step["gang"] = true;
  }
  return step;
}

constexpr std::int64_t kRecoveryMs = 12'000;
constexpr std::int64_t kFinishMs = 14'000;
constexpr char const* kOccupant = "00000000000000a2";

/// All fronts are killed at once, shortly after a large job was accepted.
int LargeJob(std::string const& aFolder)
{
  auto const tasks = static_cast<std::size_t>(IntegerOf("TASKS", 4000));
  auto& world =
    *new deployment{ { .mFolder = aFolder,
                       .mFronts = 3,
                       .mSides = 4,
                       .mPlan = [](std::string const& aTask, std::uint32_t) {
                         return run_plan{ .mWorkMs = aTask.starts_with(kOccupant) ? 2500 : 4000 };
                       } } };
  world.Log().mIsQuiet = true;
  world.WriteConfiguration({ { "queue-a", "/queue-a/", 1, 3 } });
  world.Start();
  std::string const before = "00000000000000a1";
  std::string const large = "00000000000000b1";
  std::string const after = "00000000000000c1";
  executor::demand const small{ .mMillicores = 1000, .mMemory = 64 };
  executor::demand const tiny{ .mMillicores = 50, .mMemory = 16 };
  executor::SetDemand(before, small);
  executor::SetDemand(after, small);
  executor::SetDemand(large, tiny);
  if (world.Submit(0, "/queue-a/", before, json::array({ Step(2, small, 4000) })).mStatus != 200 ||
      AwaitEnd(world, 0, "/queue-a/" + before, 20'000) != "done") {
    Record("the system does not serve before the disruption");
    return 2;
  }
  // An ordinary job that is running when the large one comes and ends while the fronts are away.
  executor::demand const half{ .mMillicores = 64'000, .mMemory = 1024, .mAccelerators = 4 };
  executor::SetDemand(kOccupant, half);
  if (world.Submit(0, "/queue-a/", kOccupant, json::array({ Step(1, half, 2500) })).mStatus !=
      200) {
    return 2;
  }
  SleepMs(2000);
  std::atomic<std::int64_t> firstPartAt{ 0 };
  std::atomic<bool> isComplete{ false };
  for (std::size_t front = 0; front < 3; ++front) {
    world.FrontStore(front).mOnCommitted = [&](json const& aBody) {
      for (auto const& put : aBody.value("puts", json::array())) {
        auto const key = put.at("key").get<std::string>();
        if (key.starts_with("part/") && firstPartAt == 0) {
          firstPartAt = NowMs();
          Record("store: first rows of the large job's tasks are written");
        }
        if (key == "run/" + large && firstPartAt != 0 && !isComplete.exchange(true)) {
          Record("store: the large job's state is complete");
        }
      }
      return transaction_fault::none;
    };
  }
  auto const accepted =
    world.Submit(0, "/queue-a/", large, json::array({ Step(tasks, tiny, 4000) }));
  if (accepted.mStatus != 200) {
    return 2;
  }
  if (HasTrouble()) {
    auto const until = NowMs() + 5000;
    while (firstPartAt == 0 && NowMs() < until) {
      SleepMs(1);
    }
    if (firstPartAt == 0) {
      Record("the store has seen no task of the large job");
      return 2;
    }
    SleepMs(IntegerOf("KILL_AFTER_MS", 5));
    for (std::size_t front = 0; front < 3; ++front) {
      world.SignalFront(front, SIGKILL);
    }
    Record("all fronts are killed");
    for (std::size_t front = 0; front < 3; ++front) {
      world.AwaitFront(front);
    }
    SleepMs(1500);
    for (std::size_t front = 0; front < 3; ++front) {
      world.StartFront(front);
    }
    Record("all fronts are started again");
  }
  // recovery_s after the machines are back.
  SleepMs(kRecoveryMs);
  call_result second;
  for (int attempt = 0; attempt < 5 && second.mStatus != 200; ++attempt) {
    second = world.Submit(1, "/queue-a/", after, json::array({ Step(2, small, 4000) }));
    SleepMs(second.mStatus == 200 ? 0 : 1000);
  }
  if (second.mStatus != 200) {
    return 2;
  }
  // The traffic ends here. The jobs are asked for finish_s later, and watched for more than 3 s.
  SleepMs(kFinishMs);
  auto const startsBefore = world.Log().All().size();
  SleepMs(6000);
  auto const events = world.Log().All();
  auto const afterState = StateOf(world.Get(1, "/queue-a/" + after));
  auto const largeState = StateOf(world.Get(1, "/queue-a/" + large));
  std::size_t running = 0;
  for (auto const& event : events) {
    running += event.mWhat == "start" ? 1 : static_cast<std::size_t>(-1);
  }
  Record("tasks running on all executors: " + std::to_string(running) +
         "; starts and ends in the last 6 s: " + std::to_string(events.size() - startsBefore));
  Record("starts of the large job: " + std::to_string(world.Log().Count(large, "start")) + " for " +
         std::to_string(tasks) + " tasks, done: " +
         std::to_string(world.Log().Count(large, "done")) + ", state " + largeState);
  Record("starts of the later job: " + std::to_string(world.Log().Count(after, "start")) +
         " for 2 tasks, done: " + std::to_string(world.Log().Count(after, "done")) + ", state " +
         afterState);
  // Nothing runs anywhere, so the whole capacity is free, and the turn of both jobs has come.
  auto const isLost =
    running == 0 && events.size() == startsBefore && (afterState != "done" || largeState != "done");
  return isLost ? 1 : 0;
}

/// The store forgets its history while a large job is being stored; later the holder is killed.
int LargeTwice(std::string const& aFolder)
{
  auto const tasks = static_cast<std::size_t>(IntegerOf("TASKS", 8000));
  auto& world =
    *new deployment{ { .mFolder = aFolder,
                       .mFronts = 3,
                       .mSides = 4,
                       .mLabels =
                         [](std::size_t aSide) {
                           return std::vector<std::string>{ aSide == 0 ? "b" : "a", "r1-1" };
                         },
                       .mPlan =
                         [](std::string const& aTask, std::uint32_t) {
                           auto const index = std::stoi(aTask.substr(aTask.rfind('.') + 1));
                           return run_plan{ .mWorkMs =
                                              index < IntegerOf("SHORT", 2000) ? 9000 : 20000 };
                         } } };
  world.Log().mIsQuiet = true;
  world.WriteConfiguration({ { "queue-a", "/queue-a/", 1, 3 } });
  world.Start();
  std::string const large = "00000000000000b2";
  executor::demand const tiny{ .mMillicores = 15, .mMemory = 16 };
  executor::SetDemand(large, tiny);
  auto const holder = world.Holder().value_or(0);
  std::atomic<std::int64_t> firstPartAt{ 0 };
  std::atomic<std::int64_t> completeAt{ 0 };
  world.FrontStore(holder).mOnCommitted = [&](json const& aBody) {
    for (auto const& put : aBody.value("puts", json::array())) {
      auto const key = put.at("key").get<std::string>();
      if (key.starts_with("part/") && firstPartAt == 0) {
        firstPartAt = NowMs();
      }
      if (key == "run/" + large && completeAt == 0) {
        completeAt = NowMs();
        Record("store: the large job's state is complete, " +
               std::to_string(completeAt - firstPartAt) + " ms after its first rows");
      }
    }
    return transaction_fault::none;
  };
  std::thread{
    [&] {
      while (firstPartAt == 0) {
        SleepMs(1);
      }
      if (HasTrouble()) {
        SleepMs(IntegerOf("DISCARD_AFTER_MS", 60));
        world.Store().DiscardHistory();
        Record("store: the history is discarded");
      }
    }
  }.detach();
  auto step = Step(tasks, tiny, 9000);
  step["required_label"] = "b";
  if (world.Submit(holder, "/queue-a/", large, json::array({ step })).mStatus != 200) {
    return 2;
  }
  auto const acceptedAt = NowMs();
  SleepMs(IntegerOf("KILL_AT_MS", 8800) - (NowMs() - acceptedAt));
  if (HasTrouble()) {
    world.SignalFront(holder, SIGKILL);
    Record("the holder, front-" + std::to_string(holder + 1) +
           ", is killed; done so far: " + std::to_string(world.Log().Count(large, "done")));
    world.AwaitFront(holder);
    SleepMs(3500);
    world.StartFront(holder);
  }
  SleepMs(40'000);
  std::map<std::string, std::int64_t> doneAt;
  std::size_t twice = 0;
  for (auto const& event : world.Log().All()) {
    if (event.mWhat == "done") {
      doneAt.try_emplace(event.mTask, event.mAtMs);
    }
    if (event.mWhat == "start" && doneAt.contains(event.mTask)) {
      ++twice;
    }
  }
  Record("starts after the end done of the same task: " + std::to_string(twice) + "; starts " +
         std::to_string(world.Log().Count(large, "start")) + ", done " +
         std::to_string(world.Log().Count(large, "done")) + ", stopped " +
         std::to_string(world.Log().Count(large, "stopped")));
  return twice > 0 ? 1 : 0;
}

/// A caller gives up on a front that stands still and cancels its job at another one.
int CancelUnknown(std::string const& aFolder)
{
  auto& world = *new deployment{ { .mFolder = aFolder,
                                   .mFronts = 3,
                                   .mSides = 3,
                                   .mPlan = [](std::string const&, std::uint32_t) {
                                     return run_plan{ .mWorkMs = 8500 };
                                   } } };
  world.WriteConfiguration({ { "queue-a", "/queue-a/", 1, 3 } });
  world.Start();
  std::string const job = "00000000000000d1";
  executor::demand const demand{ .mMillicores = 1000, .mMemory = 64, .mAccelerators = 1 };
  executor::SetDemand(job, demand);
  auto const holder = world.Holder().value_or(0);
  auto const taker = (holder + 1) % 3;
  auto const other = (holder + 2) % 3;
  if (HasTrouble()) {
    world.SignalFront(taker, SIGSTOP);
    Record("front-" + std::to_string(taker + 1) + " stands still");
  }
  auto const frozenAt = NowMs();
  // The caller leaves after half of its objective.
  auto const submitted =
    world.Submit(taker, "/queue-a/", job, json::array({ Step(1, demand, 8500) }), 500);
  auto const cancelled = world.Cancel(other, "/queue-a/" + job);
  auto const cancelledAt = NowMs();
  if (cancelled.mStatus != 410 && cancelled.mStatus / 100 != 2) {
    return 2;
  }
  Record("the cancelling is acknowledged");
  if (HasTrouble()) {
    SleepMs(std::max<std::int64_t>(0, frozenAt + 4000 - NowMs()));
    world.SignalFront(taker, SIGCONT);
    Record("front-" + std::to_string(taker + 1) + " wakes, 4 s after it stopped");
  }
  SleepMs(15'000);
  world.Get(other, "/queue-a/" + job);
  int broken = 0;
  for (auto const& event : world.Log().All()) {
    if (event.mWhat == "start" && event.mAtMs > cancelledAt + 3000) {
      Record("a task of the cancelled job started " + std::to_string(event.mAtMs - cancelledAt) +
             " ms after the acknowledgement; cancel_ms is 3000");
      broken = 1;
    }
  }
  (void)submitted;
  return broken;
}

/// An operator removes a queue and restores it; a task fails once in between.
int RouteRestored(std::string const& aFolder)
{
  auto& world = *new deployment{ { .mFolder = aFolder,
                                   .mFronts = 3,
                                   .mSides = 3,
                                   .mPlan = [](std::string const&, std::uint32_t aRun) {
                                     return aRun == 1
                                              ? run_plan{ .mWorkMs = 6000, .mHow = "failed" }
                                              : run_plan{ .mWorkMs = 2000 };
                                   } } };
  std::vector<route> const both{ { "queue-a", "/queue-a/", 1, 4 },
                                 { "queue-b", "/queue-b/", 1, 4 } };
  world.WriteConfiguration(both);
  world.Start();
  std::string const job = "00000000000000e1";
  executor::demand const demand{ .mMillicores = 1000, .mMemory = 64, .mAccelerators = 1 };
  executor::SetDemand(job, demand);
  if (world.Submit(0, "/queue-a/", job, json::array({ Step(2, demand, 6000) })).mStatus != 200) {
    return 2;
  }
  SleepMs(2000);
  if (HasTrouble()) {
    world.WriteConfiguration({ both[1] });
  }
  SleepMs(6000);
  if (HasTrouble()) {
    world.WriteConfiguration(both);
  }
  SleepMs(3000);
  auto const state = AwaitEnd(world, 0, "/queue-a/" + job, 20'000);
  auto const failures = world.Log().Count(job, "failed");
  Record("state " + state + " after " + std::to_string(failures) +
         " failed runs, one of each task; max_attempts is 4 in each version that has the queue");
  if (state == "done") {
    return 0;
  }
  return state == "failed" && failures <= 2 ? 1 : 2;
}

/// Two members of a gang fail in the same run, each by its own fault.
int GangCount(std::string const& aFolder)
{
  auto& world =
    *new deployment{ { .mFolder = aFolder,
                       .mFronts = 3,
                       .mSides = 4,
                       .mPlan = [](std::string const& aTask, std::uint32_t aRun) {
                         auto const isFailing =
                           aRun == 1 &&
                           (aTask.ends_with(".0") || (HasTrouble() && aTask.ends_with(".1")));
                         return isFailing ? run_plan{ .mWorkMs = 2000, .mHow = "failed" }
                                          : run_plan{ .mWorkMs = 4000 };
                       } } };
  world.WriteConfiguration({ { "queue-a", "/queue-a/", 1, 2 } });
  world.Start();
  std::string const job = "00000000000000f1";
  executor::demand const demand{
    .mMillicores = 52'000, .mMemory = 110'000, .mAccelerators = 8, .mGangMembers = 2
  };
  executor::SetDemand(job, demand);
  if (world.Submit(0, "/queue-a/", job, json::array({ Step(2, demand, 4000) })).mStatus != 200) {
    return 2;
  }
  auto const state = AwaitEnd(world, 0, "/queue-a/" + job, 40'000);
  std::set<std::uint32_t> failedRuns;
  for (auto const& event : world.Log().All()) {
    if (event.mWhat == "failed") {
      failedRuns.insert(event.mRun);
    }
  }
  Record("state " + state + "; runs of the gang that have failed: " +
         std::to_string(failedRuns.size()) + ", max_attempts: 2");
  if (state == "done") {
    return 0;
  }
  return state == "failed" && failedRuns.size() == 1 ? 1 : 2;
}

/// The store turns one front away and loses an answer of another; a key is taken away meanwhile.
int Refused(std::string const& aFolder)
{
  auto& world = *new deployment{ { .mFolder = aFolder,
                                   .mFronts = 3,
                                   .mSides = 3,
                                   .mPlan = [](std::string const&, std::uint32_t) {
                                     return run_plan{ .mWorkMs = 3000 };
                                   } } };
  world.WriteConfiguration({ { "queue-a", "/queue-a/", 1, 3 } });
  world.Start();
  std::string const job = "0000000000000011";
  executor::demand const demand{ .mMillicores = 1000, .mMemory = 64, .mAccelerators = 1 };
  executor::SetDemand(job, demand);
  auto const holder = world.Holder().value_or(0);
  std::size_t const refused = holder == 0 ? 2 : 0;
  std::atomic<bool> isLost{ false };
  if (HasTrouble()) {
    world.FrontStore(refused).mRefuses = true;
    Record("the store turns front-" + std::to_string(refused + 1) + " away");
    for (std::size_t front = 0; front < 3; ++front) {
      world.FrontStore(front).mOnCommitted = [&](json const& aBody) {
        for (auto const& put : aBody.value("puts", json::array())) {
          if (put.at("key") == "job/" + job && !isLost) {
            isLost = true;
            Record("store: the job is stored; the answer is lost");
            SleepMs(5000);
            return transaction_fault::answer_lost;
          }
        }
        return transaction_fault::none;
      };
    }
    std::thread{
      [&] {
        while (!isLost) {
          SleepMs(5);
        }
        SleepMs(200);
        world.WriteConfiguration({ { "queue-a", "/queue-a/", 1, 3 } }, { "another-key" });
      }
    }.detach();
  }
  SleepMs(1000);
  auto const submitted =
    world.Submit(refused, "/queue-a/", job, json::array({ Step(1, demand, 3000) }));
  SleepMs(10'000);
  auto const starts = world.Log().Count(job, "start");
  Record("the only attempt was answered with " + std::to_string(submitted.mStatus) +
         "; starts of its task: " + std::to_string(starts));
  auto const isRejected = submitted.mStatus == 401 || submitted.mStatus == 404 ||
                          submitted.mStatus == 429 || submitted.mStatus == 503;
  return isRejected && starts > 0 ? 1 : 0;
}

/// An executor goes down and up by turns; a start that one incarnation leaves unanswered is carried
/// out by the second one after it.
int ThirdIncarnation(std::string const& aFolder)
{
  constexpr std::int64_t kDownMs = 1100;
  constexpr std::int64_t kFirstBeatMs = 500;
  auto& world = *new deployment{ { .mFolder = aFolder,
                                   .mFronts = 3,
                                   .mSides = 10,
                                   .mPlan = [](std::string const&, std::uint32_t) {
                                     return run_plan{ .mWorkMs = 8500 };
                                   } } };
  world.WriteConfiguration({ { "queue-a", "/queue-a/", 0, 3 } });
  world.Start();
  executor::demand const demand{ .mMillicores = 15'000, .mMemory = 31'000, .mAccelerators = 8 };
  auto& flapping = world.Executor(0);
  auto const flap = [&] {
    flapping.Crash();
    SleepMs(kDownMs);
    flapping.Restart(kFirstBeatMs);
  };
  if (HasTrouble()) {
    flap();
    SleepMs(1150);
    flapping.mHoldsNextStart = true;
  }
  // The executor may not be registered yet; a start then goes to another one, and a further job
  // follows.
  constexpr int kMostJobs = 6;
  std::string job;
  for (int number = 1; number <= kMostJobs; ++number) {
    job = "000000000000004" + std::to_string(number);
    executor::SetDemand(job, demand);
    if (world.Submit(0, "/queue-a/", job, json::array({ Step(1, demand, 8500) })).mStatus != 200) {
      return 2;
    }
    auto const until = NowMs() + 150;
    while (flapping.mHoldsNextStart && NowMs() < until) {
      SleepMs(5);
    }
    if (!flapping.mHoldsNextStart) {
      break;
    }
  }
  if (HasTrouble()) {
    if (flapping.mHoldsNextStart) {
      Record("all starts went to other executors");
      return 2;
    }
    SleepMs(100);
    flap();
    SleepMs(1400);
    flap();
    SleepMs(50);
    flapping.CarryOutLateStart();
  }
  SleepMs(14'000);
  world.Get(0, "/queue-a/" + job);
  // Runs of the task: from the start until the end or the crash of their executor.
  std::map<std::string, std::int64_t> running;
  int broken = 0;
  for (auto const& event : world.Log().All()) {
    auto const task = event.mTask + " on ";
    auto const key = task + event.mExecutor + " run=" + std::to_string(event.mRun);
    if (event.mWhat != "start") {
      running.erase(key);
      continue;
    }
    for (auto const& [other, since] : running) {
      if (other.starts_with(task)) {
        Record("TWICE: " + key + " begins beside " + other);
        broken = 1;
      }
    }
    running[key] = event.mAtMs;
  }
  return broken;
}

/// The time of day of an executor's machine is ahead while it starts, and goes back; it crashes
/// once more within that time, so that its new start is earlier than the former one.
int ClockBehind(std::string const& aFolder)
{
  auto& world = *new deployment{
    { .mFolder = aFolder,
      .mFronts = 3,
      .mSides = 7,
      .mLabels =
        [](std::size_t aSide) {
          return std::vector<std::string>{ aSide == 0 ? "b" : "a", "r1-1" };
        },
      .mPlan = [](std::string const&, std::uint32_t) { return run_plan{ .mWorkMs = 2000 }; } }
  };
  world.WriteConfiguration({ { "queue-a", "/queue-a/", 1, 3 } });
  world.Start();
  auto& restarted = world.Executor(0);
  restarted.Crash();
  SleepMs(700);
  restarted.Restart(100, HasTrouble() ? 2000 : 0);
  SleepMs(800);
  restarted.Crash();
  SleepMs(700);
  restarted.Restart(100);
  SleepMs(4000);
  std::string const job = "0000000000000051";
  executor::demand const demand{ .mMillicores = 1000, .mMemory = 64, .mAccelerators = 1 };
  executor::SetDemand(job, demand);
  auto step = Step(2, demand, 2000);
  step["required_label"] = "b";
  if (world.Submit(0, "/queue-a/", job, json::array({ step })).mStatus != 200) {
    return 2;
  }
  SleepMs(kFinishMs + 6000);
  auto const state = StateOf(world.Get(0, "/queue-a/" + job));
  auto const starts = world.Log().Count(job, "start");
  Record("state " + state + ", starts " + std::to_string(starts) +
         "; i-1 is up, idle and the only executor with the label");
  return starts == 0 ? 1 : 0;
}

/// An executor is lost right before a job is placed on it.
int Pending(std::string const& aFolder)
{
  constexpr std::size_t kExecutors = 7;
  auto& world = *new deployment{ { .mFolder = aFolder,
                                   .mFronts = 3,
                                   .mSides = kExecutors,
                                   .mPlan = [](std::string const&, std::uint32_t) {
                                     return run_plan{ .mWorkMs = 15'000 };
                                   } } };
  world.WriteConfiguration({ { "queue-a", "/queue-a/", 1, 3 }, { "queue-b", "/queue-b/", 1, 3 } });
  world.Start();
  executor::demand const whole{ .mMillicores = 1000, .mMemory = 64, .mAccelerators = 8 };
  // All executors but one are occupied.
  std::set<std::string> occupied;
  for (std::size_t index = 0; index + 1 < kExecutors; ++index) {
    auto const job = "000000000000003" + std::to_string(index);
    executor::SetDemand(job, whole);
    if (world.Submit(0, "/queue-b/", job, json::array({ Step(1, whole, 15'000) })).mStatus != 200) {
      return 2;
    }
  }
  SleepMs(2000);
  for (auto const& event : world.Log().All()) {
    occupied.insert(event.mExecutor);
  }
  if (occupied.size() != kExecutors - 1) {
    return 2;
  }
  std::size_t idle = 0;
  while (occupied.contains("i-" + std::to_string(idle + 1))) {
    ++idle;
  }
  if (HasTrouble()) {
    world.Executor(idle).mIsLost = true;
    Record("executor i-" + std::to_string(idle + 1) + " is lost for good, silently");
  }
  std::string const job = "0000000000000021";
  executor::SetDemand(job, whole);
  if (world.Submit(0, "/queue-a/", job, json::array({ Step(1, whole, 15'000) })).mStatus != 200) {
    return 2;
  }
  auto const acceptedAt = NowMs();
  // visible_ms + 2 s after the acceptance.
  SleepMs(5200);
  int broken = 0;
  for (std::size_t front = 0; front < 3; ++front) {
    auto const waiting = world.Log().Count(job, "start") > 0 ? 0UL : 1UL;
    auto const answer = world.Get(front, "/queue-a/");
    auto const document = json::parse(answer.mBody, nullptr, false);
    if (answer.mStatus != 200 || !document.is_object()) {
      continue;
    }
    auto const pending = document.value("pending", 0UL);
    Record("front-" + std::to_string(front + 1) + " gives " + std::to_string(pending) +
           " as pending; accepted " + std::to_string(NowMs() - acceptedAt) +
           " ms ago and not begun: " + std::to_string(waiting));
    if (2 * pending < waiting) {
      broken = 1;
    }
  }
  return broken;
}

} // namespace

} // namespace review

/// Usage: cases NAME FOLDER RECORD
/// FOLDER receives the settings and logs of the project's processes.
int main(int aCount, char** aArguments)
{
  using namespace review;
  std::signal(SIGPIPE, SIG_IGN);
  if (aCount != 4) {
    std::cerr << "usage: cases NAME FOLDER RECORD\n";
    return 2;
  }
  std::map<std::string, int (*)(std::string const&)> const cases{
    { "large-job", &LargeJob },
    { "cancel-unknown", &CancelUnknown },
    { "route-restored", &RouteRestored },
    { "gang-count", &GangCount },
    { "refused", &Refused },
    { "pending", &Pending },
    { "third-incarnation", &ThirdIncarnation },
    { "clock-behind", &ClockBehind },
    { "large-twice", &LargeTwice }
  };
  auto const found = cases.find(aArguments[1]);
  if (found == cases.end()) {
    return 2;
  }
  OpenRecord(aArguments[3]);
  Record("case " + found->first + (HasTrouble() ? "" : ", without the disruption"));
  Finish(found->second(aArguments[2]));
}
