#include "scheduling/gang_coordinator.h"

#include <algorithm>

namespace rattanpond::scheduling {

namespace {

// Older rounds are discarded, as answers to them would not extend a lease.
constexpr std::size_t kRetainedRounds = 8;

bool MayHoldLease(member_state aState)
{
  return aState == member_state::waiting || aState == member_state::starting ||
         aState == member_state::running || aState == member_state::checkpointing ||
         aState == member_state::checkpointed || aState == member_state::finished;
}

} // namespace

gang_coordinator::gang_coordinator(options aOptions, base::time_point aNow)
  : mOptions{ std::move(aOptions) }
  , mCreatedAt{ aNow }
  , mNextRound{ aNow }
  , mIsFormed{ mOptions.mOrigin == gang_origin::adopted }
{
  for (auto const& worker : mOptions.mWorkers) {
    mMembers.push_back({ .mWorker = worker, .mConfirmedAt = {} });
  }
}

std::vector<gang_coordinator::order> gang_coordinator::ApplyHeartbeat(
  gang_heartbeat const& aHeartbeat, base::time_point aNow)
{
  auto* const sender = Find(aHeartbeat.mWorker);
  if (sender == nullptr) {
    return {};
  }
  sender->mHeartbeatNumber = aHeartbeat.mHeartbeatNumber;
  sender->mState = aHeartbeat.mState;
  auto const answered = std::ranges::find(mRounds, aHeartbeat.mRound, &round::mNumber);
  if (answered != mRounds.end()) {
    sender->mRound = aHeartbeat.mRound;
    sender->mConfirmedAt =
      std::max(sender->mConfirmedAt.value_or(answered->mStartedAt), answered->mStartedAt);
  }
  if (mBreak) {
    return IsOver(aHeartbeat.mState) ? std::vector<order>{}
                                     : std::vector<order>{ { aHeartbeat.mWorker, *mBreak } };
  }
  auto orders = CheckStates(*sender, aHeartbeat.mReason, aNow);
  if (!mBreak && !mRounds.empty() && mGrantedRound != mRounds.back().mNumber &&
      std::ranges::all_of(mMembers, [&](member const& aMember) {
        return aMember.mRound == mRounds.back().mNumber;
      })) {
    mGrantedRound = mRounds.back().mNumber;
    orders = Grants(aNow);
  }
  return orders;
}

std::vector<gang_coordinator::order> gang_coordinator::CheckStates(member const& aMember,
                                                                   std::string const& aReason,
                                                                   base::time_point aNow)
{
  auto const all = [&](auto const& aPredicate) {
    return std::ranges::all_of(mMembers, aPredicate, &member::mState);
  };
  auto const state = aMember.mState;
  // An adopted gang has been running for an unknown time, so a member that has not started yet is
  // too late to join it.
  auto const isLostFromGang =
    mIsFormed && (state == member_state::unknown || state == member_state::gate_closed ||
                  (state == member_state::waiting && mOptions.mOrigin == gang_origin::adopted));
  if (state == member_state::stopping || state == member_state::failed ||
      state == member_state::stopped || isLostFromGang) {
    return Break(break_cause::broken,
                 "member " + aMember.mWorker + " is " + std::string{ base::Name(state) } +
                   (aReason.empty() ? "" : ": " + aReason),
                 aNow);
  }
  if (all([](member_state aState) { return aState == member_state::finished; })) {
    return Break(break_cause::finished, "all members finished", aNow);
  }
  if (all([](member_state aState) {
        return aState == member_state::finished || aState == member_state::checkpointed;
      })) {
    return Break(break_cause::preempted, "all members have finished or completed checkpointing",
                 aNow);
  }
  return {};
}

std::vector<gang_coordinator::order> gang_coordinator::Tick(base::time_point aNow)
{
  if (!mBreak && mIsFormed && aNow - OldestConfirmation() > mOptions.mTimings.mLease) {
    auto const& lost = *std::ranges::min_element(mMembers, {}, &member::mConfirmedAt);
    return Break(break_cause::broken, "member " + lost.mWorker + " does not respond", aNow);
  }
  if (!mBreak && !mIsFormed && aNow - mCreatedAt > mOptions.mTimings.mFormTimeout) {
    return Break(break_cause::broken, "the gang did not form in time", aNow);
  }
  if (aNow < mNextRound) {
    return {};
  }
  auto const period =
    mIsFormed ? mOptions.mTimings.mHeartbeatInterval : mOptions.mTimings.mFormingHeartbeatInterval;
  mNextRound = aNow + period;
  if (mBreak) {
    return BreakOrders();
  }
  auto const number = mRounds.empty() ? mOptions.mFirstRound : mRounds.back().mNumber + 1;
  mRounds.push_back({ .mNumber = number, .mStartedAt = aNow });
  if (mRounds.size() > kRetainedRounds) {
    mRounds.pop_front();
  }
  return Grants(aNow);
}

bool gang_coordinator::IsDone(base::time_point aNow) const
{
  if (!mBreak) {
    return false;
  }
  // After this time every lease has expired, whether or not the member received the break.
  return aNow - mBrokenAt > mOptions.mTimings.mLease + mOptions.mTimings.mStopGracePeriod ||
         std::ranges::all_of(mMembers, IsOver, &member::mState);
}

gang_coordinator::member* gang_coordinator::Find(std::string const& aWorker)
{
  auto const found = std::ranges::find(mMembers, aWorker, &member::mWorker);
  return found == mMembers.end() ? nullptr : &*found;
}

std::vector<gang_coordinator::order> gang_coordinator::Break(break_cause aCause,
                                                             std::string aReason,
                                                             base::time_point aNow)
{
  mBreak = gang_break{ .mGang = mOptions.mGang, .mCause = aCause, .mReason = std::move(aReason) };
  mBrokenAt = aNow;
  mNextRound = aNow + mOptions.mTimings.mHeartbeatInterval;
  return BreakOrders();
}

std::vector<gang_coordinator::order> gang_coordinator::BreakOrders() const
{
  std::vector<order> orders;
  for (auto const& each : mMembers) {
    orders.push_back({ each.mWorker, *mBreak });
  }
  return orders;
}

std::vector<gang_coordinator::order> gang_coordinator::Grants(base::time_point aNow)
{
  auto const lease = Lease(aNow);
  if (!mIsFormed && lease.count() > 0) {
    mIsFormed = true;
    mFormedAt = aNow;
  }
  std::vector<order> orders;
  for (auto const& each : mMembers) {
    orders.push_back({ each.mWorker, gang_grant{ .mGang = mOptions.mGang,
                                                 .mRound = mRounds.back().mNumber,
                                                 .mHeartbeatNumber = each.mHeartbeatNumber,
                                                 .mLease = lease } });
  }
  return orders;
}

base::milliseconds gang_coordinator::Lease(base::time_point aNow) const
{
  if (!std::ranges::all_of(mMembers, [](member const& aMember) {
        return aMember.mConfirmedAt && MayHoldLease(aMember.mState);
      })) {
    return base::milliseconds{ 0 };
  }
  return std::max(base::milliseconds{ 0 }, OldestConfirmation() + mOptions.mTimings.mLease - aNow);
}

base::time_point gang_coordinator::OldestConfirmation() const
{
  auto oldest = base::time_point::max();
  for (auto const& each : mMembers) {
    oldest = std::min(oldest, each.mConfirmedAt.value_or(mCreatedAt));
    // A member that answers but receives no grant must not extend the others' leases, just as a
    // lost member does not.
    if (mFormedAt && each.mState == member_state::waiting) {
      oldest = std::min(oldest, *mFormedAt);
    }
  }
  return oldest;
}

} // namespace rattanpond::scheduling
