#include "platform/table_service.h"

#include <algorithm>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace rattanpond::platform {

namespace asio = boost::asio;
using base::done;
using base::error;
using base::reply;
using base::result_code;

namespace {

constexpr std::size_t kPageRows = 200;
constexpr base::milliseconds kFirstRetryDelay{ 5 };
constexpr base::milliseconds kMaximumRetryDelay{ 500 };

/// What the rows of a transaction show about its outcome after a lost answer.
enum class evidence
{
  committed,
  not_committed,
  /// The row no longer shows the outcome because it was overwritten or deleted.
  erased,
  /// The row cannot be read, or the read returned a state from before the write that failed the
  /// condition.
  missing
};

/// The results committed and not_committed are facts about the row's history, so they also hold for
/// a stale read.
evidence RowEvidence(std::optional<table_row> const& aRow, table_write const& aWrite,
                     std::string const& aAttempt)
{
  if (!aRow) {
    return aWrite.mValue ? evidence::missing : evidence::erased;
  }
  if (aRow->mAttempt == aAttempt) {
    return evidence::committed;
  }
  if (aRow->mRevision <= aWrite.mExpectedRevision) {
    return evidence::missing;
  }
  // A revision grows with every write, so this is the first write after the expected revision. A
  // larger revision may belong to a write that came after this transaction's write.
  return aRow->mRevision == aWrite.mExpectedRevision + 1 ? evidence::not_committed
                                                         : evidence::erased;
}

asio::awaitable<evidence> Resolve(table_service& aTable, table_transaction const& aTransaction)
{
  auto found = evidence::erased;
  for (auto const& write : aTransaction.mWrites) {
    auto const row = co_await aTable.Read(write.mKey);
    auto const fromRow = base::Succeeded(row)
                           ? RowEvidence(std::get<0>(row), write, aTransaction.mAttempt)
                           : evidence::missing;
    if (fromRow == evidence::committed || fromRow == evidence::not_committed) {
      co_return fromRow;
    }
    if (fromRow == evidence::missing) {
      found = evidence::missing;
    }
  }
  co_return found;
}

} // namespace

asio::awaitable<reply<done>> Commit(table_service& aTable, table_transaction aTransaction,
                                    base::milliseconds aTimeLimit)
{
  error const unknown{ result_code::outcome_unknown, "cannot determine whether transaction " +
                                                       aTransaction.mAttempt + " took effect" };
  auto const deadline = base::Now() + aTimeLimit;
  base::milliseconds delay{ 0 };
  bool answerLost = false;
  bool conditionFailed = false;
  while (true) {
    if (!conditionFailed) {
      auto const attempted = co_await aTable.CommitOnce(aTransaction);
      if (base::Succeeded(attempted)) {
        co_return attempted;
      }
      auto const code = base::Error(attempted).mCode;
      answerLost = answerLost || code == result_code::outcome_unknown;
      if (!answerLost) {
        co_return attempted;
      }
      conditionFailed = code == result_code::condition_failed;
    }
    if (conditionFailed) {
      auto const resolved = co_await Resolve(aTable, aTransaction);
      if (resolved == evidence::committed) {
        co_return done{};
      }
      if (resolved == evidence::not_committed) {
        co_return error{ result_code::condition_failed, "another client wrote a row first" };
      }
      if (resolved == evidence::erased) {
        co_return unknown;
      }
    }
    if (base::Now() + delay >= deadline) {
      co_return unknown;
    }
    // The first repeat is immediate because most answers are lost together with a single
    // connection.
    if (delay.count() > 0) {
      asio::steady_timer timer{ co_await asio::this_coro::executor, delay };
      co_await timer.async_wait(asio::use_awaitable);
    }
    delay = std::clamp(delay * 2, kFirstRetryDelay, kMaximumRetryDelay);
  }
}

asio::awaitable<reply<std::vector<table_row>>> ScanAll(table_service& aTable, std::string aPrefix)
{
  std::vector<table_row> rows;
  std::string after;
  while (true) {
    auto page = co_await aTable.Scan(aPrefix, after, kPageRows);
    if (!base::Succeeded(page)) {
      co_return page;
    }
    auto& found = std::get<0>(page);
    auto const isLast = found.size() < kPageRows;
    if (!isLast) {
      after = found.back().mKey;
    }
    std::ranges::move(found, std::back_inserter(rows));
    if (isLast) {
      co_return rows;
    }
  }
}

} // namespace rattanpond::platform
