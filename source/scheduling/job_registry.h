#pragma once

#include "placement/policy.h"
#include "scheduling/gang_record.h"
#include "scheduling/job.h"
#include "scheduling/messages.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace rattanpond::scheduling {

/// Returns whether a state is terminal; the state of such a job never changes again.
constexpr bool IsFinal(job_state aState)
{
  return aState == job_state::finished || aState == job_state::failed ||
         aState == job_state::cancelled;
}

/// Prefix of the stop reason for jobs that are cancelled, ended or not accepted. The report of an
/// ended gang with such a reason does not create a job.
inline constexpr std::string_view kCancelled = "cancelled";

/// In-memory registry of the jobs of one region and their gangs, kept by the region's scheduler. It
/// performs no I/O and reads no clock except the wall clock, for job ages and history times: it
/// collects orders, rows to write and ended gangs, which the caller fetches with TakeChanges.
class job_registry
{
public:
  struct options
  {
    gang_record::timings mTimings;
    /// Minimum delay before a job whose gang was refused or has ended is placed again.
    base::milliseconds mRetryDelay{ 500 };
    /// A job becomes failed after failures on this many different workers ...
    std::size_t mMaximumFailedWorkers = 3;
    /// ... or after this many failures in total.
    std::uint32_t mMaximumFailures = 6;
  };

  struct entry
  {
    job mJob;
    std::optional<gang_record> mGang;
    base::time_point mSubmitted{};
    base::time_point mWaitingSince{};
    base::time_point mNotBefore{};
    std::uint64_t mEndedAttempt = 0;
    std::uint32_t mFailures = 0;
    std::set<std::string> mFailedWorkers;
    /// The job was created from an agent report; its row, once read, adds the earlier history.
    bool mIsFromAgents = false;
    /// The submission is not accepted yet, so state changes are not written to the table.
    bool mIsTentative = false;
  };

  struct outgoing
  {
    gang_action mAction;
    gang_id mGang;
    /// Set only for reserve orders.
    std::shared_ptr<gang_description const> mDescription;
  };

  struct ended_gang
  {
    placement::running_gang mGang;
    gang_end mEnd = gang_end::stopped;
    std::string mFailedWorker;
  };

  /// Changes since the last call of TakeChanges.
  struct changes
  {
    std::vector<outgoing> mOutgoingOrders;
    std::set<std::string> mChangedJobs;
    std::vector<ended_gang> mEndedGangs;
    /// Jobs or resources changed, so a new placement decision may differ.
    bool mIsDecisionDue = false;
  };

  /// Returns the control address of a worker's agent, or an empty string for an unknown worker.
  using address_of = std::function<std::string(std::string const&)>;

  explicit job_registry(options aOptions);

  /// Adds or updates a job from its row or from a submission. A final state overrides the state in
  /// memory.
  void Put(job const& aJob, base::time_point aNow);
  /// Adds a submission that is accepted only if its gang is committed; see Confirm and Withdraw.
  void PutTentative(job const& aJob, base::time_point aNow);
  /// Marks a tentative job as accepted and queues its row for writing.
  void Confirm(std::string const& aJob);
  /// Removes a job that has ended and has no gang.
  void Remove(std::string const& aJob);
  /// Removes a tentative job and stops its gang.
  void Withdraw(std::string const& aJob, base::time_point aNow);
  /// Returns false for an unknown job.
  bool Cancel(std::string const& aJob, base::time_point aNow);
  /// Requeues the started jobs whose gang no agent reported during the recovery after a takeover.
  void EndRecovery(base::time_point aNow);

  void OnReserveReply(reserve_reply const& aReply, base::time_point aNow);
  void Reported(task_report const& aReport, base::time_point aNow);
  void WorkerLeft(std::string const& aWorker, base::time_point aNow);
  void WorkerJoined(std::string const& aWorker);
  void Apply(placement::decisions const& aDecisions, address_of const& aAddressOf,
             base::time_point aNow);
  void Tick(base::time_point aNow);

  /// Adds the waiting jobs and the running gangs to the input of a placement decision.
  void FillState(placement::cluster_state& aState, base::time_point aNow) const;
  changes TakeChanges();

  entry const* Find(std::string const& aJob) const;
  std::map<std::string, entry> const& Entries() const { return mEntries; }
  void Clear();

private:
  void ApplyPartReport(std::string const& aWorker, part_report const& aPart, base::time_point aNow);
  bool IsOutdated(entry const& aEntry, part_report const& aPart) const;
  void AdoptGang(entry& aEntry, gang_description const& aGang, base::time_point aNow);
  void StopPart(std::string const& aWorker, gang_id const& aGang, std::string aReason);
  void Start(placement::start_gang const& aStart, address_of const& aAddressOf,
             base::time_point aNow);
  void QueueOrders(entry const& aEntry, gang_record::actions aActions);
  void UpdateState(entry& aEntry, base::time_point aNow);
  void EndGang(entry& aEntry, base::time_point aNow);
  void Requeue(entry& aEntry, std::string aReason, base::time_point aNow);
  void SetState(entry& aEntry, job_state aState, std::string aReason);
  placement::running_gang RunningGang(entry const& aEntry, base::time_point aNow) const;

  options mOptions;
  std::map<std::string, entry> mEntries;
  changes mChanges;
};

} // namespace rattanpond::scheduling
