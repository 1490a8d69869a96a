#include "requests/router.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace rattanpond::requests {

using base::result_code;

namespace {

struct health_name
{
  health_state mState;
  char const* mName;
};

constexpr health_name kHealthNames[] = { { health_state::healthy, "healthy" },
                                         { health_state::ejected, "ejected" },
                                         { health_state::probing, "probing" } };

} // namespace

router::router(options aOptions)
  : mOptions{ aOptions }
  , mPolicy{ MakeRoutingPolicy(aOptions.mPolicy) }
  , mRandom{ aOptions.mSeed }
  , mRetries{ aOptions.mRetries }
{
}

void router::Update(std::vector<membership::target_description> const& aTargets)
{
  std::vector<routed_target> updated;
  for (auto const& description : aTargets) {
    if (description.mKind != membership::target_kind::executor) {
      continue;
    }
    auto* const known = Find(description.mTarget);
    if (known != nullptr && known->mDescription.mIncarnation == description.mIncarnation) {
      known->mDescription = description;
      updated.push_back(std::move(*known));
      continue;
    }
    updated.push_back(
      { .mDescription = description, .mHealth = target_health{ mOptions.mHealth } });
  }
  mTargets = std::move(updated);
}

void router::SetDomains(configuration::configuration_snapshot const& aConfiguration)
{
  for (auto& target : mTargets) {
    target.mIsInService = aConfiguration.IsInService(target.mDescription.mDomain);
  }
}

void router::SetLink(std::string const& aTarget, link_state aState)
{
  if (auto* const target = Find(aTarget)) {
    target->mLink = aState;
    // The agent sends a load report on each new link.
    target->mReportedDraining = false;
  }
}

void router::Reported(std::string const& aTarget, load_report const& aReport)
{
  auto* const target = Find(aTarget);
  if (target == nullptr || target->mDescription.mIncarnation != aReport.mIncarnation) {
    return;
  }
  target->mReportedDraining = aReport.mState == membership::target_state::draining;
  SetLoad(*target, aReport.mQueued, aReport.mRunning);
}

void router::SetLoad(routed_target& aTarget, std::uint32_t aQueued, std::uint32_t aRunning)
{
  aTarget.mExternalLoad = std::max(0.0, aQueued + aRunning - aTarget.mOutstanding);
}

std::variant<router::choice, result_code> router::Choose(std::string const& aService,
                                                         std::vector<std::string> const& aExcluded,
                                                         base::milliseconds aRemaining,
                                                         base::time_point aNow)
{
  EjectSuspects(aService, aNow);
  auto const median = MedianServiceTime(aService);
  mCandidates.clear();
  bool isKnownService = false;
  bool isReachable = false;
  for (std::size_t index = 0; index < mTargets.size(); ++index) {
    auto const& target = mTargets[index];
    isKnownService = isKnownService || target.mDescription.mService == aService;
    if (!IsEligible(target, aService, aExcluded)) {
      continue;
    }
    isReachable = true;
    auto const candidate = Estimate(index, median);
    // An idle target is always a candidate: if estimates alone could refuse every request, no
    // answer would ever correct them after a slow period.
    if (candidate.mEndMilliseconds <= static_cast<double>(aRemaining.count()) ||
        candidate.mLoad < 1) {
      mCandidates.push_back(candidate);
    }
  }
  if (mCandidates.empty()) {
    return !isKnownService ? result_code::unknown_service
           : isReachable   ? result_code::deadline_unreachable
                           : result_code::no_target;
  }
  auto const& chosen = mCandidates[mPolicy->Choose(mCandidates, mRandom)];
  auto const& target = mTargets[chosen.mTarget];
  return choice{ target.mDescription.mTarget, target.mDescription.mIncarnation,
                 chosen.mEndMilliseconds };
}

void router::Sent(std::string const& aTarget)
{
  if (auto* const target = Find(aTarget)) {
    target->mOutstanding += 1;
  }
}

