#pragma once

#include "base/codec.h"
#include "configuration/contract.h"
#include "placement/types.h"

#include <cstdint>
#include <string>
#include <vector>

namespace rattanpond::scheduling {

enum class job_state
{
  queued,
  parked,
  starting,
  running,
  checkpointing,
  finished,
  failed,
  cancelled
};

} // namespace rattanpond::scheduling

template<>
struct rattanpond::base::enum_names<rattanpond::scheduling::job_state>
{
  using type = rattanpond::scheduling::job_state;
  static constexpr enum_name<type> kTable[] = {
    { type::queued, "queued" },
    { type::parked, "parked" },
    { type::starting, "starting" },
    { type::running, "running" },
    { type::checkpointing, "checkpointing" },
    { type::finished, "finished" },
    { type::failed, "failed" },
    { type::cancelled, "cancelled" },
  };
};

namespace rattanpond::scheduling {

/// What a caller submits.
struct job_specification
{
  std::string mWorkspace;
  std::uint32_t mTasks = 1;
  std::uint32_t mAcceleratorsPerTask = 0;
  std::uint32_t mCoresPerTask = 1;
  std::uint64_t mMemoryMebibytesPerTask = 0;
  std::string mKind;
  configuration::adjacency mLevel = configuration::adjacency::same_region;
  std::string mRegion;
  base::milliseconds mDeclaredRunTime{ 0 };
  /// Passed unchanged to the platform's task runner.
  base::json mCommand;

  bool operator==(job_specification const&) const = default;

  placement::gang_shape Shape() const
  {
    return { .mTasks = mTasks,
             .mTask = { .mAccelerators = mAcceleratorsPerTask,
                        .mCores = mCoresPerTask,
                        .mMemoryMebibytes = mMemoryMebibytesPerTask },
             .mKind = mKind,
             .mLevel = mLevel,
             .mRegion = mRegion };
  }

  static constexpr auto Fields()
  {
    return std::make_tuple(
      base::Required("workspace", &job_specification::mWorkspace),
      base::Required("tasks", &job_specification::mTasks, { 1, 4096 }),
      base::Field("accelerators_per_task", &job_specification::mAcceleratorsPerTask, { 0, 1024 }),
      base::Field("cores_per_task", &job_specification::mCoresPerTask, { 0, 65'536 }),
      base::Field("memory_mebibytes_per_task", &job_specification::mMemoryMebibytesPerTask,
                  { 0, 1 << 30 }),
      base::Field("kind", &job_specification::mKind),
      base::Field("level", &job_specification::mLevel),
      base::Field("region", &job_specification::mRegion),
      base::Field("declared_run_time_ms", &job_specification::mDeclaredRunTime,
                  { 0, 31'536'000'000.0 }),
      base::Field("command", &job_specification::mCommand));
  }
};

/// One state transition of a job.
struct job_event
{
  std::int64_t mWallMilliseconds = 0;
  job_state mState = job_state::queued;
  std::string mReason;

  static constexpr auto Fields()
  {
    return std::make_tuple(base::Field("time_ms", &job_event::mWallMilliseconds),
                           base::Field("state", &job_event::mState),
                           base::Field("reason", &job_event::mReason));
  }
};

/// Value of the table row job/<id>.
struct job
{
  std::string mId;
  std::string mKey;
  job_specification mSpecification;
  job_state mState = job_state::queued;
  std::uint64_t mAttempt = 0;
  std::int64_t mSubmittedWallMilliseconds = 0;
  /// Object store keys of the last complete checkpoint, one per rank.
  std::vector<std::string> mCheckpoints;
  base::milliseconds mCheckpointedWork{ 0 };
  std::vector<job_event> mHistory;

  static constexpr auto Fields()
  {
    return std::make_tuple(base::Required("id", &job::mId), base::Required("key", &job::mKey),
                           base::Required("specification", &job::mSpecification),
                           base::Required("state", &job::mState),
                           base::Field("attempt", &job::mAttempt),
                           base::Field("submitted_ms", &job::mSubmittedWallMilliseconds),
                           base::Field("checkpoints", &job::mCheckpoints),
                           base::Field("checkpointed_work_ms", &job::mCheckpointedWork),
                           base::Field("history", &job::mHistory));
  }
};

} // namespace rattanpond::scheduling
