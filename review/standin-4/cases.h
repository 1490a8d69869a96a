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
inline void StartCase(trial_run& aTrial)
{
  aTrial->Configure(Configuration(3));
  aTrial->Start();
  if (!aTrial->WaitUntilReady()) {
    throw std::runtime_error{ "the fronts are not ready" };
  }
  SleepMs(3000);
}

inline void MustSubmit(trial_run& aTrial, std::string const& aPrefix, std::string const& aId,
                       json const& aStep, std::int64_t aWorkMs, std::int64_t aCrashesAfterMs = 0)
{
  if (!aTrial->Submit(aPrefix, aId, Job(aStep), aWorkMs, aCrashesAfterMs)) {
    throw std::runtime_error{ "a job was not accepted" };
  }
}

/// Rule LOST. A large job is handed in; the process that stores its state is killed, and is
/// started again.
inline int LargeJob(std::string const& aRoot, bool aHasTrouble)
{
  constexpr int kTasks = 2000;
  constexpr std::int64_t kFinishMs = 14000;
  constexpr std::int64_t kNothingRunsMs = 3000;
  std::atomic<bool> isKilled = false;
  trial_run trial{ aRoot, { .mExecutors = 11 } };
  trial->mWorld.mIsVerbose = false;
  trial->mStore->mOnDone = [&](std::string const& aNode, json const& aTransaction) {
    std::size_t parts = 0;
    bool hasState = false;
    for (auto const& put : aTransaction.value("puts", json::array())) {
      auto const key = put.at("key").get<std::string>();
      parts += key.starts_with("part/" + Id(1)) ? 1 : 0;
      hasState = hasState || key == "run/" + Id(1);
    }
    if (parts == 0 || isKilled) {
      return;
    }
    Record("store: " + aNode + " wrote " + std::to_string(parts) + " rows of the large job" +
           (hasState ? ", and the row with its phase" : ""));
    if (aHasTrouble && !hasState && !isKilled.exchange(true)) {
      trial->Signal(aNode, SIGKILL);
    }
  };
  StartCase(trial);
  // Other work goes on all the while.
  MustSubmit(trial, "/urgent/", Id(2), Tasks(3, 8000, 1, 1500), 1500);
  SleepMs(1300);
  MustSubmit(trial, "/sweep/", Id(1), Tasks(kTasks, 250, 0, 1000), 1000);
  SleepMs(6000);
  MustSubmit(trial, "/urgent/", Id(3), Tasks(2, 1000, 1, 500), 500);
  SleepMs(kFinishMs + kNothingRunsMs);
  bool isBroken = false;
  for (auto const& path : { "/sweep/" + Id(1), "/urgent/" + Id(3) }) {
    auto const runs = trial->mWorld.RunsOf(path.substr(path.size() - Id(1).size()));
    auto const last = runs.empty() ? 0 : runs.back().mTo;
    auto const state = trial->State(path);
    Record(path + ": " + state + ", runs begun " + std::to_string(runs.size()));
    isBroken = isBroken || (state != "done" &&
                            (runs.empty() || (last != 0 && NowMs() - last > kNothingRunsMs)));
  }
  return isBroken ? 1 : 0;
}

/// Rule LOST. A configuration without the job's route is in force for some seconds; meanwhile a
/// task of the job fails once.
inline int RemovedRoute(std::string const& aRoot, bool aHasTrouble)
{
  trial_run trial{ aRoot, {} };
  StartCase(trial);
  auto const path = "/bulk/" + Id(1);
  MustSubmit(trial, "/bulk/", Id(1), Tasks(1, 4000, 1, 3000), 3000);
  SleepMs(1000);
  if (aHasTrouble) {
    auto without = Configuration(5);
    without["routes"].erase(1);
    trial->Configure(without);
  }
  SleepMs(1000);
  auto const first = trial->mWorld.RunsOf(Id(1));
  if (first.size() != 1) {
    return 2;
  }
  for (auto const& executor : trial->mExecutors) {
    executor->mFailuresLeft = executor->Id() == first[0].mExecutor ? 1 : 0;
  }
  SleepMs(2000);
  if (aHasTrouble) {
    trial->Configure(Configuration(9));
  }
  SleepMs(8000);
  auto const runs = trial->mWorld.RunsOf(Id(1));
  auto const failed =
    std::count_if(runs.begin(), runs.end(), [](auto const& aRun) { return aRun.mEnd == "failed"; });
  auto const state = trial->State(path);
  Record(path + ": " + state + ", runs that ended failed " + std::to_string(failed) +
         ", max_attempts 4");
  if (failed != 1) {
    return 2;
  }
  return state == "failed" ? 1 : state == "done" ? 0 : 2;
}

