#pragma once

#include "executor.h"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <random>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace review {

/// A small deployment: the project's program as separate processes on loopback addresses, beside
/// stand-ins for the store, the executors and the clients.
class deployment
{
public:
  struct options
  {
    std::size_t mFronts = 3;
    std::size_t mExecutors = 3;
    /// Delay after which a process that has ended is started again.
    std::int64_t mRestartMs = 500;
    /// Changes an executor's options before it starts.
    std::function<void(std::size_t, executor::options&)> mAdjust{};
  };

  world mWorld;
  std::unique_ptr<store> mStore;
  std::vector<std::unique_ptr<executor>> mExecutors;
  std::string mHost = "api.example";

  /// aRoot: the repository.
  deployment(std::string aRoot, options aOptions)
    : mOptions{ std::move(aOptions) }
    , mRoot{ std::move(aRoot) }
  {
    auto pattern = (std::filesystem::temp_directory_path() / "rattanpond-review-XXXXXX").string();
    mFolder = mkdtemp(pattern.data());
    std::random_device random;
    mNet = "127." + std::to_string(20 + random() % 200) + "." + std::to_string(1 + random() % 250);
    mStore = std::make_unique<store>(mNet + ".1");
  }

  deployment(deployment const&) = delete;
  deployment& operator=(deployment const&) = delete;

  /// Starts the service for advice, which handles one call after the other.
  void StartAdvice(std::int64_t aDecideMs, std::int64_t aPeriodMs)
  {
    mWorld.mIsAdvised = true;
    mAdvice = std::make_unique<server>(
      mNet + ".2",
      [this, aDecideMs, aPeriodMs](request const& aRequest) -> std::optional<response> {
        auto const body = json::parse(aRequest.mBody);
        auto const& workers = body.at("workers");
        std::lock_guard const turn{ mAdviceTurn };
        SleepMs(aDecideMs + aPeriodMs * static_cast<std::int64_t>(workers.size()));
        auto good = json::array();
        for (auto const& worker : workers) {
          auto const name = worker.get<std::string>();
          good.push_back({ name, mWorld.IssueTicket(body.at("step").get<std::string>(), name) });
        }
        ++mAdviceCalls;
        return response{ 200, json{ { "good", good }, { "valid_ms", world::kTicketMs } }.dump() };
      });
  }

  std::atomic<std::size_t> mAdviceCalls = 0;

  /// The operator writes a configuration.
  void Configure(json const& aConfiguration)
  {
    mStore->Put("op", "config", aConfiguration.dump());
    Record("operator writes configuration " + aConfiguration.at("version").dump());
  }

  void Start()
  {
    for (std::size_t index = 0; index < mOptions.mExecutors; ++index) {
      StartSide(index);
    }
    for (std::size_t index = 0; index < mOptions.mFronts; ++index) {
      StartFront(index);
    }
    std::thread{ [this] { Supervise(); } }.detach();
  }

  std::size_t Fronts() const { return mFrontAddresses.size(); }

  /// One call of a client to a front.
  response Call(std::size_t aFront, std::string const& aMethod, std::string const& aPath,
                std::string const& aBody = {}, std::int64_t aDeadlineMs = 3000)
  {
    auto const answer = review::Call(mFrontAddresses[aFront], aMethod, aPath,
                                     { { "Host", mHost },
                                       { "Api-Key", mKey },
                                       { "X-Deadline-Ms", std::to_string(aDeadlineMs) },
                                       { "Content-Type", "application/json" } },
                                     aBody, aDeadlineMs);
    Record("front " + std::to_string(aFront) + ": " + aMethod + " " + aPath + " -> " +
           std::to_string(answer.mStatus) + " " + answer.mBody.substr(0, 80));
    return answer;
  }

  /// Hands a job in, at one front after the other until it is accepted.
  bool Submit(std::string const& aPrefix, std::string const& aId, json const& aBody,
              std::int64_t aWorkMs, std::int64_t aForMs = 10000)
  {
    mWorld.Register(aId, aBody, aWorkMs);
    auto const until = NowMs() + aForMs;
    for (std::size_t attempt = 0; NowMs() < until; ++attempt) {
      auto const answer = Call(attempt % Fronts(), "POST", aPrefix + aId, aBody.dump());
      if (answer.mStatus >= 200 && answer.mStatus < 300) {
        return true;
      }
      SleepMs(200);
    }
    return false;
  }

