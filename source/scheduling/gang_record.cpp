#include "scheduling/gang_record.h"

#include <algorithm>

namespace rattanpond::scheduling {

using base::result_code;

gang_record::gang_record(gang_description aDescription, timings aTimings, base::time_point aNow)
  : mDescription{ std::move(aDescription) }
  , mTimings{ aTimings }
  , mStarted{ aNow }
  , mDeadline{ aNow + aTimings.mReserveTimeout }
{
  for (auto const& member : mDescription.mRoster) {
    mParts.push_back({ .mMember = member, .mAbsentSince = {}, .mCheckpoints = {} });
  }
}

gang_record gang_record::Adopt(gang_description aDescription, timings aTimings,
                               base::time_point aNow)
{
  gang_record adopted{ std::move(aDescription), aTimings, aNow };
  adopted.mPhase = gang_phase::live;
  for (auto& each : adopted.mParts) {
    // A member counts as absent until its agent reports.
    each.mAbsentSince = aNow;
    each.mIsReserved = true;
    each.mIsCommitted = true;
  }
  return adopted;
}

gang_record::actions gang_record::Reserve()
{
  return ForParts(gang_order::reserve);
}

gang_record::actions gang_record::OnReserveReply(reserve_reply const& aReply, base::time_point aNow)
{
  auto* const sender = Find(aReply.mWorker);
  auto const isReserve = aReply.mStage == reserve_stage::reserve;
  auto const isExpected =
    isReserve ? mPhase == gang_phase::reserving : mPhase == gang_phase::committing;
  if (sender == nullptr || !isExpected) {
    return {};
  }
  if (aReply.mCode != result_code::ok) {
    return Abort(
      "worker " + aReply.mWorker + " refused: " + std::string{ base::Name(aReply.mCode) }, aNow);
  }
  if (!isReserve) {
    sender->mIsCommitted = true;
    mPhase = AllCommitted() ? gang_phase::live : mPhase;
    return {};
  }
  sender->mIsReserved = true;
  if (!std::ranges::all_of(mParts, &part::mIsReserved)) {
    return {};
  }
  mPhase = gang_phase::committing;
  mDeadline = aNow + mTimings.mCommitTimeout;
  return ForParts(gang_order::commit);
}

gang_record::actions gang_record::Reported(std::string const& aWorker, part_report const& aReport,
                                           base::time_point aNow)
{
  auto* const sender = Find(aWorker);
  if (sender == nullptr || sender->mIsOver || IsOver()) {
    return {};
  }
  sender->mAbsentSince.reset();
  sender->mIsCommitted = true;
  if (mPhase == gang_phase::committing && AllCommitted()) {
    mPhase = gang_phase::live;
  }
  sender->mState = aReport.mState;
  sender->mCheckpoints = aReport.mCheckpoints;
  sender->mCheckpointedWork = aReport.mCheckpointedWork;
  if (scheduling::IsOver(aReport.mState)) {
    sender->mIsOver = true;
    mFirstEndAt = mFirstEndAt.value_or(aNow);
    if (aReport.mState == member_state::failed && mFailedWorker.empty()) {
      mFailedWorker = aWorker;
      mReason = aReport.mReason;
    }
    mReason = mReason.empty() ? aReport.mReason : mReason;
    CheckEnd();
  }
  return {};
}

gang_record::actions gang_record::OnGangMissing(std::string const& aWorker, base::time_point aNow)
{
  auto* const sender = Find(aWorker);
  if (sender == nullptr || sender->mIsOver || IsOver() || !sender->mIsCommitted) {
    return {};
  }
  sender->mIsOver = true;
  sender->mAbsentSince.reset();
  sender->mState = member_state::stopped;
  mHasLostPart = true;
  mFirstEndAt = mFirstEndAt.value_or(aNow);
  mReason = mReason.empty() ? "worker " + aWorker + " no longer reports the gang" : mReason;
  CheckEnd();
  return IsOver() || mPhase == gang_phase::stopping ? actions{} : Stop(mReason, aNow);
}

void gang_record::WorkerLeft(std::string const& aWorker, base::time_point aNow)
{
  if (auto* const found = Find(aWorker); found != nullptr && !found->mAbsentSince) {
    found->mAbsentSince = aNow;
  }
}

void gang_record::WorkerJoined(std::string const& aWorker)
{
  if (auto* const found = Find(aWorker)) {
    found->mAbsentSince.reset();
  }
}

gang_record::actions gang_record::Preempt(base::milliseconds aNotice, std::string aReason,
                                          base::time_point aNow)
{
  if (IsOver() || mPhase == gang_phase::stopping) {
    return {};
  }
  if (mPhase == gang_phase::reserving || mPhase == gang_phase::committing) {
    return Abort(std::move(aReason), aNow);
  }
  auto const stopsBy = aNow + aNotice;
  mStopsBy = mPhase == gang_phase::preempting ? std::min(mStopsBy, stopsBy) : stopsBy;
  mReason = std::move(aReason);
  mPhase = gang_phase::preempting;
  mNextResend = aNow + mTimings.mResendInterval;
  auto issued = ForParts(gang_order::preempt);
  for (auto& each : issued) {
    each.mNotice = std::max(base::milliseconds{ 0 }, mStopsBy - aNow);
  }
  return issued;
}

gang_record::actions gang_record::Stop(std::string aReason, base::time_point aNow)
{
  if (IsOver()) {
    return {};
  }
  if (mPhase == gang_phase::reserving || mPhase == gang_phase::committing) {
    return Abort(std::move(aReason), aNow);
  }
  mReason = mReason.empty() ? std::move(aReason) : mReason;
  mStopsBy = mPhase == gang_phase::stopping ? mStopsBy : aNow;
  mPhase = gang_phase::stopping;
  mNextResend = aNow + mTimings.mResendInterval;
  return ForParts(gang_order::stop);
}

gang_record::actions gang_record::Tick(base::time_point aNow)
{
  if (IsOver()) {
    return {};
  }
  if ((mPhase == gang_phase::reserving || mPhase == gang_phase::committing) && aNow >= mDeadline) {
    return Abort("an agent did not answer within the reservation or commit timeout", aNow);
  }
  for (auto& each : mParts) {
    auto const brokenFor = mFirstEndAt ? aNow - *mFirstEndAt : base::milliseconds{ 0 };
    auto const absentFor = each.mAbsentSince ? aNow - *each.mAbsentSince : base::milliseconds{ 0 };
    // By this time a commit without a reply has either not been carried out or been reported by the
    // agent.
    auto const neverStarted = mPhase == gang_phase::stopping && !each.mIsCommitted &&
                              aNow >= mStopsBy + mTimings.mResendInterval;
    if (!each.mIsOver && (neverStarted || absentFor >= mTimings.mLostWorkerTimeout ||
                          (each.mAbsentSince && brokenFor >= mTimings.mBrokenGangTimeout))) {
      each.mIsOver = true;
      mHasLostPart = mHasLostPart || !neverStarted;
      mFirstEndAt = mFirstEndAt.value_or(aNow);
      mReason = mReason.empty() ? "worker " + each.mMember.mWorker + " is lost" : mReason;
    }
  }
  CheckEnd();
  if (IsOver()) {
    return {};
  }
  if (mPhase == gang_phase::preempting && aNow >= mStopsBy + mTimings.mResendInterval) {
    return Stop(mReason, aNow);
  }
  if (IsStopping() && aNow >= mNextResend) {
    return mPhase == gang_phase::stopping ? Stop(mReason, aNow)
                                          : Preempt(mStopsBy - aNow, mReason, aNow);
  }
  return {};
}

bool gang_record::IsRunning() const
{
  return std::ranges::all_of(mParts, [](part const& aPart) {
    return aPart.mState == member_state::running || aPart.mState == member_state::finished;
  });
}

std::vector<std::string> gang_record::CompleteCheckpoint() const
{
  std::vector<std::string> keys;
  for (auto const& each : mParts) {
    if (each.mCheckpoints.size() != each.mMember.mTasks ||
        std::ranges::find(each.mCheckpoints, "") != each.mCheckpoints.end()) {
      return {};
    }
    keys.insert(keys.end(), each.mCheckpoints.begin(), each.mCheckpoints.end());
  }
  return keys;
}

base::milliseconds gang_record::CheckpointedWork() const
{
  auto const minimum = std::ranges::min_element(mParts, {}, &part::mCheckpointedWork);
  return minimum == mParts.end() ? base::milliseconds{ 0 } : minimum->mCheckpointedWork;
}

gang_record::part* gang_record::Find(std::string const& aWorker)
{
  auto const found = std::ranges::find_if(
    mParts, [&](part const& aPart) { return aPart.mMember.mWorker == aWorker; });
  return found == mParts.end() ? nullptr : &*found;
}

bool gang_record::AllCommitted() const
{
  return std::ranges::all_of(mParts, &part::mIsCommitted);
}

gang_record::actions gang_record::Abort(std::string aReason, base::time_point aNow)
{
  mReason = std::move(aReason);
  auto issued = ForParts(gang_order::release);
  if (mPhase == gang_phase::reserving) {
    mPhase = gang_phase::over;
    mEnd = gang_end::not_placed;
    return issued;
  }
  mPhase = gang_phase::stopping;
  mStopsBy = aNow;
  mNextResend = aNow + mTimings.mResendInterval;
  auto const stops = ForParts(gang_order::stop);
  issued.insert(issued.end(), stops.begin(), stops.end());
  return issued;
}

gang_record::actions gang_record::ForParts(gang_order aOrder) const
{
  actions issued;
  for (auto const& each : mParts) {
    if (!each.mIsOver) {
      issued.push_back({ .mOrder = aOrder, .mWorker = each.mMember.mWorker, .mReason = mReason });
    }
  }
  return issued;
}

void gang_record::CheckEnd()
{
  if (!std::ranges::all_of(mParts, &part::mIsOver)) {
    return;
  }
  mPhase = gang_phase::over;
  if (std::ranges::all_of(
        mParts, [](part const& aPart) { return aPart.mState == member_state::finished; })) {
    mEnd = gang_end::finished;
  } else if (!mFailedWorker.empty()) {
    mEnd = gang_end::failed;
  } else {
    mEnd = mHasLostPart ? gang_end::lost : gang_end::stopped;
  }
}

} // namespace rattanpond::scheduling
