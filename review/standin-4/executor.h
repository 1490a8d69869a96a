#pragma once

#include "store.h"

#include <limits>
#include <set>

namespace review {

/// One run of a task as an executor has seen it.
struct seen_run
{
  std::string mTask;
  std::uint32_t mRun = 0;
  std::string mExecutor;
  std::int64_t mFrom = 0;
  /// 0 while it runs.
  std::int64_t mTo = 0;
  std::string mEnd;
};

/// What clients have handed in, for the executors: needs and work of tasks, members of gangs. Also
/// the record of all runs.
class world
{
public:
  struct step
  {
    std::int64_t mCpu = 0;
    std::int64_t mMemory = 0;
    std::int64_t mGpu = 0;
    std::int64_t mWorkMs = 1000;
    bool mLasts = false;
    bool mFills = false;
    std::size_t mGang = 0;
  };

  struct gang_run
  {
    std::set<std::string> mPresent;
    std::int64_t mBeganAt = 0;
    std::string mEnd;
  };

  /// aBody: the body of the submission; aWorkMs: the work of each task.
  void Register(std::string const& aJob, json const& aBody, std::int64_t aWorkMs)
  {
    std::lock_guard const lock{ mMutex };
    std::size_t number = 0;
    for (auto const& entry : aBody.at("steps")) {
      mSteps[aJob + "." + std::to_string(number++)] = {
        .mCpu = entry.value("cpu", std::int64_t{ 0 }),
        .mMemory = entry.value("mem_mb", std::int64_t{ 0 }),
        .mGpu = entry.value("gpu", std::int64_t{ 0 }),
        .mWorkMs = aWorkMs,
        .mLasts = entry.value("long_running", false),
        .mFills = entry.value("fills", false),
        .mGang = entry.value("gang", false) ? entry.value("count", std::size_t{ 1 }) : 0
      };
    }
  }

  /// Nothing for a task that nobody has handed in.
  std::optional<step> StepOf(std::string const& aTask)
  {
    std::lock_guard const lock{ mMutex };
    auto const first = aTask.find('.');
    auto const second = aTask.find('.', first + 1);
    auto const third = aTask.find('.', second + 1);
    auto const found = mSteps.find(aTask.substr(0, first) + aTask.substr(second, third - second));
    return found == mSteps.end() ? std::nullopt : std::optional{ found->second };
  }

  gang_run Join(std::string const& aTask, std::uint32_t aRun, std::size_t aSize)
  {
    std::lock_guard const lock{ mMutex };
    auto& gang = mGangs[GangOf(aTask, aRun)];
    gang.mPresent.insert(aTask);
    if (gang.mPresent.size() == aSize && gang.mBeganAt == 0) {
      gang.mBeganAt = NowMs();
    }
    return gang;
  }

  gang_run Gang(std::string const& aTask, std::uint32_t aRun)
  {
    std::lock_guard const lock{ mMutex };
    return mGangs[GangOf(aTask, aRun)];
  }

  void EndGang(std::string const& aTask, std::uint32_t aRun, std::string const& aEnd)
  {
    std::lock_guard const lock{ mMutex };
    auto& gang = mGangs[GangOf(aTask, aRun)];
    if (gang.mEnd.empty()) {
      gang.mEnd = aEnd;
    }
  }

  void Started(std::string const& aTask, std::uint32_t aRun, std::string const& aExecutor)
  {
    std::lock_guard const lock{ mMutex };
    mRuns.push_back({ aTask, aRun, aExecutor, NowMs(), 0, "" });
    if (mIsVerbose) {
      Record("run begins: " + aTask + " run " + std::to_string(aRun) + " on " + aExecutor);
    }
  }

  void Ended(std::string const& aTask, std::uint32_t aRun, std::string const& aExecutor,
             std::string const& aEnd)
  {
    std::lock_guard const lock{ mMutex };
    for (auto& run : mRuns) {
      if (run.mTask == aTask && run.mRun == aRun && run.mExecutor == aExecutor && run.mTo == 0) {
        run.mTo = NowMs();
        run.mEnd = aEnd;
      }
    }
    if (mIsVerbose) {
      Record("run ends: " + aTask + " run " + std::to_string(aRun) + " on " + aExecutor + ": " +
             aEnd);
    }
  }

