#pragma once

#include "store.h"

#include <thread>

namespace review {

/// What a run does: how long it works and how it ends.
struct run_plan
{
  std::int64_t mWorkMs = 500;
  bool mFails = false;
  /// Instead of ending, the run crashes the executor, which is back after some seconds.
  bool mIsDeadly = false;
};

/// Sees all starts and ends of the workers, in order, and decides what the runs do.
class run_observer
{
public:
  virtual ~run_observer() = default;
  virtual run_plan Plan(std::string const& aTask, std::uint32_t aRun) = 0;
  virtual void Started(std::string const& aWorker, std::string const& aTask,
                       std::uint32_t aRun) = 0;
  virtual void Ended(std::string const& aWorker, std::string const& aTask, std::uint32_t aRun,
                     std::string const& aEnd) = 0;
};

/// An executor beside a side process: heartbeats, leases, fences, runs with a guarded capacity, and
/// ends that are listed until they are acknowledged. Gangs are left out.
class worker
{
public:
  struct options
  {
    std::string mAddress;
    int mPort = 0;
    /// Where heartbeats go.
    int mControlPort = 0;
    std::string mId;
    std::string mService;
    std::string mZone;
    std::string mKind;
    std::string mRack;
    json mCapacity;
    run_observer* mObserver = nullptr;
  };

  explicit worker(options aOptions);
  ~worker();

  worker(worker const&) = delete;
  worker& operator=(worker const&) = delete;

  /// Crashes: all runs are gone, nothing is answered or sent.
  void Crash();
  /// Time for which the executor is down after a deadly run.
  static constexpr std::int64_t kDownMs = 2000;

  /// A new incarnation with the same identifier, which knows nothing of before. Its first heartbeat
  /// goes out after the time given.
  void Restart(std::int64_t aFirstHeartbeatMs = 0);
  /// From now on the heartbeats say that the executor drains. Returns when one was acknowledged.
  void Drain();
  std::int64_t Born();
  std::string const& Id() const { return mOptions.mId; }

  static constexpr std::int64_t kHeartbeatMs = 1500;

private:
  struct run
  {
    std::uint32_t mRun = 0;
    json mDemand;
    std::int64_t mStartedMs = 0;
    run_plan mPlan;
    std::int64_t mStopAtMs = -1;
  };

  struct end
  {
    std::int64_t mNumber = 0;
    std::string mTask;
    std::uint32_t mRun = 0;
    std::string mEnd;
  };

  http_response Handle(http_request const& aRequest);
  http_response Start(json const& aBody);
  http_response Stop(json const& aBody);
  http_response Hold(json const& aBody, std::unique_lock<std::mutex>& aLock);
  http_response Answer(int aStatus, std::string const& aReason = {}) const;
  bool IsFenced(json const& aBody);
  void Advance();
  /// Whether a deadly run has reached its end.
  bool HasDeadlyRun() const;
  void SendHeartbeat();
  void Begin(std::int64_t aFirstHeartbeatMs);
  std::int64_t Clock() const { return 1000 + NowMs() - mBornAtMs; }

  options mOptions;
  std::mutex mMutex;
  std::condition_variable mChanged;
  bool mIsOn = true;
  std::atomic<bool> mIsEnding = false;
  std::int64_t mBornAtMs = 0;
  std::int64_t mBorn = 0;
  std::int64_t mSequence = 0;
  std::string mState = "ready";
  std::int64_t mDrainAcknowledgedMs = 0;
  std::int64_t mNextHeartbeatMs = 0;
  std::uint64_t mFence = 0;
  std::int64_t mDeadline = 0;
  std::int64_t mNextEnd = 1;
  std::map<std::string, run> mRuns;
  std::map<std::string, std::uint32_t> mHighestRun;
  std::vector<end> mEnds;
  std::unique_ptr<http_server> mServer;
  /// Servers of former incarnations.
  std::vector<std::unique_ptr<http_server>> mFormerServers;
  /// Time at which the executor is back after a deadly run; 0 if it has not crashed.
  std::int64_t mBackAtMs = 0;
  std::thread mTicker;
  std::thread mHeartbeats;
};

/// Demand of one task, by job and step, as the clients handed it in.
void RegisterJob(std::string const& aId, json const& aBody);

} // namespace review
