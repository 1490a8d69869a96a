#include "deployment.h"

#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr int kCallerPort = 8521;
constexpr int kReadinessPort = 8523;
constexpr int kControlPort = 8526;
constexpr int kWorkerPort = 8529;
constexpr int kStorePort = 8524;
constexpr int kFirstInternalPort = 7000;
constexpr int kLastInternalPort = 7015;
constexpr int kFronts = 3;
constexpr std::int64_t kDeadlineMs = 3000;
constexpr char const* kService = "service-1";
char const* const kZones[] = { "zone-a", "zone-b", "zone-c" };

} // namespace

record::record(std::string const& aPath)
  : mFile{ std::fopen(aPath.c_str(), "w") }
{
  if (mFile == nullptr) {
    throw std::runtime_error{ "cannot write " + aPath };
  }
}

record::~record()
{
  std::fclose(mFile);
}

void record::Line(std::string const& aText)
{
  std::lock_guard const lock{ mMutex };
  std::fprintf(mFile, "%8.3f %s\n", static_cast<double>(NowMs()) / 1000.0, aText.c_str());
  std::fflush(mFile);
}

node::node(std::string aRole, json const& aSettings, std::string const& aFolder)
  : mRole{ std::move(aRole) }
  , mName{ aSettings.at("node").get<std::string>() }
  , mAddress{ aSettings.at("ip").get<std::string>() }
  , mSettingsPath{ aFolder + "/" + mName + ".json" }
  , mLogPath{ aFolder + "/" + mName + ".log" }
{
  std::ofstream{ mSettingsPath } << aSettings.dump();
  Start();
}

node::~node()
{
  Kill();
}

void node::Start()
{
  auto const child = fork();
  if (child == 0) {
    // The process ends with this one, however that ends.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    auto const log = open(mLogPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    setenv("RATTANPOND_CONFIG", mSettingsPath.c_str(), 1);
    execl("target/rattanpond-node", "target/rattanpond-node", mRole.c_str(), nullptr);
    _exit(127);
  }
  mProcess = child;
}

void node::Kill()
{
  if (mProcess > 0) {
    kill(mProcess, SIGKILL);
    waitpid(mProcess, nullptr, 0);
    mProcess = 0;
  }
}

