#pragma once

#include "base/metrics.h"
#include "requests/active_request.h"
#include "requests/agent_pool.h"
#include "requests/claim_ledger.h"

#include <memory>
#include <set>
#include <string>
#include <unordered_map>

namespace rattanpond::requests {

/// Sends admitted requests to agents and returns their results. Handles retries, claims on
/// idempotency keys and the resolution of attempts with an unknown outcome. Used on one traffic
/// thread.
class request_runner : public std::enable_shared_from_this<request_runner>
{
public:
  struct options
  {
    router::options mRouter;
    claim_ledger::options mClaims;
    /// How long the entry waits for the agent's answer after it has cancelled an attempt, at the
    /// deadline or for the caller.
    base::milliseconds mAnswerGracePeriod{ 100 };
    /// A target that has not been announced for this long is treated as gone. Longer than a dialer
    /// needs to reconnect, so that a short loss of links does not leave a request unresolved.
    base::milliseconds mMissingTargetTimeout{ 3000 };
    std::size_t mMaximumAttempts = 4;
  };

  request_runner(boost::asio::io_context& aContext, options aOptions,
                 platform::table_service& aTable, base::metrics_registry& aMetrics);
  /// Connects the callbacks; call once before Run.
  void Start();
  void Stop();

  void Update(std::vector<membership::target_description> const& aTargets);
  void SetConfiguration(std::shared_ptr<configuration::configuration_snapshot const> aSnapshot);

  boost::asio::awaitable<request_result> Run(request_description aDescription);

  /// Cancels the active requests with a key. Returns their number.
  std::size_t Cancel(std::string const& aWorkspace, std::string const& aService,
                     std::string const& aKey);

  std::size_t Active() const { return mActive.size(); }
  base::json StateDump() const;

private:
  using active_ptr = std::shared_ptr<active_request>;

  boost::asio::awaitable<request_result> RunIdempotent(active_ptr aActive);
  boost::asio::awaitable<request_result> RunClaimed(active_ptr aActive);

  // Shared by idempotent and claimed requests.
  std::optional<request_result> EndedEarly(active_request const& aActive) const;
  std::variant<router::choice, base::result_code> Choose(active_request& aActive);
  request_result Refusal(active_request& aActive, base::result_code aCode) const;
  dispatch MakeDispatch(active_request& aActive, base::milliseconds aAgentClock) const;
  /// Sends the attempt to its agent; sends nothing and returns down if there is no open link.
  link_state SendDispatch(active_ptr const& aActive, base::milliseconds aAgentClock);
  boost::asio::awaitable<next_step> AwaitAttemptEnd(active_ptr aActive);
  next_step DetermineNextStep(active_request& aActive);
  void RecordAttemptEnd(active_request& aActive);
  bool MayRetry(active_request& aActive, next_step aStep);
  request_result Conclude(active_request const& aActive, request_result aResult) const;
  request_result ResultOf(active_request& aActive) const;

  // Claims; defined in request_claims.cpp.
  struct claim_step
  {
    /// Set when the request has ended.
    std::optional<request_result> mResult = std::nullopt;
    /// Set when the outcome is that of this claim, which Follow() resolves.
    std::optional<claim_row> mFollowed = std::nullopt;
    /// Otherwise the revision of the claim row that the next claim replaces.
    std::uint64_t mRevision = platform::kAbsent;
  };
  boost::asio::awaitable<claim_step> ClaimAndDispatch(active_ptr aActive, std::uint64_t aRevision);
  boost::asio::awaitable<claim_step> AfterClaimedEnd(active_ptr aActive, claim_row aRow,
                                                     next_step aStep);
  /// Called when the attempt was never started; reads which attempt holds the claim row now.
  boost::asio::awaitable<claim_step> AfterNeverStarted(active_ptr aActive, std::string aAttempt,
                                                       next_step aStep);
  static claim_step EvaluateClaim(active_request const& aActive, found_claim const& aFound);
  /// Queries the agent of a claim until the outcome is known, the request is cancelled or its
  /// deadline has passed.
  boost::asio::awaitable<claim_step> Follow(active_ptr aActive, claim_row aRow);
  boost::asio::awaitable<next_step> ResolveOnce(active_ptr aActive, claim_row aRow);
  request_result ResolvedResult(active_request& aActive, claim_row const& aRow);
  /// Reads the claim row; retries while the store is unavailable, until the deadline or a
  /// cancellation.
  boost::asio::awaitable<base::reply<std::optional<found_claim>>> ReadWithRetries(
    active_ptr aActive);
  /// Ends a request that is not dispatched. A claim is released first, so that "not run" is true
  /// for the key as well.
  boost::asio::awaitable<claim_step> ReleaseAndConclude(active_ptr aActive, std::uint64_t aRevision,
                                                        request_result aResult);
  claim_row MakeRow(active_request const& aActive) const;
  void StoreAnswerLater(std::string aKey, claim_row aRow, answer const& aAnswer);
  boost::asio::awaitable<void> StoreAnswer(std::string aKey, claim_row aRow);

  void OnAnswer(std::string const& aTarget, answer aAnswer);
  void OnResolveReply(resolve_reply aReply);
  void OnLink(std::string const& aTarget, link_state aState);
  std::string NextAttempt();

  boost::asio::io_context& mContext;
  options mOptions;
  std::string mIncarnation;
  std::uint64_t mLastAttempt = 0;
  router mRouter;
  std::shared_ptr<claim_ledger> mClaims;
  std::unique_ptr<agent_pool> mAgents;
  std::shared_ptr<configuration::configuration_snapshot const> mConfiguration;
  std::set<active_ptr> mActive;
  std::unordered_map<std::string, active_ptr> mByAttempt;
  std::unordered_map<std::string, active_ptr> mByQuery;
  base::counter& mLateAnswers;
  base::counter& mCorruptAnswers;
  base::counter& mRetries;
};

} // namespace rattanpond::requests
