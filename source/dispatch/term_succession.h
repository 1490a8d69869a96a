#pragma once

#include "base/time.h"
#include "dispatch/lease_timing.h"

#include <algorithm>
#include <cstdint>

namespace rattanpond::dispatch {

/// Tells from when on no former holder of the term answers reports, from the rows of the term and
/// of its heartbeat. A holder that releases the term has stopped before; any other one may go on
/// until kMaximumStoreSilence after it was replaced.
class term_succession
{
public:
  /// Records the version of a heartbeat row that releases the term.
  void RecordRelease(std::uint64_t aVersion)
  {
    mReleaseVersion = std::max(mReleaseVersion, aVersion);
  }

  void RecordTerm(std::uint64_t aNumber, std::uint64_t aVersion, base::time_point aNow)
  {
    // Only the holder of a term writes its heartbeat row, so a release between two successive
    // terms is that of the first one. Holders before it may still be active.
    auto const isReleased = mVersion != 0 && aNumber == mNumber + 1 && mReleaseVersion > mVersion &&
                            mReleaseVersion < aVersion;
    if (aNumber == kFirstTerm) {
      mFormerHoldersStopBy = aNow;
    } else if (isReleased) {
      mFormerHoldersStopBy = std::max(aNow, mFormerHoldersStopBy);
    } else {
      mFormerHoldersStopBy = aNow + kMaximumStoreSilence;
    }
    mNumber = aNumber;
    mVersion = aVersion;
  }

  /// Time by which every holder before the current one has stopped answering reports.
  base::time_point FormerHoldersStopBy() const { return mFormerHoldersStopBy; }

private:
  static constexpr std::uint64_t kFirstTerm = 1;

  std::uint64_t mNumber = 0;
  std::uint64_t mVersion = 0;
  std::uint64_t mReleaseVersion = 0;
  base::time_point mFormerHoldersStopBy{};
};

} // namespace rattanpond::dispatch
