#pragma once

#include "base/codec.h"

#include <cstdint>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

namespace rattanpond::platform {

enum class task_phase
{
  running,
  checkpointing,
  stopped,
  finished,
  failed
};

/// A task as the task runner of its worker lists it.
struct runner_task
{
  /// Unique for each attempt of each member, e.g. "<job>/<attempt>/<rank>".
  std::string mTask;
  /// Larger than the fence of any earlier holder; calls with a smaller fence are refused.
  std::uint64_t mFence = 0;
  task_phase mPhase = task_phase::running;
  std::uint32_t mAccelerators = 0;
  std::uint32_t mCores = 0;
  std::uint64_t mMemoryMebibytes = 0;
  /// Work preserved by the last checkpoint, and the current estimate of the work done.
  base::milliseconds mCheckpointedWork{ 0 };
  base::milliseconds mWork{ 0 };
  /// Last reported usage; it lags by some seconds.
  double mReportedCores = 0;
  std::uint64_t mReportedMemoryMebibytes = 0;
  /// Opaque to the runner; the agent stores the gang's roster here.
  base::json mMetadata;

  static constexpr auto Fields()
  {
    return std::make_tuple(
      base::Required("task", &runner_task::mTask), base::Required("fence", &runner_task::mFence),
      base::Field("phase", &runner_task::mPhase),
      base::Field("accelerators", &runner_task::mAccelerators),
      base::Field("cores", &runner_task::mCores),
      base::Field("memory_mebibytes", &runner_task::mMemoryMebibytes),
      base::Field("checkpointed_work_ms", &runner_task::mCheckpointedWork),
      base::Field("work_ms", &runner_task::mWork),
      base::Field("reported_cores", &runner_task::mReportedCores),
      base::Field("reported_memory_mebibytes", &runner_task::mReportedMemoryMebibytes),
      base::Field("metadata", &runner_task::mMetadata));
  }
};

/// Parameters of a task's start. The runner stops the task when its lease is not renewed in time.
struct task_start
{
  std::string mTask;
  std::uint64_t mFence = 0;
  base::milliseconds mLease{ 10'000 };
  std::uint32_t mAccelerators = 0;
  std::uint32_t mCores = 0;
  std::uint64_t mMemoryMebibytes = 0;
  /// The work that the stand-in simulates; a real runner reads the command from here.
  base::json mCommand;
  /// Object store key of the checkpoint to resume from, or empty.
  std::string mCheckpoint;
  base::json mMetadata;

  static constexpr auto Fields()
  {
    return std::make_tuple(base::Required("task", &task_start::mTask),
                           base::Required("fence", &task_start::mFence),
                           base::Field("lease_ms", &task_start::mLease, { 100, 3'600'000 }),
                           base::Field("accelerators", &task_start::mAccelerators),
                           base::Field("cores", &task_start::mCores),
                           base::Field("memory_mebibytes", &task_start::mMemoryMebibytes),
                           base::Field("command", &task_start::mCommand),
                           base::Field("checkpoint", &task_start::mCheckpoint),
                           base::Field("metadata", &task_start::mMetadata));
  }
};

/// The platform's task runner on one worker. Every call is idempotent for a task and its fence.
class task_runner
{
public:
  virtual ~task_runner() = default;

  virtual boost::asio::awaitable<base::reply<base::done>> Start(task_start aStart) = 0;
  virtual boost::asio::awaitable<base::reply<base::done>> Renew(std::string aTask,
                                                                std::uint64_t aFence,
                                                                base::milliseconds aLease) = 0;
  /// Writes a checkpoint to the object store and returns its key.
  virtual boost::asio::awaitable<base::reply<std::string>> Checkpoint(std::string aTask,
                                                                      std::uint64_t aFence) = 0;
  virtual boost::asio::awaitable<base::reply<base::done>> Throttle(std::string aTask,
                                                                   std::uint64_t aFence,
                                                                   std::uint32_t aPercent) = 0;
  virtual boost::asio::awaitable<base::reply<base::done>> Stop(std::string aTask,
                                                               std::uint64_t aFence) = 0;
  virtual boost::asio::awaitable<base::reply<std::vector<runner_task>>> List() = 0;
};

} // namespace rattanpond::platform

template<>
struct rattanpond::base::enum_names<rattanpond::platform::task_phase>
{
  using phase = rattanpond::platform::task_phase;
  static constexpr enum_name<phase> kTable[] = { { phase::running, "running" },
                                                 { phase::checkpointing, "checkpointing" },
                                                 { phase::stopped, "stopped" },
                                                 { phase::finished, "finished" },
                                                 { phase::failed, "failed" } };
};
