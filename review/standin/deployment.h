#pragma once

#include "worker.h"

#include <csignal>
#include <cstdio>

#include <sys/types.h>

namespace review {

/// The record of a case: one line for each event, with the time in seconds.
class record
{
public:
  explicit record(std::string const& aPath);
  ~record();

  record(record const&) = delete;
  record& operator=(record const&) = delete;

  void Line(std::string const& aText);

private:
  std::mutex mMutex;
  std::FILE* mFile = nullptr;
};

/// A process of the project, started with the command of the deploy file.
class node
{
public:
  node(std::string aRole, json const& aSettings, std::string const& aFolder);
  ~node();

  node(node const&) = delete;
  node& operator=(node const&) = delete;

  void Start();
  /// Kills the process and waits for its end.
  void Kill();
  std::string const& Name() const { return mName; }
  std::string const& Address() const { return mAddress; }

private:
  std::string mRole;
  std::string mName;
  std::string mAddress;
  std::string mSettingsPath;
  std::string mLogPath;
  pid_t mProcess = 0;
};

struct queue_options
{
  std::string mName;
  std::string mPrefix;
  int mPriority = 1;
  int mMaximumAttempts = 3;
};

/// A small deployment on loopback addresses: three fronts, some sides with their workers, the
/// store.
class deployment : public run_observer
{
public:
  struct options
  {
    int mSides = 4;
    /// Kinds of the first workers; all others are of kind a.
    std::vector<std::string> mKinds;
    std::vector<queue_options> mQueues;
    std::string mRecordPath;
  };

  /// How a run of a task goes; the default is 500 ms of work.
  std::function<run_plan(std::string const&, std::uint32_t)> mPlan;

  explicit deployment(options aOptions);
  ~deployment() override;

  record& Record() { return mRecord; }
  store& Store() { return *mStore; }
  std::vector<std::unique_ptr<worker>>& Workers() { return mWorkers; }

  /// Writes the next version of the configuration without the queues named. Returns the version.
  int Configure(std::set<std::string> const& aWithout = {});
  /// Waits until all fronts are ready. Returns false after aTimeoutMs.
  bool AwaitReady(std::int64_t aTimeoutMs);

  /// Calls of a client with its key; they go to the given front, or to each one in turn.
  http_response Submit(std::string const& aPrefix, std::string const& aId, json const& aBody,
                       int aFront = -1);
  http_response Get(std::string const& aPrefix, std::string const& aId, int aFront = -1);
  /// The state that a front shows; its status in words if there is none.
  std::string State(std::string const& aPrefix, std::string const& aId, int aFront = -1);

  /// A heartbeat of another program at a side. Returns the status of the answer.
  int SendHeartbeat(std::size_t aSide, std::string const& aWorker, std::string const& aService);
  /// A heartbeat with the worker's identifier and start, some fields missing, and a sequence number
  /// far ahead.
  int SendHighSequence(std::size_t aSide);

  run_plan Plan(std::string const& aTask, std::uint32_t aRun) override;
  void Started(std::string const& aWorker, std::string const& aTask, std::uint32_t aRun) override;
  void Ended(std::string const& aWorker, std::string const& aTask, std::uint32_t aRun,
             std::string const& aEnd) override;

  struct run_event
  {
    std::int64_t mAtMs = 0;
    std::string mWorker;
    std::string mTask;
    std::uint32_t mRun = 0;
    /// Empty for a start.
    std::string mEnd;
  };
  std::vector<run_event> Events();

  static constexpr char const* kHost = "jobs.example";
  static constexpr char const* kKey = "key-of-the-tenant";

private:
  http_response ClientCall(std::string const& aMethod, std::string const& aTarget,
                           std::string const& aBody, int aFront);

  int PutHeartbeat(std::size_t aSide, std::string const& aWorker, json const& aBeat);

  options mOptions;
  record mRecord;
  std::string mFolder;
  std::string mNetwork;
  std::unique_ptr<store> mStore;
  std::vector<std::unique_ptr<node>> mFronts;
  std::vector<std::unique_ptr<node>> mSides;
  std::vector<std::unique_ptr<worker>> mWorkers;
  int mVersion = 0;
  std::atomic<std::size_t> mNextFront = 0;
  std::mutex mMutex;
  std::vector<run_event> mEvents;
};

/// Identifier of a job: 16 hexadecimal digits.
std::string JobId(int aNumber);

} // namespace review
