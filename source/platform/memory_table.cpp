#include "platform/memory_table.h"

#include <set>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace rattanpond::platform {

namespace asio = boost::asio;
using base::done;
using base::error;
using base::reply;
using base::result_code;

asio::awaitable<reply<std::optional<table_row>>> memory_table::Read(std::string aKey)
{
  auto const admitted = co_await Admit();
  if (!base::Succeeded(admitted)) {
    co_return base::Error(admitted);
  }
  auto const& visible = VisibleRows();
  auto const found = visible.find(aKey);
  co_return found == visible.end() ? std::optional<table_row>{} : found->second;
}

asio::awaitable<reply<std::vector<table_row>>> memory_table::Scan(std::string aPrefix,
                                                                  std::string aAfter,
                                                                  std::size_t aLimit)
{
  auto const admitted = co_await Admit();
  if (!base::Succeeded(admitted)) {
    co_return base::Error(admitted);
  }
  auto const& visible = VisibleRows();
  std::vector<table_row> page;
  auto next = aAfter < aPrefix ? visible.lower_bound(aPrefix) : visible.upper_bound(aAfter);
  while (next != visible.end() && next->first.starts_with(aPrefix) && page.size() < aLimit) {
    page.push_back(next->second);
    ++next;
  }
  co_return page;
}

asio::awaitable<reply<done>> memory_table::CommitOnce(table_transaction aTransaction)
{
  auto const admitted = co_await Admit();
  if (!base::Succeeded(admitted)) {
    co_return admitted;
  }
  if (mFaults.mLostRequests > 0) {
    --mFaults.mLostRequests;
    co_return error{ result_code::outcome_unknown, "the table did not answer" };
  }
  auto applied = Apply(std::move(aTransaction));
  if (mFaults.mLostAnswers > 0) {
    --mFaults.mLostAnswers;
    co_return error{ result_code::outcome_unknown, "the table did not answer" };
  }
  co_return applied;
}

void memory_table::Inject(table_faults aFaults)
{
  if (aFaults.mReads == read_mode::current) {
    mStaleRows.clear();
  } else if (mFaults.mReads == read_mode::current) {
    mStaleRows = mRows;
  }
  mFaults = aFaults;
}

asio::awaitable<reply<done>> memory_table::Admit()
{
  if (mFaults.mAvailability == availability::down) {
    co_return error{ result_code::store_unavailable, "the table is down" };
  }
  if (mFaults.mDelay.count() > 0) {
    asio::steady_timer timer{ co_await asio::this_coro::executor, mFaults.mDelay };
    co_await timer.async_wait(asio::use_awaitable);
  }
  co_return done{};
}

reply<done> memory_table::Apply(table_transaction aTransaction)
{
  std::set<std::string_view> keys;
  for (auto const& write : aTransaction.mWrites) {
    auto const isNull = write.mValue && write.mValue->is_null();
    if (write.mKey.empty() || isNull || !keys.insert(write.mKey).second) {
      return error{ result_code::invalid_argument,
                    "each write of a transaction needs a key that no other write has; a written "
                    "value must not be null" };
    }
    auto const found = mRows.find(write.mKey);
    auto const revision = found == mRows.end() ? kAbsent : found->second.mRevision;
    if (revision != write.mExpectedRevision) {
      return error{ result_code::condition_failed, "row '" + write.mKey + "' has revision " +
                                                     std::to_string(revision) + ", not " +
                                                     std::to_string(write.mExpectedRevision) };
    }
  }
  for (auto& write : aTransaction.mWrites) {
    if (!write.mValue) {
      mRows.erase(write.mKey);
      mDeletedRevisions[write.mKey] = write.mExpectedRevision + 1;
      continue;
    }
    auto revision = write.mExpectedRevision;
    if (auto const deleted = mDeletedRevisions.find(write.mKey);
        deleted != mDeletedRevisions.end()) {
      revision = deleted->second;
      mDeletedRevisions.erase(deleted);
    }
    mRows[write.mKey] = { write.mKey, std::move(*write.mValue), revision + 1,
                          aTransaction.mAttempt };
  }
  ++mCommits;
  return done{};
}

memory_table::rows const& memory_table::VisibleRows() const
{
  return mFaults.mReads == read_mode::stale ? mStaleRows : mRows;
}

} // namespace rattanpond::platform
