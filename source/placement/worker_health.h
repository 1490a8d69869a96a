#pragma once

#include "base/time.h"
#include "placement/policy.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace rattanpond::placement {

/// Distinguishes workers on which every job fails from jobs that fail on every worker. The former
/// are quarantined; the latter are reported as faulty.
class worker_health
{
public:
  enum class verdict
  {
    healthy,
    /// One task may run there to test whether the worker has recovered.
    probing,
    quarantined
  };

  void RecordGangEnd(running_gang const& aGang, gang_outcome aOutcome,
                     std::string const& aFailedWorker, base::time_point aNow);

  /// Reports that a task that started at aStarted still runs on the worker. A probe that has run
  /// long enough ends the quarantine.
  void RecordRunning(std::string const& aWorker, base::time_point aStarted, base::time_point aNow);

  /// Starts quarantines. aWorkers, the number of workers, limits how many may be in quarantine at
  /// once.
  void Refresh(std::size_t aWorkers, base::time_point aNow);

  verdict Verdict(std::string const& aWorker) const;

  /// True if the job failed on several workers that are neither quarantined nor about to be.
  bool IsFaulty(std::string const& aJob) const;

  std::vector<std::string> Quarantined() const;

private:
  struct record
  {
    /// Distinct jobs that failed on the worker since the last success there.
    std::set<std::string> mFailedJobs;
    bool mIsQuarantined = false;
    base::time_point mSince{};
    base::time_point mProbeAt{};
    base::milliseconds mBackoff{ 0 };
  };

  void RecordFailure(std::string const& aJob, std::string const& aWorker, base::time_point aNow);
  void RecordSuccess(std::string const& aWorker);

  std::map<std::string, record> mRecords;
  std::map<std::string, std::set<std::string>> mFailuresByJob;
  base::time_point mNow{};
};

} // namespace rattanpond::placement
