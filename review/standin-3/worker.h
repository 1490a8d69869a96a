#pragma once

#include "record.h"
#include "store.h"

#include <algorithm>
#include <set>
#include <vector>

namespace standin {

/// How a run ends, and after which time at work.
struct outcome
{
  std::int64_t mWorkMs = 1000;
  std::string mHow = "done";
};

/// An executor: takes orders only from the side on its machine, keeps runs under a lease on its own
/// steady clock, and sends heartbeats to its side.
class worker
{
public:
  /// Decides about a run when it begins.
  using script = std::function<outcome(std::string const& aTask, std::uint32_t aRun)>;

  struct options
  {
    std::string mName;
    std::string mId;
    std::string mService;
    std::string mZone;
    std::vector<std::string> mLabels;
    address mOwn;
    address mSide;
    record& mRecord;
    script mScript;
    std::int64_t mAccelerators = 8;
    std::int64_t mHeartbeatMs = 1500;
    std::int64_t mMaximumLeaseMs = 10'000;
    std::int64_t mStopMs = 50;
    std::int64_t mCheckpointMs = 500;
    /// Time from a restart to the first heartbeat after it.
    std::int64_t mFirstBeatMs = 1000;
  };

  explicit worker(options aOptions)
    : mOptions{ std::move(aOptions) }
    , mServer{ mOptions.mOwn, [this](request const& aCall) { return Handle(aCall); } }
  {
  }

  bool Start()
  {
    Begin();
    std::thread{ [this] { Tick(); } }.detach();
    std::thread{ [this] { Beat(); } }.detach();
    return mServer.Start();
  }

  /// Cuts the executor off from all machines, its side included. What runs goes on.
  void SetCut(bool aIsCut)
  {
    mIsCut = aIsCut;
    mOptions.mRecord.Write(mOptions.mName + (aIsCut ? " is cut off" : " is reachable again"));
  }

  /// The process of the executor ends: all runs and all that it knew are gone.
  void Crash()
  {
    std::lock_guard const lock{ mMutex };
    mIsDown = true;
    mRuns.clear();
    mOptions.mRecord.Write(mOptions.mName + " crashes");
  }

  /// It is back under the same identifier.
  void Restart()
  {
    Begin();
    mNextBeatAt = NowMs() + mOptions.mFirstBeatMs;
    mIsDown = false;
    mOptions.mRecord.Write(mOptions.mName + " is back, born " + std::to_string(mBorn));
  }

  /// The next aCount starts, and all stops from now on if aWithStops is set, get no answer and are
  /// carried out aLateMs later, by whatever incarnation is there then under the same identifier.
  void SetLate(std::int64_t aLateMs, int aCount, bool aWithStops = false)
  {
    mLateMs = aLateMs;
    mLateStarts = aCount;
    mHasLateStops = aWithStops;
  }

  /// Starts that were left without an answer.
  std::size_t Unanswered() const { return mUnanswered; }

  /// Length of the checkpoints of runs that have worked for checkpoint_interval_s.
  void SetCheckpointBytes(std::size_t aBytes) { mCheckpointBytes = aBytes; }

  struct begun
  {
    std::string mTask;
    std::uint32_t mRun = 0;
    std::int64_t mAt = 0;
  };

  struct ended
  {
    std::string mTask;
    std::uint32_t mRun = 0;
    std::string mHow;
    std::int64_t mAt = 0;
    std::int64_t mNumber = 0;
    std::string mCheckpoint;
    /// Whether ack_cursor has reached it.
    bool mIsNoted = false;
  };

  std::vector<begun> Begun() const
  {
    std::lock_guard const lock{ mMutex };
    return mBegun;
  }

  std::vector<ended> Ended() const
  {
    std::lock_guard const lock{ mMutex };
    return mAllEnds;
  }

  /// Tasks at work now: task and run.
  std::set<std::pair<std::string, std::uint32_t>> Running() const
  {
    std::lock_guard const lock{ mMutex };
    std::set<std::pair<std::string, std::uint32_t>> running;
    for (auto const& [task, run] : mRuns) {
      running.insert({ task, run.mRun });
    }
    return running;
  }

