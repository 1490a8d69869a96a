#pragma once

#include "worker.h"

#include <csignal>
#include <filesystem>
#include <memory>
#include <stdexcept>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace standin {

inline constexpr int kStorePort = 8524;
inline constexpr int kCallerPort = 8521;
inline constexpr int kReadinessPort = 8523;
inline constexpr int kControlPort = 8526;
inline constexpr int kWorkerPort = 8529;

/// A case could not be played.
struct cannot_run : std::runtime_error
{
  using std::runtime_error::runtime_error;
};

/// A process of the project, started with a command of the deploy file.
class node
{
public:
  node(std::string aRole, std::string aName, std::string aSettings, std::string aLog,
       record& aRecord)
    : mRole{ std::move(aRole) }
    , mName{ std::move(aName) }
    , mSettings{ std::move(aSettings) }
    , mLog{ std::move(aLog) }
    , mRecord{ aRecord }
  {
  }

  ~node()
  {
    if (mPid > 0) {
      ::kill(mPid, SIGKILL);
      ::waitpid(mPid, nullptr, 0);
    }
  }

  void Start()
  {
    std::string const program = "target/rattanpond-node";
    auto const variable = "RATTANPOND_CONFIG=" + mSettings;
    mPid = ::fork();
    if (mPid == 0) {
      // Ends with the case, however that ends.
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      auto const log = ::open(mLog.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(log, 1);
      ::dup2(log, 2);
      char* const arguments[] = { const_cast<char*>(program.c_str()),
                                  const_cast<char*>(mRole.c_str()), nullptr };
      char* const environment[] = { const_cast<char*>(variable.c_str()), nullptr };
      ::execve(program.c_str(), arguments, environment);
      ::_exit(127);
    }
    mRecord.Write(mName + " process started");
  }

  void Signal(int aSignal, char const* aText)
  {
    mRecord.Write(mName + " " + aText);
    ::kill(mPid, aSignal);
  }

  /// Waits until the process has ended by itself; kills it after the time, as the platform does.
  void AwaitEnd(std::int64_t aTimeMs)
  {
    auto const until = NowMs() + aTimeMs;
    while (::waitpid(mPid, nullptr, WNOHANG) == 0) {
      if (NowMs() > until) {
        ::kill(mPid, SIGKILL);
      }
      SleepMs(10);
    }
    mPid = 0;
    mRecord.Write(mName + " process ended");
  }

  std::string const& Name() const { return mName; }

private:
  std::string mRole;
  std::string mName;
  std::string mSettings;
  std::string mLog;
  record& mRecord;
  pid_t mPid = 0;
};

/// A small deployment on loopback addresses: a store, fronts, and sides with a worker each.
class deployment
{
public:
  struct options
  {
    std::string mFolder;
    int mFronts = 3;
    int mSides = 3;
    worker::script mScript;
    /// Labels of each worker: its kind and its rack; by default the kind "a" and a rack each.
    std::vector<std::vector<std::string>> mLabels;
  };

  explicit deployment(options aOptions)
    : mOptions{ std::move(aOptions) }
    , mRecord{ *new record{ mOptions.mFolder + "/record.txt" } }
  {
    auto const pid = static_cast<int>(::getpid());
    mNet =
      "127." + std::to_string(20 + pid / 200 % 200) + "." + std::to_string(1 + pid % 200) + ".";
    mTemporary = std::filesystem::temp_directory_path() / ("review-3-" + std::to_string(pid));
    std::filesystem::create_directories(mTemporary);
    mStore = std::make_unique<store>(address{ mNet + "2", kStorePort });
    if (!mStore->Start()) {
      throw cannot_run{ "the store's address is in use" };
    }
    for (int index = 0; index < mOptions.mFronts; ++index) {
      AddFront(index);
    }
    for (int index = 0; index < mOptions.mSides; ++index) {
      AddSide(index);
    }
  }

  ~deployment()
  {
    mFronts.clear();
    mSides.clear();
    // The threads of the stand-ins use them until this process ends.
    for (auto& each : mWorkers) {
      (void)each.release();
    }
    (void)mStore.release();
    std::error_code ignored;
    if (std::getenv("KEEP") == nullptr) {
      std::filesystem::remove_all(mTemporary, ignored);
    }
  }

