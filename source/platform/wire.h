#pragma once

#include "platform/table_service.h"
#include "platform/task_runner.h"

// Bodies of the platform's HTTP interface that are not part of the services' own types. The paths
// are listed in docs/platform.md.

namespace rattanpond::platform {

struct rows_answer
{
  std::vector<table_row> mRows;

  static constexpr auto Fields()
  {
    return std::make_tuple(base::Required("rows", &rows_answer::mRows));
  }
};

struct tasks_answer
{
  std::vector<runner_task> mTasks;

  static constexpr auto Fields()
  {
    return std::make_tuple(base::Required("tasks", &tasks_answer::mTasks));
  }
};

struct checkpoint_answer
{
  std::string mKey;

  static constexpr auto Fields()
  {
    return std::make_tuple(base::Required("key", &checkpoint_answer::mKey));
  }
};

/// Body of the calls on one task.
struct task_call
{
  std::uint64_t mFence = 0;
  std::optional<base::milliseconds> mLease;
  std::optional<std::uint32_t> mPercent;

  static constexpr auto Fields()
  {
    return std::make_tuple(base::Required("fence", &task_call::mFence),
                           base::Field("lease_ms", &task_call::mLease),
                           base::Field("percent", &task_call::mPercent));
  }
};

} // namespace rattanpond::platform
