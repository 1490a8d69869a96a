#pragma once

#include "dispatch/job.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace rattanpond::dispatch {

/// New content of a row with checkpoints; the row is removed if it has none.
struct checkpoint_row_change
{
  std::uint32_t mRow = 0;
  std::optional<std::string> mText{};
};

/// Rows for the checkpoints of a job that the rows of its states have no room for. Earlier versions
/// of the program ignore them: they start such a task from an earlier checkpoint or from the
/// beginning.
class checkpoint_rows
{
public:
  /// Checkpoints that need more rows are not stored.
  static constexpr std::uint32_t kMaximumRows = 64;
  /// Maximum number of rows that one transaction changes.
  static constexpr std::size_t kRowsPerChange = 4;

  struct change
  {
    std::vector<checkpoint_row_change> mRows{};
    /// Whether more rows differ from the store.
    bool mIsPartial = false;
    /// Checkpoints that no row has room for.
    std::size_t mLeftOut = 0;
  };

  struct entry
  {
    std::string mCheckpoint;
    /// Row of the store that it was read from.
    std::optional<std::uint32_t> mRow{};
  };

  void Set(task_position const& aPosition, std::string aCheckpoint)
  {
    mEntries[aPosition] = { .mCheckpoint = std::move(aCheckpoint) };
  }
  void Remove(task_position const& aPosition) { mEntries.erase(aPosition); }
  std::map<task_position, entry> const& Entries() const { return mEntries; }

  /// Encodes the rows that differ from the store, as many as begin within aMaximumBytes.
  change Encode(std::size_t aMaximumRowBytes, std::size_t aMaximumBytes) const;
  void MarkStored(std::vector<checkpoint_row_change> const& aRows);
  /// Applies a row of the store. Returns false if it cannot be decoded.
  bool ApplyRow(std::uint32_t aRow, std::string const& aText);
  void RemoveRow(std::uint32_t aRow);
  /// Numbers of the rows in the store.
  std::vector<std::uint32_t> Rows() const;

private:
  std::map<task_position, entry> mEntries;
  /// By number: rows as the store has them.
  std::map<std::uint32_t, std::string> mRows;
  /// Row that the next change begins with.
  std::uint32_t mNextRow = 0;
};

} // namespace rattanpond::dispatch
