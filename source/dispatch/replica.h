#pragma once

#include "base/metrics.h"
#include "dispatch/job_record.h"
#include "dispatch/operator_configuration.h"
#include "dispatch/queue_record.h"
#include "dispatch/term_lease.h"
#include "dispatch/term_succession.h"
#include "platform/row_store.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include <boost/asio/io_context.hpp>

namespace rattanpond::dispatch {

/// The dispatch table in the store, and its keys and key prefixes.
inline constexpr char const* kDispatchTable = "rattanpond";
inline constexpr char const* kTermKey = "term";
inline constexpr char const* kTermHeartbeatKey = "pulse";
inline constexpr char const* kRunTimesKey = "run-times";
inline constexpr char const* kSilentSidesKey = "silent-sides";
inline constexpr char const* kJobPrefix = "job/";
inline constexpr char const* kStatePrefix = "run/";
/// Rows with the task states of large jobs: "part/<job>/<number>", see job_parts.
inline constexpr char const* kPartPrefix = "part/";
/// Rows with checkpoints: "checkpoints/<job>/<number>", see checkpoint_rows.
inline constexpr char const* kCheckpointsPrefix = "checkpoints/";
inline constexpr char const* kCancellationPrefix = "stop/";
inline constexpr char const* kSidePrefix = "side/";
inline constexpr char const* kFrontPrefix = "front/";

/// Time for which the rows of an ended job, or of a cancellation, stay in the store.
inline base::milliseconds RowRetention(base::milliseconds aStatusRetention)
{
  // Twice the time for which callers may still query the status of a job.
  return 2 * aStatusRetention;
}

std::string PartKey(std::string const& aJob, std::uint32_t aPart);
std::string CheckpointRowKey(std::string const& aJob, std::uint32_t aRow);

/// Row of the scheduler term: identifies the process that holds it.
struct term_record
{
  std::uint64_t mNumber = 0;
  std::string mNode;
  /// Distinguishes successive processes on the same node.
  std::string mIncarnation;

  static constexpr auto Fields()
  {
    return std::make_tuple(base::Required("number", &term_record::mNumber),
                           base::Required("node", &term_record::mNode),
                           base::Required("incarnation", &term_record::mIncarnation));
  }
};

/// Row with the address on which a front or side accepts connections of other processes.
struct address_record
{
  std::string mAddress;

  static constexpr auto Fields()
  {
    return std::make_tuple(base::Required("address", &address_record::mAddress));
  }
};

using address_map = std::map<std::string, address_record>;

/// A front's copy of its rows in the store, updated by long polls. Never replaces a row by an older
/// version.
class replica
{
public:
  struct options
  {
    boost::asio::io_context& mContext;
    platform::row_store& mStore;
    /// Called after a read that may have changed rows.
    std::function<void()> mOnChange;
    /// Whether this process is the scheduler, the only writer of job states.
    std::function<bool()> mIsWriter;
  };

  explicit replica(options aOptions);

  void Start();
  /// Requests a full read of the dispatch table, after this process has stopped being the writer.
  void Reload() { mDispatchRows.mIsLoaded = false; }
  /// Applies rows that are newer than the known ones.
  void Apply(std::vector<platform::store_row> const& aRows);
  /// Applies the rows that a transaction sent at aSentAt has met. If the configuration is among
  /// them, it was the present one then.
  void ApplyConflict(std::vector<platform::store_row> const& aRows, base::time_point aSentAt);

  std::map<std::string, std::unique_ptr<job_record>>& Jobs() { return mJobs; }
  job_record* FindJob(std::string const& aId);
  void AddJob(std::string const& aId, job_description aDescription);

  /// Version of the job's cancellation row; 0 if the job is not cancelled.
  std::uint64_t CancellationVersion(std::string const& aJob) const;
  /// By job: versions of the cancellation rows, also of jobs that were never accepted.
  std::map<std::string, std::uint64_t> const& Cancellations() const { return mCancellations; }

  term_record const& Term() const { return mTerm; }
  std::uint64_t TermVersion() const { return mTermVersion; }
  term_lease& Lease() { return mLease; }
  term_succession const& Succession() const { return mSuccession; }
  /// The scheduler's run-time statistics in their stored form.
  std::string const& RunTimes() const { return mRunTimes; }
  /// The list of silent sides in its stored form, and the version of its row; empty and 0 if there
  /// is none.
  std::string const& SilentSides() const { return mSilentSides; }
  std::uint64_t SilentSidesVersion() const { return mSilentSidesVersion; }
  address_map const& Sides() const { return mSides; }
  /// Version of the row that a side writes when its process starts; 0 if there is none.
  std::uint64_t SideVersion(std::string const& aNode) const;
  address_map const& Fronts() const { return mFronts; }

  std::shared_ptr<operator_configuration const> const& Configuration() const
  {
    return mConfiguration;
  }
  /// Returns the queue as the configuration, or the last one that had it, defines it; null if
  /// neither this process nor the store knows one. Jobs of a removed queue go on by its last
  /// definition.
  queue const* FindQueue(std::string const& aName) const;
  /// Returns the change that stores the present definition of a queue; nullopt if the store has it
  /// or the configuration does not have the queue. Belongs into a transaction that names the row of
  /// the configuration.
  std::optional<platform::row_change> QueueChange(std::string const& aName) const;
  /// Names of the queues that are stored and that neither the configuration nor a job has.
  std::vector<std::string> UnusedQueues() const;
  /// Version of the newest row of the configuration, whether it could be read or not.
  std::uint64_t ConfigurationRowVersion() const { return mConfigurationRowVersion; }
  /// Versions of the configuration that could not be read; the last readable one stays in force.
  std::uint64_t RejectedConfigurations() const { return mRejectedConfigurations; }
  std::map<std::string, std::uint64_t> const& Evacuations() const { return mEvacuations; }

