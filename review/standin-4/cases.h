#pragma once

#include "deployment.h"

namespace review {

inline json Configuration(int aVersion)
{
  auto const route = [&](std::string const& aName, int aPriority) {
    return json{
      { "name", aName },    { "host", "api.example" },     { "prefix", "/" + aName + "/" },
      { "service", "svc" }, { "priority", aPriority },     { "max_attempts", 4 },
      { "stretch", 3.0 },   { "target_duration_ms", 1000 }
    };
  };
  auto const tenant = [](std::string const& aName, std::string const& aKey) {
    return json{ { "name", aName }, { "keys", { aKey } }, { "guaranteed", { { "gpu", 8 } } } };
  };
  return { { "version", aVersion },
           { "routes", { route("urgent", 0), route("bulk", 1), route("sweep", 2) } },
           { "services", { { { "name", "svc" }, { "rejects_overload", true } } } },
           { "tenants", { tenant("t1", "key-1"), tenant("t2", "key-2") } },
           { "limits", { { "max_body_bytes", 262144 } } } };
}

inline std::string Id(int aNumber)
{
  char text[32];
  std::snprintf(text, sizeof text, "%016x", 0x5c0e0000 + aNumber);
  return text;
}

inline json Job(json aStep)
{
  return { { "spec", "text" }, { "steps", json::array({ std::move(aStep) }) } };
}

inline json Tasks(int aCount, int aCpu, int aGpu, int aEstimateMs)
{
  json step{
    { "count", aCount }, { "cpu", aCpu }, { "mem_mb", 100 }, { "estimate_ms", aEstimateMs }
  };
  if (aGpu > 0) {
    step["gpu"] = aGpu;
  }
  return step;
}

/// Starts a deployment and waits until it serves; fails the case if it does not.
inline void StartCase(trial_run& aTrial, json const& aConfiguration = Configuration(3))
{
  aTrial->Configure(aConfiguration);
  aTrial->Start();
  if (!aTrial->WaitUntilReady()) {
    throw std::runtime_error{ "the fronts are not ready" };
  }
  SleepMs(3000);
}

inline void MustSubmit(trial_run& aTrial, std::string const& aPrefix, std::string const& aId,
                       json const& aStep, std::int64_t aWorkMs)
{
  if (!aTrial->Submit(aPrefix, aId, Job(aStep), aWorkMs)) {
    throw std::runtime_error{ "a job was not accepted" };
  }
}

/// Rule RECLAIM. Tasks that last of another tenant hold all accelerators.
inline int Reclaim(std::string const& aRoot, bool aHasTrouble)
{
  constexpr std::int64_t kReclaimMs = 2900;
  trial_run trial{ aRoot, { .mExecutors = 2 } };
  StartCase(trial);
  if (aHasTrouble) {
    auto lasting = Tasks(2, 8000, 8, 1000);
    lasting["long_running"] = true;
    lasting["max_missing"] = 1;
    trial->mKey = "key-2";
    MustSubmit(trial, "/sweep/", Id(1), lasting, 1000);
    SleepMs(5000);
  }
  trial->mKey = "key-1";
  MustSubmit(trial, "/urgent/", Id(2), Tasks(1, 8000, 8, 2000), 2000);
  auto const acceptedAt = NowMs();
  SleepMs(20000);
  auto const runs = trial->mWorld.RunsOf(Id(2));
  auto const state = trial->State("/urgent/" + Id(2));
  Record("the guaranteed job: " + state + ", " +
         (runs.empty() ? std::string{ "not begun" }
                       : "begun after " + std::to_string(runs[0].mFrom - acceptedAt) + " ms"));
  return !runs.empty() && runs[0].mFrom - acceptedAt <= kReclaimMs ? 0 : 1;
}

/// Rule TWICE. A start gets no answer and is carried out late; meanwhile the executor crashes, and
/// starts again under its id.
inline int LateStart(std::string const& aRoot, bool aHasTrouble)
{
  constexpr int kAttempts = 3;
  constexpr std::int64_t kLateMs = 5600;
  constexpr std::int64_t kCrashAfterMs = 3000;
  trial_run trial{ aRoot,
                   { .mExecutors = 11,
                     .mAdjust = [](std::size_t aIndex, executor::options& aOptions) {
                       aOptions.mDownMs = 2000;
                       aOptions.mLabels = { aIndex == 1 ? "b" : "a", aIndex == 0 ? "r0" : "r1" };
                     } } };
  StartCase(trial);
  for (int job = 3; job <= 22; ++job) {
    MustSubmit(trial, "/sweep/", Id(job), Tasks(3, 1000, 0, 1000), 1000);
  }
  SleepMs(2500);
  auto& executor = *trial->mExecutors[0];
  executor.mLateMs = kLateMs;
  executor.mLateStarts = aHasTrouble ? kAttempts : 0;
  MustSubmit(trial, "/bulk/", Id(1), Tasks(1, 4000, 1, 20000), 20000);
  auto const from = NowMs();
  // Another job, which only the second executor may run, makes that one the better fit.
  SleepMs(500);
  auto other = Tasks(1, 4000, 4, 15000);
  other["required_label"] = "b";
  MustSubmit(trial, "/bulk/", Id(2), other, 15000);
  SleepMs(from + kCrashAfterMs - NowMs());
  if (aHasTrouble) {
    executor.CrashAndKeepId();
  }
  SleepMs(12000);
  auto const runs = trial->mWorld.RunsOf(Id(1));
  std::int64_t longest = 0;
  for (std::size_t first = 0; first < runs.size(); ++first) {
    for (std::size_t second = first + 1; second < runs.size(); ++second) {
      auto const end = [](seen_run const& aRun) { return aRun.mTo == 0 ? NowMs() : aRun.mTo; };
      auto const overlap = std::min(end(runs[first]), end(runs[second])) -
                           std::max(runs[first].mFrom, runs[second].mFrom);
      longest = std::max(longest, overlap);
    }
  }
  Record("two runs of the task at the same time for " + std::to_string(longest) + " ms");
  return longest > 0 ? 1 : 0;
}

/// Rule LOST. One of twenty jobs on a queue with advice can never be done; those after it wait with
/// it, beside idle executors.
inline int Advice(std::string const& aRoot, bool aHasTrouble)
{
  constexpr std::int64_t kDecideMs = 250;
  constexpr std::int64_t kPeriodMs = 50;
  constexpr std::int64_t kFinishMs = 14000;
  constexpr std::int64_t kNothingRunsMs = 3000;
  constexpr int kJobs = 20;
  constexpr int kPoison = 10;
  trial_run trial{ aRoot, { .mExecutors = 11 } };
  auto configuration = Configuration(3);
  for (auto& route : configuration["routes"]) {
    route["advice"] = { { "decide_ms", kDecideMs },
                        { "period_ms", kPeriodMs },
                        { "valid_ms", world::kTicketMs } };
  }
  trial->StartAdvice(kDecideMs, kPeriodMs);
  StartCase(trial, configuration);
  for (int job = 1; job <= kJobs; ++job) {
    if (job == kPoison && aHasTrouble) {
      // Three steps of twelve tasks that work only together, each of which needs a whole executor.
      auto gang = Tasks(12, 8000, 8, 1000);
      gang["gang"] = true;
      json const body{ { "spec", "text" }, { "steps", { gang, gang, gang } } };
      if (!trial->Submit("/sweep/", Id(job), body, 1000)) {
        return 2;
      }
    } else {
      MustSubmit(trial, "/sweep/", Id(job), Tasks(1, 4000, 1, 1000), 1000);
    }
    SleepMs(120);
  }
  SleepMs(kFinishMs + kNothingRunsMs);
  std::size_t waiting = 0;
  for (int job = 1; job <= kJobs; ++job) {
    if (job == kPoison) {
      continue;
    }
    waiting += trial->mWorld.RunsOf(Id(job)).empty() ? 1 : 0;
    trial->State("/sweep/" + Id(job));
  }
  auto const runs = trial->mWorld.Runs();
  auto const running =
    std::count_if(runs.begin(), runs.end(), [](seen_run const& aRun) { return aRun.mTo == 0; });
  auto const last = runs.empty() ? 0 : runs.back().mTo;
  Record("calls for advice " + std::to_string(trial->mAdviceCalls) + "; jobs not begun " +
         std::to_string(waiting) + ", tasks running " + std::to_string(running) + ", last end at " +
         std::to_string(last) + " ms");
  return waiting > 0 && running == 0 && NowMs() - last > kNothingRunsMs ? 1 : 0;
}

/// Rule LOST. The machine of a lasting task is gone for good.
inline int LastingLost(std::string const& aRoot, bool aHasTrouble)
{
  constexpr std::int64_t kFromMs = 6000;
  constexpr std::int64_t kNothingRunsMs = 3000;
  trial_run trial{ aRoot, { .mExecutors = 11, .mRestartMs = 1'000'000 } };
  StartCase(trial);
  auto step = Tasks(1, 4000, 1, 1000);
  step["long_running"] = true;
  MustSubmit(trial, "/sweep/", Id(1), step, 1000);
  SleepMs(6000);
  auto const first = trial->mWorld.RunsOf(Id(1));
  if (first.size() != 1) {
    return 2;
  }
  if (aHasTrouble) {
    auto const number = first[0].mExecutor.substr(2);
    trial->Signal("side-" + number, SIGKILL);
    trial->mExecutors[std::stoul(number)]->LoseForGood();
  }
  SleepMs(20000);
  auto const runs = trial->mWorld.RunsOf(Id(1));
  if (!aHasTrouble) {
    return runs.size() == 1 && runs[0].mTo == 0 ? 0 : 1;
  }
  auto const until = runs.size() > 1 ? runs[1].mFrom : NowMs();
  Record("nothing of the job ran for " + std::to_string(until - runs[0].mTo) + " ms");
  return until - runs[0].mTo > kFromMs + kNothingRunsMs ? 1 : 0;
}

/// Rule RECLAIM. A guaranteed job is spread over two executors beside a job that borrows; when that
/// one has ended, no executor is left for the guarantee of another tenant.
inline int Fragments(std::string const& aRoot, bool aHasTrouble)
{
  constexpr std::int64_t kReclaimMs = 2900;
  trial_run trial{ aRoot, { .mExecutors = 2 } };
  StartCase(trial);
  if (aHasTrouble) {
    auto borrower = Tasks(2, 4000, 4, 5000);
    borrower["max_per_server"] = 1;
    trial->mKey = "key-2";
    MustSubmit(trial, "/sweep/", Id(1), borrower, 5000);
    SleepMs(1000);
  }
  trial->mKey = "key-1";
  MustSubmit(trial, "/urgent/", Id(2), Tasks(2, 4000, 4, 40000), 40000);
  SleepMs(8000);
  trial->mKey = "key-2";
  MustSubmit(trial, "/urgent/", Id(3), Tasks(1, 4000, 8, 2000), 2000);
  auto const acceptedAt = NowMs();
  SleepMs(20000);
  auto const runs = trial->mWorld.RunsOf(Id(3));
  auto const state = trial->State("/urgent/" + Id(3));
  Record("the second tenant's guaranteed job: " + state + ", " +
         (runs.empty() ? std::string{ "not begun" }
                       : "begun after " + std::to_string(runs[0].mFrom - acceptedAt) + " ms"));
  return !runs.empty() && runs[0].mFrom - acceptedAt <= kReclaimMs ? 0 : 1;
}

inline int RunCase(std::string const& aName, std::string const& aRoot, bool aHasTrouble)
{
  std::map<std::string, std::function<int(std::string const&, bool)>> const cases{
    { "reclaim", Reclaim },     { "late-start", LateStart },     { "advice", Advice },
    { "fragments", Fragments }, { "lasting-lost", LastingLost },
  };
  auto const found = cases.find(aName);
  return found == cases.end() ? 2 : found->second(aRoot, aHasTrouble);
}

} // namespace review
