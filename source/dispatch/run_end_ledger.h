#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace rattanpond::dispatch {

/// Run ends of one worker incarnation that the holder has recorded. A worker forgets the ends up to
/// an acknowledged one, so an end counts as stored only once the change of its job is in the store.
class run_end_ledger
{
public:
  /// Records an end; aJob is the job that it concerns, empty if there is none.
  void Record(std::int64_t aNumber, std::string aJob)
  {
    if (!aJob.empty()) {
      mUnstored[aNumber] = { .mJob = std::move(aJob), .mPreceding = mRecorded };
    }
    mRecorded = aNumber;
  }

  /// Records that the ends up to a number are stored as far as the predicate holds for their jobs.
  template<class F>
  void MarkStored(std::int64_t aNumber, F const& aIsStored)
  {
    std::erase_if(mUnstored, [&](auto const& aEntry) {
      return aEntry.first <= aNumber && aIsStored(aEntry.second.mJob);
    });
  }

  std::int64_t Recorded() const { return mRecorded; }
  /// Highest end up to which all are stored.
  std::int64_t Stored() const
  {
    return mUnstored.empty() ? mRecorded : mUnstored.begin()->second.mPreceding;
  }

private:
  struct unstored_end
  {
    std::string mJob;
    /// Number of the end recorded before.
    std::int64_t mPreceding = 0;
  };

  std::int64_t mRecorded = 0;
  std::map<std::int64_t, unstored_end> mUnstored;
};

} // namespace rattanpond::dispatch
