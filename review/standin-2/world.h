#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

#include <nlohmann/json.hpp>

/// Stand-ins of the users' platform for the second review: store, executors and callers, as the
/// users' pages describe them, and control over the project's processes.
namespace review {

using json = nlohmann::json;

/// Milliseconds since the start of the program.
std::int64_t NowMs();
std::int64_t WallMs();
void SleepMs(std::int64_t aTime);

/// Writes a line with the time to record.txt and to standard output.
void Record(std::string const& aLine);
void OpenRecord(std::string const& aPath);

struct http_call
{
  std::string mMethod;
  std::string mTarget;
  std::string mBody;
  std::string mInstance;
};

struct http_reply
{
  int mStatus = 200;
  std::string mBody = "{}";
};

/// Returns nothing to close the connection without an answer.
using http_handler = std::function<std::optional<http_reply>(http_call const&)>;

/// Serves each connection on a thread of its own until the program ends.
void Serve(std::string const& aAddress, std::uint16_t aPort, http_handler aHandler);

/// Status 0: no answer within the time, or a broken connection.
struct call_result
{
  int mStatus = 0;
  std::string mBody;
};

call_result Call(std::string const& aAddress, std::uint16_t aPort, std::string const& aMethod,
                 std::string const& aTarget, std::map<std::string, std::string> const& aHeaders,
                 std::string const& aBody, std::int64_t aTimeoutMs);

/// What the store does with a transaction of one client.
enum class transaction_fault
{
  none,
  /// Carries it out; no answer, and nothing further on the connection.
  answer_lost
};

/// The platform's store. Each client has an endpoint of its own.
class store
{
public:
  struct endpoint
  {
    std::string mName;
    /// Answers 503 to all calls.
    std::atomic<bool> mRefuses{ false };
    /// Decides about each transaction that was carried out.
    std::function<transaction_fault(json const&)> mOnCommitted;
  };

  explicit store(std::string aAddress)
    : mAddress{ std::move(aAddress) }
  {
  }

  /// Opens an endpoint; returns its number, which Port() turns into a port.
  endpoint& Open(std::string const& aName, std::uint16_t aPort);
  std::string const& Address() const { return mAddress; }

  void Put(std::string const& aTable, std::string const& aKey, std::string const& aText);
  void Remove(std::string const& aTable, std::string const& aKey);
  /// Forgets all changes so far; polls that ask for them are answered with 410.
  void DiscardHistory();
  bool Has(std::string const& aTable, std::string const& aKey);

  static std::string Decode(std::string const& aBase64);

private:
  struct row
  {
    std::string mValue;
    std::uint64_t mVersion = 0;
  };
  using name = std::pair<std::string, std::string>;

  std::optional<http_reply> Handle(endpoint& aEndpoint, http_call const& aCall);
  http_reply Transact(endpoint& aEndpoint, json const& aBody, bool& aIsAnswered);
  http_reply Get(std::map<std::string, std::string> const& aQuery);
  http_reply Feed(std::map<std::string, std::string> const& aQuery);
  static json Entry(name const& aName, row const* aRow, std::uint64_t aVersion);

  std::string mAddress;
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::map<name, row> mRows;
  /// Newest change of each row by version; the store keeps the whole history.
  std::map<std::uint64_t, std::set<name>> mHistory;
  std::uint64_t mVersion = 0;
  /// Changes up to this version are no longer available.
  std::uint64_t mDiscarded = 0;
};

/// How a run ends on an executor.
struct run_plan
{
  std::int64_t mWorkMs = 1000;
  std::string mHow = "done";
};

/// The gangs of all executors: their members work from the moment when all are present.
class gangs
{
public:
  /// Returns the time from which the run works, if all members are present.
  std::optional<std::int64_t> Join(std::string const& aGang, std::size_t aMembers,
                                   std::string const& aTask);
  std::optional<std::int64_t> WorksSince(std::string const& aGang);
  /// The time at which the other members learn that a member has ended.
  void Ended(std::string const& aGang, std::int64_t aNoticeAt);
  std::optional<std::int64_t> BrokenAt(std::string const& aGang);

private:
  struct gang
  {
    std::set<std::string> mPresent;
    std::optional<std::int64_t> mWorksSince;
    std::optional<std::int64_t> mBrokenAt;
  };

  std::mutex mMutex;
  std::map<std::string, gang> mGangs;
};

/// A start or an end of a run, as an executor has seen it.
struct run_event
{
  std::int64_t mAtMs = 0;
  std::string mExecutor;
  std::string mTask;
  std::uint32_t mRun = 0;
  /// "start", or how the run ended.
  std::string mWhat;
};

class event_log
{
public:
  void Add(run_event aEvent);
  std::vector<run_event> All();
  std::size_t Count(std::string const& aJob, std::string const& aWhat);

  std::atomic<bool> mIsQuiet{ false };

private:
  std::mutex mMutex;
  std::vector<run_event> mEvents;
};

struct executor_options
{
  std::string mId;
  std::string mAddress;
  std::uint16_t mPort = 0;
  std::uint16_t mControlPort = 0;
  std::string mZone;
  std::string mService;
  std::vector<std::string> mLabels;
  std::int64_t mMillicores = 128'000;
  std::int64_t mMemory = 262'144;
  std::int64_t mAccelerators = 8;
  std::int64_t mHoldMaxMs = 10'000;
};

class executor
{
public:
  executor(executor_options aOptions, event_log& aLog, gangs& aGangs,
           std::function<run_plan(std::string const&, std::uint32_t)> aPlan);

