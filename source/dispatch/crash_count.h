#pragma once

#include "base/time.h"

#include <cstdint>
#include <string>
#include <vector>

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
    return (mCrashes >= kCrashes && mAlone >= kCrashesAlone) || HasReachedLimit();
  }

  /// Whether the task must not start again, even if some of the crashes are only suspected.
  bool HasReachedLimit() const { return mCrashes >= kCrashesBesideOthers; }

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

/// A worker that may have crashed under a run: it was out of reach until its lease expired, or a
/// later incarnation of it may have the run. A cut connection looks the same, so the crash counts
/// only once it is certain.
struct suspected_crash
{
  std::string mWorker{};
  std::int64_t mWorkerIncarnationStart = 0;
  std::uint32_t mRun = 0;
  bool mIsAlone = false;
  /// Time at which this process recorded the suspicion; not stored, and not set for one that was
  /// read from the store.
  base::time_point mSince{};

  bool operator==(suspected_crash const& aOther) const
  {
    return mWorker == aOther.mWorker && mWorkerIncarnationStart == aOther.mWorkerIncarnationStart &&
           mRun == aOther.mRun && mIsAlone == aOther.mIsAlone;
  }
};

} // namespace rattanpond::dispatch