  std::string const& Name() const { return mOptions.mName; }

private:
  struct run
  {
    std::uint32_t mRun = 0;
    std::int64_t mStartedAt = 0;
    std::int64_t mStopAt = 0;
    outcome mOutcome;
  };

  void Begin()
  {
    std::lock_guard const lock{ mMutex };
    mBorn = UnixMs();
    mClockZero = NowMs() - 1000;
    mFence = 0;
    mLease = 0;
    mSequence = 0;
    mNumber = 0;
    mRuns.clear();
    mFinished.clear();
    mHighestEnded.clear();
  }

  std::int64_t Clock() const { return NowMs() - mClockZero; }

  /// A token of the task and of the time at work, filled up with digits.
  std::string Checkpoint(std::string const& aTask, run const& aRun) const
  {
    auto const saved = (NowMs() - aRun.mStartedAt) / mOptions.mCheckpointMs;
    if (mCheckpointBytes == 0 || saved == 0) {
      return {};
    }
    auto text = aTask + "@" + std::to_string(saved) + "/";
    text.resize(std::max(text.size(), mCheckpointBytes.load()), '7');
    return text;
  }

  void End(std::string const& aTask, run const& aRun, std::string const& aHow)
  {
    mHighestEnded[aTask] = std::max(mHighestEnded[aTask], aRun.mRun);
    mFinished.push_back({ aTask, aRun.mRun, aHow, NowMs(), ++mNumber, Checkpoint(aTask, aRun) });
    mAllEnds.push_back(mFinished.back());
    mOptions.mRecord.Write(mOptions.mName + " run ends task=" + aTask +
                           " run=" + std::to_string(aRun.mRun) + " how=" + aHow);
    mChanged.notify_all();
  }

  void Tick()
  {
    while (true) {
      SleepMs(5);
      std::lock_guard const lock{ mMutex };
      if (mIsDown) {
        continue;
      }
      auto const now = NowMs();
      for (auto found = mRuns.begin(); found != mRuns.end();) {
        auto const& [task, run] = *found;
        std::string how;
        if (Clock() > mLease) {
          how = "lapsed";
        } else if (run.mStopAt != 0 && now >= run.mStopAt) {
          how = "stopped";
        } else if (now - run.mStartedAt >= run.mOutcome.mWorkMs) {
          how = run.mOutcome.mHow;
        }
        if (how.empty()) {
          ++found;
          continue;
        }
        End(task, run, how);
        found = mRuns.erase(found);
      }
    }
  }

  void Beat()
  {
    std::int64_t sentAt = 0;
    while (true) {
      SleepMs(10);
      if (mIsDown || mIsCut || NowMs() < mNextBeatAt ||
          (NowMs() - sentAt < mOptions.mHeartbeatMs)) {
        continue;
      }
      sentAt = NowMs();
      json body;
      {
        std::lock_guard const lock{ mMutex };
        ++mSequence;
        body = { { "service", mOptions.mService },
                 { "address", mOptions.mOwn.Text() },
                 { "zone", mOptions.mZone },
                 { "version", "v1" },
                 { "slots", 8 },
                 { "state", "ready" },
                 { "cold_left_ms", 0 },
                 { "capacity",
                   { { "cpu", 128000 }, { "mem_mb", 262144 }, { "gpu", mOptions.mAccelerators } } },
                 { "labels", mOptions.mLabels },
                 { "clock_ms", Clock() },
                 { "born", mBorn },
                 { "seq", mSequence } };
      }
      auto const answer = Call(mOptions.mSide,
                               { .mMethod = "PUT",
                                 .mTarget = "/api/instances/" + mOptions.mId,
                                 .mHeaders = { { "Content-Type", "application/json" } },
                                 .mBody = body.dump() },
                               1000);
      auto const status = answer ? answer->mStatus : 0;
      if (status != 200) {
        mOptions.mRecord.Write(mOptions.mName + " heartbeat seq=" + std::to_string(mSequence) +
                               " answer=" + std::to_string(status));
      }
    }
  }