  std::vector<seen_run> Runs()
  {
    std::lock_guard const lock{ mMutex };
    return mRuns;
  }

  std::vector<seen_run> RunsOf(std::string const& aJob)
  {
    auto runs = Runs();
    std::erase_if(runs, [&](seen_run const& aRun) { return !aRun.mTask.starts_with(aJob); });
    return runs;
  }

  /// The service for advice: allows all executors, and issues a ticket for each.
  std::string IssueTicket(std::string const& aStep, std::string const& aExecutor)
  {
    std::lock_guard const lock{ mMutex };
    auto ticket = "t-" + std::to_string(++mLastTicket);
    mTickets[ticket] = { aStep, aExecutor, NowMs() + kTicketMs };
    return ticket;
  }

  /// Whether a start on an executor may go on: its queue asks for no advice, or it has a ticket.
  bool IsTicketValid(std::string const& aTask, std::string const& aExecutor,
                     std::string const& aTicket)
  {
    std::lock_guard const lock{ mMutex };
    auto const found = mTickets.find(aTicket);
    return !mIsAdvised ||
           (found != mTickets.end() && found->second.mStep == aTask.substr(0, aTask.rfind('.')) &&
            found->second.mExecutor == aExecutor && NowMs() < found->second.mUntil);
  }

  static constexpr std::int64_t kTicketMs = 3000;
  bool mIsAdvised = false;
  bool mIsVerbose = true;

private:
  static std::string GangOf(std::string const& aTask, std::uint32_t aRun)
  {
    return aTask.substr(0, aTask.rfind('.')) + "/" + std::to_string(aRun);
  }

  struct ticket
  {
    std::string mStep;
    std::string mExecutor;
    std::int64_t mUntil = 0;
  };

  std::mutex mMutex;
  std::int64_t mLastTicket = 0;
  std::map<std::string, ticket> mTickets;
  std::map<std::string, step> mSteps;
  std::map<std::string, gang_run> mGangs;
  std::vector<seen_run> mRuns;
};

/// An executor beside a side, as PROTOCOL.md describes it.
class executor
{
public:
  struct options
  {
    std::string mIp;
    std::string mId;
    std::string mService = "svc";
    std::string mZone;
    std::vector<std::string> mLabels;
    std::int64_t mCpu = 64000;
    std::int64_t mMemory = 262144;
    std::int64_t mGpu = 8;
    std::int64_t mHoldMaxMs = 10000;
    std::int64_t mGangTimeoutMs = 3000;
    /// Time from a start to the first heartbeat, as on the users' bench.
    std::int64_t mFirstBeatMs = 1400;
    /// Time from a crash to the next incarnation.
    std::int64_t mDownMs = 2000;
  };

  /// So many start calls get no answer from now on, and are carried out after mLateMs.
  std::atomic<int> mLateStarts = 0;
  std::atomic<std::int64_t> mLateMs = 2000;

  executor(options aOptions, world& aWorld)
    : mOptions{ std::move(aOptions) }
    , mWorld{ aWorld }
    , mServer{ mOptions.mIp, [this](request const& aRequest) { return Handle(aRequest); } }
  {
    std::thread{ [this] { Work(); } }.detach();
  }

  address const& Address() const { return mServer.Address(); }
  std::string Id()
  {
    std::lock_guard const lock{ mMutex };
    return mId;
  }
  /// Times at which it has crashed.
  std::atomic<std::size_t> mCrashes = 0;

  /// Its machine has lost its power, and does not come back.
  void LoseForGood()
  {
    std::lock_guard const lock{ mMutex };
    Crash();
    mDownUntil = std::numeric_limits<std::int64_t>::max();
  }

