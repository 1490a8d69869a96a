#include "dispatch/replica.h"

#include "base/logging.h"
#include "net/sleep.h"
#include "platform/operator_rows.h"

#include <charconv>
#include <random>
#include <set>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace rattanpond::dispatch {

namespace asio = boost::asio;
using asio::awaitable;
using platform::read_outcome;
using platform::store_row;

namespace {

/// Term heartbeats end most polls earlier. The wait is short so that a standby detects missing
/// heartbeats, and a store that does not respond, without delay.
constexpr base::milliseconds kDispatchRowsWait{ 500 };
/// Limits the age of the configuration while the store is available.
constexpr base::milliseconds kOperatorRowsWait{ 900 };
constexpr base::milliseconds kReadTimeout{ 1000 };
/// Shortest time between two reads of the dispatch table by a front that is not the scheduler. Load
/// pattern: every transaction ends the long poll of every front, so that reads grow with the
/// product of fronts and jobs. Callers may see a change of their job this much later.
constexpr base::milliseconds kFollowerReadInterval{ 150 };
/// A removed queue without jobs is forgotten after this time. A job that was accepted before may
/// arrive that much later than the configuration, as the two tables are followed separately.
constexpr base::milliseconds kRemovedQueueRetention{ 60'000 };
constexpr int kMinimumRetryDelayMs = 60;
constexpr int kMaximumRetryDelayMs = 250;

/// Returns the rest of a key after a prefix, or nothing if the key does not have the prefix.
std::optional<std::string> SuffixAfter(std::string const& aKey, std::string_view aPrefix)
{
  if (!aKey.starts_with(aPrefix)) {
    return std::nullopt;
  }
  return aKey.substr(aPrefix.size());
}

std::set<std::string> Keys(platform::read_result const& aRead)
{
  std::set<std::string> keys;
  for (auto const& row : aRead.mRows) {
    keys.insert(row.mKey);
  }
  return keys;
}

/// Returns a deletion for each known row of a table that a full read of the table lacks.
std::vector<store_row> Deletions(
  std::string const& aTable,
  std::map<std::pair<std::string, std::string>, std::uint64_t> const& aKnown,
  platform::read_result const& aRead)
{
  auto const present = Keys(aRead);
  std::vector<store_row> deletions;
  for (auto const& [name, version] : aKnown) {
    if (name.first == aTable && !present.contains(name.second) && version <= aRead.mVersion) {
      deletions.push_back(
        { .mTable = aTable, .mKey = name.second, .mVersion = aRead.mVersion, .mIsDeleted = true });
    }
  }
  return deletions;
}

/// Random, so that the fronts do not all retry at the same time after a failure of the store.
base::milliseconds RetryDelay()
{
  static thread_local std::minstd_rand sRandom{ std::random_device{}() };
  std::uniform_int_distribution<int> delay{ kMinimumRetryDelayMs, kMaximumRetryDelayMs };
  return base::milliseconds{ delay(sRandom) };
}

template<class T>
std::optional<T> DecodeValue(store_row const& aRow)
{
  auto decoded = base::Capture([&] { return base::DecodeText<T>(aRow.mValue); });
  if (!base::Succeeded(decoded)) {
    base::Log("replica")->warn("row-unreadable key={} version={} reason={}", aRow.mKey,
                               aRow.mVersion, base::Error(decoded).mMessage);
    return std::nullopt;
  }
  return std::get<0>(std::move(decoded));
}

/// Splits "<job>/<number>".
std::optional<std::pair<std::string, std::uint32_t>> ParsePartName(std::string const& aName)
{
  auto const slash = aName.find('/');
  if (slash == std::string::npos) {
    return std::nullopt;
  }
  std::uint32_t part = 0;
  auto const* const end = aName.data() + aName.size();
  auto const [stopped, failure] = std::from_chars(aName.data() + slash + 1, end, part);
  if (failure != std::errc{} || stopped != end) {
    return std::nullopt;
  }
  return std::pair{ aName.substr(0, slash), part };
}

} // namespace

std::string PartKey(std::string const& aJob, std::uint32_t aPart)
{
  return kPartPrefix + aJob + '/' + std::to_string(aPart);
}

std::string CheckpointRowKey(std::string const& aJob, std::uint32_t aRow)
{
  return kCheckpointsPrefix + aJob + '/' + std::to_string(aRow);
}

replica::replica(options aOptions)
  : mOptions{ std::move(aOptions) }
  , mDispatchRows{ .mName = kDispatchTable, .mWait = kDispatchRowsWait }
  , mOperatorRows{ .mName = platform::kOperatorTable, .mWait = kOperatorRowsWait }
{
}

void replica::Start()
{
  asio::co_spawn(
    mOptions.mContext, [this] { return Follow(mDispatchRows); }, asio::detached);
  asio::co_spawn(
    mOptions.mContext, [this] { return Follow(mOperatorRows); }, asio::detached);
}

void replica::HandleStoreFailure()
{
  mLease.SetStoreUnavailable();
  if (mIsStoreAvailable) {
    base::Log("replica")->warn("store-lost table={}", kDispatchTable);
    mIsStoreAvailable = false;
  }
}

void replica::HandleStoreAnswer(std::uint64_t aVersion)
{
  if (!mIsStoreAvailable) {
    base::Log("replica")->info("store-regained table={} version={}", kDispatchTable, aVersion);
    mIsStoreAvailable = true;
  }
  mLease.SetStoreAvailable(base::Now());
}

awaitable<void> replica::Follow(followed_table& aTable)
{
  bool wasFullRead = false;
  // Reads of the dispatch table decide whether the store counts as available, as this table
  // contains the term heartbeat.
  auto const isDispatchTable = &aTable == &mDispatchRows;
  while (true) {
    auto const isAfterFullRead = std::exchange(wasFullRead, !aTable.mIsLoaded);
    auto const isFullRead = wasFullRead;
    if (isDispatchTable && !isFullRead && !mOptions.mIsWriter()) {
      if (auto const wait = aTable.mReadAt + kFollowerReadInterval - base::Now();
          wait > base::milliseconds{ 0 }) {
        co_await net::Sleep(wait);
      }
    }
    auto const sentAt = base::Now();
    aTable.mReadAt = sentAt;
    platform::read_result read;
    if (isFullRead) {
      read = co_await mOptions.mStore.ReadTable(aTable.mName, kReadTimeout);
    } else {
      read = co_await mOptions.mStore.Follow(aTable.mName, aTable.mVersion, aTable.mWait);
    }
    // The store bounds the pages of a full read, but not the changes since a version.
    auto const areChangesTooLarge = read.mOutcome == read_outcome::too_large && !isFullRead;
    if (read.mOutcome == read_outcome::history_lost || areChangesTooLarge) {
      base::Log("replica")->info("{} table={} version={}",
                                 areChangesTooLarge ? "changes-too-large" : "history-lost",
                                 aTable.mName, aTable.mVersion);
      aTable.mIsLoaded = false;
      if (isAfterFullRead) {
        // The full read came from a copy that lags behind the history.
        co_await net::Sleep(RetryDelay());
      }
      continue;
    }
    if (read.mOutcome != read_outcome::answered) {
      if (isDispatchTable) {
        HandleStoreFailure();
      }
      co_await net::Sleep(RetryDelay());
      continue;
    }
    if (isDispatchTable) {
      HandleStoreAnswer(read.mVersion);
    }
    if (read.mVersion < aTable.mVersion) {
      // A copy that lags behind shows nothing of the present rows.
      base::Log("replica")->warn("read-outdated table={} version={} known={}", aTable.mName,
                                 read.mVersion, aTable.mVersion);
      co_await net::Sleep(RetryDelay());
      continue;
    }
    aTable.mConfirmedAt = sentAt;
    if (isFullRead) {
      ApplyFullRead(aTable, read);
      aTable.mIsLoaded = true;
    } else {
      mIsFollowing = true;
      Apply(read.mRows);
      mIsFollowing = false;
    }
    aTable.mVersion = read.mVersion;
    if (!read.mRows.empty() || isFullRead) {
      mOptions.mOnChange();
    }
  }
}

void replica::Apply(std::vector<store_row> const& aRows)
{
  for (auto const& row : aRows) {
    if (row.mTable == kDispatchTable) {
      ApplyDispatchRow(row);
    } else if (row.mTable == platform::kOperatorTable) {
      ApplyOperatorRow(row);
    }
  }
}

void replica::ApplyConflict(std::vector<store_row> const& aRows, base::time_point aSentAt)
{
  Apply(aRows);
  for (auto const& row : aRows) {
    if (row.mTable == platform::kOperatorTable && row.mKey == platform::kConfigurationKey &&
        row.mVersion == mConfigurationRowVersion) {
      mConfigurationMetAt = std::max(mConfigurationMetAt, aSentAt);
    }
  }
}

void replica::ApplyFullRead(followed_table const& aTable, platform::read_result const& aRead)
{
  Apply(Deletions(aTable.mName, mVersions, aRead));
  auto const isStateOfOthers = &aTable == &mDispatchRows && !mOptions.mIsWriter();
  auto const present = Keys(aRead);
  // Before the rows: the parts of a job may be stored before its phase, and their versions are the
  // conditions of the transactions that replace them.
  if (isStateOfOthers) {
    ResetMissingStates(present);
  }
  Apply(aRead.mRows);
  if (isStateOfOthers) {
    ResetMissingParts(present);
  }
}

void replica::ResetMissingStates(std::set<std::string> const& aPresent)
{
  for (auto& [id, job] : mJobs) {
    if (!aPresent.contains(kStatePrefix + id)) {
      job->ResetState();
    }
  }
}

void replica::ResetMissingParts(std::set<std::string> const& aPresent)
{
  for (auto& [id, job] : mJobs) {
    for (std::uint32_t part = 0; job->IsInParts() && part < job->Parts().Count(); ++part) {
      if (!aPresent.contains(PartKey(id, part))) {
        job->ResetPart(part);
      }
    }
    for (auto const row : job->CheckpointRows()) {
      if (!aPresent.contains(CheckpointRowKey(id, row))) {
        job->RemoveCheckpointRow(row);
      }
    }
  }
}

void replica::ApplyDispatchRow(store_row const& aRow)
{
  auto& known = mVersions[{ aRow.mTable, aRow.mKey }];
  auto const id = SuffixAfter(aRow.mKey, kStatePrefix);
  auto const part = SuffixAfter(aRow.mKey, kPartPrefix);
  auto const checkpoints = SuffixAfter(aRow.mKey, kCheckpointsPrefix);
  if (id || part || checkpoints) {
    // The states that the writer holds are newer than the stored ones.
    if (mOptions.mIsWriter()) {
      return;
    }
    if (aRow.mVersion < known) {
      return;
    }
    known = aRow.mVersion;
    if (id) {
      ApplyState(*id, aRow);
    } else if (part) {
      ApplyPart(*part, aRow);
    } else {
      ApplyCheckpointRow(*checkpoints, aRow);
    }
    return;
  }
  if (aRow.mVersion <= known) {
    return;
  }
  known = aRow.mVersion;
  if (auto const job = SuffixAfter(aRow.mKey, kJobPrefix)) {
    ApplyJob(*job, aRow);
  } else if (auto const stopped = SuffixAfter(aRow.mKey, kCancellationPrefix)) {
    if (aRow.mIsDeleted) {
      mCancellations.erase(*stopped);
    } else {
      mCancellations[*stopped] = aRow.mVersion;
    }
  } else if (auto const node = SuffixAfter(aRow.mKey, kSidePrefix)) {
    ApplyAddress(mSides, *node, aRow);
  } else if (auto const front = SuffixAfter(aRow.mKey, kFrontPrefix)) {
    ApplyAddress(mFronts, *front, aRow);
  } else if (aRow.mKey == kTermKey) {
    ApplyTerm(aRow);
  } else if (aRow.mKey == kTermHeartbeatKey) {
    ApplyTermHeartbeat(aRow);
  } else if (aRow.mKey == kRunTimesKey) {
    mRunTimes = aRow.mValue;
  } else if (aRow.mKey == kSilentSidesKey) {
    mSilentSides = aRow.mValue;
    mSilentSidesVersion = aRow.mIsDeleted ? 0 : aRow.mVersion;
  } else if (auto const queue = SuffixAfter(aRow.mKey, kQueuePrefix)) {
    ApplyQueue(*queue, aRow);
  }
}

void replica::ApplyJob(std::string const& aId, store_row const& aRow)
{
  if (aRow.mIsDeleted) {
    mJobs.erase(aId);
    return;
  }
  auto description = DecodeValue<job_description>(aRow);
  if (!description) {
    return;
  }
  if (auto const reason = WhyImpossible(*description); !reason.empty()) {
    base::Log("replica")->warn("job-impossible job={} version={} reason=\"{}\"", aId, aRow.mVersion,
                               reason);
    return;
  }
  AddJob(aId, std::move(*description));
  if (auto const parts = mPartsWithoutJob.extract(aId)) {
    for (auto const& [name, row] : parts.mapped()) {
      ApplyPart(name, row);
    }
  }
  if (auto const rows = mCheckpointRowsWithoutJob.extract(aId)) {
    for (auto const& [name, row] : rows.mapped()) {
      ApplyCheckpointRow(name, row);
    }
  }
  if (auto const waitingState = mStatesWithoutJob.find(aId);
      waitingState != mStatesWithoutJob.end()) {
    auto const row = waitingState->second;
    mStatesWithoutJob.erase(waitingState);
    ApplyState(aId, row);
  }
}

void replica::AddJob(std::string const& aId, job_description aDescription)
{
  if (mJobs.contains(aId)) {
    return;
  }
  auto job = std::make_unique<job_record>(aId, std::move(aDescription));
  job->mReceivedAt = base::Now();
  mJobs[aId] = std::move(job);
}

void replica::ApplyState(std::string const& aId, store_row const& aRow)
{
  auto* const job = FindJob(aId);
  if (job == nullptr) {
    if (!aRow.mIsDeleted) {
      mStatesWithoutJob[aId] = aRow;
    }
    return;
  }
  if (aRow.mIsDeleted) {
    return;
  }
  if (!job->ApplyState(aRow.mValue, mIsFollowing ? base::Now() : base::time_point{})) {
    base::Log("replica")->warn("state-unreadable job={} version={}", aId, aRow.mVersion);
    return;
  }
  job->MarkStateStored(aRow.mVersion, job->Phase());
}

void replica::ApplyPart(std::string const& aName, store_row const& aRow)
{
  auto const name = ParsePartName(aName);
  if (!name) {
    base::Log("replica")->warn("part-unreadable key={} version={}", aRow.mKey, aRow.mVersion);
    return;
  }
  auto const& [id, part] = *name;
  auto* const job = FindJob(id);
  if (aRow.mIsDeleted) {
    // Parts are removed after the end of their job, and with its other rows.
    mPartsWithoutJob.erase(id);
    return;
  }
  if (job == nullptr) {
    mPartsWithoutJob[id][aName] = aRow;
    return;
  }
  if (!job->ApplyPart(part, aRow.mVersion, aRow.mValue,
                      mIsFollowing ? base::Now() : base::time_point{})) {
    base::Log("replica")->warn("part-unreadable key={} version={}", aRow.mKey, aRow.mVersion);
  }
}

void replica::ApplyCheckpointRow(std::string const& aName, store_row const& aRow)
{
  auto const name = ParsePartName(aName);
  if (!name) {
    base::Log("replica")->warn("checkpoints-unreadable key={} version={}", aRow.mKey,
                               aRow.mVersion);
    return;
  }
  auto const& [id, number] = *name;
  auto* const job = FindJob(id);
  auto const accepted = mVersions.find({ kDispatchTable, kJobPrefix + id });
  if (job == nullptr && aRow.mIsDeleted) {
    mCheckpointRowsWithoutJob[id].erase(aName);
  } else if (job == nullptr) {
    mCheckpointRowsWithoutJob[id][aName] = aRow;
  } else if (aRow.mIsDeleted) {
    job->RemoveCheckpointRow(number);
  } else if (accepted != mVersions.end() && aRow.mVersion < accepted->second) {
    // An earlier version of the program has left it behind when it removed a job that had the same
    // identifier. Without content, it is replaced or removed with the next change.
    base::Log("replica")->info("checkpoints-of-former-job key={} version={}", aRow.mKey,
                               aRow.mVersion);
    job->ApplyCheckpointRow(number, {});
  } else if (!job->ApplyCheckpointRow(number, aRow.mValue)) {
    base::Log("replica")->warn("checkpoints-unreadable key={} version={}", aRow.mKey,
                               aRow.mVersion);
  }
}

void replica::ApplyTerm(store_row const& aRow)
{
  auto term = DecodeValue<term_record>(aRow);
  if (aRow.mIsDeleted || !term) {
    return;
  }
  mTerm = std::move(*term);
  mTermVersion = aRow.mVersion;
  mSuccession.RecordTerm(mTerm.mNumber, aRow.mVersion, base::Now());
  mLease.SetHeld();
  mLease.RecordVersion(aRow.mVersion, base::Now());
  base::Log("replica")->info("term number={} holder={} version={}", mTerm.mNumber, mTerm.mNode,
                             aRow.mVersion);
}

void replica::ApplyTermHeartbeat(store_row const& aRow)
{
  mLease.RecordVersion(aRow.mVersion, base::Now());
  if (aRow.mValue == "released") {
    mLease.SetReleased();
    mSuccession.RecordRelease(aRow.mVersion);
  }
}

void replica::ApplyAddress(address_map& aAddresses, std::string const& aNode, store_row const& aRow)
{
  auto address = aRow.mIsDeleted ? std::nullopt : DecodeValue<address_record>(aRow);
  if (address) {
    aAddresses[aNode] = std::move(*address);
  } else {
    aAddresses.erase(aNode);
  }
}

void replica::ApplyOperatorRow(store_row const& aRow)
{
  auto& known = mVersions[{ aRow.mTable, aRow.mKey }];
  if (aRow.mVersion <= known) {
    return;
  }
  known = aRow.mVersion;
  if (aRow.mKey == platform::kConfigurationKey) {
    ApplyConfiguration(aRow);
  } else if (auto const domain = SuffixAfter(aRow.mKey, platform::kEvacuationPrefix)) {
    base::Log("replica")->info("evacuation domain={} in-force={} version={}", *domain,
                               !aRow.mIsDeleted, aRow.mVersion);
    if (aRow.mIsDeleted) {
      mEvacuations.erase(*domain);
    } else {
      mEvacuations[*domain] = aRow.mVersion;
    }
  }
}

void replica::ApplyConfiguration(store_row const& aRow)
{
  // Transactions name the newest row even if it is rejected; otherwise each would meet a conflict
  // for as long as that row stands.
  mConfigurationRowVersion = aRow.mIsDeleted ? 0 : aRow.mVersion;
  auto parsed = base::Capture([&] { return platform::ParseConfiguration(aRow.mValue); });
  if (!base::Succeeded(parsed)) {
    ++mRejectedConfigurations;
    base::Log("replica")->error("configuration-unreadable version={} reason={}", aRow.mVersion,
                                base::Error(parsed).mMessage);
    return;
  }
  auto const& next = std::get<0>(parsed);
  if (mConfiguration && next.mVersion < mConfiguration->mVersion) {
    base::Log("replica")->warn("configuration-older version={} held={}", next.mVersion,
                               mConfiguration->mVersion);
    return;
  }
  KeepRemovedQueues(next);
  mConfiguration = std::make_shared<operator_configuration const>(next);
  base::Log("replica")->info("configuration version={} row={} queues={}", next.mVersion,
                             aRow.mVersion, next.mQueues.size());
}

void replica::KeepRemovedQueues(operator_configuration const& aNext)
{
  auto const now = base::Now();
  std::set<std::string> used;
  for (auto const& [id, job] : mJobs) {
    used.insert(job->Description().mQueue);
  }
  std::erase_if(mRemovedQueues, [&](auto const& aEntry) {
    auto const isDue = now - aEntry.second.mRemovedAt > kRemovedQueueRetention;
    return aNext.FindQueue(aEntry.first) != nullptr || (isDue && !used.contains(aEntry.first));
  });
  if (!mConfiguration) {
    return;
  }
  for (auto const& queue : mConfiguration->mQueues) {
    if (aNext.FindQueue(queue.mName) == nullptr) {
      mRemovedQueues[queue.mName] = { .mQueue = queue, .mRemovedAt = now };
    }
  }
}

queue const* replica::FindQueue(std::string const& aName) const
{
  if (auto const* const current = mConfiguration ? mConfiguration->FindQueue(aName) : nullptr) {
    return current;
  }
  if (auto const found = mRemovedQueues.find(aName); found != mRemovedQueues.end()) {
    return &found->second.mQueue;
  }
  auto const stored = mStoredQueues.find(aName);
  return stored == mStoredQueues.end() ? nullptr : &stored->second;
}

std::optional<platform::row_change> replica::QueueChange(std::string const& aName) const
{
  auto const* const present = mConfiguration ? mConfiguration->FindQueue(aName) : nullptr;
  auto const key = QueueKey(aName);
  if (present == nullptr || !key) {
    return std::nullopt;
  }
  auto text = EncodeQueue(*present);
  auto const stored = mStoredQueues.find(aName);
  if (stored != mStoredQueues.end() && EncodeQueue(stored->second) == text) {
    return std::nullopt;
  }
  return platform::row_change{ kDispatchTable, *key, std::move(text) };
}

std::vector<std::string> replica::UnusedQueues() const
{
  std::set<std::string> unused;
  for (auto const& entry : mStoredQueues) {
    if (mConfiguration && mConfiguration->FindQueue(entry.first) == nullptr) {
      unused.insert(entry.first);
    }
  }
  if (!unused.empty()) {
    for (auto const& entry : mJobs) {
      unused.erase(entry.second->Description().mQueue);
    }
  }
  return { unused.begin(), unused.end() };
}

void replica::ApplyQueue(std::string const& aName, store_row const& aRow)
{
  auto stored = aRow.mIsDeleted ? std::nullopt : DecodeQueue(aName, aRow.mValue);
  if (stored) {
    mStoredQueues[aName] = std::move(*stored);
    return;
  }
  mStoredQueues.erase(aName);
  if (!aRow.mIsDeleted) {
    base::Log("replica")->warn("queue-unreadable key={} version={}", aRow.mKey, aRow.mVersion);
  }
}

std::uint64_t replica::SideVersion(std::string const& aNode) const
{
  auto const found = mVersions.find({ kDispatchTable, kSidePrefix + aNode });
  return found == mVersions.end() ? 0 : found->second;
}

job_record* replica::FindJob(std::string const& aId)
{
  auto const found = mJobs.find(aId);
  return found == mJobs.end() ? nullptr : found->second.get();
}

std::uint64_t replica::CancellationVersion(std::string const& aJob) const
{
  auto const found = mCancellations.find(aJob);
  return found == mCancellations.end() ? 0 : found->second;
}

} // namespace rattanpond::dispatch
