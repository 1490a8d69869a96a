#pragma once

#include "dispatch/checkpoint_rows.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace rattanpond::dispatch {

/// Splits the tasks of a large job into parts of fixed size. Each part is stored in a row of its
/// own, so that no row exceeds the store's limit and a change rewrites one part only.
class job_parts
{
public:
  /// Jobs with at most this many tasks have one row for their whole state.
  static constexpr std::size_t kTasksInOneRow = 128;
  static constexpr std::size_t kTasksPerPart = 64;

  explicit job_parts(job_description const& aJob);

  /// Number of parts; 0 for a job with one row.
  std::uint32_t Count() const { return mCount; }
  std::uint32_t PartOf(task_position const& aPosition) const;
  /// The tasks of a part in the order of the job.
  std::vector<task_position> TasksOf(std::uint32_t aPart) const;

private:
  /// Number of tasks of one occurrence that precede each step, and of all of them.
  std::vector<std::size_t> mStepOffsets;
  std::size_t mTasksPerOccurrence = 0;
  std::size_t mTasks = 0;
  std::uint32_t mCount = 0;
};

/// The last known content of a part's row in the store.
struct stored_part
{
  /// Never equal to the fingerprint of a part in memory, so that the part is written again.
  static constexpr std::uint64_t kUnknown = ~std::uint64_t{ 0 };

  /// Version of the row; 0 if the part has none.
  std::uint64_t mVersion = 0;
  /// Hash of the task states in the row. 0 if no task of the part has had a run, or without a row.
  std::uint64_t mFingerprint = 0;
};

/// A part whose states differ from its row, encoded for the next transaction.
struct part_change
{
  std::uint32_t mPart = 0;
  std::uint64_t mExpectedVersion = 0;
  std::uint64_t mFingerprint = 0;
  std::string mText{};
};

/// What one transaction may write of a job.
struct change_limits
{
  std::size_t mParts = 0;
  /// Bytes after which no further row begins; one part is written in any case.
  std::size_t mBytes = 0;
  std::size_t mRowBytes = 0;
};

/// The rows of a job that one transaction writes.
struct state_change
{
  /// The row with the phase; written only together with the last part, so that a final phase is
  /// never stored before the states that led to it.
  std::optional<std::string> mState{};
  std::vector<part_change> mParts{};
  /// Changed parts that did not fit into this transaction.
  std::set<std::uint32_t> mOpenParts{};
  /// Checkpoints that do not fit into the rows above. They may be stored later than the states;
  /// until then, a task can start from an earlier checkpoint or from the beginning.
  checkpoint_rows::change mCheckpoints{};
};

} // namespace rattanpond::dispatch
