#pragma once

#include "requests/messages.h"
#include "requests/request_result.h"

namespace rattanpond::requests {

/// What the caller of request_progress does after an event.
enum class next_step
{
  finish,
  /// Try another target if the retry budget permits it.
  retry,
  /// Try another target without using the retry budget: the refusal was due to a planned change (a
  /// draining target or a new incarnation).
  retry_without_budget,
  /// Claim the key again; the target did not refuse or fail the request.
  claim_again,
  /// Query the agent for the outcome of the attempt.
  resolve,
  wait
};

/// State machine of one request over all its attempts. Tracks whether it is proved that the request
/// has not run. Has no I/O.
///
///   ready --attempt dispatched--> dispatched
///   dispatched --answer: never started--> ready
///              --answer: may have run--> ready (idempotent and failed by the target) or ended
///              --link lost--> ready (idempotent) or unresolved
///   unresolved --resolve reply: never_started--> ready
///              --resolve reply: finished, record_discarded, unknown_incarnation--> ended
///
/// Once an attempt may have run, "not run" can never be proved again, even in the state ready.
class request_progress
{
public:
  explicit request_progress(repeatability aRepeatability)
    : mRepeatability{ aRepeatability }
  {
  }

  /// Called just before an attempt is sent to an agent.
  void Dispatched();

  next_step Answered(answer const& aAnswer);
  next_step LinkLost();
  next_step Resolved(resolve_reply const& aReply);
  /// From now on the outcome of this request is that of the claim on its key, which may belong to
  /// another caller.
  void Follow() { mState = state::unresolved; }

  /// True if no agent has started the request and none can start it any more.
  bool IsProvedNotRun() const { return mState == state::ready && !mMayHaveRun; }

  /// Replaces a "not run" outcome that is not proved by failed_by_target or timed_out_may_have_run.
  request_result Conclude(request_result aResult) const;

private:
  enum class state
  {
    ready,
    dispatched,
    unresolved,
    ended
  };

  repeatability mRepeatability;
  state mState = state::ready;
  /// An earlier attempt may have run.
  bool mMayHaveRun = false;
};

} // namespace rattanpond::requests
