#include "dispatch/scheduler.h"

#include "base/logging.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace rattanpond::dispatch {

namespace asio = boost::asio;
using asio::awaitable;
using base::milliseconds;
using platform::commit_outcome;

namespace {

/// A side with runs that has not reported for this long is listed as silent in the store: sides
/// whose worker has runs report every second, so two reports are missing.
constexpr milliseconds kSilenceListedAfter{ 2000 };
constexpr milliseconds kListCommitTimeout{ 1000 };

} // namespace

void scheduler::AdoptSilentSides()
{
  auto const& replica = mOptions.mReplica;
  // The former holder may have removed a side from the list, and answered it, right before the
  // takeover.
  if (mSilentSides.IsAdopted() || !replica.HasAllRowsUntil(mTermVersion)) {
    return;
  }
  mSilentSides.Adopt(replica.SilentSides(), replica.SilentSidesVersion());
  for (auto const& [node, since] : mSilentSides.Wanted()) {
    if (auto const at = mOptions.mStore.Clock().LatestOwnTime(since)) {
      mUnansweredSince[node] = *at;
      base::Log("scheduler")
        ->info("side-silent node={} for_ms={} origin=store", node, (base::Now() - *at).count());
    }
  }
}

lease_evidence scheduler::NewLeaseEvidence(std::string const& aNode) const
{
  auto unansweredSince = mFormerHoldersStopBy;
  if (auto const found = mUnansweredSince.find(aNode); found != mUnansweredSince.end()) {
    unansweredSince = std::min(unansweredSince, found->second);
  }
  return lease_evidence{ unansweredSince, mOptions.mSettings.mMaximumLease };
}

void scheduler::WatchSilentSides(base::time_point aNow)
{
  AdoptSilentSides();
  if (!mSilentSides.IsAdopted()) {
    return;
  }
  std::set<std::string> nodes;
  ForEachActiveTask([&](job_record&, task_position const&, tracked_task& aTask) {
    if (aTask.mRunStatus != run_status::planned) {
      nodes.insert(aTask.mState.mWorker);
    }
  });
  for (auto const& node : nodes) {
    auto const found = mLeases.find(node);
    auto const evidence = found == mLeases.end() ? NewLeaseEvidence(node) : found->second;
    if (aNow - std::max(evidence.LastReportAt(), mHolderSince) <= kSilenceListedAfter) {
      continue;
    }
    // The former holder may not have been replaced at the side yet, so its answers count as well.
    if (auto const since = mOptions.mStore.Clock().LatestStoreTime(evidence.UnansweredSince())) {
      mSilentSides.Add(node, *since);
    }
  }
  // The ends of the runs are stored before the entry goes: the next holder needs it until then.
  auto const areEndsStored = mDirty.empty() && !mBatch;
  auto const listed = mSilentSides.Wanted();
  for (auto const& entry : listed) {
    auto const found = mLeases.find(entry.first);
    auto const hasReported =
      found != mLeases.end() && aNow - found->second.LastReportAt() <= kSilenceListedAfter;
    if (hasReported || (areEndsStored && !nodes.contains(entry.first))) {
      mSilentSides.Remove(entry.first);
    }
  }
  StoreSilentSides();
}

void scheduler::StoreSilentSides()
{
  if (mSilentSides.MustWrite()) {
    asio::co_spawn(
      mOptions.mContext, [this] { return CommitSilentSides(); }, asio::detached);
  }
}

awaitable<void> scheduler::CommitSilentSides()
{
  if (!mIsHolder || !mSilentSides.MustWrite()) {
    co_return;
  }
  auto const term = mTerm;
  auto const text = mSilentSides.BeginWrite();
  platform::row_transaction transaction{
    .mConditions = { { kDispatchTable, kTermKey, mTermVersion },
                     { kDispatchTable, kSilentSidesKey, mSilentSides.Version() } },
    .mChanges = { { kDispatchTable, kSilentSidesKey, text } },
  };
  auto const result = co_await mOptions.mStore.Commit(std::move(transaction), kListCommitTimeout);
  if (!mIsHolder || term != mTerm) {
    co_return;
  }
  base::Log("scheduler")
    ->info("silent-sides list={} outcome={}", text, static_cast<int>(result.mOutcome));
  if (result.mOutcome == commit_outcome::committed) {
    mSilentSides.WriteCommitted(result.mVersion);
    // Sides that have reported meanwhile are waiting for an answer that renews their lease.
    for (auto const& [node, session] : mSessions) {
      if (session->mIsAnswerWithheld && mSilentSides.MayAnswer(node)) {
        SendOrders(*session);
      }
    }
    SchedulePlanning();
  } else if (result.mOutcome == commit_outcome::conflict) {
    auto const found = std::ranges::find(result.mCurrent, std::string{ kSilentSidesKey },
                                         &platform::store_row::mKey);
    mSilentSides.WriteConflicted(found == result.mCurrent.end() ? 0 : found->mVersion);
    mOptions.mReplica.Apply(result.mCurrent);
    ReplicaChanged();
  } else {
    mSilentSides.WriteUnanswered();
  }
}

} // namespace rattanpond::dispatch
