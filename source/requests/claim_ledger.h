#pragma once

#include "platform/table_service.h"
#include "requests/claim_row.h"

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace rattanpond::requests {

struct found_claim
{
  claim_row mRow;
  std::uint64_t mRevision = 0;
};

/// Reads and writes claims in the platform's table. Writes that wait at the same time are committed
/// in one transaction. Used on one thread.
class claim_ledger : public std::enable_shared_from_this<claim_ledger>
{
public:
  struct options
  {
    base::milliseconds mCommitTimeLimit{ 1000 };
    std::size_t mMaximumBatch = 64;
    std::size_t mMaximumInFlight = 2;
  };

  claim_ledger(boost::asio::io_context& aContext, platform::table_service& aTable,
               options aOptions);

  boost::asio::awaitable<base::reply<std::optional<found_claim>>> Read(std::string aKey);

  /// Writes the row if its revision is the expected one. Returns at aDeadline at the latest.
  /// Fails with condition_failed (not written, and never will be), store_unavailable or
  /// outcome_unknown.
  boost::asio::awaitable<base::reply<base::done>> Write(std::string aKey, claim_row aRow,
                                                        std::uint64_t aExpectedRevision,
                                                        base::time_point aDeadline);

private:
  struct waiting_write
  {
    waiting_write(boost::asio::io_context& aContext, platform::table_write aWrite)
      : mWrite{ std::move(aWrite) }
      , mSignal{ aContext, boost::asio::steady_timer::time_point::max() }
    {
    }

    platform::table_write mWrite;
    boost::asio::steady_timer mSignal;
    std::optional<base::reply<base::done>> mResult;
  };

  using batch = std::vector<std::shared_ptr<waiting_write>>;

  void StartBatches();
  batch TakeBatch();
  boost::asio::awaitable<void> Run(batch aBatch);
  boost::asio::awaitable<void> CommitBatch(batch aBatch);

  boost::asio::io_context& mContext;
  platform::table_service& mTable;
  options mOptions;
  std::deque<std::shared_ptr<waiting_write>> mWaiting;
  std::size_t mInFlight = 0;
};

} // namespace rattanpond::requests
