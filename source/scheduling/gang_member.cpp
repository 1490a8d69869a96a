#include "scheduling/gang_member.h"

#include <algorithm>
#include <cassert>

namespace rattanpond::scheduling {

namespace {

// Grants that refer to older heartbeats would give leases that have already expired.
constexpr std::size_t kRetainedHeartbeats = 16;

// A runner that refuses a start three times is not expected to accept it within a lease.
constexpr std::uint32_t kMaximumStartAttempts = 3;

// The runner accepts no shorter lease, and a lease longer than the remaining time would outlast the
// gang's lease.
constexpr base::milliseconds kMinimumTaskLease{ 100 };

} // namespace

gang_member::gang_member(options aOptions, base::time_point aNow)
  : mOptions{ std::move(aOptions) }
  , mTasks(mOptions.mTasks)
  , mCheckpoints(mOptions.mTasks)
  , mNextHeartbeatNumber{ mOptions.mFirstHeartbeatNumber }
  , mCreatedAt{ aNow }
  , mNextHeartbeat{ aNow }
  , mLeaseEnd{ aNow }
{
}

gang_member gang_member::Adopt(options aOptions, std::vector<platform::task_phase> const& aPhases,
                               base::time_point aNow)
{
  gang_member adopted{ std::move(aOptions), aNow };
  adopted.mState = member_state::running;
  adopted.mLeaseEnd = aNow + adopted.mOptions.mTimings.mLease;
  adopted.mNextRenew = aNow;
  for (auto& each : adopted.mTasks) {
    adopted.Set(each, task_state::running, aNow - base::milliseconds{ 1 });
  }
  assert(aPhases.size() == adopted.mTasks.size());
  for (std::uint32_t index = 0; index < aPhases.size(); ++index) {
    adopted.OnTaskObserved(index, aPhases[index], aNow, aNow);
  }
  return adopted;
}

gang_heartbeat gang_member::NextHeartbeat(base::time_point aNow)
{
  auto const& timings = mOptions.mTimings;
  mNextHeartbeat =
    aNow + (mIsGranted ? timings.mHeartbeatInterval : timings.mFormingHeartbeatInterval);
  mSentHeartbeats.push_back({ .mNumber = mNextHeartbeatNumber, .mSentAt = aNow });
  if (mSentHeartbeats.size() > kRetainedHeartbeats) {
    mSentHeartbeats.pop_front();
  }
  auto state = mState;
  if (state == member_state::checkpointing && mStopMode == stop_mode::alone) {
    state = member_state::stopping;
  }
  return { .mGang = mOptions.mGang,
           .mWorker = mOptions.mWorker,
           .mHeartbeatNumber = mNextHeartbeatNumber++,
           .mRound = mRound,
           .mState = state,
           .mReason = mReason };
}

gang_member::actions gang_member::Grant(gang_grant const& aGrant, gate aGate, base::time_point aNow)
{
  if (aGrant.mRound != mRoundReceived) {
    mRoundReceived = aGrant.mRound;
    mRoundReceivedAt = aNow;
  }
  if (!RequiresTaskList()) {
    mRound = mRoundReceived;
  }
  auto const acknowledged =
    std::ranges::find(mSentHeartbeats, aGrant.mHeartbeatNumber, &sent_heartbeat::mNumber);
  if (aGrant.mLease.count() <= 0 || acknowledged == mSentHeartbeats.end() || mIsBroken) {
    return {};
  }
  auto const end = acknowledged->mSentAt + aGrant.mLease;
  if (end <= aNow) {
    return {};
  }
  // The time that adopted tasks are given to find their coordinator is not a lease, so the first
  // grant replaces it.
  mLeaseEnd = mIsGranted ? std::max(mLeaseEnd, end) : end;
  mIsGranted = true;
  if (!HasNotStarted()) {
    return {};
  }
  if (aGate == gate::closed) {
    return StopTasks(member_order::stop, "the start gate is closed", aNow);
  }
  return StartTasks(aNow);
}

gang_member::actions gang_member::Break(gang_break const& aBreak, base::time_point aNow)
{
  mIsBroken = true;
  if (IsOver(mState) || mState == member_state::stopping) {
    return {};
  }
  if (mState == member_state::checkpointed || aBreak.mCause == break_cause::preempted) {
    return StopTasks(member_order::stop, aBreak.mReason, aNow);
  }
  return BeginCheckpoint(stop_mode::alone, aNow + mOptions.mTimings.mStopGracePeriod,
                         aBreak.mReason, aNow);
}

gang_member::actions gang_member::Preempt(base::milliseconds aNotice, std::string aReason,
                                          base::time_point aNow)
{
  return BeginCheckpoint(stop_mode::with_gang, aNow + aNotice, std::move(aReason), aNow);
}

gang_member::actions gang_member::Stop(std::string aReason, base::time_point aNow)
{
  if (IsOver(mState) || mState == member_state::stopping) {
    return {};
  }
  return StopTasks(member_order::stop, std::move(aReason), aNow);
}

gang_member::actions gang_member::Tick(gate aGate, base::time_point aNow)
{
  auto const& timings = mOptions.mTimings;
  if (IsOver(mState)) {
    // Without grants there may be no coordinator left to report the end of the gang, so a finished
    // member closes after the lease and the stop grace period.
    mIsBroken = mIsBroken || aNow >= mLeaseEnd + timings.mStopGracePeriod;
    return {};
  }
  if (HasNotStarted()) {
    mState = aGate == gate::open ? member_state::waiting : member_state::gate_closed;
    if (aNow >= mCreatedAt + timings.mFormTimeout + timings.mLease) {
      return StopTasks(member_order::stop, "the gang did not form in time", aNow);
    }
    return {};
  }
  if (mState == member_state::stopping) {
    return aNow >= mNextForceStop ? StopTasks(member_order::force_stop, mReason, aNow) : actions{};
  }
  if (mState == member_state::checkpointing && aNow >= mStopDeadline) {
    return StopTasks(member_order::stop, mReason, aNow);
  }
  if (mState == member_state::checkpointed && (aNow >= mStopDeadline || aNow >= mLeaseEnd)) {
    return StopTasks(member_order::stop, mReason, aNow);
  }
  auto const stopsAlone = mState == member_state::checkpointing && mStopMode == stop_mode::alone;
  if (aNow >= mLeaseEnd && !stopsAlone) {
    return BeginCheckpoint(stop_mode::alone, mLeaseEnd + timings.mStopGracePeriod,
                           "the gang lease expired", aNow);
  }
  return Renew(aNow);
}

gang_member::actions gang_member::OnTaskStarted(std::uint32_t aTask,
                                                base::reply<base::done> const& aReply,
                                                base::time_point aNow)
{
  auto& started = mTasks.at(aTask);
  if (started.mState != task_state::starting) {
    return {};
  }
  if (base::Succeeded(aReply)) {
    Set(started, task_state::running, aNow);
    if (mState == member_state::starting && std::ranges::none_of(mTasks, [](task const& aEach) {
          return aEach.mState == task_state::starting;
        })) {
      mState = member_state::running;
    }
    return {};
  }
  if (mState == member_state::starting && ++started.mStartAttempts < kMaximumStartAttempts &&
      TaskLease(aNow) >= kMinimumTaskLease) {
    return { { member_order::start, aTask, TaskLease(aNow) } };
  }
  // The call may have taken effect although it was answered with an error; the next task list shows
  // whether it did.
  Set(started, task_state::running, aNow);
  return mState == member_state::stopping
           ? actions{}
           : StopTasks(member_order::force_stop,
                       "the runner failed to start a task: " + base::Error(aReply).mMessage, aNow);
}

gang_member::actions gang_member::OnTaskCheckpointed(std::uint32_t aTask,
                                                     base::reply<std::string> const& aReply,
                                                     base::time_point aNow)
{
  mTasks.at(aTask).mIsCheckpointing = false;
  if (base::Succeeded(aReply)) {
    mCheckpoints.at(aTask) = std::get<0>(aReply);
  }
  return CompleteCheckpointing(aNow);
}

gang_member::actions gang_member::OnTaskObserved(std::uint32_t aTask,
                                                 std::optional<platform::task_phase> aPhase,
                                                 base::time_point aRequestedAt,
                                                 base::time_point aNow)
{
  auto& observed = mTasks.at(aTask);
  // The list may be older than the last state change that this agent recorded.
  if (observed.mState != task_state::running || aRequestedAt <= observed.mChangedAt) {
    return {};
  }
  if (aPhase == platform::task_phase::finished) {
    Set(observed, task_state::finished, aNow);
    return HandleTaskEnd("", aNow);
  }
  if (aPhase == platform::task_phase::failed) {
    Set(observed, task_state::failed, aNow);
    return HandleTaskEnd("a task failed", aNow);
  }
  if (!aPhase || aPhase == platform::task_phase::stopped) {
    Set(observed, task_state::stopped, aNow);
    return HandleTaskEnd("the runner stopped a task or no longer lists it", aNow);
  }
  return {};
}

void gang_member::OnTasksListed(base::time_point aRequestedAt)
{
  if (mRound != mRoundReceived && aRequestedAt >= mRoundReceivedAt) {
    mRound = mRoundReceived;
    mNextHeartbeat = base::time_point::min();
  }
}

bool gang_member::RequiresTaskList() const
{
  return !HasNotStarted() && mState != member_state::starting && !IsOver(mState);
}

void gang_member::Set(task& aTask, task_state aState, base::time_point aNow)
{
  aTask.mState = aState;
  aTask.mChangedAt = aNow;
}

gang_member::actions gang_member::StartTasks(base::time_point aNow)
{
  mState = member_state::starting;
  mNextRenew = aNow + mOptions.mTimings.mRenewInterval;
  for (auto& each : mTasks) {
    Set(each, task_state::starting, aNow);
  }
  actions issued;
  for (std::uint32_t index = 0; index < mTasks.size(); ++index) {
    issued.push_back({ member_order::start, index, TaskLease(aNow) });
  }
  return issued;
}

gang_member::actions gang_member::BeginCheckpoint(stop_mode aMode, base::time_point aDeadline,
                                                  std::string aReason, base::time_point aNow)
{
  if (IsOver(mState) || mState == member_state::stopping) {
    return {};
  }
  if (HasNotStarted() || mState == member_state::starting) {
    return StopTasks(member_order::stop, std::move(aReason), aNow);
  }
  auto const wasCheckpointing =
    mState == member_state::checkpointing || mState == member_state::checkpointed;
  mStopDeadline = wasCheckpointing ? std::min(mStopDeadline, aDeadline) : aDeadline;
  mStopMode = wasCheckpointing && mStopMode == stop_mode::alone ? stop_mode::alone : aMode;
  mReason = wasCheckpointing ? mReason : std::move(aReason);
  if (wasCheckpointing) {
    return CompleteCheckpointing(aNow);
  }
  mState = member_state::checkpointing;
  actions issued;
  for (std::uint32_t index = 0; index < mTasks.size(); ++index) {
    if (mTasks[index].mState == task_state::running) {
      mTasks[index].mIsCheckpointing = true;
      issued.push_back({ .mOrder = member_order::checkpoint, .mTask = index });
    }
  }
  return issued;
}

gang_member::actions gang_member::StopTasks(member_order aOrder, std::string aReason,
                                            base::time_point aNow)
{
  mReason = std::move(aReason);
  mState = member_state::stopping;
  mNextForceStop = aNow + mOptions.mTimings.mForceStopInterval;
  for (auto& each : mTasks) {
    if (each.mState == task_state::absent) {
      Set(each, task_state::stopped, aNow);
    }
  }
  auto issued = ForTasks(aOrder);
  UpdateEndState();
  return issued;
}

gang_member::actions gang_member::HandleTaskEnd(std::string const& aReason, base::time_point aNow)
{
  UpdateEndState();
  if (IsOver(mState)) {
    mReason = mReason.empty() ? aReason : mReason;
    return {};
  }
  if (aReason.empty()) {
    return CompleteCheckpointing(aNow);
  }
  return BeginCheckpoint(stop_mode::alone, aNow + mOptions.mTimings.mStopGracePeriod, aReason,
                         aNow);
}

gang_member::actions gang_member::CompleteCheckpointing(base::time_point aNow)
{
  auto const isPending = std::ranges::any_of(mTasks, [](task const& aTask) {
    return aTask.mState == task_state::running && aTask.mIsCheckpointing;
  });
  auto const isCheckpointing =
    mState == member_state::checkpointing || mState == member_state::checkpointed;
  if (!isCheckpointing || isPending) {
    return {};
  }
  if (mStopMode == stop_mode::alone) {
    return StopTasks(member_order::stop, mReason, aNow);
  }
  mState = member_state::checkpointed;
  mNextHeartbeat = aNow;
  return {};
}

gang_member::actions gang_member::Renew(base::time_point aNow)
{
  if (!mIsGranted || aNow < mNextRenew) {
    return {};
  }
  mNextRenew = aNow + mOptions.mTimings.mRenewInterval;
  auto const lease = TaskLease(aNow);
  if (lease < kMinimumTaskLease) {
    return {};
  }
  auto issued = ForTasks(member_order::renew, lease);
  std::erase_if(issued, [&](member_action const& aAction) {
    return mTasks[aAction.mTask].mState != task_state::running;
  });
  return issued;
}

gang_member::actions gang_member::ForTasks(member_order aOrder, base::milliseconds aLease) const
{
  actions issued;
  for (std::uint32_t index = 0; index < mTasks.size(); ++index) {
    auto const state = mTasks[index].mState;
    if (state == task_state::running || state == task_state::starting) {
      // A stop that is sent while a start call is in flight needs a higher fence, so that the start
      // cannot take effect after it.
      auto const overtakes = state == task_state::starting && aOrder == member_order::stop;
      issued.push_back({ overtakes ? member_order::force_stop : aOrder, index, aLease });
    }
  }
  return issued;
}

void gang_member::UpdateEndState()
{
  auto const count = [&](task_state aState) {
    return std::ranges::count(mTasks, aState, &task::mState);
  };
  if (count(task_state::running) + count(task_state::starting) + count(task_state::absent) > 0) {
    return;
  }
  if (count(task_state::failed) > 0) {
    mState = member_state::failed;
  } else {
    mState = count(task_state::stopped) > 0 ? member_state::stopped : member_state::finished;
  }
  mNextHeartbeat = base::time_point::min();
}

bool gang_member::HasNotStarted() const
{
  return mState == member_state::waiting || mState == member_state::gate_closed;
}

base::milliseconds gang_member::TaskLease(base::time_point aNow) const
{
  auto const& timings = mOptions.mTimings;
  if (mOptions.mIsWholeGang) {
    return timings.mTaskLease;
  }
  // The task lease ends with the gang lease and the stop grace period, so that the runner ends the
  // tasks of a crashed or paused agent together with the rest of the gang.
  auto const left = mLeaseEnd + timings.mStopGracePeriod - aNow;
  return std::min(left, timings.mTaskLease);
}

} // namespace rattanpond::scheduling
