#include "requests/execution_ledger.h"

#include <cassert>
#include <tuple>

namespace rattanpond::requests {

using base::result_code;

namespace {

constexpr attempt_history::options kRefusedIdempotent{ .mRetention = base::milliseconds{ 60'000 },
                                                       .mMaximumRecords = 10'000 };

} // namespace

bool execution_ledger::queue_order::operator()(execution const* aLeft,
                                               execution const* aRight) const
{
  auto const rank = [](execution const& aExecution) {
    return std::make_tuple(aExecution.mDispatch->mUrgency, aExecution.mDeadline,
                           aExecution.mSequence);
  };
  return rank(*aLeft) < rank(*aRight);
}

execution_ledger::execution_ledger(options aOptions)
  : mOptions{ std::move(aOptions) }
  , mHistory{ mOptions.mHistory }
  , mRefusedIdempotent{ kRefusedIdempotent }
{
}

void execution_ledger::Dispatch(peer_id aPeer, dispatch aDispatch, base::time_point aNow,
                                actions& aActions)
{
  if (AnswerWithoutQueueing(aPeer, aDispatch, aNow, aActions)) {
    return;
  }
  execution added{ .mDispatch = std::make_shared<dispatch const>(std::move(aDispatch)),
                   .mDeadline = {},
                   .mSequence = mNextSequence++,
                   .mStage = stage::queued,
                   .mPeer = aPeer,
                   .mPendingQueries = {} };
  added.mDeadline = aNow + added.mDispatch->mRemaining;
  if (!MakeQueueSpace(added, aNow, aActions)) {
    Refuse(aPeer, *added.mDispatch,
           { outcome::refused_not_run, run_proof::never_started, result_code::queue_full,
             "the queue of the target is full" },
           aNow, aActions);
    return;
  }
  auto const attempt = added.mDispatch->mAttempt;
  auto const [inserted, isNew] = mExecutions.emplace(attempt, std::move(added));
  assert(isNew);
  mQueue.insert(&inserted->second);
  StartQueued(aNow, aActions);
}

bool execution_ledger::AnswerWithoutQueueing(peer_id aPeer, dispatch const& aDispatch,
                                             base::time_point aNow, actions& aActions)
{
  auto const refuse = [&](result_code aCode, char const* aMessage) {
    Refuse(aPeer, aDispatch,
           { outcome::refused_not_run, run_proof::never_started, aCode, aMessage }, aNow, aActions);
    return true;
  };
  auto const& attempt = aDispatch.mAttempt;
  if (aDispatch.mIncarnation != mOptions.mIncarnation) {
    return refuse(result_code::stale_incarnation,
                  "the attempt is addressed to another agent incarnation");
  }
  if (auto const live = mExecutions.find(attempt); live != mExecutions.end()) {
    live->second.mPeer = aPeer;
    return true;
  }
  auto const* const record = mHistory.Find(attempt);
  if (record != nullptr && record->mAnswer) {
    aActions.emplace_back(send_answer{ aPeer, record->mAnswer });
    return true;
  }
  if (record != nullptr || mRefusedIdempotent.Find(attempt) != nullptr) {
    return refuse(result_code::attempt_refused, "the attempt was already refused");
  }
  if (aDispatch.mRepeatability == repeatability::non_idempotent &&
      mHistory.MayHaveDiscarded(CreationTime(aDispatch.mAgentClock))) {
    // The message may be a late duplicate of an attempt that ran and whose record has been
    // discarded, so the agent cannot prove that the attempt never started.
    aActions.emplace_back(send_answer{
      aPeer, MakeAnswer(attempt, { outcome::timed_out_may_have_run, run_proof::may_have_run,
                                   result_code::timed_out_may_have_run,
                                   "the agent may have discarded the record of the attempt" }) });
    return true;
  }
  if (aDispatch.mService != mOptions.mService) {
    return refuse(result_code::unknown_service, "the target does not provide the service");
  }
  if (mState == membership::target_state::draining) {
    return refuse(result_code::target_draining, "the target is draining");
  }
  if (aDispatch.mRemaining.count() <= 0) {
    Refuse(aPeer, aDispatch,
           { outcome::timed_out_not_run, run_proof::never_started, result_code::timed_out_not_run,
             "the deadline passed before the request reached the target" },
           aNow, aActions);
    return true;
  }
  return false;
}

bool execution_ledger::MakeQueueSpace(execution const& aNew, base::time_point aNow,
                                      actions& aActions)
{
  if (mRunning < mOptions.mSlots || mQueue.size() < mOptions.mMaximumQueued) {
    return true;
  }
  Expire(aNow, aActions);
  if (mQueue.size() < mOptions.mMaximumQueued) {
    return true;
  }
  if (mQueue.empty()) {
    return false;
  }
  // A more urgent request displaces the least urgent one, which is last in the queue. A request of
  // the same urgency does not, since that would only exchange one refusal for another.
  auto const* const last = *mQueue.rbegin();
  if (aNew.mDispatch->mUrgency >= last->mDispatch->mUrgency) {
    return false;
  }
  EndQueued(last,
            { outcome::refused_not_run, run_proof::never_started, result_code::queue_full,
              "a more urgent request took the place in the queue of the target" },
            aNow, aActions);
  return true;
}

void execution_ledger::Cancel(peer_id aPeer, cancel const& aCancel, base::time_point aNow,
                              actions& aActions)
{
  auto const found = mExecutions.find(aCancel.mAttempt);
  if (found == mExecutions.end()) {
    // Either the answer has already been sent, or the attempt has not arrived; neither needs a
    // reply.
    return;
  }
  auto const isCaller = aCancel.mReason == cancel_reason::by_caller;
  auto& live = found->second;
  if (live.mStage == stage::queued) {
    EndQueued(&live,
              { isCaller ? outcome::cancelled : outcome::timed_out_not_run,
                run_proof::never_started,
                isCaller ? result_code::cancelled : result_code::timed_out_not_run,
                "the entry cancelled the request before it started" },
              aNow, aActions);
    return;
  }
  // The executor cannot be interrupted. The execution continues, but its answer is no longer sent
  // to the entry that dispatched it.
  auto const reply = MakeAnswer(
    aCancel.mAttempt,
    { isCaller ? outcome::cancelled : outcome::timed_out_may_have_run, run_proof::may_have_run,
      isCaller ? result_code::cancelled : result_code::timed_out_may_have_run,
      "the entry cancelled the request while it was running" });
  aActions.emplace_back(send_answer{ aPeer, reply });
  live.mPeer = 0;
}

void execution_ledger::Resolve(peer_id aPeer, resolve const& aResolve, base::time_point aNow,
                               actions& aActions)
{
  resolve_reply reply{ .mQuery = aResolve.mQuery,
                       .mState = resolve_state::never_started,
                       .mAnswer = std::nullopt };
  auto const* const record = mHistory.Find(aResolve.mAttempt);
  if (aResolve.mIncarnation != mOptions.mIncarnation) {
    reply.mState = resolve_state::unknown_incarnation;
  } else if (auto const live = mExecutions.find(aResolve.mAttempt); live != mExecutions.end()) {
    live->second.mPendingQueries.push_back({ aPeer, aResolve.mQuery });
    reply.mState = resolve_state::running;
  } else if (record != nullptr && record->mAnswer) {
    reply.mState = resolve_state::finished;
    reply.mAnswer = *record->mAnswer;
  } else if (record == nullptr && mHistory.MayHaveDiscarded(CreationTime(aResolve.mAgentClock))) {
    reply.mState = resolve_state::record_discarded;
  } else {
    // The reply promises that the attempt never starts, so a dispatch that arrives later is
    // refused.
    mHistory.RecordRefused(aResolve.mAttempt, aNow);
  }
  aActions.emplace_back(send_resolve_reply{ aPeer, std::move(reply) });
}

void execution_ledger::Finished(std::string const& aAttempt, answer aAnswer, base::time_point aNow,
                                actions& aActions)
{
  assert(mRunning > 0);
  --mRunning;
  aAnswer.mAttempt = aAttempt;
  aAnswer.mQueued = static_cast<std::uint32_t>(mQueue.size());
  aAnswer.mRunning = static_cast<std::uint32_t>(mRunning);
  Conclude(aAttempt, std::make_shared<answer const>(std::move(aAnswer)), aNow, aActions);
  StartQueued(aNow, aActions);
}

void execution_ledger::RemovePeer(peer_id aPeer)
{
  for (auto& [attempt, live] : mExecutions) {
    if (live.mPeer == aPeer) {
      live.mPeer = 0;
    }
    std::erase_if(live.mPendingQueries,
                  [=](pending_query const& aQuery) { return aQuery.mPeer == aPeer; });
  }
}

void execution_ledger::Expire(base::time_point aNow, actions& aActions)
{
  std::vector<execution const*> late;
  for (auto const* const waiting : mQueue) {
    if (waiting->mDeadline <= aNow) {
      late.push_back(waiting);
    }
  }
  for (auto const* const waiting : late) {
    EndQueued(waiting,
              { outcome::timed_out_not_run, run_proof::never_started,
                result_code::timed_out_not_run, "the deadline passed in the queue of the target" },
              aNow, aActions);
  }
  mHistory.Expire(aNow);
  mRefusedIdempotent.Expire(aNow);
}

void execution_ledger::Refuse(peer_id aPeer, dispatch const& aDispatch, attempt_end aEnd,
                              base::time_point aNow, actions& aActions)
{
  auto& memory =
    aDispatch.mRepeatability == repeatability::non_idempotent ? mHistory : mRefusedIdempotent;
  memory.RecordRefused(aDispatch.mAttempt, aNow);
  aActions.emplace_back(send_answer{ aPeer, MakeAnswer(aDispatch.mAttempt, std::move(aEnd)) });
}

void execution_ledger::EndQueued(execution const* aExecution, attempt_end aEnd,
                                 base::time_point aNow, actions& aActions)
{
  assert(aExecution->mStage == stage::queued);
  mQueue.erase(aExecution);
  auto const attempt = aExecution->mDispatch->mAttempt;
  Conclude(attempt, MakeAnswer(attempt, std::move(aEnd)), aNow, aActions);
}

void execution_ledger::StartQueued(base::time_point aNow, actions& aActions)
{
  while (mRunning < mOptions.mSlots && !mQueue.empty()) {
    auto const* const first = *mQueue.begin();
    if (first->mDeadline <= aNow) {
      EndQueued(first,
                { outcome::timed_out_not_run, run_proof::never_started,
                  result_code::timed_out_not_run,
                  "the deadline passed in the queue of the target" },
                aNow, aActions);
      continue;
    }
    mQueue.erase(mQueue.begin());
    auto& started = mExecutions.at(first->mDispatch->mAttempt);
    started.mStage = stage::running;
    ++mRunning;
    aActions.emplace_back(start_execution{ started.mDispatch, started.mDeadline });
  }
}

void execution_ledger::Conclude(std::string const& aAttempt,
                                std::shared_ptr<answer const> const& aAnswer, base::time_point aNow,
                                actions& aActions)
{
  auto const found = mExecutions.find(aAttempt);
  assert(found != mExecutions.end());
  auto const ended = std::move(found->second);
  mExecutions.erase(found);
  auto const neverStarted = aAnswer->mProof == run_proof::never_started;
  if (ended.mDispatch->mRepeatability == repeatability::idempotent) {
    if (neverStarted) {
      mRefusedIdempotent.RecordRefused(aAttempt, aNow);
    }
  } else if (neverStarted) {
    mHistory.RecordRefused(aAttempt, aNow);
  } else {
    mHistory.RecordFinished(aAttempt, aAnswer, aNow);
  }
  if (ended.mPeer != 0) {
    aActions.emplace_back(send_answer{ ended.mPeer, aAnswer });
  }
  for (auto const& waiting : ended.mPendingQueries) {
    resolve_reply reply{ .mQuery = waiting.mQuery,
                         .mState =
                           neverStarted ? resolve_state::never_started : resolve_state::finished,
                         .mAnswer = std::nullopt };
    if (!neverStarted) {
      reply.mAnswer = *aAnswer;
    }
    aActions.emplace_back(send_resolve_reply{ waiting.mPeer, std::move(reply) });
  }
}

std::shared_ptr<answer const> execution_ledger::MakeAnswer(std::string const& aAttempt,
                                                           attempt_end aEnd) const
{
  answer made;
  made.mAttempt = aAttempt;
  made.mOutcome = aEnd.mOutcome;
  made.mProof = aEnd.mProof;
  made.mCode = aEnd.mCode;
  made.mMessage = std::move(aEnd.mMessage);
  made.mQueued = static_cast<std::uint32_t>(mQueue.size());
  made.mRunning = static_cast<std::uint32_t>(mRunning);
  return std::make_shared<answer const>(std::move(made));
}

base::time_point execution_ledger::CreationTime(base::milliseconds aAgentClock) const
{
  return mOptions.mStart + aAgentClock;
}

} // namespace rattanpond::requests