/// Rule BUDGET. A task crashes each executor that starts it, some seconds after its start.
inline int LateCrash(std::string const& aRoot, bool aHasTrouble)
{
  constexpr std::int64_t kCrashesAfterMs = 4500;
  constexpr std::size_t kExecutors = 3;
  constexpr std::size_t kStartsAllowed = 3;
  trial_run trial{ aRoot, { .mExecutors = 11 } };
  StartCase(trial);
  for (int job = 2; job <= 20; ++job) {
    MustSubmit(trial, "/sweep/", Id(job), Tasks(1, 4000, 1, 1000), 1000);
  }
  MustSubmit(trial, "/sweep/", Id(1), Tasks(1, 4000, 1, 6000), 6000,
             aHasTrouble ? kCrashesAfterMs : 0);
  std::size_t crashes = 0;
  std::size_t startsAfter = 0;
  for (auto const until = NowMs() + 80000; NowMs() < until && startsAfter <= kStartsAllowed + 1;) {
    SleepMs(500);
    crashes = 0;
    startsAfter = 0;
    auto const runs = trial->mWorld.RunsOf(Id(1));
    for (auto const& run : runs) {
      startsAfter += crashes >= kExecutors ? 1 : 0;
      crashes += run.mEnd == "crashed" ? 1 : 0;
    }
    if (!runs.empty() && runs.back().mEnd == "done") {
      break;
    }
  }
  Record("crashes under the task " + std::to_string(crashes) + ", starts after the third one " +
         std::to_string(startsAfter) + ", state " + trial->State("/sweep/" + Id(1)));
  return startsAfter > kStartsAllowed ? 1 : 0;
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

/// Rule MIXED. An executor is unhealthy for some seconds and refuses all starts; the jobs that
/// need it wait.
inline int Pending(std::string const& aRoot, bool aHasTrouble)
{
  constexpr int kJobs = 4;
  constexpr std::int64_t kTroubleMs = 6500;
  constexpr std::int64_t kVisibleMs = 3000;
  trial_run trial{ aRoot,
                   { .mExecutors = 11,
                     .mAdjust = [](std::size_t aIndex, executor::options& aOptions) {
                       aOptions.mLabels[0] = aIndex == 0 ? "b" : "a";
                     } } };
  StartCase(trial);
  auto const from = NowMs();
  trial->mExecutors[0]->mIsUnhealthy = aHasTrouble;
  for (int job = 1; job <= kJobs; ++job) {
    auto step = Tasks(1, 1000, 1, 20000);
    step["required_label"] = "b";
    MustSubmit(trial, "/sweep/", Id(job), step, 20000);
  }
  auto const acceptedAt = NowMs();
  SleepMs(acceptedAt + kVisibleMs + 2000 + 300 - NowMs());
  bool isBroken = false;
  for (std::size_t front = 0; front < trial->Fronts(); ++front) {
    auto const waiting = kJobs - trial->mWorld.Runs().size();
    auto const answer = json::parse(trial->Call(front, "GET", "/sweep/").mBody, nullptr, false);
    auto const pending = answer.at("pending").get<std::size_t>();
    Record("front " + std::to_string(front) + " gives " + std::to_string(pending) +
           " as pending; accepted over 5 s before and not begun: " + std::to_string(waiting));
    isBroken = isBroken || 2 * pending < waiting;
  }
  if (NowMs() - from > kTroubleMs) {
    return 2;
  }
  trial->mExecutors[0]->mIsUnhealthy = false;
  SleepMs(3000);
  Record("begun after the trouble: " + std::to_string(trial->mWorld.Runs().size()));
  return isBroken ? 1 : 0;
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

inline int RunCase(std::string const& aName, std::string const& aRoot, bool aHasTrouble)
{
  std::map<std::string, std::function<int(std::string const&, bool)>> const cases{
    { "large-job", LargeJob },   { "removed-route", RemovedRoute },
    { "late-crash", LateCrash }, { "reclaim", Reclaim },
    { "pending", Pending },      { "late-start", LateStart },
  };
  auto const found = cases.find(aName);
  return found == cases.end() ? 2 : found->second(aRoot, aHasTrouble);
}

} // namespace review
