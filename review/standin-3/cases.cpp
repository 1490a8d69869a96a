// Plays one case of the review: starts the project's processes with stand-ins for the platform, the
// executors and the clients, and judges one rule by what the stand-ins have seen.
//
// Usage: rattanpond-review-3 CASE PROGRAM FOLDER RECORD. Exit code: 1 if the rule was broken, 0 if
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

/// A task crashes each executor that starts it, 4.5 s after the start.
verdict PlayDeadlyTask(stage& aStage)
{
  constexpr std::size_t kCrashesBefore = 3;
  constexpr std::size_t kStartsAllowed = 2;
  std::string const job = "d1d1d1d1d1d1d1d1";
  deployment world{ aStage.mOptions, aStage.mRecorder, aStage.mJournal,
                    [&](std::string const& aTask, std::uint32_t) {
                      auto const isDeadly = aStage.mHasTrouble && aTask.starts_with(job);
                      return behavior{ .mWorkMs = 7000, .mCrashAfterMs = isDeadly ? 4500 : 0 };
                    } };
  if (!world.WaitUntilReady(kReadyMs)) {
    return Conclude(aStage, verdict::not_run, "the fronts were not ready");
  }
  auto const path = "/qa/" + job;
  if (world.Ask(0, "POST", path, Job({ Step(1, 7000) })).mStatus != 200) {
    return Conclude(aStage, verdict::not_run, "the job was not accepted");
  }
  auto const until = NowMs() + 90'000;
  while (NowMs() < until) {
    SleepMs(1000);
    if (!world.AreAllRunning()) {
      return Conclude(aStage, verdict::not_run, "a process of the system has ended");
    }
    std::size_t crashes = 0;
    std::size_t startsAfter = 0;
    for (auto const& event : aStage.mJournal.Of(job)) {
      crashes += event.mWhat == "crash" ? 1 : 0;
      startsAfter += event.mWhat == "start" && crashes >= kCrashesBefore ? 1 : 0;
    }
    if (startsAfter > kStartsAllowed) {
      auto const state = world.State(1, path);
      return Conclude(aStage, verdict::broken,
                      "BUDGET: after three executors had crashed under the task, it was started " +
                        std::to_string(startsAfter) + " times more; the job is shown as " + state);
    }
    auto const state = world.State(1, path);
    if (state == "done" || state == "failed") {
      return Conclude(aStage, verdict::held,
                      "the job is shown as " + state + " after " + std::to_string(crashes) +
                        " crashes");
    }
  }
  return Conclude(aStage, verdict::not_run, "too few crashes in the time of the case");
}

