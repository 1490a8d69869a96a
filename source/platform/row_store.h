#pragma once

#include "net/http_client.h"
#include "platform/store_clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

namespace rattanpond::platform {

/// A row of the platform's store. All rows of rattanpond and of the operators have an empty part.
struct store_row
{
  std::string mTable{};
  std::string mKey{};
  /// Bytes as text; decoded from base64.
  std::string mValue{};
  /// Number of the transaction that wrote the row; 0 for a row that does not exist.
  std::uint64_t mVersion = 0;
  bool mIsDeleted = false;
};

/// A row and the version that it must have for a transaction to take effect.
struct row_condition
{
  std::string mTable{};
  std::string mKey{};
  std::uint64_t mVersion = 0;
};

struct row_change
{
  std::string mTable{};
  std::string mKey{};
  /// Deletes the row when empty.
  std::optional<std::string> mValue{};
};

struct row_transaction
{
  std::vector<row_condition> mConditions{};
  std::vector<row_change> mChanges{};
};

enum class commit_outcome
{
  committed,
  /// A condition did not hold; nothing was written.
  conflict,
  /// The store refused the call for now; nothing was written.
  refused,
  /// No answer; the transaction may take effect at any time while its conditions hold.
  unknown,
  /// The store will never take the call, e.g. as a row is too large; nothing was written.
  rejected
};

struct commit_result
{
  commit_outcome mOutcome = commit_outcome::unknown;
  std::uint64_t mVersion = 0;
  /// After a conflict: the current state of those rows of the conditions that exist.
  std::vector<store_row> mCurrent{};
};

enum class read_outcome
{
  answered,
  /// The store no longer holds the history after the given version: the table must be read again.
  history_lost,
  /// The answer exceeds the size limit of the client.
  too_large,
  failed
};

struct read_result
{
  read_outcome mOutcome = read_outcome::failed;
  std::vector<store_row> mRows{};
  std::uint64_t mVersion = 0;
};

/// Client of the platform's store. Used on one thread.
class row_store
{
public:
  row_store(boost::asio::io_context& aContext, net::tcp::endpoint aEndpoint);

  boost::asio::awaitable<commit_result> Commit(row_transaction aTransaction,
                                               base::milliseconds aTimeout);
  /// Reads all rows of a table.
  boost::asio::awaitable<read_result> ReadTable(std::string aTable, base::milliseconds aTimeout);
  /// Reads one row; the result has no row if there is none.
  boost::asio::awaitable<read_result> ReadRow(std::string aTable, std::string aKey,
                                              base::milliseconds aTimeout);
  /// Reads the rows that changed after a version, as soon as there are any or after aWait.
  boost::asio::awaitable<read_result> Follow(std::string aTable, std::uint64_t aAfter,
                                             base::milliseconds aWait);

  /// Relates the store's clock to base::Now; updated by each answer.
  store_clock const& Clock() const { return mClock; }

private:
  boost::asio::awaitable<read_result> Read(std::string aTarget, base::milliseconds aTimeout,
                                           bool& aHasMore);
  void RecordClock(base::json const& aAnswer, base::time_point aSentAt);

  net::http_client mClient;
  store_clock mClock;
};

} // namespace rattanpond::platform
