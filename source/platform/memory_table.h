#pragma once

#include "platform/table_faults.h"
#include "platform/table_service.h"

#include <map>

namespace rattanpond::platform {

/// In-memory table with injectable faults. Used on one thread.
class memory_table : public table_service
{
public:
  boost::asio::awaitable<base::reply<std::optional<table_row>>> Read(std::string aKey) override;
  boost::asio::awaitable<base::reply<std::vector<table_row>>> Scan(std::string aPrefix,
                                                                   std::string aAfter,
                                                                   std::size_t aLimit) override;
  boost::asio::awaitable<base::reply<base::done>> CommitOnce(
    table_transaction aTransaction) override;

  /// Replaces the active faults.
  void Inject(table_faults aFaults);
  table_faults const& Faults() const { return mFaults; }

  /// Number of transactions that took effect, so that tests can count effects.
  std::uint64_t Commits() const { return mCommits; }
  std::map<std::string, table_row> const& Rows() const { return mRows; }

private:
  using rows = std::map<std::string, table_row>;

  /// Fails if the table is down, otherwise waits for the injected delay.
  boost::asio::awaitable<base::reply<base::done>> Admit();
  base::reply<base::done> Apply(table_transaction aTransaction);
  rows const& VisibleRows() const;

  rows mRows;
  // Revisions of deleted rows, so that a row that is created again gets a larger revision.
  std::map<std::string, std::uint64_t> mDeletedRevisions;
  rows mStaleRows;
  table_faults mFaults;
  std::uint64_t mCommits = 0;
};

} // namespace rattanpond::platform