  response Answer(int aStatus, json aBody) const
  {
    aBody["clock_ms"] = Clock();
    aBody["born"] = mBorn;
    return { .mStatus = aStatus, .mBody = aBody.dump() };
  }

  response Refuse(std::string const& aReason) const
  {
    return Answer(409, { { "reason", aReason } });
  }

  std::optional<response> Handle(request const& aCall)
  {
    if (mIsCut) {
      // No packet arrives while it is cut off. The caller has given up by the time it is back.
      while (mIsCut) {
        SleepMs(20);
      }
      return std::nullopt;
    }
    if (mIsDown) {
      return std::nullopt;
    }
    if (aCall.mTarget == "/health") {
      return response{ .mStatus = 200, .mBody = "{}" };
    }
    if (aCall.mTarget == "/api/hold") {
      return Hold(aCall);
    }
    auto const expected = aCall.Header("x-expect-instance");
    if (!expected.empty() && expected != mOptions.mId) {
      return response{ .mStatus = 421, .mBody = "{}" };
    }
    auto const body = json::parse(aCall.mBody);
    if (aCall.mTarget == "/api/run-start") {
      if (mLateStarts > 0) {
        --mLateStarts;
        ++mUnanswered;
        return CarryOutLate("start", body);
      }
      return StartRun(body);
    }
    if (aCall.mTarget == "/api/run-stop") {
      if (mHasLateStops) {
        return CarryOutLate("stop", body);
      }
      return StopRun(body);
    }
    std::lock_guard const lock{ mMutex };
    return Answer(200, json::object());
  }

  std::optional<response> CarryOutLate(std::string const& aWhat, json const& aBody)
  {
    auto const name = aWhat + " task=" + aBody.at("task").get<std::string>() +
                      " run=" + std::to_string(aBody.at("run").get<std::uint32_t>());
    mOptions.mRecord.Write(mOptions.mName + " leaves unanswered: " + name);
    std::thread{
      [this, aWhat, name, aBody, late = mLateMs.load()] {
        SleepMs(late);
        if (mIsDown || mIsCut) {
          return;
        }
        mOptions.mRecord.Write(mOptions.mName + " carries out, " + std::to_string(late) +
                               " ms late: " + name);
        auto const answer = aWhat == "start" ? StartRun(aBody) : StopRun(aBody);
        mOptions.mRecord.Write(mOptions.mName + " did so: " + std::to_string(answer.mStatus) + " " +
                               answer.mBody);
      }
    }.detach();
    // The caller gives up before.
    SleepMs(2000);
    return std::nullopt;
  }

  bool IsOlderFence(json const& aBody)
  {
    auto const fence = aBody.value("fence", std::int64_t{ 0 });
    if (fence < mFence) {
      return true;
    }
    mFence = fence;
    return false;
  }

  void Extend(json const& aBody)
  {
    auto const wanted = aBody.value("deadline_ms", std::int64_t{ 0 });
    mLease = std::max(mLease, std::min(wanted, Clock() + mOptions.mMaximumLeaseMs));
  }

  response StartRun(json const& aBody)
  {
    auto const task = aBody.at("task").get<std::string>();
    auto const number = aBody.at("run").get<std::uint32_t>();
    std::lock_guard const lock{ mMutex };
    if (IsOlderFence(aBody)) {
      return Refuse("fence");
    }
    if (aBody.value("deadline_ms", std::int64_t{ 0 }) <= Clock()) {
      return Refuse("late");
    }
    Extend(aBody);
    auto const found = mRuns.find(task);
    if (found != mRuns.end() && found->second.mRun == number) {
      return Answer(200, json::object());
    }
    if (found != mRuns.end() || number <= mHighestEnded[task]) {
      return Refuse("old");
    }
    mRuns[task] = { .mRun = number,
                    .mStartedAt = NowMs(),
                    .mOutcome = mOptions.mScript(task, number) };
    mBegun.push_back({ task, number, NowMs() });
    mOptions.mRecord.Write(mOptions.mName + " run begins task=" + task + " run=" +
                           std::to_string(number) + " spec=" + aBody.value("spec", std::string{}));
    mChanged.notify_all();
    return Answer(200, json::object());
  }

