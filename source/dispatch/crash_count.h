#pragma once

#include <cstdint>

namespace rattanpond::dispatch {

/// Workers that crashed while a run of a task had hardly begun there, since the last run of the
/// task that outlived its probation. Tells a task that crashes workers from one that ran beside it.
struct crash_count
{
  std::uint32_t mCrashes = 0;
  /// Those crashes with no other job's run on probation on the worker.
  std::uint32_t mAlone = 0;

  bool operator==(crash_count const&) const = default;

  void Add(bool aIsAlone)
  {
    ++mCrashes;
    mAlone += aIsAlone ? 1 : 0;
  }

  /// Whether the task is the cause, so that its job fails. A crash may have another cause, and one
  /// beside other runs theirs; the second bound holds for tasks that are never alone.
  bool IsCause() const
  {
    return (mCrashes >= kCrashes && mAlone >= kCrashesAlone) || mCrashes >= kCrashesBesideOthers;
  }

  /// Whether the next run starts on a worker without other runs, which receives none meanwhile.
  /// aHasProvenRun: a run of the same job has outlived its probation, so that its tasks do not
  /// crash workers in general.
  bool MustRunAlone(bool aHasProvenRun) const { return mCrashes > (aHasProvenRun ? 1U : 0U); }

private:
  /// The users allow three further starts after three crashes.
  static constexpr std::uint32_t kCrashes = 3;
  static constexpr std::uint32_t kCrashesAlone = 2;
  static constexpr std::uint32_t kCrashesBesideOthers = 5;
};

} // namespace rattanpond::dispatch
