#pragma once

#include "net/frame.h"
#include "scheduling/gang_description.h"
#include "scheduling/member_state.h"
#include "scheduling/term.h"

namespace rattanpond::scheduling {

/// Whether the table row of a submitted job has been written.
enum class job_record
{
  written,
  missing
};

} // namespace rattanpond::scheduling

template<>
struct rattanpond::base::enum_names<rattanpond::scheduling::job_record>
{
  using type = rattanpond::scheduling::job_record;
  static constexpr enum_name<type> kTable[] = { { type::written, "written" },
                                                { type::missing, "missing" } };
};

namespace rattanpond::scheduling {

// Messages between the scheduler and agents, and between entries.

/// Order to an agent to reserve the resources for its part of a gang.
struct reserve
{
  static constexpr net::message_type kType = net::message_type::reserve;

  term mTerm;
  gang_description mGang;
  base::milliseconds mExpiry{ 3000 };

  static constexpr auto Fields()
  {
    return std::make_tuple(base::Field("term", &reserve::mTerm),
                           base::Field("gang", &reserve::mGang),
                           base::Field("expiry_ms", &reserve::mExpiry, { 1, 60'000 }));
  }
};

enum class reserve_stage
{
  reserve,
  commit
};

} // namespace rattanpond::scheduling

template<>
struct rattanpond::base::enum_names<rattanpond::scheduling::reserve_stage>
{
  using type = rattanpond::scheduling::reserve_stage;
  static constexpr enum_name<type> kTable[] = { { type::reserve, "reserve" },
                                                { type::commit, "commit" } };
};

namespace rattanpond::scheduling {

/// Reply to reserve and commit.
struct reserve_reply
{
  static constexpr net::message_type kType = net::message_type::reserve_reply;

  gang_id mGang;
  std::string mWorker;
  reserve_stage mStage = reserve_stage::reserve;
  base::result_code mCode = base::result_code::ok;
  term mHighestTerm;

  static constexpr auto Fields()
  {
    return std::make_tuple(
      base::Field("gang", &reserve_reply::mGang), base::Field("worker", &reserve_reply::mWorker),
      base::Field("stage", &reserve_reply::mStage), base::Field("code", &reserve_reply::mCode),
      base::Field("highest_term", &reserve_reply::mHighestTerm));
  }
};

/// Order to commit a reservation; the gang starts when all its agents have committed theirs.
struct commit
{
  static constexpr net::message_type kType = net::message_type::commit;

  term mTerm;
  gang_id mGang;

  static constexpr auto Fields()
  {
    return std::make_tuple(base::Field("term", &commit::mTerm),
                           base::Field("gang", &commit::mGang));
  }
};

/// Order to release a reservation that is not committed.
struct release
{
  static constexpr net::message_type kType = net::message_type::release;

  term mTerm;
  gang_id mGang;

  static constexpr auto Fields()
  {
    return std::make_tuple(base::Field("term", &release::mTerm),
                           base::Field("gang", &release::mGang));
  }
};

/// Order to checkpoint a gang and stop it within the notice.
struct preempt
{
  static constexpr net::message_type kType = net::message_type::preempt;

  term mTerm;
  gang_id mGang;
  base::milliseconds mNotice{ 0 };
  std::string mReason;

  static constexpr auto Fields()
  {
    return std::make_tuple(
      base::Field("term", &preempt::mTerm), base::Field("gang", &preempt::mGang),
      base::Field("notice_ms", &preempt::mNotice), base::Field("reason", &preempt::mReason));
  }
};

/// Order to stop a gang at once, without a checkpoint.
struct stop_task
{
  static constexpr net::message_type kType = net::message_type::stop_task;

  term mTerm;
  gang_id mGang;
  std::string mReason;

  static constexpr auto Fields()
  {
    return std::make_tuple(base::Field("term", &stop_task::mTerm),
                           base::Field("gang", &stop_task::mGang),
                           base::Field("reason", &stop_task::mReason));
  }
};

/// State of the part of a gang that one worker runs.
struct part_report
{
  gang_description mGang;
  member_state mState = member_state::unknown;
  std::string mReason;
  /// Object store keys of the last checkpoint of each of the worker's ranks; empty if there is
  /// none.
  std::vector<std::string> mCheckpoints;
  /// Estimated completed work; minimum over the ranks.
  base::milliseconds mWork{ 0 };
  /// Work that the last checkpoint preserves; minimum over the ranks.
  base::milliseconds mCheckpointedWork{ 0 };

  static constexpr auto Fields()
  {
    return std::make_tuple(base::Field("gang", &part_report::mGang),
                           base::Field("state", &part_report::mState),
                           base::Field("reason", &part_report::mReason),
                           base::Field("checkpoints", &part_report::mCheckpoints),
                           base::Field("work_ms", &part_report::mWork),
                           base::Field("checkpointed_work_ms", &part_report::mCheckpointedWork));
  }
};

/// Complete list of the gangs of a worker, including recently ended ones. The worker does not hold
/// any gang that is missing from the list.
struct task_report
{
  static constexpr net::message_type kType = net::message_type::task_report;

  std::string mWorker;
  std::vector<part_report> mGangs;

  static constexpr auto Fields()
  {
    return std::make_tuple(base::Field("worker", &task_report::mWorker),
                           base::Field("gangs", &task_report::mGangs));
  }
};

/// Announces the term of the holder of the scheduler role.
struct term_notice
{
  static constexpr net::message_type kType = net::message_type::term_notice;

  std::string mRegion;
  term mTerm;

  static constexpr auto Fields()
  {
    return std::make_tuple(base::Field("region", &term_notice::mRegion),
                           base::Field("term", &term_notice::mTerm));
  }
};

/// Forwards a submission from an entry to the scheduler.
struct job_submit
{
  static constexpr net::message_type kType = net::message_type::job_submit;

  job mJob;
  /// If the row is missing, the scheduler replies only when the gang is committed, or with a
  /// refusal.
  job_record mRecord = job_record::written;

  static constexpr auto Fields()
  {
    return std::make_tuple(base::Field("job", &job_submit::mJob),
                           base::Field("record", &job_submit::mRecord));
  }
};

/// Forwards a cancellation from an entry to the scheduler.
struct job_cancel
{
  static constexpr net::message_type kType = net::message_type::job_cancel;

  std::string mJob;
  /// The workspace of the caller; empty for an operator.
  std::string mWorkspace;

  static constexpr auto Fields()
  {
    return std::make_tuple(base::Field("job", &job_cancel::mJob),
                           base::Field("workspace", &job_cancel::mWorkspace));
  }
};

/// Result of a forwarded submission or cancellation.
struct job_reply
{
  static constexpr net::message_type kType = net::message_type::job_reply;

  std::string mJob;
  base::result_code mCode = base::result_code::ok;

  static constexpr auto Fields()
  {
    return std::make_tuple(base::Field("job", &job_reply::mJob),
                           base::Field("code", &job_reply::mCode));
  }
};

} // namespace rattanpond::scheduling