  /// Crashes now; it starts again under its id after mOptions.mDownMs.
  void CrashAndKeepId()
  {
    std::lock_guard const lock{ mMutex };
    mKeepsId = true;
    Crash();
  }

  /// Sends heartbeats to the control address of its side from now on, the first one some time
  /// after each start.
  void Register(address const& aControl)
  {
    std::thread{
      [this, aControl] {
        while (true) {
          if (IsDown() || IsYoung()) {
            SleepMs(20);
            continue;
          }
          auto const body = Heartbeat();
          auto const answer = Call(
            aControl, "PUT", "/api/instances/" + Id(),
            { { "Host", aControl.Text() }, { "Content-Type", "application/json" } }, body, 1000);
          SleepMs(answer.mStatus == 200 ? 1500 : 300);
        }
      }
    }.detach();
  }

private:
  /// Marks a call that is carried out late.
  static constexpr char const* kIsLate = "x-late";

  struct run
  {
    std::uint32_t mRun = 0;
    std::int64_t mFrom = 0;
    world::step mStep;
    std::int64_t mStopsAt = 0;
  };

  struct end
  {
    std::int64_t mNumber = 0;
    std::string mTask;
    std::uint32_t mRun = 0;
    std::string mHow;
  };

  bool IsYoung()
  {
    std::lock_guard const lock{ mMutex };
    return NowMs() - mBornAt < mOptions.mFirstBeatMs;
  }

  bool IsDown()
  {
    std::lock_guard const lock{ mMutex };
    return mDownUntil != 0;
  }

  /// Everything that runs ends; another incarnation comes after mOptions.mDownMs.
  void Crash()
  {
    Record("executor " + mId + " crashes");
    ++mCrashes;
    for (auto const& [task, run] : mRuns) {
      mWorld.Ended(task, run.mRun, mId, "crashed");
      if (run.mStep.mGang > 0) {
        mWorld.EndGang(task, run.mRun, "crashed");
      }
      Use(run.mStep, -1);
    }
    mRuns.clear();
    mEnds.clear();
    mHighest.clear();
    mLastEnd = 0;
    mFence = 0;
    mDeadline = 0;
    mBeats = 0;
    mDownUntil = NowMs() + mOptions.mDownMs;
    mHasEnd.notify_all();
  }

  void Return()
  {
    mDownUntil = 0;
    mBornAt = NowMs();
    mBorn = UnixMs();
    if (!mKeepsId) {
      mId = mOptions.mId + "-" + std::to_string(mCrashes);
    }
    Record("executor " + mId + " starts");
  }

  static std::int64_t UnixMs()
  {
    return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
  }

  std::int64_t Clock() const { return 1000 + NowMs() - mBornAt; }

  std::string Heartbeat()
  {
    std::lock_guard const lock{ mMutex };
    return json{
      { "service", mOptions.mService },
      { "address", Address().Text() },
      { "zone", mOptions.mZone },
      { "version", "v1" },
      { "slots", 8 },
      { "state", "ready" },
      { "cold_left_ms", 0 },
      { "capacity",
        { { "cpu", mOptions.mCpu }, { "mem_mb", mOptions.mMemory }, { "gpu", mOptions.mGpu } } },
      { "labels", mOptions.mLabels },
      { "clock_ms", Clock() },
      { "seq", ++mBeats },
      { "born", mBorn }
    }.dump();
  }

  response Answer(int aStatus, std::string const& aReason = {}) const
  {
    json body{ { "clock_ms", Clock() }, { "born", mBorn } };
    if (!aReason.empty()) {
      body["reason"] = aReason;
    }
    return { aStatus, body.dump() };
  }

