#include "scheduling/scheduler_role.h"

#include <algorithm>

namespace rattanpond::scheduling {

namespace {

constexpr base::milliseconds kMaximumProvisionalDelay{ 60'000 };

} // namespace

scheduler_role::scheduler_role(options aOptions, base::time_point aNow)
  : mOptions{ std::move(aOptions) }
  , mRowChangedAt{ aNow }
  , mStoreAnsweredAt{ aNow }
  , mHolderObservedAt{ aNow }
  , mProvisionalDelay{ mOptions.mProvisionalDelay }
{
}

void scheduler_role::ApplyRow(std::optional<role_row> const& aRow, std::uint64_t aRevision,
                              base::time_point aNow)
{
  mStoreAnsweredAt = aNow;
  mProvisionalDelay = mOptions.mProvisionalDelay;
  if (aRevision < mRevision) {
    // The read is older than one that was already processed.
    return;
  }
  if (aRevision != mRevision) {
    mRevision = aRevision;
    mRowChangedAt = aNow;
  }
  mRow = aRow.value_or(role_row{});
  if (mRow.mHolder != mOptions.mSelf && aRow) {
    RaiseHighestTerm(
      { .mEpoch = mRow.mEpoch, .mSequence = mRow.mSequence, .mHolder = mRow.mHolder });
  }
}

std::optional<scheduler_role::row_write> scheduler_role::DueWrite(base::time_point aNow) const
{
  if (mHasReleased) {
    return std::nullopt;
  }
  auto row = mRow;
  ++row.mRenewals;
  if (mState == role_state::holder && mRow.mHolder == mOptions.mSelf) {
    return aNow >= mRenewedAt + mOptions.mRenewInterval
             ? std::optional{ row_write{ row, mRevision } }
             : std::nullopt;
  }
  auto const isFree = mRow.mHolder.empty() || aNow - mRowChangedAt >= mOptions.mLease;
  // Agents accept the term of a provisional holder, which is higher than the term of the row, so a
  // provisional holder takes the row as soon as the store answers. A released holder of the same
  // row must not be outrun.
  if (!isFree && mState != role_state::provisional) {
    return std::nullopt;
  }
  row.mEpoch = std::max(mRow.mEpoch, mHighest.mEpoch) + 1;
  row.mSequence = 0;
  row.mHolder = mOptions.mSelf;
  return row_write{ row, mRevision };
}

void scheduler_role::ApplyWrite(row_write const& aWrite, std::uint64_t aNewRevision,
                                base::time_point aNow)
{
  mStoreAnsweredAt = aNow;
  mRow = aWrite.mRow;
  mRevision = std::max(mRevision, aNewRevision);
  mRowChangedAt = aNow;
  mRenewedAt = aNow;
  term const written{ .mEpoch = mRow.mEpoch, .mSequence = mRow.mSequence, .mHolder = mRow.mHolder };
  if (mHasReleased || written < mHighest) {
    return;
  }
  if (written != mTerm || mState != role_state::holder) {
    Acquire(role_state::holder, written, aNow);
  }
}

void scheduler_role::ObserveTerm(term const& aTerm, base::time_point aNow)
{
  if (aTerm > mHighest) {
    mHolderObservedAt = aNow;
  }
  RaiseHighestTerm(aTerm);
}

void scheduler_role::ObserveHolder(term const& aTerm, base::time_point aNow)
{
  if (aTerm >= mHighest) {
    mHolderObservedAt = aNow;
  }
  RaiseHighestTerm(aTerm);
}

void scheduler_role::Tick(base::time_point aNow)
{
  auto const lastContact = std::max(mStoreAnsweredAt, mHolderObservedAt);
  if (mState != role_state::candidate || mHasReleased || aNow - lastContact < mProvisionalDelay) {
    return;
  }
  Acquire(
    role_state::provisional,
    { .mEpoch = mHighest.mEpoch, .mSequence = mHighest.mSequence + 1, .mHolder = mOptions.mSelf },
    aNow);
}

std::optional<scheduler_role::row_write> scheduler_role::Release()
{
  auto const held = mState == role_state::holder;
  StepDown();
  mHasReleased = true;
  if (!held) {
    return std::nullopt;
  }
  auto row = mRow;
  row.mHolder.clear();
  return row_write{ row, mRevision };
}

void scheduler_role::Acquire(role_state aState, term aTerm, base::time_point aNow)
{
  // A provisional holder that takes the row keeps its jobs, so it needs no new recovery.
  mAcquiredAt = mState == role_state::candidate ? aNow : mAcquiredAt;
  mState = aState;
  mTerm = std::move(aTerm);
  mHighest = std::max(mHighest, mTerm);
}

void scheduler_role::StepDown()
{
  if (mState == role_state::provisional) {
    // Two entries that are connected to the agents but not to each other would otherwise replace
    // each other every few seconds.
    mProvisionalDelay = std::min(mProvisionalDelay * 2, kMaximumProvisionalDelay);
  }
  mState = role_state::candidate;
  mTerm = {};
}

void scheduler_role::RaiseHighestTerm(term const& aTerm)
{
  if (aTerm <= mHighest) {
    return;
  }
  mHighest = aTerm;
  if (mState != role_state::candidate && aTerm.mHolder != mOptions.mSelf) {
    StepDown();
  }
}

} // namespace rattanpond::scheduling
