#include "placement/worker_health.h"

#include <algorithm>

namespace rattanpond::placement {

namespace {

constexpr std::size_t kQuarantineFailures = 3;
constexpr std::size_t kFaultyJobFailedWorkers = 3;
constexpr double kMaximumQuarantinedShare = 0.2;
/// A probe that runs for this long is a success, because a worker on which every task fails does so
/// within this time of the task's start.
constexpr base::milliseconds kProbeSuccessTime{ 120'000 };
constexpr base::milliseconds kInitialProbeDelay{ 60'000 };
/// The delay between probes of a worker that stays faulty doubles up to this.
constexpr base::milliseconds kMaximumProbeDelay{ 1'800'000 };

} // namespace

void worker_health::RecordGangEnd(running_gang const& aGang, gang_outcome aOutcome,
                                  std::string const& aFailedWorker, base::time_point aNow)
{
  if (aOutcome == gang_outcome::finished) {
    for (auto const& part : aGang.mParts) {
      RecordSuccess(part.mWorker);
    }
    mFailuresByJob.erase(aGang.mJob);
  } else if (aOutcome == gang_outcome::failed && !aFailedWorker.empty()) {
    RecordFailure(aGang.mJob, aFailedWorker, aNow);
  }
}

void worker_health::RecordSuccess(std::string const& aWorker)
{
  mRecords.erase(aWorker);
}

void worker_health::RecordRunning(std::string const& aWorker, base::time_point aStarted,
                                  base::time_point aNow)
{
  auto const found = mRecords.find(aWorker);
  // Tasks that started before the quarantine do not show whether new tasks would succeed.
  if (found != mRecords.end() && found->second.mIsQuarantined && aStarted > found->second.mSince &&
      aNow - aStarted >= kProbeSuccessTime) {
    RecordSuccess(aWorker);
  }
}

void worker_health::RecordFailure(std::string const& aJob, std::string const& aWorker,
                                  base::time_point aNow)
{
  mFailuresByJob[aJob].insert(aWorker);
  auto& entry = mRecords[aWorker];
  entry.mFailedJobs.insert(aJob);
  if (entry.mIsQuarantined) {
    entry.mBackoff = std::min(entry.mBackoff * 2, kMaximumProbeDelay);
    entry.mProbeAt = aNow + entry.mBackoff;
  }
}

void worker_health::Refresh(std::size_t aWorkers, base::time_point aNow)
{
  mNow = aNow;
  auto const limit =
    static_cast<std::size_t>(kMaximumQuarantinedShare * static_cast<double>(aWorkers));
  auto quarantined = Quarantined().size();
  for (auto& [name, entry] : mRecords) {
    // A job that fails on every worker does not indicate a fault of those workers.
    auto const failures = std::count_if(entry.mFailedJobs.begin(), entry.mFailedJobs.end(),
                                        [&](std::string const& aJob) { return !IsFaulty(aJob); });
    if (!entry.mIsQuarantined && failures >= static_cast<std::ptrdiff_t>(kQuarantineFailures) &&
        quarantined < limit) {
      entry.mIsQuarantined = true;
      entry.mSince = aNow;
      entry.mBackoff = kInitialProbeDelay;
      entry.mProbeAt = aNow + entry.mBackoff;
      ++quarantined;
    }
  }
}

worker_health::verdict worker_health::Verdict(std::string const& aWorker) const
{
  auto const found = mRecords.find(aWorker);
  if (found == mRecords.end() || !found->second.mIsQuarantined) {
    return verdict::healthy;
  }
  return mNow >= found->second.mProbeAt ? verdict::probing : verdict::quarantined;
}

bool worker_health::IsFaulty(std::string const& aJob) const
{
  auto const found = mFailuresByJob.find(aJob);
  if (found == mFailuresByJob.end()) {
    return false;
  }
  auto const onHealthyWorkers =
    std::count_if(found->second.begin(), found->second.end(), [&](std::string const& aWorker) {
      auto const entry = mRecords.find(aWorker);
      return entry == mRecords.end() || (!entry->second.mIsQuarantined &&
                                         entry->second.mFailedJobs.size() < kQuarantineFailures);
    });
  return onHealthyWorkers >= static_cast<std::ptrdiff_t>(kFaultyJobFailedWorkers);
}

std::vector<std::string> worker_health::Quarantined() const
{
  std::vector<std::string> names;
  for (auto const& [name, entry] : mRecords) {
    if (entry.mIsQuarantined) {
      names.push_back(name);
    }
  }
  return names;
}

} // namespace rattanpond::placement
