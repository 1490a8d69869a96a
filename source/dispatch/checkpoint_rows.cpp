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

void checkpoint_rows::Set(task_position const& aPosition, std::string aCheckpoint)
{
  mCheckpoints[aPosition] = std::move(aCheckpoint);
}

checkpoint_rows::change checkpoint_rows::Encode(std::size_t aMaximumRowBytes,
                                                std::size_t aMaximumBytes) const
{
  change encoded;
  std::vector<stored_row> rows;
  auto bytes = aMaximumRowBytes;
  for (auto const& [position, checkpoint] : mCheckpoints) {
    stored_checkpoint entry{ .mOccurrence = position.mOccurrence,
                             .mStep = position.mStep,
                             .mIndex = position.mIndex,
                             .mCheckpoint = checkpoint };
    auto const size = base::Encode(entry, base::layout::positional).dump().size() + kSeparatorBytes;
    auto const needsRow = bytes + size > aMaximumRowBytes;
    if (kRowBytes + size > aMaximumRowBytes || (needsRow && rows.size() == kMaximumRows)) {
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
  auto const isReadable = Decode(aText).has_value();
  // One that cannot be read is replaced or removed with the next change.
  mRows[aRow] = aText;
  Rebuild();
  return isReadable;
}

void checkpoint_rows::RemoveRow(std::uint32_t aRow)
{
  if (mRows.erase(aRow) > 0) {
    Rebuild();
  }
}

std::vector<std::uint32_t> checkpoint_rows::Rows() const
{
  std::vector<std::uint32_t> rows;
  for (auto const& entry : mRows) {
    rows.push_back(entry.first);
  }
  return rows;
}

void checkpoint_rows::Rebuild()
{
  mCheckpoints.clear();
  for (auto const& entry : mRows) {
    if (auto row = Decode(entry.second)) {
      for (auto& stored : row->mCheckpoints) {
        mCheckpoints[{ stored.mOccurrence, stored.mStep, stored.mIndex }] =
          std::move(stored.mCheckpoint);
      }
    }
  }
}

} // namespace rattanpond::dispatch
