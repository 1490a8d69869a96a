#include "dispatch/checkpoint_rows.h"

#include "base/codec.h"

namespace rattanpond::dispatch {

namespace {

struct stored_checkpoint
{
  std::uint32_t mOccurrence = 0;
  std::uint32_t mStep = 0;
  std::uint32_t mIndex = 0;
  std::string mCheckpoint{};

  static constexpr auto Fields()
  {
    return std::make_tuple(base::Field("occurrence", &stored_checkpoint::mOccurrence),
                           base::Field("step", &stored_checkpoint::mStep),
                           base::Field("index", &stored_checkpoint::mIndex),
                           base::Field("checkpoint", &stored_checkpoint::mCheckpoint));
  }
};

struct stored_row
{
  std::vector<stored_checkpoint> mCheckpoints{};

  static constexpr auto Fields()
  {
    return std::make_tuple(base::Field("checkpoints", &stored_row::mCheckpoints));
  }
};

/// Bytes of a row without its entries, and of the separator after each of them.
constexpr std::size_t kRowBytes = 4;
constexpr std::size_t kSeparatorBytes = 1;

std::optional<stored_row> Decode(std::string const& aText)
{
  auto const decoded =
    base::TryDecode<stored_row>(base::json::parse(aText, nullptr, false), base::layout::positional);
  auto const* const row = std::get_if<stored_row>(&decoded);
  return row == nullptr ? std::nullopt : std::optional{ *row };
}

} // namespace

checkpoint_rows::change checkpoint_rows::Encode(std::size_t aMaximumRowBytes,
                                                std::size_t aMaximumBytes) const
{
  change encoded;
  std::vector<stored_row> rows;
  auto bytes = aMaximumRowBytes;
  for (auto const& [position, known] : mEntries) {
    // Most checkpoints may have no room, and encoding all of them would cost too much time.
    auto const isLast = rows.size() == kMaximumRows;
    auto const least = (isLast ? bytes : kRowBytes) + known.mCheckpoint.size();
    if (least > aMaximumRowBytes) {
      ++encoded.mLeftOut;
      continue;
    }
    stored_checkpoint entry{ .mOccurrence = position.mOccurrence,
                             .mStep = position.mStep,
                             .mIndex = position.mIndex,
                             .mCheckpoint = known.mCheckpoint };
    auto const size = base::Encode(entry, base::layout::positional).dump().size() + kSeparatorBytes;
    auto const needsRow = bytes + size > aMaximumRowBytes;
    if (kRowBytes + size > aMaximumRowBytes || (needsRow && isLast)) {
      ++encoded.mLeftOut;
      continue;
    }
    if (needsRow) {
      rows.emplace_back();
      bytes = kRowBytes;
    }
    rows.back().mCheckpoints.push_back(std::move(entry));
    bytes += size;
  }
  std::size_t written = 0;
  auto const add = [&](std::uint32_t aRow, std::optional<std::string> aText) {
    if (written >= aMaximumBytes || encoded.mRows.size() == kRowsPerChange) {
      encoded.mIsPartial = true;
      return;
    }
    written += aText ? aText->size() : 0;
    encoded.mRows.push_back({ .mRow = aRow, .mText = std::move(aText) });
  };
  // Checkpoints change all the time, so each transaction continues where the last one has ended.
  auto const count = static_cast<std::uint32_t>(rows.size());
  for (std::uint32_t offset = 0; offset < count; ++offset) {
    auto const row = (mNextRow + offset) % count;
    auto text = base::Encode(rows[row], base::layout::positional).dump();
    if (auto const stored = mRows.find(row); stored == mRows.end() || stored->second != text) {
      add(row, std::move(text));
    }
  }
  for (auto const& entry : mRows) {
    if (entry.first >= rows.size()) {
      add(entry.first, std::nullopt);
    }
  }
  return encoded;
}

void checkpoint_rows::MarkStored(std::vector<checkpoint_row_change> const& aRows)
{
  for (auto const& row : aRows) {
    if (row.mText) {
      mRows[row.mRow] = *row.mText;
      mNextRow = row.mRow + 1;
    } else {
      mRows.erase(row.mRow);
    }
  }
}

bool checkpoint_rows::ApplyRow(std::uint32_t aRow, std::string const& aText)
{
  RemoveRow(aRow);
  // One that cannot be read is replaced or removed with the next change.
  mRows[aRow] = aText;
  auto row = Decode(aText);
  if (!row) {
    return false;
  }
  for (auto& stored : row->mCheckpoints) {
    mEntries[{ stored.mOccurrence, stored.mStep, stored.mIndex }] = {
      .mCheckpoint = std::move(stored.mCheckpoint), .mRow = aRow
    };
  }
  return true;
}

void checkpoint_rows::RemoveRow(std::uint32_t aRow)
{
  mRows.erase(aRow);
  std::erase_if(mEntries, [&](auto const& aEntry) { return aEntry.second.mRow == aRow; });
}

std::vector<std::uint32_t> checkpoint_rows::Rows() const
{
  std::vector<std::uint32_t> rows;
  for (auto const& entry : mRows) {
    rows.push_back(entry.first);
  }
  return rows;
}

} // namespace rattanpond::dispatch