void router::Ended(std::string const& aTarget, target_verdict aVerdict, answer const* aAnswer,
                   base::time_point aNow)
{
  auto* const target = Find(aTarget);
  if (target == nullptr) {
    return;
  }
  // The count may already be 0: a target that was replaced meanwhile starts at 0.
  target->mOutstanding = std::max(0.0, target->mOutstanding - 1);
  if (aAnswer != nullptr) {
    SetLoad(*target, aAnswer->mQueued, aAnswer->mRunning);
  }
  if (aVerdict == target_verdict::good) {
    auto const isTimed = aAnswer != nullptr && aAnswer->mServiceMicroseconds > 0;
    target->mHealth.Succeeded(isTimed ? static_cast<double>(aAnswer->mServiceMicroseconds) / 1000.0
                                      : -1);
  } else if (aVerdict == target_verdict::bad) {
    target->mHealth.Failed();
  }
  target->mHealth.EvaluateProbes(MedianServiceTime(target->mDescription.mService), aNow);
}

bool router::HasService(std::string const& aService) const
{
  return std::ranges::any_of(
    mTargets, [&](auto const& aTarget) { return aTarget.mDescription.mService == aService; });
}

base::json router::StateDump() const
{
  auto targets = base::json::array();
  for (auto const& target : mTargets) {
    auto const* const health =
      std::ranges::find(kHealthNames, target.mHealth.State(), &health_name::mState);
    targets.push_back({ { "target", target.mDescription.mTarget },
                        { "service", target.mDescription.mService },
                        { "link", target.mLink == link_state::up ? "up" : "down" },
                        { "health", health->mName },
                        { "outstanding", target.mOutstanding },
                        { "others_load", target.mExternalLoad },
                        { "service_ms", target.mHealth.ServiceMilliseconds() } });
  }
  return targets;
}

router::routed_target* router::Find(std::string const& aTarget)
{
  auto const found = std::ranges::find_if(
    mTargets, [&](auto const& aCandidate) { return aCandidate.mDescription.mTarget == aTarget; });
  return found == mTargets.end() ? nullptr : &*found;
}

routing_candidate router::Estimate(std::size_t aIndex, double aMedian) const
{
  auto const& target = mTargets[aIndex];
  auto const slots = std::max(1.0, static_cast<double>(target.mDescription.mSlots));
  auto const load = target.mOutstanding + target.mExternalLoad;
  auto const own = target.mHealth.ServiceMilliseconds();
  auto const service = own > 0 ? own : aMedian;
  // The request starts once fewer than `slots` earlier requests are left.
  auto const ahead = std::max(0.0, load + 1 - slots);
  auto const wait = ahead * service / slots;
  return { .mTarget = aIndex,
           .mLoad = load,
           .mWorkMilliseconds = (load + 1) * service / slots,
           .mEndMilliseconds = wait + service };
}

bool router::IsEligible(routed_target const& aTarget, std::string const& aService,
                        std::vector<std::string> const& aExcluded) const
{
  auto const& description = aTarget.mDescription;
  if (description.mService != aService || aTarget.mLink != link_state::up ||
      !aTarget.mIsInService || aTarget.mReportedDraining ||
      description.mState != membership::target_state::serving) {
    return false;
  }
  auto const health = aTarget.mHealth.State();
  if (health == health_state::ejected ||
      (health == health_state::probing && aTarget.mOutstanding > 0)) {
    return false;
  }
  return std::ranges::find(aExcluded, description.mTarget) == aExcluded.end();
}

double router::MedianServiceTime(std::string const& aService) const
{
  std::vector<double> times;
  times.reserve(mTargets.size());
  for (auto const& target : mTargets) {
    auto const milliseconds = target.mHealth.ServiceMilliseconds();
    if (target.mDescription.mService == aService && milliseconds > 0) {
      times.push_back(milliseconds);
    }
  }
  if (times.empty()) {
    return 0;
  }
  auto const middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
  std::ranges::nth_element(times, middle);
  return *middle;
}

void router::EjectSuspects(std::string const& aService, base::time_point aNow)
{
  std::size_t count = 0;
  std::size_t ejected = 0;
  for (auto& target : mTargets) {
    if (target.mDescription.mService == aService) {
      target.mHealth.StartProbingIfDue(aNow);
      ++count;
      ejected += target.mHealth.State() == health_state::healthy ? 0 : 1;
    }
  }
  auto const limit = static_cast<std::size_t>(
    std::floor(static_cast<double>(count) * mOptions.mMaximumEjectedShare));
  if (ejected >= limit) {
    return;
  }
  auto const median = MedianServiceTime(aService);
  for (auto& target : mTargets) {
    if (target.mDescription.mService == aService && ejected < limit &&
        target.mHealth.IsSuspect(median)) {
      target.mHealth.Eject(aNow);
      ++ejected;
    }
  }
}

} // namespace rattanpond::requests