  /// The executor is lost: it sends nothing, answers nothing and runs nothing.
  std::atomic<bool> mIsLost{ false };
  /// The next start gets no answer and is carried out later, by CarryOutLateStart.
  std::atomic<bool> mHoldsNextStart{ false };

  /// Ends the process with everything that it runs and knows.
  void Crash();
  /// Starts it again under its identifier. The first heartbeat comes after aFirstBeatMs.
  /// aClockStepMs: how far the time of day of its machine is from the true one.
  void Restart(std::int64_t aFirstBeatMs, std::int64_t aClockStepMs = 0);
  /// Carries the start out that was held back.
  void CarryOutLateStart();

  /// Demand of the tasks of a job, and the members of its gang; 0 if it is none.
  struct demand
  {
    std::int64_t mMillicores = 0;
    std::int64_t mMemory = 0;
    std::int64_t mAccelerators = 0;
    std::size_t mGangMembers = 0;
  };
  static void SetDemand(std::string const& aJob, demand aDemand);

private:
  struct run
  {
    std::string mTask;
    std::uint32_t mRun = 0;
    std::string mGang{};
    run_plan mPlan;
    std::optional<std::int64_t> mWorksSince{};
    std::optional<std::int64_t> mStopAt{};
  };
  struct ended
  {
    std::int64_t mNumber = 0;
    std::string mTask;
    std::uint32_t mRun = 0;
    std::string mHow;
  };

  std::optional<http_reply> Handle(http_call const& aCall);
  http_reply Start(json const& aBody);
  http_reply Stop(json const& aBody);
  http_reply Hold(json const& aBody);
  http_reply Answer(int aStatus, std::string const& aReason);
  void End(std::size_t aIndex, std::string const& aHow);
  void Work();
  void Beat();
  std::int64_t Clock() const { return NowMs() - mClockZero; }

  executor_options mOptions;
  event_log& mLog;
  gangs& mGangs;
  std::function<run_plan(std::string const&, std::uint32_t)> mPlan;
  std::int64_t mBorn = 0;
  /// The clock of each incarnation begins anew.
  std::int64_t mClockZero = -400'000;
  std::atomic<bool> mIsDown{ false };
  std::atomic<std::int64_t> mNextBeatAt{ 0 };
  std::atomic<std::int64_t> mSequence{ 0 };
  std::optional<json> mLateStart;
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::uint64_t mFence = 0;
  std::int64_t mLeaseEnd = 0;
  std::int64_t mNumber = 0;
  std::int64_t mAcknowledged = 0;
  std::vector<run> mRuns;
  std::vector<ended> mEnds;
  /// Highest run of each task that was stopped or has ended here.
  std::map<std::string, std::uint32_t> mOver;
};

/// A queue of the operator's configuration.
struct route
{
  std::string mName;
  std::string mPrefix;
  int mPriority = 1;
  int mMaximumAttempts = 2;
};

/// A small deployment: the store, executors with their sides, and fronts.
class deployment
{
public:
  struct options
  {
    std::string mFolder;
    std::size_t mFronts = 3;
    std::size_t mSides = 4;
    /// Labels of the executor with this number.
    std::function<std::vector<std::string>(std::size_t)> mLabels{};
    std::function<run_plan(std::string const&, std::uint32_t)> mPlan{};
    std::int64_t mAccelerators = 8;
  };

  explicit deployment(options aOptions);

  /// Starts everything and waits until all fronts are ready. Exits with 2 if that fails.
  void Start();
  void WriteConfiguration(std::vector<route> const& aRoutes,
                          std::vector<std::string> const& aKeys = { kKey });

  store& Store() { return mStore; }
  store::endpoint& FrontStore(std::size_t aFront) { return *mFrontStores[aFront]; }
  event_log& Log() { return mLog; }
  executor& Executor(std::size_t aNumber) { return *mExecutors[aNumber]; }

  void StartFront(std::size_t aFront);
  void SignalFront(std::size_t aFront, int aSignal);
  /// Waits for the end of a killed front, so that it can be started again.
  void AwaitFront(std::size_t aFront);
  /// Number of the front that holds the scheduler's term, by the row in the store.
  std::optional<std::size_t> Holder();

  call_result Submit(std::size_t aFront, std::string const& aPrefix, std::string const& aJob,
                     json const& aSteps, std::int64_t aTimeoutMs = 3000);
  call_result Get(std::size_t aFront, std::string const& aPath, std::int64_t aTimeoutMs = 3000);
  call_result Cancel(std::size_t aFront, std::string const& aPath, std::int64_t aTimeoutMs = 3000);

  static constexpr char const* kKey = "key-of-the-tenant";
  static constexpr char const* kService = "service-a";
  static constexpr char const* kHost = "jobs.example";

private:
  std::string FrontAddress(std::size_t aFront) const;
  std::string SideAddress(std::size_t aSide) const;
  json Settings(std::string const& aNode, std::string const& aClass, std::string const& aAddress,
                std::uint16_t aStorePort) const;
  pid_t Spawn(std::string const& aRole, std::string const& aNode, json const& aSettings);
  call_result CallFront(std::size_t aFront, std::string const& aMethod, std::string const& aPath,
                        std::string const& aBody, std::int64_t aTimeoutMs);

  options mOptions;
  std::string mNetwork;
  store mStore;
  event_log mLog;
  gangs mGangs;
  std::vector<store::endpoint*> mFrontStores;
  std::vector<std::unique_ptr<executor>> mExecutors;
  std::vector<pid_t> mFrontProcesses;
  int mVersion = 0;
};

/// Ends all processes that were started, and this one.
[[noreturn]] void Finish(int aStatus);

} // namespace review