  std::optional<response> Handle(request const& aRequest)
  {
    auto const body = json::parse(aRequest.mBody);
    auto const isStart = aRequest.mTarget == "/api/run-start";
    if (isStart && !aRequest.mHeaders.contains(kIsLate) && mLateStarts > 0) {
      --mLateStarts;
      Record("start without an answer, carried out " + std::to_string(mLateMs) + " ms later: " +
             body.at("task").get<std::string>() + " run " + body.at("run").dump() + " on " + Id());
      std::thread{
        [this, late = aRequest]() mutable {
          late.mHeaders[kIsLate] = "";
          SleepMs(mLateMs);
          auto const outcome = Handle(late);
          Record("late start carried out: status " +
                 std::to_string(outcome ? outcome->mStatus : 0) + " " +
                 (outcome ? outcome->mBody : ""));
        }
      }.detach();
      // The caller gives up before.
      SleepMs(2000);
      return std::nullopt;
    }
    std::unique_lock lock{ mMutex };
    if (mDownUntil != 0) {
      return std::nullopt;
    }
    auto const expected = aRequest.mHeaders.find("x-expect-instance");
    if (expected != aRequest.mHeaders.end() && expected->second != mId) {
      return Answer(421);
    }
    auto const fence = body.value("fence", std::uint64_t{ 0 });
    if (fence < mFence) {
      return Answer(409, "fence");
    }
    mFence = fence;
    if (isStart) {
      return Start(body);
    }
    if (aRequest.mTarget == "/api/run-stop") {
      return Stop(body);
    }
    if (aRequest.mTarget == "/api/hold") {
      return Hold(body, lock);
    }
    return Answer(aRequest.mTarget == "/api/pace" ? 200 : 404);
  }

  void Extend(std::int64_t aDeadline)
  {
    mDeadline = std::max(mDeadline, std::min(aDeadline, Clock() + mOptions.mHoldMaxMs));
  }

  response Start(json const& aBody)
  {
    auto const deadline = aBody.at("deadline_ms").get<std::int64_t>();
    if (deadline <= Clock()) {
      return Answer(409, "late");
    }
    Extend(deadline);
    auto const task = aBody.at("task").get<std::string>();
    auto const number = aBody.at("run").get<std::uint32_t>();
    if (auto const present = mRuns.find(task); present != mRuns.end()) {
      return present->second.mRun == number ? Answer(200) : Answer(409, "old");
    }
    if (number <= mHighest[task]) {
      return Answer(409, "old");
    }
    if (!mWorld.IsTicketValid(task, mId, aBody.value("ticket", std::string{}))) {
      return Answer(409, "ticket");
    }
    auto const step = mWorld.StepOf(task);
    if (!step) {
      Record("start of a task that nobody sent: " + task);
      return Answer(400);
    }
    auto const cpu = step->mFills ? 0 : step->mCpu;
    if (mUsedCpu + cpu > mOptions.mCpu || mUsedMemory + step->mMemory > mOptions.mMemory ||
        mUsedGpu + step->mGpu > mOptions.mGpu) {
      return Answer(409, "room");
    }
    Use(*step, 1);
    mRuns[task] = { .mRun = number, .mFrom = NowMs(), .mStep = *step };
    mWorld.Started(task, number, mId);
    if (step->mGang > 0) {
      mWorld.Join(task, number, step->mGang);
    }
    return Answer(200);
  }

  response Stop(json const& aBody)
  {
    auto const task = aBody.at("task").get<std::string>();
    auto const number = aBody.at("run").get<std::uint32_t>();
    mHighest[task] = std::max(mHighest[task], number);
    if (auto const present = mRuns.find(task);
        present != mRuns.end() && present->second.mRun == number && present->second.mStopsAt == 0) {
      present->second.mStopsAt = NowMs() + 50;
    }
    return Answer(200);
  }

