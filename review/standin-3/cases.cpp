#include "cases.h"

#include "deployment.h"

namespace standin {

namespace {

int Verdict(deployment& aDeployment, bool aIsBroken, std::string const& aText)
{
  aDeployment.Record().Write(std::string{ aIsBroken ? "BROKEN: " : "held: " } + aText);
  std::printf("%s\n", aText.c_str());
  return aIsBroken ? 1 : 0;
}

std::string StateOf(deployment& aDeployment, int aFront, std::string const& aPath)
{
  auto const answer = aDeployment.Client(aFront, "GET", aPath);
  if (!answer || answer->mStatus != 200) {
    return answer ? std::to_string(answer->mStatus) : "none";
  }
  return json::parse(answer->mBody).value("state", std::string{});
}

/// The operator drops the route of a job that runs, the fronts are restarted in turn, the first run
/// of the task fails, and the operator brings the route back.
int DroppedRoute(std::string const& aFolder)
{
  std::string const path = "/batch/00000000000000a1";
  std::string const task = "00000000000000a1.0.0.0";
  deployment played{ { .mFolder = aFolder, .mScript = [](std::string const&, std::uint32_t aRun) {
                        return aRun == 1 ? outcome{ 25'000, "failed" } : outcome{ 2'000, "done" };
                      } } };
  played.PutConfiguration(deployment::Configuration(1, true));
  played.StartAll();
  played.Submit(path, Job(Step(1)));
  if (!deployment::Await(5000, [&] { return played.WorkerOf(task) != nullptr; })) {
    throw cannot_run{ "the task does not start" };
  }
  SleepMs(1000);
  played.PutConfiguration(deployment::Configuration(2, false));
  SleepMs(2500);
  if (HasTrouble()) {
    for (auto& front : played.Fronts()) {
      front->Signal(SIGTERM, "SIGTERM");
      front->AwaitEnd(6000);
      front->Start();
      SleepMs(1300);
    }
  }
  played.AwaitReady();
  if (!deployment::Await(30'000, [&] { return played.Ends(task, "failed") == 1; })) {
    throw cannot_run{ "the first run does not fail" };
  }
  SleepMs(4000);
  played.PutConfiguration(deployment::Configuration(3, true));
  SleepMs(3000);
  std::string state;
  auto const isOver = [&] {
    state = StateOf(played, 0, path);
    return state == "done" || state == "failed";
  };
  deployment::Await(15'000, isOver);
  auto const failures = played.Ends(task, "failed");
  auto const isBroken = state != "done" && failures < 3;
  return Verdict(played, isBroken,
                 "the job is shown as " + state + ", with " + std::to_string(failures) +
                   " of 3 runs ended failed, and runs begun " +
                   std::to_string(played.Begins(task)));
}

/// The only worker with the label of a job is cut off soon after each start, and runs on.
int CutWorker(std::string const& aFolder)
{
  constexpr int kCuts = 3;
  std::string const path = "/batch/00000000000000b1";
  std::string const task = "00000000000000b1.0.0.0";
  deployment played{ { .mFolder = aFolder,
                       .mScript =
                         [](std::string const&, std::uint32_t) {
                           return outcome{ 600'000, "done" };
                         },
                       .mLabels = {
                         { "large", "rack-1" }, { "a", "rack-2" }, { "a", "rack-3" } } } };
  played.PutConfiguration(deployment::Configuration(1, true));
  played.StartAll();
  auto step = Step(1);
  step["required_label"] = "large";
  step["long_running"] = true;
  played.Submit(path, Job(step));
  auto& only = *played.Workers()[0];
  for (int cut = 0; HasTrouble() && cut < kCuts; ++cut) {
    if (!deployment::Await(12'000, [&] { return played.WorkerOf(task) != nullptr; })) {
      break;
    }
    SleepMs(1000);
    only.SetCut(true);
    SleepMs(9000);
    only.SetCut(false);
  }
  // The worker stays reachable from here on.
  SleepMs(8000);
  auto const state = StateOf(played, 0, path);
  auto const isAtWork = played.WorkerOf(task) != nullptr;
  auto const failures = played.Ends(task, "failed");
  return Verdict(played, state == "failed" && failures == 0,
                 "the lasting job is shown as " + state + " and its task is " +
                   (isAtWork ? "at work" : "not at work") + "; " + std::to_string(failures) +
                   " runs ended failed, and no worker has crashed");
}

/// The only worker with the label of some jobs refuses starts for a while, as an unhealthy one
/// does.
int PendingJobs(std::string const& aFolder)
{
  constexpr int kJobs = 4;
  constexpr std::int64_t kFaultMs = 6400;
  // visible_ms and 2 s more.
  constexpr std::int64_t kCountedAfterMs = 5000;
  deployment played{ { .mFolder = aFolder,
                       .mScript =
                         [](std::string const&, std::uint32_t) {
                           return outcome{ 1500, "done" };
                         },
                       .mLabels = {
                         { "large", "rack-1" }, { "a", "rack-2" }, { "a", "rack-3" } } } };
  played.PutConfiguration(deployment::Configuration(1, true));
  played.StartAll();
  auto& only = *played.Workers()[0];
  if (HasTrouble()) {
    only.SetStartStatus(503);
  }
  auto const faultyUntil = NowMs() + kFaultMs;
  auto step = Step(1);
  step["required_label"] = "large";
  std::vector<std::string> tasks;
  for (int index = 1; index <= kJobs; ++index) {
    auto const id = "00000000000000c" + std::to_string(index);
    played.Submit("/batch/" + id, Job(step));
    tasks.push_back(id + ".0.0.0");
  }
  auto const acceptedAt = NowMs();
  SleepMs(acceptedAt + kCountedAfterMs + 100 - NowMs());
  int lowest = kJobs;
  int expected = 0;
  bool isBroken = false;
  while (NowMs() < faultyUntil - 200) {
    for (int front = 0; front < 3; ++front) {
      int waiting = 0;
      for (auto const& task : tasks) {
        waiting += played.Begins(task) == 0 ? 1 : 0;
      }
      auto const answer = played.Client(front, "GET", "/batch/");
      if (!answer || answer->mStatus != 200) {
        continue;
      }
      auto const pending = json::parse(answer->mBody).value("pending", -1);
      lowest = std::min(lowest, pending);
      expected = std::max(expected, waiting);
      isBroken = isBroken || 2 * pending < waiting;
    }
    SleepMs(200);
  }
  only.SetStartStatus(0);
  SleepMs(5000);
  std::size_t begun = 0;
  for (auto const& task : tasks) {
    begun += played.Begins(task) > 0 ? 1 : 0;
  }
  return Verdict(played, isBroken,
                 "lowest pending " + std::to_string(lowest) + " while up to " +
                   std::to_string(expected) + " accepted jobs had not begun; later " +
                   std::to_string(begun) + " began");
}

/// A worker whose `seq` is its clock is emptied and taken away.
int DrainingWorker(std::string const& aFolder)
{
  constexpr std::int64_t kDrainMs = 2000;
  deployment played{ { .mFolder = aFolder, .mScript = [](std::string const&, std::uint32_t) {
                        return outcome{ 1000, "done" };
                      } } };
  for (auto& each : played.Workers()) {
    each->SetSequenceStep(std::getenv("STEP") == nullptr ? 0 : 1);
  }
  played.PutConfiguration(deployment::Configuration(1, true));
  played.StartAll();
  auto& leaving = *played.Workers()[0];
  SleepMs(4000);
  if (HasTrouble()) {
    leaving.Drain();
  }
  auto const until = NowMs() + 12'000;
  int number = 0;
  while (NowMs() < until) {
    char id[17];
    std::snprintf(id, sizeof id, "00000000000d%04x", ++number);
    played.Submit("/batch/" + std::string{ id }, Job(Step(4, 2)));
    SleepMs(700);
  }
  auto const ackedAt = leaving.DrainAcknowledgedAt();
  std::size_t late = 0;
  for (auto const& begun : leaving.Begun()) {
    late += ackedAt != 0 && begun.mAt > ackedAt + kDrainMs ? 1 : 0;
  }
  return Verdict(played, late > 0,
                 std::to_string(late) + " runs began on the worker later than " +
                   std::to_string(kDrainMs) + " ms after its draining was acknowledged");
}

/// A worker leaves a start unanswered, and the step may run only once on each worker.
int OnePerWorker(std::string const& aFolder)
{
  std::string const job = "00000000000000e1";
  deployment played{ { .mFolder = aFolder, .mScript = [](std::string const&, std::uint32_t) {
                        return outcome{ 8000, "done" };
                      } } };
  played.PutConfiguration(deployment::Configuration(1, true));
  played.StartAll();
  auto& late = *played.Workers()[1];
  if (HasTrouble()) {
    late.SetLateStarts(8000);
  }
  auto step = Step(4);
  step["max_per_server"] = 1;
  played.Submit("/batch/" + job, Job(step));
  // The side makes three attempts; then it stops the run.
  deployment::Await(3000, [&] { return !HasTrouble() || late.Unanswered() >= 3; });
  late.SetLateStarts(0);
  std::size_t most = 0;
  auto const until = NowMs() + 25'000;
  while (NowMs() < until) {
    for (auto& each : played.Workers()) {
      most = std::max(most, each->Running().size());
    }
    SleepMs(20);
  }
  return Verdict(played, most > 1,
                 "up to " + std::to_string(most) + " tasks of the step at once on one worker");
}

/// The first step has many checkpointable tasks, and a second step follows it.
int LongCheckpoints(std::string const& aFolder)
{
  constexpr int kTasks = 100;
  std::string const job = "00000000000000b7";
  deployment
    played{ { .mFolder = aFolder, .mScript = [](std::string const& aTask, std::uint32_t) {
               return outcome{ aTask.find(".0.1.") == std::string::npos ? 4000 : 1000, "done" };
             } } };
  for (auto& each : played.Workers()) {
    each->SetCheckpointBytes(HasTrouble() ? 700 : 16);
  }
  played.PutConfiguration(deployment::Configuration(1, true));
  played.StartAll();
  auto first = Step(kTasks, 0);
  first["cpu"] = 1000;
  first["checkpointable"] = true;
  auto second = Step(1);
  second["after"] = json::array({ 0 });
  auto body = Job(first);
  body["steps"].push_back(second);
  played.Submit("/batch/" + job, body);
  auto const areDone = [&] {
    for (int index = 0; index < kTasks; ++index) {
      if (played.Ends(job + ".0.0." + std::to_string(index), "done") == 0) {
        return false;
      }
    }
    return true;
  };
  if (!deployment::Await(30'000, areDone)) {
    throw cannot_run{ "the first step does not end" };
  }
  played.Record().Write("all tasks of the first step have ended done");
  SleepMs(25'000);
  auto const isBegun = played.Begins(job + ".0.1.0") > 0;
  auto const state = StateOf(played, 0, "/batch/" + job);
  return Verdict(played, !isBegun && state != "done",
                 std::string{ "25 s after the end of the first step the second one has " } +
                   (isBegun ? "begun" : "not begun") + ", all workers are idle, and the job is " +
                   state);
}

/// A task crashes each worker that starts it, some seconds after the start.
int DeadlyTask(std::string const& aFolder)
{
  std::string const job = "00000000000000f1";
  std::string const task = job + ".0.0.0";
  deployment played{ { .mFolder = aFolder, .mScript = [](std::string const&, std::uint32_t) {
                        return outcome{ 20'000, "done" };
                      } } };
  played.PutConfiguration(deployment::Configuration(1, true));
  played.StartAll();
  played.Submit("/batch/" + job, Job(Step(1)));
  std::size_t crashes = 0;
  std::size_t startsAtThird = 0;
  auto const until = NowMs() + 80'000;
  auto const isOver = [&] {
    return startsAtThird != 0 && played.Begins(task) >= startsAtThird + 4;
  };
  while (HasTrouble() && NowMs() < until && !isOver()) {
    worker* running = nullptr;
    if (!deployment::Await(12'000, [&] { return (running = played.WorkerOf(task)) != nullptr; })) {
      break;
    }
    SleepMs(4500);
    running->Crash();
    if (++crashes == 3) {
      startsAtThird = played.Begins(task);
    }
    SleepMs(2500);
    running->Restart();
  }
  if (!HasTrouble()) {
    SleepMs(5000);
  }
  auto const starts = played.Begins(task);
  auto const more = crashes < 3 ? 0 : starts - startsAtThird;
  auto const state = StateOf(played, 0, "/batch/" + job);
  return Verdict(played, more > 3,
                 std::to_string(starts) + " starts, " + std::to_string(more) +
                   " of them after the third crash; the job is shown as " + state);
}

} // namespace

case_table const& Cases()
{
  static case_table const sCases{
    { "dropped-route", DroppedRoute },      { "cut-worker", CutWorker },
    { "pending-jobs", PendingJobs },        { "draining-worker", DrainingWorker },
    { "one-per-worker", OnePerWorker },     { "deadly-task", DeadlyTask },
    { "long-checkpoints", LongCheckpoints }
  };
  return sCases;
}

} // namespace standin
