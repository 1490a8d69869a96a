#include "deployment.h"

#include <cstdlib>
#include <cstring>
#include <exception>
#include <iostream>

#include <unistd.h>

namespace {

using namespace review;

/// Results of a case, as the exit code of its script.
enum class verdict
{
  held = 0,
  broken = 1,
  could_not_run = 2
};

constexpr std::int64_t kStartMs = 20'000;
/// The pages: this long after the end of the traffic jobs are asked for.
constexpr std::int64_t kFinishMs = 14'000;

/// Whether the case applies its disruption.
bool HasTrouble()
{
  auto const* const trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::strcmp(trouble, "0") != 0;
}

json Step(int aCount, int aMillicores, int aAccelerators, int aEstimateMs)
{
  return { { "count", aCount },
           { "cpu", aMillicores },
           { "mem_mb", 1000 },
           { "gpu", aAccelerators },
           { "estimate_ms", aEstimateMs } };
}

json Job(json aSteps)
{
  return { { "spec", "x" }, { "steps", std::move(aSteps) } };
}

/// Submits and repeats, as a client does, until the job is accepted.
bool Accept(deployment& aDeployment, std::string const& aPrefix, std::string const& aId,
            json const& aBody)
{
  constexpr int kAttempts = 5;
  for (int attempt = 0; attempt < kAttempts; ++attempt) {
    if (aDeployment.Submit(aPrefix, aId, aBody).mStatus / 100 == 2) {
      return true;
    }
    SleepMs(100);
  }
  return false;
}

/// A job is accepted that has many tasks; beside it, small jobs go on as before.
verdict LargeJob(std::string const& aRecord)
{
  constexpr int kLargeTasks = 2000;
  constexpr int kParts = 10;
  constexpr int kSmallJobs = 30;
  constexpr std::int64_t kWorkMs = 1000;
  deployment system{ { .mSides = 4,
                       .mQueues = { { .mName = "urgent", .mPrefix = "/u/", .mPriority = 0 },
                                    { .mName = "bulk", .mPrefix = "/b/", .mPriority = 2 } },
                       .mRecordPath = aRecord } };
  system.mPlan = [](std::string const&, std::uint32_t) { return run_plan{ .mWorkMs = kWorkMs }; };
  if (!system.AwaitReady(kStartMs)) {
    return verdict::could_not_run;
  }
  auto const isSplit = !HasTrouble();
  for (int part = 0; part < (isSplit ? kParts : 1); ++part) {
    auto const tasks = isSplit ? kLargeTasks / kParts : kLargeTasks;
    if (!Accept(system, "/b/", JobId(1000 + part), Job({ Step(tasks, 1000, 0, kWorkMs) }))) {
      return verdict::could_not_run;
    }
  }
  int accepted = 0;
  for (int job = 0; job < kSmallJobs; ++job) {
    accepted += Accept(system, "/u/", JobId(1 + job), Job({ Step(1, 1000, 1, kWorkMs) })) ? 1 : 0;
    SleepMs(500);
  }
  system.Record().Line("end of the traffic");
  SleepMs(kFinishMs);
  int open = 0;
  for (int job = 0; job < kSmallJobs; ++job) {
    open += system.State("/u/", JobId(1 + job)) == "done" ? 0 : 1;
  }
  std::size_t running = 0;
  for (auto const& event : system.Events()) {
    running += event.mEnd.empty() ? 1 : -1;
  }
  system.Record().Line("small jobs accepted: " + std::to_string(accepted) + ", not done: " +
                       std::to_string(open) + "; runs on all workers: " + std::to_string(running));
  system.Record().Line(
    "store: calls over a stated limit: " + std::to_string(system.Store().Rejected()) +
    "; the last one: " + system.Store().LastRejection());
  return open > 0 && running == 0 ? verdict::broken : verdict::held;
}

/// A route is removed while a job that it has accepted runs, and comes back.
verdict RouteRemoved(std::string const& aRecord)
{
  constexpr int kAttempts = 4;
  constexpr std::int64_t kWorkMs = 3000;
  deployment system{ { .mSides = 3,
                       .mQueues = { { .mName = "urgent", .mPrefix = "/u/", .mPriority = 0 },
                                    { .mName = "bulk",
                                      .mPrefix = "/b/",
                                      .mPriority = 2,
                                      .mMaximumAttempts = kAttempts } },
                       .mRecordPath = aRecord } };
  // The first run fails by the task's own fault, all others succeed.
  system.mPlan = [](std::string const&, std::uint32_t aRun) {
    return run_plan{ .mWorkMs = kWorkMs, .mFails = aRun == 1 };
  };
  if (!system.AwaitReady(kStartMs) ||
      !Accept(system, "/b/", JobId(1), Job({ Step(1, 11'000, 1, kWorkMs) }))) {
    return verdict::could_not_run;
  }
  SleepMs(1000);
  if (HasTrouble()) {
    system.Configure({ "bulk" });
  }
  SleepMs(4000);
  if (HasTrouble()) {
    system.Configure();
  }
  SleepMs(3000);
  std::string state;
  for (auto const until = NowMs() + kFinishMs; NowMs() < until; SleepMs(1000)) {
    state = system.State("/b/", JobId(1));
    if (state == "done" || state == "failed") {
      break;
    }
  }
  int failures = 0;
  for (auto const& event : system.Events()) {
    failures += event.mEnd == "failed" ? 1 : 0;
  }
  system.Record().Line("shown as " + state + ", runs that failed: " + std::to_string(failures) +
                       ", max_attempts: " + std::to_string(kAttempts));
  return state == "failed" && failures < kAttempts ? verdict::broken
         : state == "done"                         ? verdict::held
                                                   : verdict::could_not_run;
}

json Labelled(json aStep, std::string const& aLabel)
{
  aStep["required_label"] = aLabel;
  return Job({ std::move(aStep) });
}

/// One heartbeat of another program, with a service that no configuration names, reaches a side.
verdict OddHeartbeat(std::string const& aRecord)
{
  constexpr std::size_t kSide = 1;
  constexpr int kJobs = 12;
  constexpr std::int64_t kWorkMs = 400;
  deployment system{ { .mSides = 3,
                       .mKinds = { "a", "b", "a" },
                       .mQueues = { { .mName = "bulk", .mPrefix = "/b/", .mPriority = 2 } },
                       .mRecordPath = aRecord } };
  system.mPlan = [](std::string const&, std::uint32_t) { return run_plan{ .mWorkMs = kWorkMs }; };
  if (!system.AwaitReady(kStartMs)) {
    return verdict::could_not_run;
  }
  int accepted = 0;
  for (int job = 0; job < kJobs; ++job) {
    if (job == kJobs / 3 && HasTrouble()) {
      system.SendHeartbeat(kSide, "i-of-another-program", "service-of-another-program");
    }
    accepted +=
      Accept(system, "/b/", JobId(1 + job), Labelled(Step(1, 11'000, 1, kWorkMs), "b")) ? 1 : 0;
    SleepMs(1000);
  }
  system.Record().Line("end of the traffic");
  SleepMs(kFinishMs);
  int open = 0;
  for (int job = 0; job < kJobs; ++job) {
    open += system.State("/b/", JobId(1 + job)) == "done" ? 0 : 1;
  }
  // Worker i-2 is the only one of kind b. It answers calls and sends heartbeats all the while.
  std::int64_t lastStart = 0;
  for (auto const& event : system.Events()) {
    if (event.mEnd.empty()) {
      lastStart = event.mAtMs;
    }
  }
  auto const idle = NowMs() - lastStart;
  system.Record().Line("jobs accepted: " + std::to_string(accepted) +
                       ", not done: " + std::to_string(open) + "; the last start was " +
                       std::to_string(idle) + " ms ago, and worker i-2 is idle and sound");
  return open > 0 && idle > kFinishMs ? verdict::broken : verdict::held;
}

/// Tasks with two runs at the same time; each is written to the record.
int DoubleRuns(deployment& aSystem)
{
  std::map<std::string, std::map<std::uint32_t, std::string>> active;
  int doubled = 0;
  for (auto const& event : aSystem.Events()) {
    auto& runs = active[event.mTask];
    if (!event.mEnd.empty()) {
      runs.erase(event.mRun);
      continue;
    }
    for (auto const& [number, where] : runs) {
      ++doubled;
      aSystem.Record().Line("TWICE: " + event.mTask + " run " + std::to_string(event.mRun) +
                            " starts on " + event.mWorker + " at " + std::to_string(event.mAtMs) +
                            " ms while run " + std::to_string(number) + " works on " + where);
    }
    runs[event.mRun] = event.mWorker;
  }
  return doubled;
}

/// Workers crash and start again at once, under the same identifiers.
verdict Reborn(std::string const& aRecord)
{
  constexpr std::int64_t kFirstStepMs = 50;
  constexpr std::int64_t kWorkMs = 1000;
  constexpr std::int64_t kDownMs = 100;
  constexpr std::int64_t kFirstHeartbeatMs = 1000;
  constexpr std::int64_t kEachMs = 80;
  constexpr std::int64_t kFirstCrashMs = 3000;
  constexpr std::int64_t kRoundMs = 14'000;
  constexpr std::size_t kRounds = 2;
  deployment system{ { .mSides = 3,
                       .mKinds = { "a", "a", "b" },
                       .mQueues = { { .mName = "urgent", .mPrefix = "/u/", .mPriority = 0 } },
                       .mRecordPath = aRecord } };
  system.mPlan = [](std::string const& aTask, std::uint32_t) {
    auto const isFirstStep = aTask.find(".0.0.0") != std::string::npos;
    return run_plan{ .mWorkMs = isFirstStep ? kFirstStepMs : kWorkMs };
  };
  auto first = Step(1, 1000, 0, kFirstStepMs);
  first["required_label"] = "b";
  auto second = Step(1, 1000, 0, kWorkMs);
  second["required_label"] = "a";
  second["after"] = { 0 };
  if (!system.AwaitReady(kStartMs)) {
    return verdict::could_not_run;
  }
  auto const begin = NowMs();
  std::thread crashes{ [&] {
    for (std::size_t round = 0; round < kRounds && HasTrouble(); ++round) {
      SleepMs(begin + kFirstCrashMs + static_cast<std::int64_t>(round) * kRoundMs - NowMs());
      // The worker with the most runs is the one that the next starts go to.
      std::map<std::string, int> running;
      for (auto const& event : system.Events()) {
        running[event.mWorker] += event.mEnd.empty() ? 1 : -1;
      }
      auto* chosen = system.Workers().front().get();
      for (auto const& one : system.Workers()) {
        chosen = running[one->Id()] > running[chosen->Id()] ? one.get() : chosen;
      }
      system.Record().Line("worker " + chosen->Id() + " crashes");
      chosen->Crash();
      SleepMs(kDownMs);
      chosen->Restart(kFirstHeartbeatMs);
      system.Record().Line("worker " + chosen->Id() +
                           " runs again under the same identifier, its first heartbeat comes " +
                           std::to_string(kFirstHeartbeatMs) + " ms later");
    }
  } };
  int accepted = 0;
  while (NowMs() < begin + kFirstCrashMs + static_cast<std::int64_t>(kRounds) * kRoundMs) {
    ++accepted;
    Accept(system, "/u/", JobId(accepted), Job({ first, second }));
    SleepMs(kEachMs);
  }
  crashes.join();
  SleepMs(3000);
  auto const doubled = DoubleRuns(system);
  system.Record().Line("jobs: " + std::to_string(accepted) +
                       ", tasks with two runs at the same time: " + std::to_string(doubled));
  return doubled > 0 ? verdict::broken : verdict::held;
}

/// A task crashes each executor that starts it, some seconds after its start.
verdict LateDeadly(std::string const& aRecord)
{
  constexpr std::int64_t kCrashAfterMs = 3600;
  constexpr std::int64_t kWorkMs = 1500;
  constexpr std::int64_t kTrafficMs = 60'000;
  constexpr std::int64_t kEachMs = 1000;
  // After three crashes the rule allows fewer than three more starts.
  constexpr int kCrashes = 3;
  constexpr int kMoreStarts = 3;
  auto const deadlyJob = JobId(4096);
  deployment system{ { .mSides = 4,
                       .mQueues = { { .mName = "bulk", .mPrefix = "/b/", .mPriority = 2 },
                                    { .mName = "urgent", .mPrefix = "/u/", .mPriority = 0 } },
                       .mRecordPath = aRecord } };
  system.mPlan = [&](std::string const& aTask, std::uint32_t) {
    auto const isDeadlyJob = aTask.starts_with(deadlyJob);
    return run_plan{ .mWorkMs = isDeadlyJob ? kCrashAfterMs : kWorkMs,
                     .mIsDeadly = isDeadlyJob && HasTrouble() };
  };
  if (!system.AwaitReady(kStartMs) ||
      !Accept(system, "/b/", deadlyJob, Job({ Step(1, 11'000, 1, 5000) }))) {
    return verdict::could_not_run;
  }
  int accepted = 0;
  for (auto const until = NowMs() + kTrafficMs; NowMs() < until; SleepMs(kEachMs)) {
    ++accepted;
    Accept(system, "/u/", JobId(accepted), Job({ Step(1, 11'000, 1, kWorkMs) }));
  }
  auto const state = system.State("/b/", deadlyJob);
  int crashes = 0;
  int startsAfter = 0;
  int othersLost = 0;
  for (auto const& event : system.Events()) {
    auto const isDeadlyJob = event.mTask.starts_with(deadlyJob);
    auto const isLost = event.mEnd == "lost with its worker";
    crashes += isDeadlyJob && isLost ? 1 : 0;
    othersLost += !isDeadlyJob && isLost ? 1 : 0;
    startsAfter += isDeadlyJob && event.mEnd.empty() && crashes >= kCrashes ? 1 : 0;
  }
  system.Record().Line(
    "the job is shown as " + state + "; executors crashed under it: " + std::to_string(crashes) +
    "; starts after the third crash: " + std::to_string(startsAfter) +
    "; runs of other jobs lost with these executors: " + std::to_string(othersLost));
  return startsAfter >= kMoreStarts ? verdict::broken : verdict::held;
}

/// A heartbeat of another program carries a sequence number far ahead; then the executor drains.
verdict HighSequence(std::string const& aRecord)
{
  constexpr std::size_t kSide = 0;
  constexpr std::int64_t kDrainMs = 2000;
  constexpr std::int64_t kTrafficMs = 8000;
  constexpr std::int64_t kEachMs = 200;
  deployment system{ { .mSides = 3,
                       .mQueues = { { .mName = "urgent", .mPrefix = "/u/", .mPriority = 0 } },
                       .mRecordPath = aRecord } };
  if (!system.AwaitReady(kStartMs)) {
    return verdict::could_not_run;
  }
  SleepMs(2000);
  if (HasTrouble()) {
    system.SendHighSequence(kSide);
  }
  system.Workers()[kSide]->Drain();
  auto const acknowledged = NowMs();
  system.Record().Line("worker i-1 drains, acknowledged");
  int accepted = 0;
  while (NowMs() < acknowledged + kTrafficMs) {
    ++accepted;
    Accept(system, "/u/", JobId(accepted), Job({ Step(1, 11'000, 1, 500) }));
    SleepMs(kEachMs);
  }
  int late = 0;
  for (auto const& event : system.Events()) {
    late += event.mEnd.empty() && event.mWorker == "i-1" && event.mAtMs > acknowledged + kDrainMs;
  }
  system.Record().Line("starts on i-1 later than drain_ms after the acknowledgement: " +
                       std::to_string(late));
  return late > 0 ? verdict::broken : verdict::held;
}

struct case_entry
{
  char const* mName;
  verdict (*mRun)(std::string const& aRecord);
};

constexpr case_entry kCases[] = {
  { "large-job", &LargeJob },         { "route-removed", &RouteRemoved },
  { "odd-heartbeat", &OddHeartbeat }, { "reborn", &Reborn },
  { "late-deadly", &LateDeadly },     { "high-sequence", &HighSequence }
};

} // namespace

/// Usage: trial CASE RECORD, in the repository's root.
int main(int aCount, char** aArguments)
{
  constexpr unsigned kLimitS = 115;
  alarm(kLimitS);
  if (aCount == 3) {
    for (auto const& entry : kCases) {
      if (std::strcmp(entry.mName, aArguments[1]) == 0) {
        try {
          return static_cast<int>(entry.mRun(aArguments[2]));
        } catch (std::exception const& thrown) {
          std::cerr << "trial: " << thrown.what() << '\n';
          return static_cast<int>(verdict::could_not_run);
        }
      }
    }
  }
  std::cerr << "usage: trial CASE RECORD\n";
  return static_cast<int>(verdict::could_not_run);
}
