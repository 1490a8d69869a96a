#pragma once

#include "base/error.h"
#include "placement/types.h"
#include "scheduling/gang_description.h"
#include "scheduling/term.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace rattanpond::scheduling {

/// Decides which gangs may use the resources of one worker. It is the only authority for this, so
/// that two schedulers cannot assign the same accelerator twice.
class reservation_ledger
{
public:
  explicit reservation_ledger(placement::task_shape aCapacity);

  /// Raises the highest accepted term. Returns false for a lower term.
  bool Admit(term const& aTerm);

  /// Codes: ok (also for a repeated message), stale_term, accelerators_taken, attempt_refused (the
  /// worker has or had an equal or higher attempt of the job).
  base::result_code Reserve(term const& aTerm, gang_id const& aGang,
                            placement::task_shape const& aDemand, base::milliseconds aExpiry,
                            base::time_point aNow);
  /// Codes: ok (also for a repeated message), stale_term, reservation_expired.
  base::result_code Commit(term const& aTerm, gang_id const& aGang, base::time_point aNow);
  /// Discards a reservation; a committed gang stays until Free.
  base::result_code Release(term const& aTerm, gang_id const& aGang);

  /// Assigns resources to tasks that are already running, even beyond the capacity.
  void Adopt(gang_id const& aGang, placement::task_shape const& aDemand);
  /// Releases the resources of a gang. For a committed gang, the caller does so once none of its
  /// tasks runs.
  void Free(gang_id const& aGang);
  /// Discards the reservations that were not committed in time and returns their gangs.
  std::vector<gang_id> Expire(base::time_point aNow);

  bool IsCommitted(gang_id const& aGang) const;
  term const& HighestTerm() const { return mHighestTerm; }
  placement::task_shape Used() const;
  placement::task_shape const& Capacity() const { return mCapacity; }

private:
  struct entry
  {
    placement::task_shape mDemand;
    /// Empty once the gang is committed.
    std::optional<base::time_point> mExpiresAt;
  };

  bool IsRefused(gang_id const& aGang) const;
  void RecordEnd(gang_id const& aGang);

  placement::task_shape mCapacity;
  term mHighestTerm;
  std::map<gang_id, entry> mEntries;
  /// Highest ended attempt by job, so that a delayed duplicate of its messages starts nothing.
  std::map<std::string, std::uint64_t> mHighestEndedAttempts;
  std::deque<std::string> mEndedJobs;
};

} // namespace rattanpond::scheduling
