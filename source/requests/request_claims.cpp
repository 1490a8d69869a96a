#include "requests/answer_check.h"
#include "requests/request_runner.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

// NOTE: GCC 12 inlines the operator new of some coroutine frames and not the operator delete, and
// then takes the pair for a mismatch.
#pragma GCC diagnostic ignored "-Wmismatched-new-delete"

namespace rattanpond::requests {

namespace asio = boost::asio;
using base::result_code;

namespace {

constexpr base::milliseconds kResolveRetryDelay{ 50 };
constexpr base::milliseconds kStoreRetryDelay{ 100 };
constexpr base::milliseconds kClaimWriteTimeout{ 5000 };
constexpr int kStoreAnswerAttempts = 3;

request_result MayHaveRun(std::string aMessage)
{
  return MakeResult(outcome::timed_out_may_have_run, result_code::timed_out_may_have_run,
                    std::move(aMessage));
}

} // namespace

asio::awaitable<request_result> request_runner::RunClaimed(active_ptr aActive)
{
  claim_step step;
  while (!step.mResult) {
    if (step.mFollowed) {
      step = co_await Follow(aActive, *step.mFollowed);
    } else {
      step = co_await ClaimAndDispatch(aActive, step.mRevision);
    }
  }
  co_return std::move(*step.mResult);
}

asio::awaitable<request_runner::claim_step> request_runner::ClaimAndDispatch(
  active_ptr aActive, std::uint64_t aRevision)
{
  if (auto const ended = EndedEarly(*aActive)) {
    auto result = *ended;
    co_return co_await ReleaseAndConclude(aActive, aRevision, std::move(result));
  }
  auto const chosen = Choose(*aActive);
  if (auto const* const refusal = std::get_if<result_code>(&chosen)) {
    auto result = Refusal(*aActive, *refusal);
    co_return co_await ReleaseAndConclude(aActive, aRevision, std::move(result));
  }
  aActive->BeginAttempt(NextAttempt(), std::get<router::choice>(chosen));
  auto const row = MakeRow(*aActive);
  auto const key = ClaimKey(aActive->mDescription);
  auto const written = co_await mClaims->Write(key, row, aRevision, aActive->mDeadline);
  if (!base::Succeeded(written) && base::Error(written).mCode == result_code::condition_failed) {
    co_return co_await AfterNeverStarted(aActive, aActive->mAttempt, next_step::claim_again);
  }
  if (!base::Succeeded(written)) {
    if (aRevision != platform::kAbsent) {
      // Another caller may have claimed the key by now, and the store did not confirm this write.
      aActive->mProgress.Follow();
    }
    auto const ended = EndedEarly(*aActive);
    co_return claim_step{ .mResult = Conclude(
                            *aActive, ended.value_or(MakeResult(outcome::refused_not_run,
                                                                result_code::store_unavailable,
                                                                base::Error(written).mMessage))) };
  }
  auto step = next_step::retry;
  if (EndedEarly(*aActive)) {
    step = next_step::finish;
  } else if (SendDispatch(aActive, row.mAgentClock) == link_state::up) {
    step = co_await AwaitAttemptEnd(aActive);
  }
  co_return co_await AfterClaimedEnd(aActive, row, step);
}

asio::awaitable<request_runner::claim_step> request_runner::AfterClaimedEnd(active_ptr aActive,
                                                                            claim_row aRow,
                                                                            next_step aStep)
{
  if (aStep == next_step::resolve) {
    co_return claim_step{ .mFollowed = std::move(aRow) };
  }
  if (aActive->mProgress.IsProvedNotRun()) {
    co_return co_await AfterNeverStarted(aActive, aRow.mAttempt, aStep);
  }
  if (aActive->mAnswer) {
    StoreAnswerLater(ClaimKey(aActive->mDescription), std::move(aRow), *aActive->mAnswer);
  }
  co_return claim_step{ .mResult = Conclude(*aActive, ResultOf(*aActive)) };
}

asio::awaitable<request_runner::claim_step> request_runner::AfterNeverStarted(active_ptr aActive,
                                                                              std::string aAttempt,
                                                                              next_step aStep)
{
  auto const read = co_await ReadWithRetries(aActive);
  if (!base::Succeeded(read)) {
    aActive->mProgress.Follow();
    co_return claim_step{ .mResult =
                            Conclude(*aActive, MayHaveRun("reading the claim on the idempotency "
                                                          "key failed")) };
  }
  auto const& found = std::get<0>(read);
  if (!found) {
    co_return claim_step{};
  }
  auto const isStillClaimed =
    found->mRow.mAttempt == aAttempt && found->mRow.mState == claim_state::claimed;
  if (!isStillClaimed) {
    co_return EvaluateClaim(*aActive, *found);
  }
  auto const isFinal = aStep == next_step::finish || EndedEarly(*aActive);
  if (isFinal || !MayRetry(*aActive, aStep)) {
    // NOTE: A conditional expression inside co_await destroys its temporaries twice with GCC 12.
    auto result = ResultOf(*aActive);
    auto const ended = EndedEarly(*aActive);
    if (!aActive->mAnswer && ended) {
      result = *ended;
    }
    co_return co_await ReleaseAndConclude(aActive, found->mRevision, std::move(result));
  }
  co_return claim_step{ .mRevision = found->mRevision };
}

request_runner::claim_step request_runner::EvaluateClaim(active_request const& aActive,
                                                         found_claim const& aFound)
{
  auto const& row = aFound.mRow;
  if (row.mFingerprint != Fingerprint(aActive.mDescription)) {
    return { .mResult =
               MakeResult(outcome::refused_not_run, result_code::key_reused,
                          "the idempotency key was already used for a different request") };
  }
  if (row.mState == claim_state::not_run) {
    return { .mRevision = aFound.mRevision };
  }
  auto stored = row.mAnswer ? FromStored(*row.mAnswer) : std::nullopt;
  if (stored) {
    return { .mResult = std::move(stored) };
  }
  return { .mFollowed = row };
}

asio::awaitable<request_runner::claim_step> request_runner::Follow(active_ptr aActive,
                                                                   claim_row aRow)
{
  aActive->mProgress.Follow();
  aActive->mTarget = aRow.mTarget;
  aActive->mAnswer.reset();
  auto lastAnnounced = base::Now();
  while (aActive->mCallerIntent == caller_intent::answer && aActive->Remaining().count() > 0) {
    auto const now = base::Now();
    if (mAgents->HasAgent(aRow.mTarget)) {
      lastAnnounced = now;
    } else if (now - lastAnnounced > mOptions.mMissingTargetTimeout) {
      co_return claim_step{
        .mResult =
          MayHaveRun("the agent that the request was assigned to is no longer announced")
      };
    }
    auto const step = co_await ResolveOnce(aActive, aRow);
    if (step == next_step::finish) {
      co_return claim_step{ .mResult = ResolvedResult(*aActive, aRow) };
    }
    if (step == next_step::claim_again) {
      co_return co_await AfterNeverStarted(aActive, aRow.mAttempt, step);
    }
    co_await aActive->Wait(std::min(aActive->mDeadline, base::Now() + kResolveRetryDelay));
  }
  auto const isCancelled = aActive->mCallerIntent == caller_intent::cancel;
  co_return claim_step{
    .mResult = isCancelled
                 ? MakeResult(outcome::cancelled, result_code::cancelled,
                              "the request was cancelled; it may have run")
                 : MayHaveRun("the outcome of the request was not known before its deadline")
  };
}

asio::awaitable<next_step> request_runner::ResolveOnce(active_ptr aActive, claim_row aRow)
{
  auto const link = mAgents->Link(aRow.mTarget);
  if (!link) {
    co_return next_step::wait;
  }
  auto const query = NextAttempt();
  mByQuery[query] = aActive;
  aActive->mResolveReply.reset();
  aActive->mLink = link_state::up;
  link->Send(resolve{ .mQuery = query,
                      .mAttempt = aRow.mAttempt,
                      .mIncarnation = aRow.mIncarnation,
                      .mAgentClock = aRow.mAgentClock });
  auto step = next_step::wait;
  while (step == next_step::wait && aActive->mLink == link_state::up &&
         aActive->mCallerIntent == caller_intent::answer && aActive->Remaining().count() > 0) {
    co_await aActive->Wait(aActive->mDeadline);
    if (aActive->mResolveReply) {
      step = aActive->mProgress.Resolved(*aActive->mResolveReply);
      if (step == next_step::wait) {
        aActive->mResolveReply.reset();
      }
    }
  }
  mByQuery.erase(query);
  co_return step;
}

request_result request_runner::ResolvedResult(active_request& aActive, claim_row const& aRow)
{
  auto& reply = *aActive.mResolveReply;
  if (reply.mState != resolve_state::finished || !reply.mAnswer) {
    return MayHaveRun(
      reply.mState == resolve_state::record_discarded
        ? "the agent has discarded its record of the request"
        : "the agent that the request was assigned to was replaced by a new incarnation");
  }
  if (!IsIntact(*reply.mAnswer)) {
    mCorruptAnswers.Add();
    return MayHaveRun("the answer was corrupted in transit");
  }
  StoreAnswerLater(ClaimKey(aActive.mDescription), aRow, *reply.mAnswer);
  return aActive.mProgress.Conclude(FromAnswer(std::move(*reply.mAnswer)));
}

asio::awaitable<base::reply<std::optional<found_claim>>> request_runner::ReadWithRetries(
  active_ptr aActive)
{
  auto const key = ClaimKey(aActive->mDescription);
  auto read = co_await mClaims->Read(key);
  while (!base::Succeeded(read) && aActive->mCallerIntent == caller_intent::answer &&
         aActive->Remaining() > kStoreRetryDelay) {
    co_await aActive->Wait(base::Now() + kStoreRetryDelay);
    read = co_await mClaims->Read(key);
  }
  co_return read;
}

asio::awaitable<request_runner::claim_step> request_runner::ReleaseAndConclude(
  active_ptr aActive, std::uint64_t aRevision, request_result aResult)
{
  if (aRevision != platform::kAbsent) {
    auto row = MakeRow(*aActive);
    row.mState = claim_state::not_run;
    auto const written = co_await mClaims->Write(ClaimKey(aActive->mDescription), std::move(row),
                                                 aRevision, base::Now() + kClaimWriteTimeout);
    if (!base::Succeeded(written)) {
      // Another caller may have claimed the key, so the request may be running for that caller.
      aActive->mProgress.Follow();
    }
  }
  co_return claim_step{ .mResult = Conclude(*aActive, std::move(aResult)) };
}

claim_row request_runner::MakeRow(active_request const& aActive) const
{
  return { .mState = claim_state::claimed,
           .mAttempt = aActive.mAttempt,
           .mTarget = aActive.mTarget,
           .mIncarnation = aActive.mIncarnation,
           .mAgentClock = mAgents->AgentClock(aActive.mTarget),
           .mFingerprint = Fingerprint(aActive.mDescription),
           .mWrittenAt = 0,
           .mAnswer = std::nullopt };
}

void request_runner::StoreAnswerLater(std::string aKey, claim_row aRow, answer const& aAnswer)
{
  if (aAnswer.mOutcome != outcome::done) {
    return;
  }
  aRow.mState = claim_state::finished;
  aRow.mAnswer = ToStored(aAnswer);
  // The caller does not wait for this write; until it is committed, the agent keeps the answer in
  // memory.
  asio::co_spawn(
    mContext,
    [self = shared_from_this(), key = std::move(aKey), row = std::move(aRow)] {
      return self->StoreAnswer(key, row);
    },
    asio::detached);
}

asio::awaitable<void> request_runner::StoreAnswer(std::string aKey, claim_row aRow)
{
  auto const self = shared_from_this();
  for (int count = 0; count < kStoreAnswerAttempts; ++count) {
    auto const read = co_await mClaims->Read(aKey);
    if (base::Succeeded(read)) {
      auto const& found = std::get<0>(read);
      if (!found || found->mRow.mAttempt != aRow.mAttempt ||
          found->mRow.mState != claim_state::claimed) {
        co_return;
      }
      auto const written =
        co_await mClaims->Write(aKey, aRow, found->mRevision, base::Now() + kClaimWriteTimeout);
      if (base::Succeeded(written)) {
        co_return;
      }
    }
    asio::steady_timer timer{ mContext, base::milliseconds{ 1000 } };
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }
}

} // namespace rattanpond::requests
