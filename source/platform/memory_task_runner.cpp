#include "platform/memory_task_runner.h"

#include <algorithm>
#include <cmath>

namespace rattanpond::platform {

namespace asio = boost::asio;
using base::done;
using base::error;
using base::reply;
using base::result_code;

namespace {

bool IsActive(task_phase aPhase)
{
  return aPhase == task_phase::running || aPhase == task_phase::checkpointing;
}

std::optional<double> Number(base::json const& aDocument, char const* aKey)
{
  if (!aDocument.is_object()) {
    return std::nullopt;
  }
  auto const found = aDocument.find(aKey);
  if (found == aDocument.end() || !found->is_number()) {
    return std::nullopt;
  }
  return std::max(0.0, found->get<double>());
}

bool Flag(base::json const& aDocument, char const* aKey)
{
  return aDocument.is_object() && aDocument.contains(aKey) && aDocument[aKey] == true;
}

double Milliseconds(base::time_point::duration aDuration)
{
  return static_cast<double>(aDuration.count());
}

base::milliseconds WholeMilliseconds(double aWork)
{
  return base::milliseconds{ std::llround(aWork) };
}

} // namespace

memory_task_runner::memory_task_runner(object_store& aObjects, options aOptions,
                                       base::time_point aNow)
  : mObjects{ aObjects }
  , mOptions{ aOptions }
  , mNow{ aNow }
{
}

asio::awaitable<reply<done>> memory_task_runner::Start(task_start aStart)
{
  double work = 0;
  if (!aStart.mCheckpoint.empty()) {
    auto const content = co_await mObjects.Get(aStart.mCheckpoint);
    if (!base::Succeeded(content)) {
      co_return base::Error(content);
    }
    work = Number(base::json::parse(std::get<0>(content), nullptr, false), "work_ms").value_or(0);
  }
  if (auto available = Available(); !base::Succeeded(available)) {
    co_return available;
  }
  if (mTasks.contains(aStart.mTask)) {
    auto const admitted = Admit(aStart.mTask, aStart.mFence);
    if (!base::Succeeded(admitted)) {
      co_return base::Error(admitted);
    }
    auto& existing = *std::get<0>(admitted);
    existing.mLeaseEnd = std::max(existing.mLeaseEnd, mNow + aStart.mLease);
    co_return done{};
  }
  if (aStart.mAccelerators > mOptions.mAccelerators - UsedAccelerators()) {
    co_return error{ result_code::accelerators_taken,
                     "too few free accelerators on the worker for task " + aStart.mTask };
  }
  auto& task = mTasks[aStart.mTask];
  task.mPublic = { .mTask = aStart.mTask,
                   .mFence = aStart.mFence,
                   .mAccelerators = aStart.mAccelerators,
                   .mCores = aStart.mCores,
                   .mMemoryMebibytes = aStart.mMemoryMebibytes,
                   .mCheckpointedWork = WholeMilliseconds(work),
                   .mWork = WholeMilliseconds(work),
                   .mMetadata = std::move(aStart.mMetadata) };
  task.mLeaseEnd = mNow + aStart.mLease;
  task.mSampledAt = mNow;
  task.mUsedCores = Number(aStart.mCommand, "used_cores").value_or(aStart.mCores);
  task.mUsedMemory =
    static_cast<std::uint64_t>(Number(aStart.mCommand, "used_memory_mebibytes")
                                 .value_or(static_cast<double>(aStart.mMemoryMebibytes)));
  task.mWork = work;
  task.mWorkLimit = Number(aStart.mCommand, "work_ms");
  task.mEndPhase = Flag(aStart.mCommand, "fail") ? task_phase::failed : task_phase::finished;
  ++mStarts;
  if (mFaults.mTasks == task_behavior::fails) {
    End(task, task_phase::failed, mNow);
  }
  co_return done{};
}

asio::awaitable<reply<done>> memory_task_runner::Renew(std::string aTask, std::uint64_t aFence,
                                                       base::milliseconds aLease)
{
  auto const admitted = Admit(aTask, aFence);
  if (!base::Succeeded(admitted)) {
    co_return base::Error(admitted);
  }
  auto& task = *std::get<0>(admitted);
  if (task.mPublic.mPhase == task_phase::stopped) {
    co_return error{ result_code::task_lease_lost, "task " + aTask + " has been stopped" };
  }
  task.mLeaseEnd = mNow + aLease;
  co_return done{};
}

asio::awaitable<reply<std::string>> memory_task_runner::Checkpoint(std::string aTask,
                                                                   std::uint64_t aFence)
{
  auto const admitted = Admit(aTask, aFence);
  if (!base::Succeeded(admitted)) {
    co_return base::Error(admitted);
  }
  auto& task = *std::get<0>(admitted);
  auto const work = WholeMilliseconds(task.mWork);
  auto const key = "checkpoint/" + aTask + "/" + std::to_string(++task.mCheckpoints);
  base::json const content = { { "work_ms", work.count() } };
  auto const stored = co_await mObjects.Put(key, content.dump());
  if (!base::Succeeded(stored)) {
    co_return base::Error(stored);
  }
  // The task may have been removed while the object store wrote the checkpoint.
  if (auto const found = mTasks.find(aTask); found != mTasks.end()) {
    found->second.mPublic.mCheckpointedWork = work;
  }
  co_return key;
}

asio::awaitable<reply<done>> memory_task_runner::Throttle(std::string aTask, std::uint64_t aFence,
                                                          std::uint32_t aPercent)
{
  if (aPercent > 100) {
    co_return error{ result_code::invalid_argument, "throttle percentage is greater than 100" };
  }
  auto const admitted = Admit(aTask, aFence);
  if (!base::Succeeded(admitted)) {
    co_return base::Error(admitted);
  }
  std::get<0>(admitted)->mPercent = aPercent;
  co_return done{};
}

asio::awaitable<reply<done>> memory_task_runner::Stop(std::string aTask, std::uint64_t aFence)
{
  auto const admitted = Admit(aTask, aFence);
  if (!base::Succeeded(admitted)) {
    co_return base::Error(admitted);
  }
  auto& task = *std::get<0>(admitted);
  if (!IsActive(task.mPublic.mPhase)) {
    co_return done{};
  }
  if (mFaults.mStops == stop_behavior::obeyed) {
    End(task, task_phase::stopped, mNow);
  } else if (!task.mForceAt) {
    task.mForceAt = mNow + mOptions.mForceAfter;
  }
  co_return done{};
}

asio::awaitable<reply<std::vector<runner_task>>> memory_task_runner::List()
{
  auto const available = Available();
  if (!base::Succeeded(available)) {
    co_return base::Error(available);
  }
  std::vector<runner_task> tasks;
  for (auto const& [name, task] : mTasks) {
    tasks.push_back(task.mPublic);
  }
  co_return tasks;
}

void memory_task_runner::Advance(base::time_point aNow)
{
  if (aNow <= mNow) {
    return;
  }
  for (auto& [name, task] : mTasks) {
    if (IsActive(task.mPublic.mPhase)) {
      AdvanceTask(task, aNow);
    }
  }
  mNow = aNow;
  std::erase_if(mTasks, [&](auto const& aEntry) {
    auto const& task = aEntry.second;
    return !IsActive(task.mPublic.mPhase) && task.mEndedAt + mOptions.mRetention <= mNow;
  });
}

bool memory_task_runner::ExpireLease(std::string const& aTask)
{
  auto const found = mTasks.find(aTask);
  if (found == mTasks.end() || !IsActive(found->second.mPublic.mPhase)) {
    return false;
  }
  End(found->second, task_phase::stopped, mNow);
  return true;
}

reply<memory_task_runner::simulated_task*> memory_task_runner::Admit(std::string const& aTask,
                                                                     std::uint64_t aFence)
{
  if (auto const available = Available(); !base::Succeeded(available)) {
    return base::Error(available);
  }
  auto const found = mTasks.find(aTask);
  if (found == mTasks.end()) {
    return error{ result_code::not_found, "the worker has no task " + aTask };
  }
  auto& fence = found->second.mPublic.mFence;
  if (aFence < fence) {
    return error{ result_code::task_lease_lost, "task " + aTask + " has fence " +
                                                  std::to_string(fence) + ", the call has " +
                                                  std::to_string(aFence) };
  }
  fence = aFence;
  return &found->second;
}

reply<done> memory_task_runner::Available() const
{
  if (mFaults.mAvailability == availability::down) {
    return error{ result_code::runner_unavailable, "the task runner is down" };
  }
  return done{};
}

std::uint32_t memory_task_runner::UsedAccelerators() const
{
  std::uint32_t used = 0;
  for (auto const& [name, task] : mTasks) {
    used += IsActive(task.mPublic.mPhase) ? task.mPublic.mAccelerators : 0;
  }
  return used;
}

void memory_task_runner::AdvanceTask(simulated_task& aTask, base::time_point aNow)
{
  auto const stopAt = aTask.mForceAt ? std::min(aTask.mLeaseEnd, *aTask.mForceAt) : aTask.mLeaseEnd;
  auto const until = std::min(aNow, stopAt);
  auto const speed = aTask.mPercent / 100.0;
  auto const workBefore = aTask.mWork;
  aTask.mWork += Milliseconds(std::max(until - mNow, base::time_point::duration::zero())) * speed;
  if (aTask.mWorkLimit && aTask.mWork >= *aTask.mWorkLimit) {
    aTask.mWork = std::max(*aTask.mWorkLimit, workBefore);
    End(aTask, aTask.mEndPhase, aNow);
    return;
  }
  aTask.mPublic.mWork = WholeMilliseconds(aTask.mWork);
  if (stopAt <= aNow) {
    End(aTask, task_phase::stopped, stopAt);
    return;
  }
  if (aNow - aTask.mSampledAt >= mOptions.mUsageLag) {
    aTask.mPublic.mReportedCores = aTask.mSampledCores;
    aTask.mPublic.mReportedMemoryMebibytes = aTask.mSampledMemory;
    aTask.mSampledAt = aNow;
    aTask.mSampledCores = aTask.mUsedCores * speed;
    aTask.mSampledMemory = aTask.mUsedMemory;
  }
}

void memory_task_runner::End(simulated_task& aTask, task_phase aPhase, base::time_point aNow)
{
  aTask.mPublic.mPhase = aPhase;
  aTask.mPublic.mWork = WholeMilliseconds(aTask.mWork);
  aTask.mPublic.mReportedCores = 0;
  aTask.mPublic.mReportedMemoryMebibytes = 0;
  aTask.mEndedAt = aNow;
}

} // namespace rattanpond::platform
