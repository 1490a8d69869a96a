#include "requests/claim_ledger.h"

#include "base/identifiers.h"

#include <set>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace rattanpond::requests {

namespace asio = boost::asio;
using base::error;
using base::result_code;

claim_ledger::claim_ledger(asio::io_context& aContext, platform::table_service& aTable,
                           options aOptions)
  : mContext{ aContext }
  , mTable{ aTable }
  , mOptions{ aOptions }
{
}

asio::awaitable<base::reply<std::optional<found_claim>>> claim_ledger::Read(std::string aKey)
{
  auto const self = shared_from_this();
  auto const read = co_await mTable.Read(std::move(aKey));
  if (!base::Succeeded(read)) {
    co_return base::Error(read);
  }
  auto const& row = std::get<0>(read);
  if (!row) {
    co_return std::optional<found_claim>{};
  }
  auto decoded = base::Capture([&] { return base::Decode<claim_row>(row->mValue); });
  if (!base::Succeeded(decoded)) {
    co_return base::Error(decoded);
  }
  co_return std::optional<found_claim>{ found_claim{ std::get<0>(std::move(decoded)),
                                                     row->mRevision } };
}

asio::awaitable<base::reply<base::done>> claim_ledger::Write(std::string aKey, claim_row aRow,
                                                             std::uint64_t aExpectedRevision,
                                                             base::time_point aDeadline)
{
  auto const self = shared_from_this();
  aRow.mWrittenAt = base::WallClockMilliseconds();
  auto const waiting = std::make_shared<waiting_write>(
    mContext, platform::table_write{ .mKey = std::move(aKey),
                                     .mValue = base::Encode(aRow),
                                     .mExpectedRevision = aExpectedRevision });
  mWaiting.push_back(waiting);
  StartBatches();
  waiting->mSignal.expires_after(std::max(base::milliseconds{ 0 }, aDeadline - base::Now()));
  if (!waiting->mResult) {
    boost::system::error_code ignored;
    co_await waiting->mSignal.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }
  if (!waiting->mResult) {
    co_return error{ result_code::outcome_unknown, "the table did not answer before the deadline" };
  }
  co_return *waiting->mResult;
}

void claim_ledger::StartBatches()
{
  while (!mWaiting.empty() && mInFlight < mOptions.mMaximumInFlight) {
    ++mInFlight;
    asio::co_spawn(
      mContext, [self = shared_from_this(), taken = TakeBatch()] { return self->Run(taken); },
      asio::detached);
  }
}

claim_ledger::batch claim_ledger::TakeBatch()
{
  batch taken;
  std::set<std::string> keys;
  // A second write to the same row depends on the result of the first one, so it ends the batch.
  while (!mWaiting.empty() && taken.size() < mOptions.mMaximumBatch &&
         keys.insert(mWaiting.front()->mWrite.mKey).second) {
    taken.push_back(std::move(mWaiting.front()));
    mWaiting.pop_front();
  }
  return taken;
}

asio::awaitable<void> claim_ledger::Run(batch aBatch)
{
  co_await CommitBatch(std::move(aBatch));
  --mInFlight;
  StartBatches();
}

asio::awaitable<void> claim_ledger::CommitBatch(batch aBatch)
{
  auto const self = shared_from_this();
  platform::table_transaction transaction{ .mAttempt = base::RandomIdentifier(), .mWrites = {} };
  for (auto const& waiting : aBatch) {
    transaction.mWrites.push_back(waiting->mWrite);
  }
  auto const result =
    co_await platform::Commit(mTable, std::move(transaction), mOptions.mCommitTimeLimit);
  auto const isConflict =
    !base::Succeeded(result) && base::Error(result).mCode == result_code::condition_failed;
  if (isConflict && aBatch.size() > 1) {
    // One conflicting row fails the whole transaction; committed alone, each write gets its own
    // result.
    for (auto const& waiting : aBatch) {
      asio::co_spawn(
        mContext, [self, waiting] { return self->CommitBatch({ waiting }); }, asio::detached);
    }
    co_return;
  }
  for (auto const& waiting : aBatch) {
    waiting->mResult = result;
    waiting->mSignal.cancel();
  }
}

} // namespace rattanpond::requests