deployment::deployment(options aOptions)
  : mOptions{ std::move(aOptions) }
  , mRecord{ mOptions.mRecordPath }
{
  char folder[] = "/tmp/review-XXXXXX";
  if (mkdtemp(folder) == nullptr) {
    throw std::runtime_error{ "no temporary folder" };
  }
  mFolder = folder;
  // A network of its own for each process, so that cases can run beside each other.
  auto const number = static_cast<int>(getpid());
  mNetwork = "127." + std::to_string(20 + number / 250 % 200) + "." + std::to_string(number % 250);
  auto const storeAddress = mNetwork + ".1";
  mStore = std::make_unique<store>(storeAddress, kStorePort);
  Configure();
  json const base{ { "bootstrap", true },
                   { "heartbeat_ms", worker::kHeartbeatMs },
                   { "orders", "call" },
                   { "internal_ports", { kFirstInternalPort, kLastInternalPort } },
                   { "seeds", json::array() },
                   { "limits", { { "memory_mb", 260 }, { "max_fds", 4100 } } },
                   { "bounds",
                     { { "hold_max_ms", 10'000 },
                       { "stop_grace_ms", 400 },
                       { "gang_timeout_ms", 3000 },
                       { "cancel_ms", 3000 },
                       { "revoke_ms", 5000 },
                       { "config_apply_ms", 2000 },
                       { "strict_revoke", true },
                       { "grace_s", 6 },
                       { "status_s", 120 },
                       { "drain_ms", 2000 } } },
                   { "platform",
                     { { "address", storeAddress + ":" + std::to_string(kStorePort) },
                       { "form", "table" },
                       { "row_bytes", 65536 },
                       { "history_s", 20 } } } };
  for (int index = 0; index < mOptions.mSides; ++index) {
    auto const address = mNetwork + "." + std::to_string(20 + index);
    auto settings = base;
    settings["node"] =
      std::string{ "side-" } + kZones[index % kFronts] + "-" + std::to_string(index / kFronts + 1);
    settings["role"] = "side";
    settings["machine_class"] = "side";
    settings["serves"] = { "side" };
    settings["ip"] = address;
    settings["zone"] = kZones[index % kFronts];
    settings["listen"] = { { "control", address + ":" + std::to_string(kControlPort) } };
    settings["app"] = address + ":" + std::to_string(kWorkerPort);
    settings["service"] = kService;
    mSides.push_back(std::make_unique<node>("side", settings, mFolder));
    mWorkers.push_back(std::make_unique<worker>(
      worker::options{ .mAddress = address,
                       .mPort = kWorkerPort,
                       .mControlPort = kControlPort,
                       .mId = "i-" + std::to_string(index + 1),
                       .mService = kService,
                       .mZone = kZones[index % kFronts],
                       .mKind = static_cast<std::size_t>(index) < mOptions.mKinds.size()
                                  ? mOptions.mKinds[static_cast<std::size_t>(index)]
                                  : "a",
                       .mRack = "r" + std::to_string(index / kFronts + 1),
                       .mCapacity = { { "cpu", 128'000 }, { "mem_mb", 262'144 }, { "gpu", 8 } },
                       .mObserver = this }));
  }
  for (int index = 0; index < kFronts; ++index) {
    auto const address = mNetwork + "." + std::to_string(10 + index);
    auto settings = base;
    settings["node"] = std::string{ "front-" } + kZones[index] + "-1";
    settings["role"] = "front";
    settings["machine_class"] = "front";
    settings["serves"] = { "front" };
    settings["ip"] = address;
    settings["zone"] = kZones[index];
    settings["listen"] = { { "frontend", address + ":" + std::to_string(kCallerPort) },
                           { "readiness", address + ":" + std::to_string(kReadinessPort) } };
    mFronts.push_back(std::make_unique<node>("front", settings, mFolder));
  }
}

deployment::~deployment()
{
  mFronts.clear();
  mSides.clear();
  mWorkers.clear();
  mStore.reset();
  if (std::getenv("KEEP_LOGS") == nullptr) {
    std::error_code ignored;
    std::filesystem::remove_all(mFolder, ignored);
  }
}

int deployment::Configure(std::set<std::string> const& aWithout)
{
  mVersion += 3;
  json routes = json::array();
  for (auto const& queue : mOptions.mQueues) {
    if (!aWithout.contains(queue.mName)) {
      routes.push_back({ { "name", queue.mName },
                         { "host", kHost },
                         { "prefix", queue.mPrefix },
                         { "kind", "non_idempotent" },
                         { "timeout_ms", 3000 },
                         { "target_duration_ms", 3000 },
                         { "priority", queue.mPriority },
                         { "service", kService },
                         { "max_attempts", queue.mMaximumAttempts },
                         { "stretch", 3.0 },
                         { "public", false } });
    }
  }
  json const configuration{
    { "version", mVersion },
    { "routes", routes },
    { "services",
      { { { "name", kService }, { "rejects_overload", true }, { "standby", false } } } },
    { "limits", { { "max_body_bytes", 262'144 } } },
    { "tenants",
      { { { "name", "tenant-1" }, { "keys", { kKey } }, { "guaranteed", { { "gpu", 8 } } } } } }
  };
  mStore->Put("op", "config", configuration.dump());
  std::string names;
  for (auto const& route : routes) {
    names += " " + route.at("name").get<std::string>();
  }
  mRecord.Line("operator: configuration " + std::to_string(mVersion) +
               " acknowledged, routes:" + names);
  return mVersion;
}

bool deployment::AwaitReady(std::int64_t aTimeoutMs)
{
  auto const deadline = NowMs() + aTimeoutMs;
  for (auto const& front : mFronts) {
    while (Call(front->Address(), kReadinessPort, "GET", "/api/ready", {}, "", 500).mStatus !=
           200) {
      if (NowMs() > deadline) {
        return false;
      }
      SleepMs(50);
    }
  }
  return true;
}

http_response deployment::ClientCall(std::string const& aMethod, std::string const& aTarget,
                                     std::string const& aBody, int aFront)
{
  auto const index = aFront >= 0 ? static_cast<std::size_t>(aFront) : mNextFront++ % mFronts.size();
  auto const answer = Call(
    mFronts[index]->Address(), kCallerPort, aMethod, aTarget,
    { { "Host", kHost }, { "Api-Key", kKey }, { "X-Deadline-Ms", std::to_string(kDeadlineMs) } },
    aBody, kDeadlineMs);
  mRecord.Line("client: " + aMethod + " " + aTarget + " at " + mFronts[index]->Name() + ": " +
               (answer.mStatus == 0 ? "no answer" : std::to_string(answer.mStatus)) + " " +
               answer.mBody.substr(0, 100));
  return answer;
}

http_response deployment::Submit(std::string const& aPrefix, std::string const& aId,
                                 json const& aBody, int aFront)
{
  RegisterJob(aId, aBody);
  return ClientCall("POST", aPrefix + aId, aBody.dump(), aFront);
}

http_response deployment::Get(std::string const& aPrefix, std::string const& aId, int aFront)
{
  return ClientCall("GET", aPrefix + aId, "", aFront);
}

std::string deployment::State(std::string const& aPrefix, std::string const& aId, int aFront)
{
  auto const answer = Get(aPrefix, aId, aFront);
  auto const body = json::parse(answer.mBody, nullptr, false);
  if (answer.mStatus == 200 && body.is_object()) {
    return body.value("state", std::string{ "unreadable" });
  }
  return "status " + std::to_string(answer.mStatus);
}

int deployment::SendHeartbeat(std::size_t aSide, std::string const& aWorker,
                              std::string const& aService)
{
  auto const born = std::chrono::duration_cast<std::chrono::milliseconds>(
                      std::chrono::system_clock::now().time_since_epoch())
                      .count();
  json const beat{ { "service", aService },
                   { "address", mNetwork + ".200:" + std::to_string(kWorkerPort) },
                   { "zone", kZones[aSide % kFronts] },
                   { "version", "v1" },
                   { "slots", 8 },
                   { "state", "ready" },
                   { "cold_left_ms", 0 },
                   { "capacity", { { "cpu", 16'000 }, { "mem_mb", 32'768 }, { "gpu", 0 } } },
                   { "labels", { "a", "r9" } },
                   { "clock_ms", 1000 },
                   { "born", born },
                   { "seq", 1 } };
  return PutHeartbeat(aSide, aWorker, beat);
}

int deployment::SendHighSequence(std::size_t aSide)
{
  json const beat{ { "service", kService },
                   { "address", mSides[aSide]->Address() + ":" + std::to_string(kWorkerPort) },
                   { "zone", kZones[aSide % kFronts] },
                   { "state", "ready" },
                   { "capacity", { { "cpu", 128'000 }, { "mem_mb", 262'144 }, { "gpu", 8 } } },
                   { "born", mWorkers[aSide]->Born() },
                   { "seq", 1'000'000'000 } };
  return PutHeartbeat(aSide, mWorkers[aSide]->Id(), beat);
}

int deployment::PutHeartbeat(std::size_t aSide, std::string const& aWorker, json const& aBeat)
{
  auto const answer = Call(mSides[aSide]->Address(), kControlPort, "PUT",
                           "/api/instances/" + aWorker, {}, aBeat.dump(), 1000);
  mRecord.Line("another program: PUT /api/instances/" + aWorker + " at " + mSides[aSide]->Name() +
               ": " + std::to_string(answer.mStatus) + ", " + aBeat.dump());
  return answer.mStatus;
}

run_plan deployment::Plan(std::string const& aTask, std::uint32_t aRun)
{
  return mPlan ? mPlan(aTask, aRun) : run_plan{};
}

void deployment::Started(std::string const& aWorker, std::string const& aTask, std::uint32_t aRun)
{
  mRecord.Line("worker " + aWorker + ": start " + aTask + " run " + std::to_string(aRun));
  std::lock_guard const lock{ mMutex };
  mEvents.push_back({ NowMs(), aWorker, aTask, aRun, {} });
}

void deployment::Ended(std::string const& aWorker, std::string const& aTask, std::uint32_t aRun,
                       std::string const& aEnd)
{
  mRecord.Line("worker " + aWorker + ": end " + aTask + " run " + std::to_string(aRun) + " " +
               aEnd);
  std::lock_guard const lock{ mMutex };
  mEvents.push_back({ NowMs(), aWorker, aTask, aRun, aEnd });
}

std::vector<deployment::run_event> deployment::Events()
{
  std::lock_guard const lock{ mMutex };
  return mEvents;
}

std::string JobId(int aNumber)
{
  char text[17];
  std::snprintf(text, sizeof text, "%016x", static_cast<unsigned>(aNumber));
  return text;
}

} // namespace review