  /// Time at which the last successful read of the operators' table was sent.
  base::time_point OperatorRowsConfirmedAt() const { return mOperatorRows.mConfirmedAt; }
  /// Time at which the last call to the store was sent that has shown the present configuration.
  base::time_point ConfigurationConfirmedAt() const
  {
    return std::max(mOperatorRows.mConfirmedAt, mConfigurationMetAt);
  }
  base::time_point JobsConfirmedAt() const { return mDispatchRows.mConfirmedAt; }
  /// False from a failed read of the dispatch table to the next successful one.
  bool IsStoreAvailable() const { return mIsStoreAvailable; }
  bool IsLoaded() const
  {
    return mDispatchRows.mIsLoaded && mOperatorRows.mIsLoaded && mConfiguration != nullptr;
  }
  /// Whether all rows of the dispatch table that were written up to this version have arrived.
  /// Single rows may be newer: a refused transaction shows them before the feed does, and so does a
  /// later page of a full read.
  bool HasAllRowsUntil(std::uint64_t aVersion) const
  {
    return IsLoaded() && mDispatchRows.mVersion >= aVersion;
  }

private:
  /// Read position of a table.
  struct followed_table
  {
    std::string mName;
    /// Maximum wait of one long poll.
    base::milliseconds mWait;
    bool mIsLoaded = false;
    std::uint64_t mVersion = 0;
    /// Time at which the last read, and the last successful one, was sent.
    base::time_point mReadAt{};
    base::time_point mConfirmedAt{};
  };

  boost::asio::awaitable<void> Follow(followed_table& aTable);
  void ApplyFullRead(followed_table const& aTable, platform::read_result const& aRead);
  /// Resets the jobs whose row with the phase is missing in a full read.
  void ResetMissingStates(std::set<std::string> const& aPresent);
  /// Resets each part whose row is missing in a full read, and forgets each missing row with
  /// checkpoints.
  void ResetMissingParts(std::set<std::string> const& aPresent);
  void HandleStoreFailure();
  void HandleStoreAnswer(std::uint64_t aVersion);
  void ApplyDispatchRow(platform::store_row const& aRow);
  void ApplyOperatorRow(platform::store_row const& aRow);
  void ApplyJob(std::string const& aId, platform::store_row const& aRow);
  void ApplyState(std::string const& aId, platform::store_row const& aRow);
  void ApplyPart(std::string const& aName, platform::store_row const& aRow);
  void ApplyCheckpointRow(std::string const& aName, platform::store_row const& aRow);
  void ApplyTerm(platform::store_row const& aRow);
  void ApplyTermHeartbeat(platform::store_row const& aRow);
  static void ApplyAddress(address_map& aAddresses, std::string const& aNode,
                           platform::store_row const& aRow);
  void ApplyConfiguration(platform::store_row const& aRow);
  void ApplyQueue(std::string const& aName, platform::store_row const& aRow);
  /// Keeps the definitions of queues that the next configuration no longer has.
  void KeepRemovedQueues(operator_configuration const& aNext);

  options mOptions;
  bool mIsStoreAvailable = true;
  /// Whether rows are applied right after they were stored.
  bool mIsFollowing = false;
  followed_table mDispatchRows;
  followed_table mOperatorRows;
  /// Version of each known row by table and key; older versions are ignored.
  std::map<std::pair<std::string, std::string>, std::uint64_t> mVersions;

  std::map<std::string, std::unique_ptr<job_record>> mJobs;
  /// State rows that arrived before the row of their job.
  std::map<std::string, platform::store_row> mStatesWithoutJob;
  /// Rows of parts that arrived before the row of their job: by job, then by "<job>/<number>".
  std::map<std::string, std::map<std::string, platform::store_row>> mPartsWithoutJob;
  /// The same for rows with checkpoints.
  std::map<std::string, std::map<std::string, platform::store_row>> mCheckpointRowsWithoutJob;
  std::map<std::string, std::uint64_t> mCancellations;
  address_map mSides;
  address_map mFronts;
  term_record mTerm;
  std::uint64_t mTermVersion = 0;
  term_lease mLease;
  term_succession mSuccession;
  std::string mRunTimes;
  std::string mSilentSides;
  std::uint64_t mSilentSidesVersion = 0;
  struct removed_queue
  {
    queue mQueue;
    base::time_point mRemovedAt{};
  };

  std::shared_ptr<operator_configuration const> mConfiguration;
  /// By name: queues that an earlier configuration had.
  std::map<std::string, removed_queue> mRemovedQueues;
  /// By name: queues as the store has them, which may be older than the ones above.
  std::map<std::string, queue> mStoredQueues;
  std::uint64_t mConfigurationRowVersion = 0;
  std::uint64_t mRejectedConfigurations = 0;
  /// Send time of the last transaction that met the configuration in a conflict.
  base::time_point mConfigurationMetAt{};
  std::map<std::string, std::uint64_t> mEvacuations;
};

} // namespace rattanpond::dispatch
