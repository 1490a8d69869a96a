#include "configuration/configuration_store.h"

#include "base/identifiers.h"
#include "base/logging.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace rattanpond::configuration {

namespace asio = boost::asio;
using base::done;
using base::error;
using base::reply;
using base::result_code;

namespace {

constexpr std::string_view kHeadKey = "config/head";
constexpr std::string_view kContractPrefix = "config/contract/";
constexpr std::string_view kDomainPrefix = "config/domain/";

// Changes are minutes apart, so a load that is interrupted by this many changes in a row is not
// making progress.
constexpr int kMaximumLoadAttempts = 5;
// More changes than other clients can commit while one client resolves the outcome of a transaction
// after a lost answer.
constexpr std::size_t kMaximumRecentAttempts = 32;
constexpr int kMaximumResolveReads = 5;
constexpr base::milliseconds kResolveRetryDelay{ 100 };

template<class T>
base::result<T> DecodeRow(platform::table_row const& aRow)
{
  return base::Decode<T>(aRow.mValue);
}

/// Builds the snapshot of a version from its rows.
base::result<configuration_snapshot> Assemble(std::uint64_t aVersion,
                                              std::vector<platform::table_row> const& aContracts,
                                              std::vector<platform::table_row> const& aDomains)
{
  configuration_snapshot snapshot{ .mVersion = aVersion, .mContracts = {}, .mDomains = {} };
  for (auto const& row : aContracts) {
    BOOST_LEAF_AUTO(decoded, DecodeRow<contract>(row));
    snapshot.mContracts.insert_or_assign(decoded.mWorkspace, std::move(decoded));
  }
  for (auto const& row : aDomains) {
    BOOST_LEAF_AUTO(decoded, DecodeRow<domain_service>(row));
    snapshot.mDomains.insert_or_assign(decoded.mDomain, std::move(decoded));
  }
  return snapshot;
}

error Conflict(std::uint64_t aBaseVersion, std::uint64_t aVersion)
{
  return { result_code::version_conflict,
           "the change is based on configuration version " + std::to_string(aBaseVersion) +
             ", but the current version is " + std::to_string(aVersion) + " or newer" };
}

} // namespace

configuration_store::configuration_store(asio::io_context& aContext,
                                         platform::table_service& aTable, options aOptions)
  : mOptions{ std::move(aOptions) }
  , mTable{ aTable }
  , mContext{ aContext }
  , mTimer{ aContext }
{
}

void configuration_store::Start()
{
  asio::co_spawn(mContext, Poll(), asio::detached);
}

void configuration_store::Register(base::state_dump& aDump)
{
  aDump.Register("configuration", [this] {
    auto document = base::json{ { "version", Version() },
                                { "synchronized", IsSynchronized() },
                                { "highest_version_known", mHighestKnownVersion } };
    if (mLastReadStart) {
      document["read_age_ms"] = (base::Now() - *mLastReadStart).count();
    }
    if (mSnapshot) {
      document["contracts"] = mSnapshot->mContracts.size();
      document["domains"] = base::Encode(mSnapshot->mDomains);
    }
    return document;
  });
}

void configuration_store::RecordKnownVersion(std::uint64_t aVersion)
{
  if (aVersion <= mHighestKnownVersion) {
    return;
  }
  mHighestKnownVersion = aVersion;
  if (aVersion > Version()) {
    // Ends a wait of Poll that is running. If Poll is reading, its next wait ends at once.
    mTimer.expires_after(base::milliseconds{ 0 });
  }
}

void configuration_store::Adopt(configuration_snapshot aSnapshot)
{
  RecordKnownVersion(aSnapshot.mVersion);
  if (IsSynchronized() && aSnapshot.mVersion > Version()) {
    Publish(std::move(aSnapshot));
  }
}

asio::awaitable<void> configuration_store::Poll()
{
  bool isFailing = false;
  while (true) {
    // Set before the read, so that a version that RecordKnownVersion records during the read ends
    // the wait.
    mTimer.expires_after(mOptions.mPollPeriod);
    auto const refreshed = co_await Refresh();
    auto const failed = !base::Succeeded(refreshed);
    if (failed && !isFailing) {
      base::Log("configuration")
        ->warn("Reading the configuration from the table failed: {}.",
               base::Error(refreshed).mMessage);
    } else if (!failed && isFailing) {
      base::Log("configuration")->info("The configuration can be read from the table again.");
    }
    isFailing = failed;
    boost::system::error_code ignored;
    co_await mTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }
}

asio::awaitable<reply<done>> configuration_store::Refresh()
{
  return Load(load_scope::snapshot);
}

