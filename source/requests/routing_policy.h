#pragma once

#include "base/enum_names.h"

#include <cstddef>
#include <memory>
#include <random>
#include <span>

namespace rattanpond::requests {

enum class routing_policy_kind
{
  two_choices,
  join_shortest_queue,
  random,
  round_robin
};

/// A target that may receive a request.
struct routing_candidate
{
  /// Position in the router's list of targets.
  std::size_t mTarget = 0;
  /// Estimated number of requests that are queued or running on the target.
  double mLoad = 0;
  /// Estimated work up to and including a new request, divided by the number of slots. Unlike the
  /// waiting time it grows with every request, so that no target is preferred for its service time
  /// alone.
  double mWorkMilliseconds = 0;
  /// Estimated time until a new request would finish.
  double mEndMilliseconds = 0;
};

using random_source = std::mt19937_64;

/// Picks one of several candidates.
class routing_policy
{
public:
  virtual ~routing_policy() = default;

  /// Returns an index into aCandidates, which is not empty.
  virtual std::size_t Choose(std::span<routing_candidate const> aCandidates,
                             random_source& aRandom) = 0;
};

std::unique_ptr<routing_policy> MakeRoutingPolicy(routing_policy_kind aKind);

} // namespace rattanpond::requests

template<>
struct rattanpond::base::enum_names<rattanpond::requests::routing_policy_kind>
{
  using type = rattanpond::requests::routing_policy_kind;
  static constexpr enum_name<type> kTable[] = {
    { type::two_choices, "two-choices" },
    { type::join_shortest_queue, "join-shortest-queue" },
    { type::random, "random" },
    { type::round_robin, "round-robin" },
  };
};