  /// The routes "urgent" (prefix /urgent/) and "batch" (prefix /batch/) of one service and tenant.
  static json Configuration(std::uint64_t aVersion, bool aHasBatch, int aAttempts = 3)
  {
    json routes = json::array();
    auto const add = [&](std::string const& aName, int aPriority) {
      routes.push_back({ { "name", "r-" + aName },
                         { "host", "permits.example" },
                         { "prefix", "/" + aName + "/" },
                         { "kind", "non_idempotent" },
                         { "timeout_ms", 3000 },
                         { "target_duration_ms", 3000 },
                         { "priority", aPriority },
                         { "service", "permit-api" },
                         { "max_attempts", aAttempts },
                         { "stretch", 3.0 },
                         { "public", false } });
    };
    add("urgent", 1);
    if (aHasBatch) {
      add("batch", 2);
    }
    return { { "version", aVersion },
             { "routes", routes },
             { "services", json::array({ { { "name", "permit-api" },
                                           { "health_check", "/health" },
                                           { "max_conns", 64 },
                                           { "protocol", "h1" },
                                           { "rejects_overload", true } } }) },
             { "limits", { { "max_header_bytes", 16384 }, { "max_body_bytes", 262144 } } },
             { "tenants", json::array({ { { "name", "desk" },
                                          { "keys", json::array({ "key-of-desk" }) },
                                          { "priority", 1 },
                                          { "guaranteed", { { "gpu", 4 } } } } }) } };
  }

  void PutConfiguration(json const& aConfiguration)
  {
    mStore->Put("op", "config", aConfiguration.dump());
    mRecord.Write("operator: configuration " + aConfiguration.at("version").dump() +
                  " acknowledged, routes=" + std::to_string(aConfiguration.at("routes").size()));
  }

  void StartAll()
  {
    for (auto& started : mWorkers) {
      if (!started->Start()) {
        throw cannot_run{ "a worker's address is in use" };
      }
    }
    for (auto& front : mFronts) {
      front->Start();
    }
    for (auto& side : mSides) {
      side->Start();
    }
    AwaitReady();
    // The first heartbeats and the term.
    SleepMs(4000);
  }

  void AwaitReady()
  {
    auto const until = NowMs() + 15'000;
    for (int index = 0; index < mOptions.mFronts; ++index) {
      while (true) {
        auto const answer = Call({ FrontIp(index), kReadinessPort },
                                 { .mMethod = "GET", .mTarget = "/api/ready" }, 500);
        if (answer && answer->mStatus == 200) {
          break;
        }
        if (NowMs() > until) {
          throw cannot_run{ "a front does not become ready" };
        }
        SleepMs(100);
      }
    }
  }

  /// A call of a client to one front.
  std::optional<response> Client(int aFront, std::string const& aMethod, std::string const& aPath,
                                 std::string const& aBody = {})
  {
    auto const answer = Call({ FrontIp(aFront), kCallerPort },
                             { .mMethod = aMethod,
                               .mTarget = aPath,
                               .mHeaders = { { "Host", "permits.example" },
                                             { "Api-Key", "key-of-desk" },
                                             { "X-Deadline-Ms", "3000" },
                                             { "Content-Type", "application/json" } },
                               .mBody = aBody },
                             3500);
    mRecord.Write("client: " + aMethod + " " + aPath + " at " + mFronts[aFront]->Name() + " -> " +
                  (answer ? std::to_string(answer->mStatus) + " " + answer->mBody.substr(0, 120)
                          : std::string{ "no answer" }));
    return answer;
  }

  void Submit(std::string const& aPath, json const& aJob)
  {
    auto const answer = Client(0, "POST", aPath, aJob.dump());
    if (!answer || answer->mStatus != 200) {
      throw cannot_run{ "a job is not accepted" };
    }
  }

  /// Waits until a condition holds. Returns false after the time.
  template<class F>
  static bool Await(std::int64_t aTimeMs, F const& aHolds)
  {
    auto const until = NowMs() + aTimeMs;
    while (!aHolds()) {
      if (NowMs() > until) {
        return false;
      }
      SleepMs(20);
    }
    return true;
  }

  record& Record() { return mRecord; }
  store& Store() { return *mStore; }
  std::vector<std::unique_ptr<node>>& Fronts() { return mFronts; }
  std::vector<std::unique_ptr<node>>& Sides() { return mSides; }
  std::vector<std::unique_ptr<worker>>& Workers() { return mWorkers; }

  /// The worker that runs the task now, or null.
  worker* WorkerOf(std::string const& aTask)
  {
    for (auto& candidate : mWorkers) {
      for (auto const& [task, run] : candidate->Running()) {
        if (task == aTask) {
          return candidate.get();
        }
      }
    }
    return nullptr;
  }

  std::size_t Ends(std::string const& aTask, std::string const& aHow)
  {
    std::size_t count = 0;
    for (auto const& each : mWorkers) {
      for (auto const& end : each->Ended()) {
        count += end.mTask == aTask && end.mHow == aHow ? 1 : 0;
      }
    }
    return count;
  }

