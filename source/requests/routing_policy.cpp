#include "requests/routing_policy.h"

#include <algorithm>

namespace rattanpond::requests {

namespace {

std::size_t Pick(std::size_t aCount, random_source& aRandom)
{
  return std::uniform_int_distribution<std::size_t>{ 0, aCount - 1 }(aRandom);
}

bool IsBetter(routing_candidate const& aLeft, routing_candidate const& aRight)
{
  // Until service times are known, all work estimates are 0 and the load alone decides.
  return std::pair{ aLeft.mWorkMilliseconds, aLeft.mLoad } <
         std::pair{ aRight.mWorkMilliseconds, aRight.mLoad };
}

class two_choices final : public routing_policy
{
public:
  std::size_t Choose(std::span<routing_candidate const> aCandidates,
                     random_source& aRandom) override
  {
    auto const first = Pick(aCandidates.size(), aRandom);
    if (aCandidates.size() == 1) {
      return first;
    }
    auto second = Pick(aCandidates.size() - 1, aRandom);
    second += second >= first ? 1 : 0;
    return IsBetter(aCandidates[second], aCandidates[first]) ? second : first;
  }
};

class join_shortest_queue final : public routing_policy
{
public:
  std::size_t Choose(std::span<routing_candidate const> aCandidates,
                     random_source& /*aRandom*/) override
  {
    auto const shortest = std::ranges::min_element(aCandidates, {}, &routing_candidate::mLoad);
    return static_cast<std::size_t>(shortest - aCandidates.begin());
  }
};

class random_choice final : public routing_policy
{
public:
  std::size_t Choose(std::span<routing_candidate const> aCandidates,
                     random_source& aRandom) override
  {
    return Pick(aCandidates.size(), aRandom);
  }
};

class round_robin final : public routing_policy
{
public:
  std::size_t Choose(std::span<routing_candidate const> aCandidates,
                     random_source& /*aRandom*/) override
  {
    return mNext++ % aCandidates.size();
  }

private:
  std::size_t mNext = 0;
};

template<class Policy>
std::unique_ptr<routing_policy> Make()
{
  return std::make_unique<Policy>();
}

struct policy_entry
{
  routing_policy_kind mKind;
  std::unique_ptr<routing_policy> (*mMake)();
};

constexpr policy_entry kPolicies[] = {
  { routing_policy_kind::two_choices, &Make<two_choices> },
  { routing_policy_kind::join_shortest_queue, &Make<join_shortest_queue> },
  { routing_policy_kind::random, &Make<random_choice> },
  { routing_policy_kind::round_robin, &Make<round_robin> },
};

} // namespace

std::unique_ptr<routing_policy> MakeRoutingPolicy(routing_policy_kind aKind)
{
  auto const* const found = std::ranges::find(kPolicies, aKind, &policy_entry::mKind);
  return found->mMake();
}

} // namespace rattanpond::requests
