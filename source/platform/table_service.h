#pragma once

#include "base/codec.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

namespace rattanpond::platform {

/// A row of the platform's table. Its revision grows with every write to it.
struct table_row
{
  std::string mKey;
  base::json mValue;
  std::uint64_t mRevision = 0;
  /// Attempt id of the transaction that wrote the row.
  std::string mAttempt;

  static constexpr auto Fields()
  {
    return std::make_tuple(base::Required("key", &table_row::mKey),
                           base::Required("value", &table_row::mValue),
                           base::Required("revision", &table_row::mRevision),
                           base::Required("attempt", &table_row::mAttempt));
  }
};

/// Expected revision of a row that must not exist.
inline constexpr std::uint64_t kAbsent = 0;

/// One conditional write. Every write names the revision it expects, so that a repeated transaction
/// cannot take effect twice.
struct table_write
{
  std::string mKey;
  /// Deletes the row when empty.
  std::optional<base::json> mValue;
  std::uint64_t mExpectedRevision = kAbsent;

  static constexpr auto Fields()
  {
    return std::make_tuple(base::Required("key", &table_write::mKey),
                           base::Field("value", &table_write::mValue),
                           base::Required("expected_revision", &table_write::mExpectedRevision));
  }
};

/// Writes that take effect together or not at all.
struct table_transaction
{
  std::string mAttempt;
  std::vector<table_write> mWrites;

  static constexpr auto Fields()
  {
    return std::make_tuple(base::Required("attempt", &table_transaction::mAttempt),
                           base::Required("writes", &table_transaction::mWrites));
  }
};

/// The platform's transactional table service.
class table_service
{
public:
  virtual ~table_service() = default;

  virtual boost::asio::awaitable<base::reply<std::optional<table_row>>> Read(std::string aKey) = 0;

  /// Returns up to aLimit rows whose keys start with aPrefix and are greater than aAfter, in order.
  virtual boost::asio::awaitable<base::reply<std::vector<table_row>>> Scan(std::string aPrefix,
                                                                           std::string aAfter,
                                                                           std::size_t aLimit) = 0;

  /// Makes one attempt. Errors: condition_failed (nothing written), store_unavailable (nothing was
  /// sent), outcome_unknown (the answer was lost; the writes may or may not have taken effect).
  virtual boost::asio::awaitable<base::reply<base::done>> CommitOnce(
    table_transaction aTransaction) = 0;
};

/// Commits and resolves lost answers: repeats the same transaction until its outcome is certain or
/// aTimeLimit has passed. Repeating is safe because every write is conditional. condition_failed
/// after a lost answer is resolved by rereading a row and comparing its attempt id. outcome_unknown
/// means that the outcome cannot be resolved: the time limit has passed, or other clients have
/// overwritten or deleted every row of the transaction. A transaction whose outcome must be
/// resolved writes a value to at least one row; a row that is created if absent must not be deleted
/// while its creator may still repeat the transaction.
boost::asio::awaitable<base::reply<base::done>> Commit(table_service& aTable,
                                                       table_transaction aTransaction,
                                                       base::milliseconds aTimeLimit);

/// Reads all rows under a prefix in pages.
boost::asio::awaitable<base::reply<std::vector<table_row>>> ScanAll(table_service& aTable,
                                                                    std::string aPrefix);

} // namespace rattanpond::platform