  std::size_t Begins(std::string const& aTask)
  {
    std::size_t count = 0;
    for (auto const& each : mWorkers) {
      for (auto const& begun : each->Begun()) {
        count += begun.mTask == aTask ? 1 : 0;
      }
    }
    return count;
  }

private:
  std::string FrontIp(int aIndex) const { return mNet + std::to_string(10 + aIndex); }
  std::string SideIp(int aIndex) const { return mNet + std::to_string(100 + aIndex); }
  static std::string Zone(int aIndex) { return "zone-" + std::to_string(1 + aIndex % 3); }

  json Settings(std::string const& aName, std::string const& aClass, std::string const& aIp,
                int aIndex) const
  {
    return { { "node", aName },
             { "role", aClass },
             { "machine_class", aClass },
             { "serves", json::array({ aClass }) },
             { "ip", aIp },
             { "zone", Zone(aIndex) },
             { "region", "north" },
             { "zones", { { "zone-1", "north" }, { "zone-2", "north" }, { "zone-3", "north" } } },
             { "internal_ports", json::array({ 7000, 7015 }) },
             { "heartbeat_ms", 1500 },
             { "orders", "call" },
             { "bounds",
               { { "hold_max_ms", 10000 },
                 { "stop_grace_ms", 400 },
                 { "revoke_ms", 5000 },
                 { "config_apply_ms", 2000 },
                 { "drain_ms", 2000 },
                 { "grace_s", 6 },
                 { "status_s", 120 },
                 { "stable_ms", 3000 },
                 { "visible_ms", 3000 },
                 { "cancel_ms", 3000 } } },
             { "platform",
               { { "address", mNet + "2:" + std::to_string(kStorePort) },
                 { "form", "table" },
                 { "row_bytes", 65536 } } } };
  }

  std::string Write(std::string const& aName, json const& aSettings) const
  {
    auto const path = (mTemporary / (aName + ".json")).string();
    std::ofstream{ path } << aSettings.dump(1);
    return path;
  }

  void AddFront(int aIndex)
  {
    auto const name = "front-" + Zone(aIndex) + "-" + std::to_string(1 + aIndex / 3);
    auto const ip = FrontIp(aIndex);
    auto settings = Settings(name, "front", ip, aIndex);
    settings["listen"] = { { "frontend", ip + ":" + std::to_string(kCallerPort) },
                           { "readiness", ip + ":" + std::to_string(kReadinessPort) } };
    mFronts.push_back(std::make_unique<node>("front", name, Write(name, settings),
                                             (mTemporary / (name + ".log")).string(), mRecord));
  }

  void AddSide(int aIndex)
  {
    auto const name = "side-" + Zone(aIndex) + "-" + std::to_string(1 + aIndex / 3);
    auto const ip = SideIp(aIndex);
    auto settings = Settings(name, "side", ip, aIndex);
    settings["listen"] = { { "control", ip + ":" + std::to_string(kControlPort) } };
    settings["app"] = ip + ":" + std::to_string(kWorkerPort);
    mSides.push_back(std::make_unique<node>("side", name, Write(name, settings),
                                            (mTemporary / (name + ".log")).string(), mRecord));
    auto const number = std::to_string(1 + aIndex);
    std::vector<std::string> labels{ "a", "rack-" + number };
    if (static_cast<std::size_t>(aIndex) < mOptions.mLabels.size()) {
      labels = mOptions.mLabels[aIndex];
    }
    mWorkers.push_back(std::make_unique<worker>(worker::options{ .mName = "worker-" + number,
                                                                 .mId = "i-0000000" + number,
                                                                 .mService = "permit-api",
                                                                 .mZone = Zone(aIndex),
                                                                 .mLabels = labels,
                                                                 .mOwn = { ip, kWorkerPort },
                                                                 .mSide = { ip, kControlPort },
                                                                 .mRecord = mRecord,
                                                                 .mScript = mOptions.mScript }));
  }

  options mOptions;
  record& mRecord;
  std::string mNet;
  std::filesystem::path mTemporary;
  std::unique_ptr<store> mStore;
  std::vector<std::unique_ptr<worker>> mWorkers;
  std::vector<std::unique_ptr<node>> mFronts;
  std::vector<std::unique_ptr<node>> mSides;
};

/// Whether the case is played with its disruption.
inline bool HasTrouble()
{
  auto const* const trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string{ trouble } != "0";
}

/// A step with one kind of task.
inline json Step(int aCount, int aAccelerators = 1)
{
  return { { "count", aCount },
           { "cpu", 10000 },
           { "mem_mb", 1024 },
           { "gpu", aAccelerators },
           { "estimate_ms", 5000 } };
}

inline json Job(json const& aStep)
{
  return { { "spec", "re-rate the bridge" }, { "steps", json::array({ aStep }) } };
}

} // namespace standin
