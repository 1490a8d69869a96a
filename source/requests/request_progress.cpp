#include "requests/request_progress.h"

#include <cassert>

namespace rattanpond::requests {

using base::result_code;

namespace {

next_step AfterRefusal(answer const& aAnswer)
{
  if (aAnswer.mOutcome != outcome::refused_not_run) {
    return next_step::finish;
  }
  return aAnswer.mCode == result_code::target_draining ||
             aAnswer.mCode == result_code::stale_incarnation
           ? next_step::retry_without_budget
           : next_step::retry;
}

} // namespace

void request_progress::Dispatched()
{
  assert(mState == state::ready);
  mState = state::dispatched;
}

next_step request_progress::Answered(answer const& aAnswer)
{
  assert(mState == state::dispatched || mState == state::unresolved);
  if (aAnswer.mProof == run_proof::never_started) {
    mState = state::ready;
    return AfterRefusal(aAnswer);
  }
  mMayHaveRun = true;
  if (aAnswer.mOutcome == outcome::failed_by_target &&
      mRepeatability == repeatability::idempotent) {
    mState = state::ready;
    return next_step::retry;
  }
  mState = state::ended;
  return next_step::finish;
}

next_step request_progress::LinkLost()
{
  if (mRepeatability == repeatability::idempotent) {
    mMayHaveRun = true;
    mState = state::ready;
    return next_step::retry;
  }
  mState = state::unresolved;
  return next_step::resolve;
}

next_step request_progress::Resolved(resolve_reply const& aReply)
{
  assert(mState == state::unresolved);
  switch (aReply.mState) {
    case resolve_state::running:
      return next_step::wait;
    case resolve_state::never_started:
      mState = state::ready;
      return next_step::claim_again;
    case resolve_state::finished:
    case resolve_state::record_discarded:
    case resolve_state::unknown_incarnation:
      break;
  }
  mMayHaveRun = true;
  mState = state::ended;
  return next_step::finish;
}

request_result request_progress::Conclude(request_result aResult) const
{
  if (IsProvedNotRun()) {
    return aResult;
  }
  if (aResult.mOutcome == outcome::refused_not_run && mRepeatability == repeatability::idempotent) {
    // An earlier attempt may have run, and no other target can accept the request now.
    aResult.mOutcome = outcome::failed_by_target;
    aResult.mCode = result_code::failed_by_target;
  } else if (aResult.mOutcome == outcome::refused_not_run ||
             aResult.mOutcome == outcome::timed_out_not_run) {
    aResult.mOutcome = outcome::timed_out_may_have_run;
    aResult.mCode = result_code::timed_out_may_have_run;
  }
  return aResult;
}

} // namespace rattanpond::requests