/// A client cancels a job whose acceptance got no answer from the store and is carried out later.
verdict PlayLateAcceptance(stage& aStage)
{
  constexpr std::int64_t kLateMs = 4000;
  constexpr std::int64_t kStableMs = 3000;
  constexpr std::int64_t kCancelMs = 3000;
  std::string const job = "c2c2c2c2c2c2c2c2";
  deployment world{ aStage.mOptions, aStage.mRecorder, aStage.mJournal,
                    [](std::string const&, std::uint32_t) { return behavior{ .mWorkMs = 5000 }; } };
  if (!world.WaitUntilReady(kReadyMs)) {
    return Conclude(aStage, verdict::not_run, "the fronts were not ready");
  }
  std::atomic<bool> isLost = false;
  std::atomic<std::int64_t> lostAt = 0;
  if (aStage.mHasTrouble) {
    world.Store().mOnCall = [&](std::string const& aNode, json const& aTransaction) {
      store::fate chosen;
      if (Writes(aTransaction, "job/" + job) && !isLost.exchange(true)) {
        lostAt = NowMs();
        chosen.mDelayMs = kLateMs;
        aStage.mRecorder.Write("store a write of " + aNode + " gets no answer, and is done " +
                               std::to_string(kLateMs) + " ms later");
      }
      return chosen;
    };
  }
  auto const path = "/qa/" + job;
  auto const submitted = world.Ask(
    0, "POST", path, Job({ Step(1, 5000), Step(1, 5000, { 0 }), Step(1, 5000, { 1 }) }), 1000);
  if (aStage.mHasTrouble != (submitted.mStatus == 504 || submitted.mStatus == 0)) {
    return Conclude(aStage, verdict::not_run, "the submission had another answer than expected");
  }
  auto const cancelled = world.Ask(1, "DELETE", path);
  auto const acknowledgedAt = NowMs();
  if (cancelled.mStatus != 410 && (cancelled.mStatus < 200 || cancelled.mStatus > 299)) {
    return Conclude(aStage, verdict::not_run, "the cancelling was not acknowledged");
  }
  SleepMs(22'000);
  // The machines are in touch once the store has been without a disruption for stable_ms; its last
  // one was the write that it did late.
  auto const stableFrom = lostAt == 0 ? 0 : lostAt + kLateMs + kStableMs;
  std::size_t late = 0;
  for (auto const& event : aStage.mJournal.Of(job)) {
    late += event.mWhat == "start" &&
                event.mAtMs > std::max<std::int64_t>(acknowledgedAt + kCancelMs, stableFrom)
              ? 1
              : 0;
  }
  auto const state = world.State(2, path);
  if (late > 0) {
    return Conclude(aStage, verdict::broken,
                    "UNASKED: the cancelling was acknowledged with " +
                      std::to_string(cancelled.mStatus) + ", and " + std::to_string(late) +
                      " tasks of the job were started over 3 s later, in steady state; it is "
                      "shown as " +
                      state);
  }
  return Conclude(aStage, verdict::held, "no task was started after the cancelling");
}

/// A front without the store passes a submission on; the first front's outcome stays unknown, the
/// second one refuses.
verdict PlayUntrueRefusal(stage& aStage)
{
  std::string const job = "e3e3e3e3e3e3e3e3";
  deployment world{ aStage.mOptions, aStage.mRecorder, aStage.mJournal,
                    [](std::string const&, std::uint32_t) { return behavior{ .mWorkMs = 3000 }; } };
  if (!world.WaitUntilReady(kReadyMs)) {
    return Conclude(aStage, verdict::not_run, "the fronts were not ready");
  }
  std::atomic<bool> isLost = false;
  std::thread revocation;
  world.Store().mOnCall = [&](std::string const& aNode, json const& aTransaction) {
    store::fate chosen;
    chosen.mIsTurnedAway = aStage.mHasTrouble && aNode == "front-1";
    if (!chosen.mIsTurnedAway && Writes(aTransaction, "job/" + job) && !isLost.exchange(true)) {
      chosen.mIsLost = aStage.mHasTrouble;
      if (chosen.mIsLost) {
        aStage.mRecorder.Write("store a write of " + aNode + " is done and gets no answer");
      }
      revocation = std::thread([&] {
        SleepMs(200);
        world.RevokeKey();
      });
    }
    return chosen;
  };
  if (aStage.mHasTrouble) {
    aStage.mRecorder.Write("store turns front-1 away from now on");
    SleepMs(1500);
  }
  auto const path = "/qa/" + job;
  auto const submitted = world.Ask(0, "POST", path, Job({ Step(1, 3000) }));
  SleepMs(6000);
  if (revocation.joinable()) {
    revocation.join();
  }
  auto const starts = aStage.mJournal.Count(job, "start");
  auto const isRejected = submitted.mStatus == 401 || submitted.mStatus == 404 ||
                          submitted.mStatus == 429 || submitted.mStatus == 503;
  if (isRejected && starts > 0) {
    return Conclude(aStage, verdict::broken,
                    "REFUSED: the only attempt to hand the job in was rejected with " +
                      std::to_string(submitted.mStatus) + ", and its task was started");
  }
  if (!aStage.mHasTrouble && (submitted.mStatus != 200 || starts == 0)) {
    return Conclude(aStage, verdict::not_run, "the job did not run without the disruption");
  }
  return Conclude(aStage, verdict::held,
                  "the answer was " + std::to_string(submitted.mStatus) +
                    ", starts: " + std::to_string(starts));
}

/// The queue of a running job is removed and added again; one of the job's runs fails meanwhile.
verdict PlayRemovedQueue(stage& aStage)
{
  std::string const job = "f4f4f4f4f4f4f4f4";
  constexpr std::uint32_t kMaximumAttempts = 3;
  deployment world{ aStage.mOptions, aStage.mRecorder, aStage.mJournal,
                    [](std::string const&, std::uint32_t aRun) {
                      return behavior{ .mWorkMs = 4000, .mEnd = aRun == 1 ? "failed" : "done" };
                    } };
  if (!world.WaitUntilReady(kReadyMs)) {
    return Conclude(aStage, verdict::not_run, "the fronts were not ready");
  }
  auto const path = "/qa/" + job;
  if (world.Ask(0, "POST", path, Job({ Step(1, 4000) })).mStatus != 200) {
    return Conclude(aStage, verdict::not_run, "the job was not accepted");
  }
  SleepMs(1000);
  if (aStage.mHasTrouble) {
    world.WriteConfiguration({ "qb" });
  }
  SleepMs(8000);
  if (aStage.mHasTrouble) {
    world.WriteConfiguration(world.mConfiguration);
  }
  SleepMs(8000);
  auto const state = world.State(1, path);
  auto const failures = aStage.mJournal.Count(job, "failed");
  if (state == "failed" && failures < kMaximumAttempts) {
    return Conclude(aStage, verdict::broken,
                    "LOST: the job is shown as failed after " + std::to_string(failures) +
                      " failed run of its task, with max_attempts 3");
  }
  if (state != "done") {
    return Conclude(aStage, verdict::not_run, "the job is shown as " + state);
  }
  return Conclude(aStage, verdict::held, "the job is shown as done");
}

/// Three machines lose power one after the other, each shortly before a task is ordered there.
verdict PlayLostMachines(stage& aStage)
{
  constexpr std::int64_t kDarkMs = 3500;
  constexpr std::int64_t kBetweenMs = 2500;
  std::string const job = "a1a1a1a1a1a1a1a1";
  aStage.mOptions.mSides = 11;
  aStage.mOptions.mKinds = { "b", "c" };
  deployment world{ aStage.mOptions, aStage.mRecorder, aStage.mJournal,
                    [&](std::string const& aTask, std::uint32_t) {
                      return behavior{ .mWorkMs = aTask.starts_with(job) ? 3000 : 9000 };
                    } };
  if (!world.WaitUntilReady(kReadyMs)) {
    return Conclude(aStage, verdict::not_run, "the fronts were not ready");
  }
  auto const path = "/qa/" + job;
  // Jobs that need all of the first machine, and of the second one, once it is back.
  auto const whole = [](std::string const& aKind) {
    auto step = Step(1, 500);
    step["gpu"] = 8;
    step["required_label"] = aKind;
    return Job({ step });
  };
  auto const begin = NowMs();
  auto const at = [&](std::int64_t aTime) { SleepMs(begin + aTime - NowMs()); };
  auto const power = [&](int aSide, bool aIsOn) {
    if (aStage.mHasTrouble) {
      aIsOn ? world.PowerOn(aSide) : world.PowerOff(aSide);
    }
  };
  bool isAccepted = true;
  auto const submit = [&](int aFront, std::string const& aId, json const& aJob) {
    isAccepted = world.Ask(aFront, "POST", "/qa/" + aId, aJob).mStatus == 200 && isAccepted;
  };
  power(0, false);
  at(200);
  submit(0, job, Job({ Step(1, 3000) }));
  at(700);
  submit(1, "a1a1a1a1a1a1a1b0", whole("b"));
  at(kBetweenMs);
  power(1, false);
  at(kDarkMs);
  power(0, true);
  at(kDarkMs + 800);
  submit(2, "a1a1a1a1a1a1a1c0", whole("c"));
  at(2 * kBetweenMs);
  power(2, false);
  at(kBetweenMs + kDarkMs);
  power(1, true);
  at(2 * kBetweenMs + kDarkMs);
  power(2, true);
  at(2 * kBetweenMs + kDarkMs + 9000);
  if (!isAccepted) {
    return Conclude(aStage, verdict::not_run, "a job was not accepted");
  }
  auto const state = world.State(1, path);
  std::set<std::string> lostUnder;
  for (auto const& event : aStage.mJournal.Of(job)) {
    if (event.mWhat == "power lost" || event.mWhat == "crash") {
      lostUnder.insert(event.mExecutor);
    }
  }
  auto const starts = aStage.mJournal.Count(job, "start");
  auto const failures = aStage.mJournal.Count(job, "failed");
  auto const text = "the job is shown as " + state + "; its task was started " +
                    std::to_string(starts) + " times, failed " + std::to_string(failures) +
                    " times, and " + std::to_string(lostUnder.size()) +
                    " executors were lost under it";
  if (state == "failed" && failures < 3 && lostUnder.size() < 2) {
    return Conclude(aStage, verdict::broken, "LOST: " + text);
  }
  if (!aStage.mHasTrouble && state != "done") {
    return Conclude(aStage, verdict::not_run, text);
  }
  return Conclude(aStage, verdict::held, text);
}

/// An executor refuses all starts for a while, so that the jobs that need it do not begin.
verdict PlayPendingCount(stage& aStage)
{
  constexpr std::int64_t kUnhealthyMs = 6500;
  constexpr std::int64_t kVisibleMs = 5000;
  constexpr std::size_t kJobs = 4;
  std::atomic<std::int64_t> unhealthyUntil = 0;
  aStage.mOptions.mSides = 11;
  aStage.mOptions.mKinds = { "b" };
  aStage.mOptions.mIsFirstUnhealthy = [&] { return NowMs() < unhealthyUntil; };
  deployment world{ aStage.mOptions, aStage.mRecorder, aStage.mJournal,
                    [](std::string const&, std::uint32_t) { return behavior{ .mWorkMs = 2000 }; } };
  if (!world.WaitUntilReady(kReadyMs)) {
    return Conclude(aStage, verdict::not_run, "the fronts were not ready");
  }
  if (aStage.mHasTrouble) {
    unhealthyUntil = NowMs() + kUnhealthyMs;
    aStage.mRecorder.Write("exec  x1 is unhealthy for 6.5 s");
  }
  auto step = Step(1, 2000);
  step["required_label"] = "b";
  for (std::size_t job = 0; job < kJobs; ++job) {
    auto const path = "/qa/b5b5b5b5b5b5b5b" + std::to_string(job);
    if (world.Ask(static_cast<int>(job % 3), "POST", path, Job({ step })).mStatus != 200) {
      return Conclude(aStage, verdict::not_run, "a job was not accepted");
    }
  }
  SleepMs(kVisibleMs + 300);
  std::string shown;
  bool isWrong = false;
  auto const begun = [&] { return aStage.mJournal.Count("b5b5b5b5b5b5b5b", "start"); };
  for (int front = 0; front < 3; ++front) {
    auto const answered = world.Ask(front, "GET", "/qa/");
    // Jobs that have begun by now had perhaps not begun when the call was handled.
    auto const waiting = kJobs - begun();
    auto const body = json::parse(answered.mBody, nullptr, false);
    if (answered.mStatus != 200 || !body.is_object()) {
      return Conclude(aStage, verdict::not_run, "a front gave no count");
    }
    auto const pending = body.value("pending", std::size_t{ 0 });
    shown += (shown.empty() ? "" : ", ") + std::to_string(pending);
    isWrong = isWrong || 2 * pending < waiting;
  }
  auto const waiting = kJobs - begun();
  if (isWrong) {
    return Conclude(aStage, verdict::broken,
                    "MIXED: " + std::to_string(waiting) +
                      " jobs, accepted over 5 s before, have not begun; pending is given as " +
                      shown);
  }
  return Conclude(aStage, verdict::held,
                  std::to_string(waiting) + " jobs have not begun; pending is given as " + shown);
}

struct named_case
{
  std::string_view mName;
  verdict (*mPlay)(stage&);
};

constexpr named_case kCases[] = {
  { "deadly-task", &PlayDeadlyTask },       { "late-acceptance", &PlayLateAcceptance },
  { "untrue-refusal", &PlayUntrueRefusal }, { "removed-queue", &PlayRemovedQueue },
  { "pending-count", &PlayPendingCount },   { "lost-machines", &PlayLostMachines }
};

} // namespace

int main(int aCount, char** aArguments)
{
  if (aCount != 5) {
    std::cerr << "usage: rattanpond-review-3 CASE PROGRAM FOLDER RECORD\n";
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