asio::awaitable<reply<configuration_store::head_read>> configuration_store::ReadHead()
{
  auto const known = std::max(Version(), mHighestKnownVersion);
  head_read read;
  read.mStartedAt = base::Now();
  auto answer = co_await mTable.Read(std::string{ kHeadKey });
  if (!base::Succeeded(answer)) {
    co_return base::Error(answer);
  }
  if (auto const& row = std::get<0>(answer)) {
    auto decoded = base::Capture([&] { return DecodeRow<configuration_head>(*row); });
    if (!base::Succeeded(decoded)) {
      co_return base::Error(decoded);
    }
    read.mHead = std::get<0>(std::move(decoded));
    read.mRevision = row->mRevision;
  }
  if (read.mHead.mVersion < known) {
    co_return error{ result_code::not_synchronized,
                     "stale read: the table returned configuration version " +
                       std::to_string(read.mHead.mVersion) + ", but version " +
                       std::to_string(known) + " is known to exist" };
  }
  co_return read;
}

asio::awaitable<reply<done>> configuration_store::Load(load_scope aScope)
{
  for (int attempt = 0; attempt < kMaximumLoadAttempts; ++attempt) {
    auto const head = co_await ReadHead();
    if (!base::Succeeded(head)) {
      co_return base::Error(head);
    }
    auto const& read = std::get<0>(head);
    auto const hasSnapshot = mSnapshot && mSnapshot->mVersion == read.mHead.mVersion;
    auto const hasRows = hasSnapshot && mRowsVersion == read.mHead.mVersion;
    if (aScope == load_scope::snapshot ? hasSnapshot : hasRows) {
      MarkRead(read.mStartedAt);
      co_return done{};
    }
    auto loaded = co_await LoadRows(read);
    if (base::Succeeded(loaded) || base::Error(loaded).mCode != result_code::condition_failed) {
      co_return loaded;
    }
  }
  co_return error{ result_code::store_unavailable,
                   "the configuration changed during each of the attempts to load it" };
}

asio::awaitable<reply<done>> configuration_store::LoadRows(head_read aHead)
{
  auto contracts = co_await platform::ScanAll(mTable, std::string{ kContractPrefix });
  if (!base::Succeeded(contracts)) {
    co_return base::Error(contracts);
  }
  auto domains = co_await platform::ScanAll(mTable, std::string{ kDomainPrefix });
  if (!base::Succeeded(domains)) {
    co_return base::Error(domains);
  }
  auto const again = co_await ReadHead();
  if (!base::Succeeded(again)) {
    co_return base::Error(again);
  }
  auto const& read = std::get<0>(again);
  if (read.mRevision != aHead.mRevision) {
    co_return error{ result_code::condition_failed, "the head row changed during the scan" };
  }
  auto assembled = base::Capture(
    [&] { return Assemble(read.mHead.mVersion, std::get<0>(contracts), std::get<0>(domains)); });
  if (!base::Succeeded(assembled)) {
    co_return base::Error(assembled);
  }
  if (!mRowsVersion || read.mHead.mVersion >= *mRowsVersion) {
    mRevisions.clear();
    mRevisions[std::string{ kHeadKey }] = read.mRevision;
    for (auto const* const rows : { &std::get<0>(contracts), &std::get<0>(domains) }) {
      for (auto const& row : *rows) {
        mRevisions[row.mKey] = row.mRevision;
      }
    }
    mHead = read.mHead;
    mRowsVersion = read.mHead.mVersion;
  }
  Publish(std::get<0>(std::move(assembled)));
  MarkRead(read.mStartedAt);
  co_return done{};
}

base::result<void> configuration_store::CheckApply(change_batch const& aBatch) const
{
  if (aBatch.IsEmpty()) {
    return base::Fail(result_code::invalid_argument, "the batch contains no changes");
  }
  // mHead and mRevisions can be older than the snapshot if another entry has pushed a version in
  // the meantime.
  if (aBatch.mBaseVersion != Version() || mRowsVersion != Version()) {
    return base::Fail(Conflict(aBatch.mBaseVersion, Version()));
  }
  BOOST_LEAF_CHECK(CheckBatch(aBatch, *mSnapshot));
  // A change that adds no guaranteed shape skips the check, so that it stays possible while workers
  // are absent.
  if (mOptions.mCheckGuarantees && RaisesGuarantee(*mSnapshot, aBatch)) {
    auto const workers =
      mOptions.mWorkers ? mOptions.mWorkers() : std::map<std::string, placement::worker>{};
    auto const unplaced = mOptions.mCheckGuarantees(
      workers, ApplyBatch(*mSnapshot, aBatch).mContracts, mOptions.mDomainLoss);
    if (unplaced) {
      return base::Fail(result_code::guarantee_does_not_fit,
                        "contract '" + unplaced->mWorkspace + "': " + unplaced->mReason);
    }
  }
  return {};
}