  /// The state of a job; the status of the answer if there is none.
  std::string State(std::string const& aPath, std::size_t aFront = 0)
  {
    auto const answer = Call(aFront, "GET", aPath);
    auto const document = json::parse(answer.mBody, nullptr, false);
    return answer.mStatus == 200 && document.contains("state")
             ? document["state"].get<std::string>()
             : std::to_string(answer.mStatus);
  }

  /// Whether the front reports that it is ready.
  bool IsReady(std::size_t aFront)
  {
    return review::Call(mReadiness[aFront], "GET", "/api/ready", { { "Host", "x" } }, "", 500)
             .mStatus == 200;
  }

  bool WaitUntilReady(std::int64_t aForMs = 15000)
  {
    auto const until = NowMs() + aForMs;
    while (NowMs() < until) {
      bool areReady = true;
      for (std::size_t front = 0; front < Fronts(); ++front) {
        areReady = areReady && IsReady(front);
      }
      if (areReady) {
        return true;
      }
      SleepMs(100);
    }
    return false;
  }

  void Signal(std::string const& aNode, int aSignal)
  {
    std::lock_guard const lock{ mMutex };
    if (auto const found = mProcesses.find(aNode); found != mProcesses.end()) {
      Record("signal " + std::to_string(aSignal) + " to " + aNode);
      kill(found->second.mPid, aSignal);
    }
  }

  void Stop()
  {
    std::lock_guard const lock{ mMutex };
    mIsStopping = true;
    for (auto const& [node, process] : mProcesses) {
      kill(process.mPid, SIGKILL);
      waitpid(process.mPid, nullptr, 0);
    }
    mProcesses.clear();
    if (std::getenv("KEEP_LOGS") == nullptr) {
      std::error_code ignored;
      std::filesystem::remove_all(mFolder, ignored);
    }
  }

  std::string mKey = "key-1";

private:
  struct process
  {
    pid_t mPid = 0;
    std::string mRole;
    std::int64_t mRestartAt = 0;
  };

  static std::string Zone(std::size_t aIndex) { return "zone-" + std::to_string(aIndex % 3); }

  json Settings(std::string const& aNode, std::string const& aClass, std::string const& aIp,
                std::string const& aZone)
  {
    auto const storeAddress = mStore->AddNode(aNode);
    return {
      { "node", aNode },
      { "role", aClass },
      { "machine_class", aClass },
      { "serves", { aClass } },
      { "ip", aIp },
      { "zone", aZone },
      { "region", "region" },
      { "zones", { { "zone-0", "region" }, { "zone-1", "region" }, { "zone-2", "region" } } },
      { "listen", json::object() },
      { "internal_ports", { 7000, 7015 } },
      { "seeds", json::array() },
      { "bootstrap", true },
      { "count_toward_loss", false },
      { "limits",
        { { "cpu_share", 0.25 }, { "cores", 1 }, { "memory_mb", 260 }, { "max_fds", 4100 } } },
      { "data_dir", nullptr },
      { "discovery", "local" },
      { "entry", "vip" },
      { "heartbeat_ms", 1500 },
      { "bounds", { { "stable_ms", 3000 },        { "ack_timeout_ms", 4000 },
                    { "drain_ms", 2000 },         { "grace_s", 6 },
                    { "loss_slack_ms", 200 },     { "config_apply_ms", 2000 },
                    { "rollback_slack_ms", 250 }, { "max_stretch_ms", 5000 },
                    { "strict_revoke", true },    { "revoke_ms", 5000 },
                    { "evacuate_ms", 5000 },      { "recovery_s", 12 },
                    { "hold_max_ms", 10000 },     { "stop_grace_ms", 400 },
                    { "gang_timeout_ms", 3000 },  { "cancel_ms", 3000 },
                    { "visible_ms", 3000 },       { "early_ms", 250 },
                    { "finish_s", 14 },           { "status_s", 120 },
                    { "lease_ms", 3000 },         { "reclaim_ms", 2900 } } },
      { "orders", "call" },
      { "platform",
        { { "address", storeAddress.Text() },
          { "form", "table" },
          { "writes_per_s", 800 },
          { "reads_per_s", 2000 },
          { "tx_ms", 3.0 },
          { "part_writes_s", 300 },
          { "row_bytes", 65536 },
          { "across", true },
          { "history_s", 20 } } }
    };
  }