  response StopRun(json const& aBody)
  {
    auto const task = aBody.at("task").get<std::string>();
    auto const number = aBody.at("run").get<std::uint32_t>();
    std::lock_guard const lock{ mMutex };
    if (IsOlderFence(aBody)) {
      return Refuse("fence");
    }
    auto const found = mRuns.find(task);
    if (found != mRuns.end() && found->second.mRun <= number) {
      if (found->second.mStopAt == 0) {
        found->second.mStopAt = NowMs() + mOptions.mStopMs;
      }
    }
    mHighestEnded[task] = std::max(mHighestEnded[task], number);
    mOptions.mRecord.Write(mOptions.mName + " stop task=" + task +
                           " run=" + std::to_string(number));
    return Answer(200, json::object());
  }

  std::optional<response> Hold(request const& aCall)
  {
    auto const body = json::parse(aCall.mBody);
    std::unique_lock lock{ mMutex };
    auto const expected = aCall.Header("x-expect-instance");
    if (!expected.empty() && expected != mOptions.mId) {
      return response{ .mStatus = 421, .mBody = "{}" };
    }
    if (IsOlderFence(body)) {
      return Refuse("fence");
    }
    Extend(body);
    auto const born = mBorn;
    auto const cursor = body.value("ack_cursor", std::int64_t{ 0 });
    for (auto& end : mAllEnds) {
      auto const isReached =
        end.mNumber <= cursor && std::ranges::any_of(mFinished, [&](ended const& aListed) {
          return aListed.mNumber == end.mNumber && aListed.mAt == end.mAt;
        });
      if (isReached) {
        end.mIsNoted = true;
        mOptions.mRecord.Write(mOptions.mName + " end taken note of task=" + end.mTask +
                               " run=" + std::to_string(end.mRun) + " how=" + end.mHow);
      }
    }
    std::erase_if(mFinished, [&](ended const& aEnd) { return aEnd.mNumber <= cursor; });
    auto const wait = body.value("wait_ms", std::int64_t{ 0 });
    mChanged.wait_for(lock, std::chrono::milliseconds{ wait },
                      [&] { return !mFinished.empty() || mIsDown; });
    if (mIsDown || mIsCut || born != mBorn) {
      return std::nullopt;
    }
    json running = json::array();
    for (auto const& [task, run] : mRuns) {
      auto const percent =
        (NowMs() - run.mStartedAt) * 100 / std::max<std::int64_t>(1, run.mOutcome.mWorkMs);
      running.push_back(
        { task, run.mRun, Checkpoint(task, run), std::min<std::int64_t>(99, percent), 0 });
    }
    json finished = json::array();
    for (auto const& end : mFinished) {
      finished.push_back({ end.mNumber, end.mTask, end.mRun, end.mHow, end.mCheckpoint });
    }
    return Answer(200, { { "running", running }, { "finished", finished } });
  }

  options mOptions;
  server mServer;
  mutable std::mutex mMutex;
  std::condition_variable mChanged;
  std::atomic<bool> mIsCut = false;
  std::atomic<bool> mIsDown = false;
  std::atomic<std::int64_t> mLateMs = 0;
  std::atomic<int> mLateStarts = 0;
  std::atomic<bool> mHasLateStops = false;
  std::atomic<std::int64_t> mNextBeatAt = 0;
  std::atomic<std::size_t> mUnanswered = 0;
  std::atomic<std::size_t> mCheckpointBytes = 0;
  std::int64_t mBorn = 0;
  std::int64_t mClockZero = 0;
  std::int64_t mFence = 0;
  std::int64_t mLease = 0;
  std::int64_t mSequence = 0;
  std::int64_t mNumber = 0;
  std::map<std::string, run> mRuns;
  std::vector<ended> mFinished;
  std::map<std::string, std::uint32_t> mHighestEnded;
  std::vector<begun> mBegun;
  std::vector<ended> mAllEnds;
};

} // namespace standin
