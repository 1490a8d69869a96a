#pragma once

#include "base/state_dump.h"
#include "configuration/change_batch.h"
#include "placement/policy.h"
#include "platform/table_service.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace rattanpond::configuration {

using snapshot_ptr = std::shared_ptr<configuration_snapshot const>;

/// The row config/head.
struct configuration_head
{
  std::uint64_t mVersion = 0;
  /// Attempt ids of the last transactions, newest last. A client whose response was lost finds its
  /// attempt here even if others have changed the configuration since.
  std::vector<std::string> mRecentAttempts;

  static constexpr auto Fields()
  {
    return std::make_tuple(base::Required("version", &configuration_head::mVersion),
                           base::Field("recent_attempts", &configuration_head::mRecentAttempts));
  }
};

/// An entry's copy of the configuration: loads it from the table, polls the table for new versions,
/// and commits changes. The version never decreases. Used on the control thread; must outlive the
/// run of its io_context.
class configuration_store
{
public:
  using guarantee_check = std::function<std::optional<placement::unplaced_guarantee>(
    std::map<std::string, placement::worker> const&, std::map<std::string, contract> const&,
    placement::domain_loss)>;

  struct options
  {
    base::milliseconds mPollPeriod{ 1000 };
    /// Time limit for the commit of a transaction in Apply, including its retries.
    base::milliseconds mCommitLimit{ 5000 };
    placement::domain_loss mDomainLoss = placement::domain_loss::survived;
    /// Without a check every guarantee is accepted.
    guarantee_check mCheckGuarantees = {};
    std::function<std::map<std::string, placement::worker>()> mWorkers = {};
  };

  using change_observer = std::function<void(snapshot_ptr const&)>;
  using read_observer = std::function<void()>;

  configuration_store(boost::asio::io_context& aContext, platform::table_service& aTable,
                      options aOptions);

  /// Starts to poll the table.
  void Start();
  void Register(base::state_dump& aDump);

  /// Observe: called after each new version. ObserveReads: called after each read of the table that
  /// confirmed or loaded the current version.
  void Observe(change_observer aObserver) { mChangeObservers.push_back(std::move(aObserver)); }
  void ObserveReads(read_observer aObserver) { mReadObservers.push_back(std::move(aObserver)); }

  /// Null before the first load.
  snapshot_ptr Current() const { return mSnapshot; }
  bool IsSynchronized() const { return mSnapshot != nullptr; }
  std::uint64_t Version() const { return mSnapshot ? mSnapshot->mVersion : 0; }
  /// Start of the last read of the table that confirmed or loaded the current version.
  std::optional<base::time_point> LastReadStart() const { return mLastReadStart; }

  /// Records that a version exists, as reported by another process. Reads that return a lower
  /// version are rejected as stale from then on.
  void RecordKnownVersion(std::uint64_t aVersion);

  /// Publishes a newer snapshot from another entry, so that versions also spread while the store is
  /// unavailable. Ignored before the first load.
  void Adopt(configuration_snapshot aSnapshot);

  /// Reads the head row, and all other rows if the version has changed.
  boost::asio::awaitable<base::reply<base::done>> Refresh();

  /// Checks and commits changes. Returns the new version once the commit is certain. Errors besides
  /// those of the checks: version_conflict and store_unavailable (not committed), outcome_unknown
  /// (may have been committed).
  boost::asio::awaitable<base::reply<std::uint64_t>> Apply(change_batch aBatch);

private:
  enum class load_scope
  {
    snapshot,
    rows
  };

  struct head_read
  {
    configuration_head mHead;
    std::uint64_t mRevision = platform::kAbsent;
    base::time_point mStartedAt{};
  };

  using revisions = std::map<std::string, std::uint64_t>;

  boost::asio::awaitable<void> Poll();
  boost::asio::awaitable<base::reply<head_read>> ReadHead();
  boost::asio::awaitable<base::reply<base::done>> Load(load_scope aScope);
  boost::asio::awaitable<base::reply<base::done>> LoadRows(head_read aHead);
  boost::asio::awaitable<base::reply<base::done>> ResolveOutcome(std::string aAttempt,
                                                                 std::uint64_t aBaseVersion,
                                                                 base::error aFailure);
  base::result<void> CheckApply(change_batch const& aBatch) const;
  platform::table_transaction Transaction(change_batch const& aBatch) const;
  void Publish(configuration_snapshot aSnapshot);
  void MarkRead(base::time_point aStartedAt);

  options mOptions;
  platform::table_service& mTable;
  boost::asio::io_context& mContext;
  boost::asio::steady_timer mTimer;
  snapshot_ptr mSnapshot;
  configuration_head mHead;
  revisions mRevisions;
  /// The version whose rows mHead and mRevisions describe.
  std::optional<std::uint64_t> mRowsVersion;
  std::uint64_t mHighestKnownVersion = 0;
  std::optional<base::time_point> mLastReadStart;
  std::vector<change_observer> mChangeObservers;
  std::vector<read_observer> mReadObservers;
};

} // namespace rattanpond::configuration