  void StartFront(std::size_t aIndex)
  {
    auto const node = "front-" + std::to_string(aIndex);
    auto const ip = mNet + "." + std::to_string(10 + aIndex);
    auto settings = Settings(node, "front", ip, Zone(aIndex));
    if (mAdvice) {
      settings["advice"] = mAdvice->Address().Text();
    }
    address const callers{ ip, FreePort(ip, 8521) };
    address const readiness{ ip, FreePort(ip, static_cast<std::uint16_t>(callers.mPort + 1)) };
    settings["listen"] = { { "frontend", callers.Text() }, { "readiness", readiness.Text() } };
    mFrontAddresses.push_back(callers);
    mReadiness.push_back(readiness);
    Launch(node, "front", settings);
  }

  void StartSide(std::size_t aIndex)
  {
    auto const node = "side-" + std::to_string(aIndex);
    auto const ip = mNet + "." + std::to_string(100 + aIndex);
    executor::options adjusted{ .mIp = ip,
                                .mId = "i-" + std::to_string(aIndex),
                                .mZone = Zone(aIndex),
                                .mLabels = { "a", "r" + std::to_string(aIndex % 3) } };
    if (mOptions.mAdjust) {
      mOptions.mAdjust(aIndex, adjusted);
    }
    mExecutors.push_back(std::make_unique<executor>(adjusted, mWorld));
    auto settings = Settings(node, "side", ip, adjusted.mZone);
    address const control{ ip, FreePort(ip, 8526) };
    settings["listen"] = { { "control", control.Text() } };
    settings["app"] = mExecutors.back()->Address().Text();
    Launch(node, "side", settings);
    mExecutors.back()->Register(control);
  }

  void Launch(std::string const& aNode, std::string const& aRole, json const& aSettings)
  {
    std::ofstream{ mFolder + "/" + aNode + ".json" } << aSettings.dump(1);
    std::lock_guard const lock{ mMutex };
    Run(aNode, aRole);
  }

  /// As the run line of the deploy file says.
  void Run(std::string const& aNode, std::string const& aRole)
  {
    auto const settings = "RATTANPOND_CONFIG=" + mFolder + "/" + aNode + ".json";
    auto const log = mFolder + "/" + aNode + ".log";
    auto const program = mRoot + "/target/rattanpond-node";
    auto const pid = fork();
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      auto const output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(output, 1);
      dup2(output, 2);
      for (int descriptor = 3; descriptor < 1024; ++descriptor) {
        close(descriptor);
      }
      if (chdir(mRoot.c_str()) != 0) {
        _exit(126);
      }
      char const* const arguments[] = { program.c_str(), aRole.c_str(), nullptr };
      char const* const environment[] = { settings.c_str(), "PATH=/usr/bin:/bin", nullptr };
      execve(program.c_str(), const_cast<char**>(arguments), const_cast<char**>(environment));
      _exit(127);
    }
    mProcesses[aNode] = { .mPid = pid, .mRole = aRole };
    Record("process " + aNode + " starts");
  }

  /// Starts processes that have ended again after a short delay, as the platform does.
  void Supervise()
  {
    while (true) {
      SleepMs(20);
      std::lock_guard const lock{ mMutex };
      if (mIsStopping) {
        return;
      }
      for (auto& [node, process] : mProcesses) {
        if (process.mRestartAt == 0 && waitpid(process.mPid, nullptr, WNOHANG) == process.mPid) {
          Record("process " + node + " has ended");
          process.mRestartAt = NowMs() + mOptions.mRestartMs;
        }
        if (process.mRestartAt != 0 && NowMs() >= process.mRestartAt) {
          Run(node, std::string{ process.mRole });
        }
      }
    }
  }

  std::unique_ptr<server> mAdvice;
  std::mutex mAdviceTurn;
  options mOptions;
  std::string mRoot;
  std::string mFolder;
  std::string mNet;
  std::mutex mMutex;
  bool mIsStopping = false;
  std::map<std::string, process> mProcesses;
  std::vector<address> mFrontAddresses;
  std::vector<address> mReadiness;
};

/// A deployment for one case. Its processes end with this object; its stand-ins stay until the end
/// of the program, since their threads still run.
class trial_run
{
public:
  trial_run(std::string const& aRoot, deployment::options aOptions)
    : mDeployment{ *new deployment{ aRoot, std::move(aOptions) } }
  {
  }
  ~trial_run()
  {
    mDeployment.Stop();
    // Calls that are under way may still use the case's variables.
    SleepMs(300);
  }
  trial_run(trial_run const&) = delete;
  trial_run& operator=(trial_run const&) = delete;

  deployment* operator->() { return &mDeployment; }

private:
  deployment& mDeployment;
};

} // namespace review
