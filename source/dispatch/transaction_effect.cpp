#include "dispatch/transaction_effect.h"

#include <algorithm>

namespace rattanpond::dispatch {

namespace {

/// Whether two rows, conditions or changes name the same row.
template<class A, class B>
bool HaveSameName(A const& aFirst, B const& aSecond)
{
  return aFirst.mTable == aSecond.mTable && aFirst.mKey == aSecond.mKey;
}

template<class T>
auto FindRow(std::vector<T> const& aRows, platform::row_change const& aChange)
{
  return std::ranges::find_if(aRows, [&](T const& aRow) { return HaveSameName(aRow, aChange); });
}

} // namespace

std::optional<std::uint64_t> VersionOfEffect(platform::row_transaction const& aTransaction,
                                             std::vector<platform::store_row> const& aCurrent)
{
  // The refusal returns the rows of all conditions, also of those that held, and a change may write
  // the value that its row already has. So the value alone shows nothing: the transaction has also
  // moved each row that it changed past the expected version, all to its own.
  std::optional<std::uint64_t> effect;
  for (auto const& change : aTransaction.mChanges) {
    auto const condition = FindRow(aTransaction.mConditions, change);
    if (condition == aTransaction.mConditions.end()) {
      continue;
    }
    auto const row = FindRow(aCurrent, change);
    if (row == aCurrent.end() || row->mIsDeleted || row->mVersion <= condition->mVersion ||
        row->mVersion != effect.value_or(row->mVersion) || row->mValue != change.mValue) {
      return std::nullopt;
    }
    effect = row->mVersion;
  }
  return effect;
}

} // namespace rattanpond::dispatch
