#include "scheduling/scheduler_role.h"

#include <algorithm>

namespace rattanpond::scheduling {

namespace {

constexpr base::milliseconds kLongestProvisionalWait{ 60'000 };

} // namespace

scheduler_role::scheduler_role(options aOptions, base::time_point aNow)
  : mOptions{ std::move(aOptions) }
  , mRowChanged{ aNow }
  , mStoreHeard{ aNow }
  , mHolderHeard{ aNow }
  , mProvisionalAfter{ mOptions.mProvisionalAfter }
{
}

void scheduler_role::RowRead(std::optional<role_row> const& aRow, std::uint64_t aRevision,
                             base::time_point aNow)
{
  mStoreHeard = aNow;
  mProvisionalAfter = mOptions.mProvisionalAfter;
  if (aRevision < mRevision) {
    // A read that was overtaken by a later one.
    return;
  }
  if (aRevision != mRevision) {
    mRevision = aRevision;
    mRowChanged = aNow;
  }
  mRow = aRow.value_or(role_row{});
  if (mRow.mHolder != mOptions.mSelf && aRow) {
    See({ .mEpoch = mRow.mEpoch, .mSequence = mRow.mSequence, .mHolder = mRow.mHolder });
  }
}

std::optional<scheduler_role::row_write> scheduler_role::DueWrite(base::time_point aNow) const
{
  if (mHasResigned) {
    return std::nullopt;
  }
  auto row = mRow;
  ++row.mRenewals;
  if (mState == role_state::holder && mRow.mHolder == mOptions.mSelf) {
    return aNow >= mRenewed + mOptions.mRenewPeriod ? std::optional{ row_write{ row, mRevision } }
                                                    : std::nullopt;
  }
  auto const isFree = mRow.mHolder.empty() || aNow - mRowChanged >= mOptions.mLease;
  // A provisional holder was admitted by agents with a higher term than the row's, so it takes the
  // row as soon as the store answers. A resigned holder of the same row must not be outrun.
  if (!isFree && mState != role_state::provisional) {
    return std::nullopt;
  }
  row.mEpoch = std::max(mRow.mEpoch, mHighest.mEpoch) + 1;
  row.mSequence = 0;
  row.mHolder = mOptions.mSelf;
  return row_write{ row, mRevision };
}

void scheduler_role::Wrote(row_write const& aWrite, std::uint64_t aNewRevision,
                           base::time_point aNow)
{
  mStoreHeard = aNow;
  mRow = aWrite.mRow;
  mRevision = std::max(mRevision, aNewRevision);
  mRowChanged = aNow;
  mRenewed = aNow;
  term const written{ .mEpoch = mRow.mEpoch, .mSequence = mRow.mSequence, .mHolder = mRow.mHolder };
  if (mHasResigned || written < mHighest) {
    return;
  }
  if (written != mTerm || mState != role_state::holder) {
    Acquire(role_state::holder, written, aNow);
  }
}

void scheduler_role::TermSeen(term const& aTerm, base::time_point aNow)
{
  if (aTerm > mHighest) {
    mHolderHeard = aNow;
  }
  See(aTerm);
}

void scheduler_role::HolderHeard(term const& aTerm, base::time_point aNow)
{
  if (aTerm >= mHighest) {
    mHolderHeard = aNow;
  }
  See(aTerm);
}

void scheduler_role::Tick(base::time_point aNow)
{
  auto const lastHeard = std::max(mStoreHeard, mHolderHeard);
  if (mState != role_state::candidate || mHasResigned || aNow - lastHeard < mProvisionalAfter) {
    return;
  }
  Acquire(
    role_state::provisional,
    { .mEpoch = mHighest.mEpoch, .mSequence = mHighest.mSequence + 1, .mHolder = mOptions.mSelf },
    aNow);
}

std::optional<scheduler_role::row_write> scheduler_role::Resign()
{
  auto const held = mState == role_state::holder;
  StepDown();
  mHasResigned = true;
  if (!held) {
    return std::nullopt;
  }
  auto row = mRow;
  row.mHolder.clear();
  return row_write{ row, mRevision };
}

void scheduler_role::Acquire(role_state aState, term aTerm, base::time_point aNow)
{
  // A provisional holder that gets the row keeps its view of the jobs.
  mSince = mState == role_state::candidate ? aNow : mSince;
  mState = aState;
  mTerm = std::move(aTerm);
  mHighest = std::max(mHighest, mTerm);
}

void scheduler_role::StepDown()
{
  if (mState == role_state::provisional) {
    // Two entries that agents hear but that do not hear each other would otherwise replace one
    // another every few seconds.
    mProvisionalAfter = std::min(mProvisionalAfter * 2, kLongestProvisionalWait);
  }
  mState = role_state::candidate;
  mTerm = {};
}

void scheduler_role::See(term const& aTerm)
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