platform::table_transaction configuration_store::Transaction(change_batch const& aBatch) const
{
  platform::table_transaction transaction{ .mAttempt = base::RandomIdentifier(), .mWrites = {} };
  auto const write = [&](std::string aKey, std::optional<base::json> aValue) {
    auto const found = mRevisions.find(aKey);
    auto const revision = found == mRevisions.end() ? platform::kAbsent : found->second;
    transaction.mWrites.push_back({ std::move(aKey), std::move(aValue), revision });
  };
  auto head = mHead;
  ++head.mVersion;
  head.mRecentAttempts.push_back(transaction.mAttempt);
  if (head.mRecentAttempts.size() > kMaximumRecentAttempts) {
    head.mRecentAttempts.erase(head.mRecentAttempts.begin());
  }
  write(std::string{ kHeadKey }, base::Encode(head));
  for (auto const& contract : aBatch.mContracts) {
    write(std::string{ kContractPrefix } + contract.mWorkspace, base::Encode(contract));
  }
  for (auto const& domain : aBatch.mDomains) {
    write(std::string{ kDomainPrefix } + domain.mDomain, base::Encode(domain));
  }
  for (auto const& workspace : aBatch.mRemoveContracts) {
    write(std::string{ kContractPrefix } + workspace, std::nullopt);
  }
  return transaction;
}

asio::awaitable<reply<std::uint64_t>> configuration_store::Apply(change_batch aBatch)
{
  auto const loaded = co_await Load(load_scope::rows);
  if (!base::Succeeded(loaded)) {
    co_return base::Error(loaded);
  }
  auto const checked = base::Capture([&] { return CheckApply(aBatch); });
  if (!base::Succeeded(checked)) {
    co_return base::Error(checked);
  }
  auto after = ApplyBatch(*mSnapshot, aBatch);
  auto const version = after.mVersion;
  auto transaction = Transaction(aBatch);
  auto const attempt = transaction.mAttempt;
  auto outcome = co_await platform::Commit(mTable, std::move(transaction), mOptions.mCommitLimit);
  if (!base::Succeeded(outcome)) {
    outcome = co_await ResolveOutcome(attempt, aBatch.mBaseVersion, base::Error(outcome));
  }
  if (!base::Succeeded(outcome)) {
    co_return base::Error(outcome);
  }
  base::Log("configuration")->info("Configuration version {} committed.", version);
  Publish(std::move(after));
  co_return version;
}

asio::awaitable<reply<done>> configuration_store::ResolveOutcome(std::string aAttempt,
                                                                 std::uint64_t aBaseVersion,
                                                                 base::error aFailure)
{
  if (aFailure.mCode == result_code::condition_failed) {
    co_return Conflict(aBaseVersion, std::max(Version(), aBaseVersion + 1));
  }
  if (aFailure.mCode != result_code::outcome_unknown) {
    co_return aFailure;
  }
  // Another operator's change may have overwritten the rows of the transaction since, so the
  // attempt id is looked up in the head's list of recent attempts.
  asio::steady_timer delay{ mContext };
  for (int attempt = 0; attempt < kMaximumResolveReads; ++attempt) {
    auto const answer = co_await ReadHead();
    if (base::Succeeded(answer)) {
      auto const& head = std::get<0>(answer).mHead;
      if (std::ranges::find(head.mRecentAttempts, aAttempt) != head.mRecentAttempts.end()) {
        co_return done{};
      }
      // The transaction was conditional on the head of the base version, which has been replaced,
      // so it can no longer take effect. As long as the list reaches back to the base version, an
      // attempt that is missing from it was not committed.
      if (head.mVersion > aBaseVersion && head.mVersion - aBaseVersion <= kMaximumRecentAttempts) {
        co_return Conflict(aBaseVersion, head.mVersion);
      }
    }
    delay.expires_after(kResolveRetryDelay);
    boost::system::error_code ignored;
    co_await delay.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }
  co_return error{ result_code::outcome_unknown,
                   "the outcome of the commit is unknown; the change may have been committed: " +
                     aFailure.mMessage };
}

void configuration_store::Publish(configuration_snapshot aSnapshot)
{
  if (mSnapshot && aSnapshot.mVersion <= mSnapshot->mVersion) {
    return;
  }
  mSnapshot = std::make_shared<configuration_snapshot const>(std::move(aSnapshot));
  mHighestKnownVersion = std::max(mHighestKnownVersion, mSnapshot->mVersion);
  base::Log("configuration")
    ->info("This entry holds configuration version {}.", mSnapshot->mVersion);
  auto const published = mSnapshot;
  for (auto const& observer : mChangeObservers) {
    observer(published);
  }
}

void configuration_store::MarkRead(base::time_point aStartedAt)
{
  mLastReadStart = std::max(mLastReadStart, std::optional{ aStartedAt });
  for (auto const& observer : mReadObservers) {
    observer();
  }
}

} // namespace rattanpond::configuration