  std::optional<response> Hold(json const& aBody, std::unique_lock<std::mutex>& aLock)
  {
    Extend(aBody.value("deadline_ms", std::int64_t{ 0 }));
    auto const acknowledged = aBody.value("ack_cursor", std::int64_t{ 0 });
    std::erase_if(mEnds, [&](end const& aEnd) { return aEnd.mNumber <= acknowledged; });
    auto const until = steady::now() + milliseconds{ aBody.value("wait_ms", std::int64_t{ 0 }) };
    auto const born = mBorn;
    while (mEnds.empty() && steady::now() < until && mDownUntil == 0) {
      mHasEnd.wait_until(aLock, until);
    }
    if (mDownUntil != 0 || born != mBorn) {
      return std::nullopt;
    }
    auto running = json::array();
    for (auto const& [task, run] : mRuns) {
      auto const worked = NowMs() - run.mFrom;
      auto const percent =
        run.mStep.mLasts ? 100 : std::min<std::int64_t>(99, 100 * worked / run.mStep.mWorkMs);
      running.push_back({ task, run.mRun, "", percent, run.mStep.mCpu });
    }
    auto finished = json::array();
    for (std::size_t index = 0; index < std::min<std::size_t>(500, mEnds.size()); ++index) {
      auto const& end = mEnds[index];
      finished.push_back({ end.mNumber, end.mTask, end.mRun, end.mHow, "" });
    }
    return response{ 200, json{ { "clock_ms", Clock() },
                                { "born", mBorn },
                                { "running", running },
                                { "finished", finished } }
                            .dump() };
  }

  void Use(world::step const& aStep, std::int64_t aSign)
  {
    mUsedCpu += aStep.mFills ? 0 : aSign * aStep.mCpu;
    mUsedMemory += aSign * aStep.mMemory;
    mUsedGpu += aSign * aStep.mGpu;
  }

  /// How a run ends now; empty if it goes on.
  std::string EndOf(std::string const& aTask, run const& aRun)
  {
    auto const now = NowMs();
    if (Clock() > mDeadline) {
      return "lapsed";
    }
    if (aRun.mStopsAt != 0) {
      return now >= aRun.mStopsAt ? "stopped" : "";
    }
    auto from = aRun.mFrom;
    if (aRun.mStep.mGang > 0) {
      auto const gang = mWorld.Gang(aTask, aRun.mRun);
      if (!gang.mEnd.empty()) {
        return gang.mEnd == "done" ? "done" : "broken";
      }
      from = gang.mBeganAt;
      if (from == 0) {
        return now - aRun.mFrom > mOptions.mGangTimeoutMs ? "alone" : "";
      }
    }
    return !aRun.mStep.mLasts && now - from >= aRun.mStep.mWorkMs ? "done" : "";
  }

  void Work()
  {
    while (true) {
      SleepMs(5);
      std::lock_guard const lock{ mMutex };
      if (mDownUntil != 0 && NowMs() >= mDownUntil) {
        Return();
      }
      for (auto entry = mRuns.begin(); entry != mRuns.end();) {
        auto const& [task, run] = *entry;
        auto const how = EndOf(task, run);
        if (how.empty()) {
          ++entry;
          continue;
        }
        if (run.mStep.mGang > 0) {
          mWorld.EndGang(task, run.mRun, how);
        }
        mHighest[task] = std::max(mHighest[task], run.mRun);
        mEnds.push_back({ ++mLastEnd, task, run.mRun, how });
        mWorld.Ended(task, run.mRun, mId, how);
        Use(run.mStep, -1);
        entry = mRuns.erase(entry);
        mHasEnd.notify_all();
      }
    }
  }

  options mOptions;
  world& mWorld;
  std::mutex mMutex;
  std::condition_variable mHasEnd;
  std::string mId = mOptions.mId;
  bool mKeepsId = false;
  std::int64_t mDownUntil = 0;
  std::int64_t mBornAt = NowMs();
  std::int64_t mBorn = UnixMs();
  std::int64_t mBeats = 0;
  std::uint64_t mFence = 0;
  std::int64_t mDeadline = 0;
  std::map<std::string, run> mRuns;
  std::map<std::string, std::uint32_t> mHighest;
  std::vector<end> mEnds;
  std::int64_t mLastEnd = 0;
  std::int64_t mUsedCpu = 0;
  std::int64_t mUsedMemory = 0;
  std::int64_t mUsedGpu = 0;
  server mServer;
};

} // namespace review
