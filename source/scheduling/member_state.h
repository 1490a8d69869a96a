#pragma once

#include "base/enum_names.h"

namespace rattanpond::scheduling {

/// State of the tasks of a gang on one worker, as known to its agent.
enum class member_state
{
  /// The agent has no record of the gang.
  unknown,
  /// Committed; the start gate is closed.
  gate_closed,
  /// Committed; waiting for the first grant.
  waiting,
  starting,
  running,
  /// Writing checkpoints before stopping. After a preemption, the tasks run until every member has
  /// its checkpoint.
  checkpointing,
  checkpointed,
  /// Stopping, regardless of the other members.
  stopping,
  finished,
  /// A task failed on its own.
  failed,
  stopped
};

/// Whether no task of the member can run any more.
constexpr bool IsOver(member_state aState)
{
  return aState == member_state::finished || aState == member_state::failed ||
         aState == member_state::stopped;
}

/// Why a coordinator ends a gang.
enum class break_cause
{
  finished,
  preempted,
  broken
};

} // namespace rattanpond::scheduling

namespace rattanpond::base {

template<>
struct enum_names<scheduling::member_state>
{
  using type = scheduling::member_state;
  static constexpr enum_name<type> kTable[] = {
    { type::unknown, "unknown" },           { type::gate_closed, "gate_closed" },
    { type::waiting, "waiting" },           { type::starting, "starting" },
    { type::running, "running" },           { type::checkpointing, "checkpointing" },
    { type::checkpointed, "checkpointed" }, { type::stopping, "stopping" },
    { type::finished, "finished" },         { type::failed, "failed" },
    { type::stopped, "stopped" },
  };
};

template<>
struct enum_names<scheduling::break_cause>
{
  using type = scheduling::break_cause;
  static constexpr enum_name<type> kTable[] = { { type::finished, "finished" },
                                                { type::preempted, "preempted" },
                                                { type::broken, "broken" } };
};

} // namespace rattanpond::base
