#pragma once

#include "base/codec.h"
#include "configuration/contract.h"
#include "membership/target_description.h"
#include "requests/messages.h"
#include "requests/retry_budget.h"
#include "requests/routing_policy.h"
#include "requests/target_health.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace rattanpond::requests {

enum class link_state
{
  down,
  up
};

/// How the end of an attempt affects the health of its target.
enum class target_verdict
{
  good,
  bad,
  /// No effect, e.g. a refusal because the queue is full.
  neutral
};

/// Chooses the executor of each attempt from one traffic thread's view of the targets. Has no I/O;
/// callers pass the time.
class router
{
public:
  struct options
  {
    routing_policy_kind mPolicy = routing_policy_kind::two_choices;
    std::uint64_t mSeed = 1;
    double mMaximumEjectedShare = 0.3;
    target_health::options mHealth = {};
    retry_budget::options mRetries = {};
  };

  struct choice
  {
    std::string mTarget;
    std::string mIncarnation;
    double mEndMilliseconds = 0;
  };

  explicit router(options aOptions);

  /// Replaces the list of targets; a target with the same incarnation keeps its load and health.
  void Update(std::vector<membership::target_description> const& aTargets);
  void SetDomains(configuration::configuration_snapshot const& aConfiguration);
  void SetLink(std::string const& aTarget, link_state aState);
  void Reported(std::string const& aTarget, load_report const& aReport);

  /// Picks a target of the service that is not in aExcluded and is expected to finish the request
  /// within aRemaining, or is idle. Fails with unknown_service, no_target or deadline_unreachable.
  std::variant<choice, base::result_code> Choose(std::string const& aService,
                                                 std::vector<std::string> const& aExcluded,
                                                 base::milliseconds aRemaining,
                                                 base::time_point aNow);
  void Sent(std::string const& aTarget);
  void Ended(std::string const& aTarget, target_verdict aVerdict, answer const* aAnswer,
             base::time_point aNow);

  retry_budget& Retries() { return mRetries; }
  bool HasService(std::string const& aService) const;
  base::json StateDump() const;

private:
  struct routed_target
  {
    membership::target_description mDescription;
    link_state mLink = link_state::down;
    bool mIsInService = true;
    bool mReportedDraining = false;
    double mOutstanding = 0;
    /// Requests queued and running that are not from this router, as of the last report or answer.
    double mExternalLoad = 0;
    target_health mHealth;
  };

  routed_target* Find(std::string const& aTarget);
  void SetLoad(routed_target& aTarget, std::uint32_t aQueued, std::uint32_t aRunning);
  routing_candidate Estimate(std::size_t aIndex, double aMedian) const;
  bool IsEligible(routed_target const& aTarget, std::string const& aService,
                  std::vector<std::string> const& aExcluded) const;
  double MedianServiceTime(std::string const& aService) const;
  void EjectSuspects(std::string const& aService, base::time_point aNow);

  options mOptions;
  std::unique_ptr<routing_policy> mPolicy;
  random_source mRandom;
  retry_budget mRetries;
  std::vector<routed_target> mTargets;
  std::vector<routing_candidate> mCandidates;
};

} // namespace rattanpond::requests
