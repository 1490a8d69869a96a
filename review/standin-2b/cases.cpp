// Plays one case of the review: starts the project's processes with stand-ins for the platform, the
// executors and the clients, and judges one rule by what the stand-ins have seen.
//
// Usage: lease-cases CASE PROGRAM FOLDER RECORD. Exit code: 1 if the rule was broken, 0 if
// it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.

#include "world.h"

namespace {

using namespace review;

enum class verdict
{
  held = 0,
  broken = 1,
  not_run = 2
};

struct stage
{
  recorder& mRecorder;
  run_journal& mJournal;
  deployment::options mOptions;
  bool mHasTrouble = true;
};

verdict Conclude(stage& aStage, verdict aVerdict, std::string const& aText)
{
  aStage.mRecorder.Write("judge " +
                         std::string{ aVerdict == verdict::held     ? "HELD: "
                                      : aVerdict == verdict::broken ? "BROKEN: "
                                                                    : "NOT RUN: " } +
                         aText);
  std::cout << aText << std::endl;
  return aVerdict;
}

json Step(int aTasks, int aEstimateMs, std::vector<int> const& aAfter = {}, bool aIsGang = false)
{
  json step{ { "count", aTasks },
             { "cpu", 8000 },
             { "mem_mb", 16'384 },
             { "gpu", 1 },
             { "estimate_ms", aEstimateMs } };
  if (!aAfter.empty()) {
    step["after"] = aAfter;
  }
  if (aIsGang) {
    step["gang"] = true;
  }
  return step;
}

json Job(std::vector<json> const& aSteps)
{
  return { { "spec", "work" }, { "steps", aSteps } };
}

constexpr std::int64_t kReadyMs = 25'000;

/// A worker is cut off and runs on; meanwhile its machine is suspended for 4 s. PARTS=cut or
/// PARTS=suspension plays only one of the two.
verdict PlaySuspendedLease(stage& aStage)
{
  constexpr std::int64_t kCutMs = 10'000;
  constexpr std::int64_t kSuspensionMs = 4000;
  std::string const job = "a2a2a2a2a2a2a2a2";
  auto const* const parts = std::getenv("PARTS");
  auto const isPart = [&](char const* aName) {
    return aStage.mHasTrouble && (parts == nullptr || std::string_view{ parts } == aName);
  };
  aStage.mOptions.mSides = 11;
  deployment world{ aStage.mOptions, aStage.mRecorder, aStage.mJournal,
                    [](std::string const&, std::uint32_t) {
                      return behavior{ .mWorkMs = 11'000 };
                    } };
  if (!world.WaitUntilReady(kReadyMs)) {
    return Conclude(aStage, verdict::not_run, "the fronts were not ready");
  }
  if (world.Ask(0, "POST", "/qa/" + job, Job({ Step(1, 11'000) })).mStatus != 200) {
    return Conclude(aStage, verdict::not_run, "the job was not accepted");
  }
  SleepMs(2500);
  auto const started = aStage.mJournal.Of(job);
  if (started.size() != 1) {
    return Conclude(aStage, verdict::not_run, "the task was not started once");
  }
  auto const name = started.front().mExecutor;
  auto const side = std::stoi(name.substr(1)) - 1;
  auto const begin = NowMs();
  if (isPart("cut")) {
    world.Executor(side).SetCutOff(true);
  }
  SleepMs(500);
  if (isPart("suspension")) {
    world.Suspend(side);
  }
  SleepMs(kSuspensionMs);
  if (isPart("suspension")) {
    world.Resume(side);
  }
  SleepMs(begin + kCutMs - NowMs());
  if (isPart("cut")) {
    world.Executor(side).SetCutOff(false);
  }
  SleepMs(22'000);
  // A run is over with its first event after the start.
  std::map<std::uint32_t, std::pair<std::int64_t, std::int64_t>> runs;
  for (auto const& event : aStage.mJournal.Of(job)) {
    if (event.mWhat == "start") {
      runs[event.mRun] = { event.mAtMs, NowMs() };
    } else {
      runs[event.mRun].second = event.mAtMs;
    }
  }
  std::int64_t overlap = 0;
  for (auto const& [run, time] : runs) {
    if (auto const next = runs.find(run + 1); next != runs.end()) {
      overlap = std::max(overlap, time.second - next->second.first);
    }
  }
  auto const state = world.State(1, "/qa/" + job);
  auto const text = std::to_string(runs.size()) + " runs, two of them at the same time for " +
                    std::to_string(overlap) + " ms; the job is shown as " + state;
  if (overlap > 0) {
    return Conclude(aStage, verdict::broken, "TWICE: " + text);
  }
  if (!aStage.mHasTrouble && state != "done") {
    return Conclude(aStage, verdict::not_run, text);
  }
  return Conclude(aStage, verdict::held, text);
}

/// Recurring jobs with many occurrences are handed in. The platform kills a process that exceeds
/// its memory, and starts it again. Not handed in as a case, see REPORT-2.md.
verdict PlayMemory(stage& aStage)
{
  constexpr int kJobs = 64;
  constexpr std::int64_t kWatchMs = 30'000;
  deployment world{ aStage.mOptions, aStage.mRecorder, aStage.mJournal,
                    [](std::string const&, std::uint32_t) { return behavior{ .mWorkMs = 2000 }; } };
  if (!world.WaitUntilReady(kReadyMs)) {
    return Conclude(aStage, verdict::not_run, "the fronts were not ready");
  }
  std::atomic<bool> isOver = false;
  std::atomic<int> kills = 0;
  std::thread platform{ [&] {
    while (!isOver) {
      kills += world.KillFrontsOver(260);
      SleepMs(10);
    }
  } };
  auto const wallMs =
    std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
      .count();
  int accepted = 0;
  for (int number = 0; number < kJobs; ++number) {
    char id[17];
    std::snprintf(id, sizeof id, "%016x", 0xfeed00 + number);
    auto job = Job({ Step(20, 1000) });
    job["times"] = aStage.mHasTrouble ? 1000 : 10;
    job["start_at_ms"] = wallMs + 3'600'000;
    job["interval_ms"] = 60'000;
    accepted +=
      world.Ask(number % 3, "POST", std::string{ "/qa/" } + id, job).mStatus == 200 ? 1 : 0;
  }
  auto const path = "/qa/0000000000feed00";
  auto const until = NowMs() + kWatchMs;
  int asked = 0;
  int answered = 0;
  while (NowMs() < until) {
    ++asked;
    answered += world.Ask(asked % 3, "GET", path).mStatus == 200 ? 1 : 0;
    SleepMs(500);
  }
  isOver = true;
  platform.join();
  auto const text = std::to_string(accepted) +
                    " recurring jobs were accepted, fronts were killed " + std::to_string(kills) +
                    " times for their memory, " + std::to_string(answered) + " of " +
                    std::to_string(asked) + " questions were answered";
  return Conclude(aStage, kills > 3 ? verdict::broken : verdict::held, text);
}

struct named_case
{
  std::string_view mName;
  verdict (*mPlay)(stage&);
};

constexpr named_case kCases[] = { { "suspended-lease", &PlaySuspendedLease },
                                  { "memory", &PlayMemory } };

} // namespace

int main(int aCount, char** aArguments)
{
  if (aCount != 5) {
    std::cerr << "usage: lease-cases CASE PROGRAM FOLDER RECORD\n";
    return 2;
  }
  signal(SIGPIPE, SIG_IGN);
  try {
    recorder record{ aArguments[4] };
    run_journal journal{ record };
    auto const* const trouble = std::getenv("TROUBLE");
    stage playing{ .mRecorder = record,
                   .mJournal = journal,
                   .mOptions = { .mProgram = aArguments[2], .mFolder = aArguments[3] },
                   .mHasTrouble = trouble == nullptr || std::string_view{ trouble } != "0" };
    record.Write(std::string{ "case  " } + aArguments[1] +
                 (playing.mHasTrouble ? "" : " without the disruption"));
    for (auto const& known : kCases) {
      if (known.mName == aArguments[1]) {
        return static_cast<int>(known.mPlay(playing));
      }
    }
    std::cerr << "no such case\n";
  } catch (std::exception const& failure) {
    std::cerr << failure.what() << '\n';
  }
  return 2;
}
