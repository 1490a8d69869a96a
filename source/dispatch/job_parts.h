#pragma once

#include "dispatch/job.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace rattanpond::dispatch {

/// Where the state of a job with many tasks is kept: in parts, one row each, of a fixed number of
/// tasks, so that no row outgrows the store's limit and a change rewrites one part only.
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

/// What is known of the row of one part.
struct stored_part
{
  /// Fingerprint of a part whose stored content is not that of the job in memory.
  static constexpr std::uint64_t kUnknown = ~std::uint64_t{ 0 };

  /// 0 if there is no row.
  std::uint64_t mVersion = 0;
  /// Of the states in the row; 0 if all are the initial one, as without a row.
  std::uint64_t mFingerprint = 0;
};

/// A part to store.
struct part_change
{
  std::uint32_t mPart = 0;
  std::uint64_t mExpectedVersion = 0;
  std::uint64_t mFingerprint = 0;
  std::string mText{};
};

/// What one transaction stores of a job.
struct state_change
{
  /// The row with the phase; written only together with the last part, so that a final phase is
  /// never stored before the states that led to it.
  std::optional<std::string> mState{};
  std::vector<part_change> mParts{};
  /// Changed parts that are left for later transactions.
  std::set<std::uint32_t> mOpenParts{};
};

} // namespace rattanpond::dispatch
