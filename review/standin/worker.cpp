#include "worker.h"

#include <algorithm>
#include <chrono>

namespace review {

namespace {

constexpr std::int64_t kMaximumLeaseMs = 10'000;
constexpr std::int64_t kStopMs = 380;
constexpr std::int64_t kTickMs = 5;

std::mutex sJobsMutex;
std::map<std::string, json> sJobs;

json DemandOf(std::string const& aTask)
{
  std::lock_guard const lock{ sJobsMutex };
  auto const jobEnd = aTask.find('.');
  auto const stepStart = aTask.find('.', jobEnd + 1) + 1;
  auto const found = sJobs.find(aTask.substr(0, jobEnd));
  auto const step = std::stoul(aTask.substr(stepStart));
  if (found == sJobs.end() || step >= found->second.at("steps").size()) {
    return { { "cpu", 0 }, { "mem_mb", 0 }, { "gpu", 0 } };
  }
  auto const& shape = found->second.at("steps")[step];
  return { { "cpu", shape.value("cpu", 0) },
           { "mem_mb", shape.value("mem_mb", 0) },
           { "gpu", shape.value("gpu", 0) } };
}

} // namespace

void RegisterJob(std::string const& aId, json const& aBody)
{
  std::lock_guard const lock{ sJobsMutex };
  sJobs[aId] = aBody;
}

worker::worker(options aOptions)
  : mOptions{ std::move(aOptions) }
{
  Begin(0);
  mServer = std::make_unique<http_server>(
    mOptions.mAddress, mOptions.mPort,
    [this](http_request const& aRequest) { return Handle(aRequest); });
  mTicker = std::thread{ [this] {
    while (!mIsEnding) {
      SleepMs(kTickMs);
      std::unique_lock lock{ mMutex };
      if (HasDeadlyRun()) {
        mBackAtMs = NowMs() + kDownMs;
        lock.unlock();
        Crash();
      } else if (mBackAtMs != 0 && NowMs() >= mBackAtMs) {
        mBackAtMs = 0;
        lock.unlock();
        Restart();
      } else {
        Advance();
      }
    }
  } };
  mHeartbeats = std::thread{ [this] {
    while (!mIsEnding) {
      SleepMs(kTickMs);
      SendHeartbeat();
    }
  } };
}

worker::~worker()
{
  mIsEnding = true;
  mTicker.join();
  mHeartbeats.join();
  {
    std::lock_guard const lock{ mMutex };
    mIsOn = false;
  }
  mChanged.notify_all();
  if (mServer) {
    mFormerServers.push_back(std::move(mServer));
  }
  for (auto const& server : mFormerServers) {
    server->Stop();
    server->AwaitHandlers();
  }
}

void worker::Begin(std::int64_t aFirstHeartbeatMs)
{
  mBornAtMs = NowMs();
  mBorn = std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count();
  mSequence = 0;
  mNextHeartbeatMs = NowMs() + aFirstHeartbeatMs;
  mFence = 0;
  mDeadline = 0;
  mNextEnd = 1;
  mHighestRun.clear();
  mEnds.clear();
}

void worker::Crash()
{
  std::lock_guard const lock{ mMutex };
  mIsOn = false;
  for (auto const& [task, active] : mRuns) {
    mOptions.mObserver->Ended(mOptions.mId, task, active.mRun, "lost with its worker");
  }
  mRuns.clear();
  if (mServer) {
    mServer->Stop();
    mFormerServers.push_back(std::move(mServer));
  }
  mChanged.notify_all();
}

void worker::Restart(std::int64_t aFirstHeartbeatMs)
{
  auto server = std::make_unique<http_server>(
    mOptions.mAddress, mOptions.mPort,
    [this](http_request const& aRequest) { return Handle(aRequest); });
  std::lock_guard const lock{ mMutex };
  mServer = std::move(server);
  Begin(aFirstHeartbeatMs);
  mIsOn = true;
}

void worker::SendHeartbeat()
{
  json beat;
  {
    std::lock_guard const lock{ mMutex };
    if (!mIsOn || NowMs() < mNextHeartbeatMs) {
      return;
    }
    mNextHeartbeatMs = NowMs() + kHeartbeatMs;
    beat = { { "service", mOptions.mService },
             { "address", mOptions.mAddress + ":" + std::to_string(mOptions.mPort) },
             { "zone", mOptions.mZone },
             { "version", "v1" },
             { "slots", 8 },
             { "state", mState },
             { "cold_left_ms", 0 },
             { "capacity", mOptions.mCapacity },
             { "labels", { mOptions.mKind, mOptions.mRack } },
             { "clock_ms", Clock() },
             { "born", mBorn },
             { "seq", ++mSequence } };
  }
  auto const answer = Call(mOptions.mAddress, mOptions.mControlPort, "PUT",
                           "/api/instances/" + mOptions.mId, {}, beat.dump(), 1000);
  if (answer.mStatus / 100 != 2) {
    // The side isn't there yet.
    std::lock_guard const lock{ mMutex };
    mNextHeartbeatMs = NowMs() + kHeartbeatMs / 10;
  } else if (beat.at("state") == "draining") {
    std::lock_guard const lock{ mMutex };
    mDrainAcknowledgedMs = NowMs();
  }
}

void worker::Drain()
{
  std::unique_lock lock{ mMutex };
  mState = "draining";
  mNextHeartbeatMs = NowMs();
  while (mDrainAcknowledgedMs == 0) {
    lock.unlock();
    SleepMs(kTickMs);
    lock.lock();
  }
}

std::int64_t worker::Born()
{
  std::lock_guard const lock{ mMutex };
  return mBorn;
}

bool worker::HasDeadlyRun() const
{
  return mIsOn && std::ranges::any_of(mRuns, [](auto const& aEntry) {
           auto const& active = aEntry.second;
           return active.mPlan.mIsDeadly && NowMs() >= active.mStartedMs + active.mPlan.mWorkMs;
         });
}

void worker::Advance()
{
  if (!mIsOn) {
    return;
  }
  auto const now = NowMs();
  std::vector<std::pair<std::string, std::string>> ended;
  for (auto const& [task, active] : mRuns) {
    if (Clock() > mDeadline) {
      ended.emplace_back(task, "lapsed");
    } else if (active.mStopAtMs >= 0 && now >= active.mStopAtMs) {
      ended.emplace_back(task, "stopped");
    } else if (now >= active.mStartedMs + active.mPlan.mWorkMs) {
      ended.emplace_back(task, active.mPlan.mFails ? "failed" : "done");
    }
  }
  for (auto const& [task, kind] : ended) {
    auto const number = mRuns.at(task).mRun;
    mHighestRun[task] = std::max(mHighestRun[task], number);
    mRuns.erase(task);
    mEnds.push_back({ mNextEnd++, task, number, kind });
    mOptions.mObserver->Ended(mOptions.mId, task, number, kind);
  }
  if (!ended.empty()) {
    mChanged.notify_all();
  }
}

http_response worker::Answer(int aStatus, std::string const& aReason) const
{
  json body{ { "clock_ms", Clock() }, { "born", mBorn } };
  if (!aReason.empty()) {
    body["reason"] = aReason;
  }
  return { .mStatus = aStatus, .mBody = body.dump() };
}

http_response worker::Handle(http_request const& aRequest)
{
  auto const body = json::parse(aRequest.mBody, nullptr, false);
  std::unique_lock lock{ mMutex };
  if (!mIsOn) {
    return { .mStatus = 0, .mBody = {} };
  }
  auto const expected = aRequest.mHeaders.find("x-expect-instance");
  if (expected != aRequest.mHeaders.end() && expected->second != mOptions.mId) {
    return Answer(421);
  }
  if (!body.is_object()) {
    return Answer(400);
  }
  if (IsFenced(body)) {
    return Answer(409, "fence");
  }
  if (aRequest.Path() == "/api/run-start") {
    return Start(body);
  }
  if (aRequest.Path() == "/api/run-stop") {
    return Stop(body);
  }
  if (aRequest.Path() == "/api/hold") {
    return Hold(body, lock);
  }
  return Answer(404);
}

bool worker::IsFenced(json const& aBody)
{
  auto const fence = aBody.value("fence", std::uint64_t{ 0 });
  if (fence < mFence) {
    return true;
  }
  mFence = fence;
  return false;
}

http_response worker::Start(json const& aBody)
{
  auto const task = aBody.at("task").get<std::string>();
  auto const number = aBody.at("run").get<std::uint32_t>();
  auto const deadline = aBody.at("deadline_ms").get<std::int64_t>();
  if (deadline <= Clock()) {
    return Answer(409, "late");
  }
  mDeadline = std::max(mDeadline, std::min(deadline, Clock() + kMaximumLeaseMs));
  if (auto const found = mRuns.find(task); found != mRuns.end()) {
    return found->second.mRun == number ? Answer(200) : Answer(409, "old");
  }
  if (auto const highest = mHighestRun.find(task);
      highest != mHighestRun.end() && number <= highest->second) {
    return Answer(409, "old");
  }
  auto const demand = DemandOf(task);
  for (auto const* const kind : { "cpu", "mem_mb", "gpu" }) {
    auto used = demand.at(kind).get<std::int64_t>();
    for (auto const& [other, active] : mRuns) {
      used += active.mDemand.at(kind).get<std::int64_t>();
    }
    if (used > mOptions.mCapacity.at(kind).get<std::int64_t>()) {
      return Answer(409, "room");
    }
  }
  mRuns[task] = { .mRun = number,
                  .mDemand = demand,
                  .mStartedMs = NowMs(),
                  .mPlan = mOptions.mObserver->Plan(task, number) };
  mOptions.mObserver->Started(mOptions.mId, task, number);
  return Answer(200);
}

http_response worker::Stop(json const& aBody)
{
  auto const task = aBody.at("task").get<std::string>();
  auto const number = aBody.at("run").get<std::uint32_t>();
  mHighestRun[task] = std::max(mHighestRun[task], number);
  auto const found = mRuns.find(task);
  if (found != mRuns.end() && found->second.mRun <= number && found->second.mStopAtMs < 0) {
    found->second.mStopAtMs = NowMs() + kStopMs;
  }
  return Answer(200);
}

http_response worker::Hold(json const& aBody, std::unique_lock<std::mutex>& aLock)
{
  auto const acknowledged = aBody.value("ack_cursor", std::int64_t{ 0 });
  std::erase_if(mEnds, [&](end const& aEnd) { return aEnd.mNumber <= acknowledged; });
  auto const deadline = aBody.value("deadline_ms", std::int64_t{ 0 });
  mDeadline = std::max(mDeadline, std::min(deadline, Clock() + kMaximumLeaseMs));
  auto const born = mBorn;
  auto const until = NowMs() + aBody.value("wait_ms", std::int64_t{ 0 });
  while (mIsOn && born == mBorn && mEnds.empty() && NowMs() < until) {
    mChanged.wait_for(aLock, std::chrono::milliseconds{ std::max<std::int64_t>(
                               1, std::min<std::int64_t>(until - NowMs(), kTickMs)) });
  }
  if (!mIsOn || born != mBorn) {
    return { .mStatus = 0, .mBody = {} };
  }
  json running = json::array();
  for (auto const& [task, active] : mRuns) {
    auto const percent = std::min<std::int64_t>(
      100, 100 * (NowMs() - active.mStartedMs) / std::max<std::int64_t>(1, active.mPlan.mWorkMs));
    running.push_back({ task, active.mRun, "", percent, active.mDemand.at("cpu") });
  }
  json finished = json::array();
  for (auto const& one : mEnds) {
    if (finished.size() < 500) {
      finished.push_back({ one.mNumber, one.mTask, one.mRun, one.mEnd, "" });
    }
  }
  return { .mStatus = 200,
           .mBody = json{ { "clock_ms", Clock() },
                          { "born", mBorn },
                          { "running", running },
                          { "finished", finished } }
                      .dump() };
}

} // namespace review
