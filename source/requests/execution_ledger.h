#pragma once

#include "requests/attempt_history.h"
#include "requests/messages.h"

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace rattanpond::requests {

/// Identifies a link to an entry; 0 means no link.
using peer_id = std::uint64_t;

struct start_execution
{
  std::shared_ptr<dispatch const> mDispatch;
  base::time_point mDeadline{};
};

struct send_answer
{
  peer_id mPeer = 0;
  std::shared_ptr<answer const> mAnswer;
};

struct send_resolve_reply
{
  peer_id mPeer = 0;
  resolve_reply mReply;
};

using ledger_action = std::variant<start_execution, send_answer, send_resolve_reply>;

/// Tracks the attempts that one agent receives: queue order, starts, refusals, and the answers to
/// later queries about them. Performs no input or output; each event appends the actions that the
/// caller must carry out.
class execution_ledger
{
public:
  struct options
  {
    std::string mIncarnation;
    std::string mService;
    std::uint32_t mSlots = 8;
    std::size_t mMaximumQueued = 64;
    base::time_point mStart{};
    attempt_history::options mHistory = {};
  };

  using actions = std::vector<ledger_action>;

  explicit execution_ledger(options aOptions);

  void Dispatch(peer_id aPeer, dispatch aDispatch, base::time_point aNow, actions& aActions);
  void Cancel(peer_id aPeer, cancel const& aCancel, base::time_point aNow, actions& aActions);
  void Resolve(peer_id aPeer, resolve const& aResolve, base::time_point aNow, actions& aActions);
  /// Records the end of an execution. The ledger sets the attempt and the load fields of the
  /// answer.
  void Finished(std::string const& aAttempt, answer aAnswer, base::time_point aNow,
                actions& aActions);
  void RemovePeer(peer_id aPeer);
  /// Answers queued attempts whose deadline has passed and discards records older than the
  /// retention.
  void Expire(base::time_point aNow, actions& aActions);
  /// While draining, new attempts are refused and those accepted before are completed.
  void SetState(membership::target_state aState) { mState = aState; }

  membership::target_state State() const { return mState; }
  std::size_t Queued() const { return mQueue.size(); }
  std::size_t Running() const { return mRunning; }
  attempt_history const& History() const { return mHistory; }

private:
  enum class stage
  {
    queued,
    running
  };

  struct pending_query
  {
    peer_id mPeer = 0;
    std::string mQuery;
  };

  struct execution
  {
    std::shared_ptr<dispatch const> mDispatch;
    base::time_point mDeadline{};
    std::uint64_t mSequence = 0;
    stage mStage = stage::queued;
    peer_id mPeer = 0;
    std::vector<pending_query> mPendingQueries;
  };

  struct queue_order
  {
    bool operator()(execution const* aLeft, execution const* aRight) const;
  };

  struct attempt_end
  {
    outcome mOutcome;
    run_proof mProof;
    base::result_code mCode;
    std::string mMessage;
  };

  /// Handles attempts that must not be queued. Returns false if the attempt is to be queued.
  bool AnswerWithoutQueueing(peer_id aPeer, dispatch const& aDispatch, base::time_point aNow,
                             actions& aActions);
  bool MakeQueueSpace(execution const& aNew, base::time_point aNow, actions& aActions);
  void Refuse(peer_id aPeer, dispatch const& aDispatch, attempt_end aEnd, base::time_point aNow,
              actions& aActions);
  void EndQueued(execution const* aExecution, attempt_end aEnd, base::time_point aNow,
                 actions& aActions);
  void StartQueued(base::time_point aNow, actions& aActions);
  void Conclude(std::string const& aAttempt, std::shared_ptr<answer const> const& aAnswer,
                base::time_point aNow, actions& aActions);
  std::shared_ptr<answer const> MakeAnswer(std::string const& aAttempt, attempt_end aEnd) const;
  base::time_point CreationTime(base::milliseconds aAgentClock) const;

  options mOptions;
  membership::target_state mState = membership::target_state::serving;
  std::unordered_map<std::string, execution> mExecutions;
  std::set<execution const*, queue_order> mQueue;
  std::size_t mRunning = 0;
  std::uint64_t mNextSequence = 0;
  attempt_history mHistory;
  /// Refused idempotent attempts. A discarded record can only cause an idempotent execution to be
  /// repeated.
  attempt_history mRefusedIdempotent;
};

} // namespace rattanpond::requests
