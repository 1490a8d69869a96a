#pragma once

#include "platform/object_store.h"
#include "platform/runner_faults.h"
#include "platform/task_runner.h"

#include <limits>
#include <map>
#include <optional>

namespace rattanpond::platform {

/// Task runner that simulates its tasks. Simulated time advances only in Advance. The command of a
/// task may hold work_ms (without it, the task runs until it is stopped), fail (the task fails when
/// its work is done), used_cores and used_memory_mebibytes (actual usage where it differs from the
/// declared one).
class memory_task_runner : public task_runner
{
public:
  struct options
  {
    std::uint32_t mAccelerators = std::numeric_limits<std::uint32_t>::max();
    /// Reported usage is between one and two of these periods old.
    base::milliseconds mUsageLag{ 5000 };
    /// The runner ends a task that ignores a stop after this time.
    base::milliseconds mForceAfter{ 5000 };
    /// Ended tasks stay listed for this long.
    base::milliseconds mRetention{ 600'000 };
  };

  /// Checkpoints are kept in aObjects, which must outlive the runner.
  memory_task_runner(object_store& aObjects, options aOptions, base::time_point aNow);

  boost::asio::awaitable<base::reply<base::done>> Start(task_start aStart) override;
  boost::asio::awaitable<base::reply<base::done>> Renew(std::string aTask, std::uint64_t aFence,
                                                        base::milliseconds aLease) override;
  boost::asio::awaitable<base::reply<std::string>> Checkpoint(std::string aTask,
                                                              std::uint64_t aFence) override;
  boost::asio::awaitable<base::reply<base::done>> Throttle(std::string aTask, std::uint64_t aFence,
                                                           std::uint32_t aPercent) override;
  boost::asio::awaitable<base::reply<base::done>> Stop(std::string aTask,
                                                       std::uint64_t aFence) override;
  boost::asio::awaitable<base::reply<std::vector<runner_task>>> List() override;

  /// Simulates the tasks until aNow. A task whose lease expires before then ends at the time of
  /// expiry.
  void Advance(base::time_point aNow);

  void Inject(runner_faults aFaults) { mFaults = aFaults; }
  runner_faults const& Faults() const { return mFaults; }
  /// Expires the lease of a task at once. Returns whether there is an active task of this name.
  bool ExpireLease(std::string const& aTask);

  /// Number of tasks started, so that tests can count starts.
  std::uint64_t Starts() const { return mStarts; }

private:
  struct simulated_task
  {
    runner_task mPublic;
    base::time_point mLeaseEnd;
    std::optional<base::time_point> mForceAt;
    base::time_point mEndedAt;
    base::time_point mSampledAt;
    double mSampledCores = 0;
    std::uint64_t mSampledMemory = 0;
    double mUsedCores = 0;
    std::uint64_t mUsedMemory = 0;
    /// Work in milliseconds at the speed of an unthrottled task.
    double mWork = 0;
    std::optional<double> mWorkLimit;
    task_phase mEndPhase = task_phase::finished;
    std::uint32_t mPercent = 100;
    std::uint32_t mCheckpoints = 0;
  };

  /// Returns the task if the fence permits the call, and raises the task's fence to it.
  base::reply<simulated_task*> Admit(std::string const& aTask, std::uint64_t aFence);
  base::reply<base::done> Available() const;
  std::uint32_t UsedAccelerators() const;
  void AdvanceTask(simulated_task& aTask, base::time_point aNow);
  void End(simulated_task& aTask, task_phase aPhase, base::time_point aNow);

  object_store& mObjects;
  options mOptions;
  base::time_point mNow;
  runner_faults mFaults;
  std::map<std::string, simulated_task> mTasks;
  std::uint64_t mStarts = 0;
};

} // namespace rattanpond::platform
