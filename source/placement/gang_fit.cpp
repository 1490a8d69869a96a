#include "placement/gang_fit.h"

#include <algorithm>
#include <tuple>

namespace rattanpond::placement {

namespace {

/// At most this many groups are scored: the cheapest and, at equal cost, the tightest ones.
constexpr std::size_t kScoredGroups = 12;

/// Limit on the copies of a task that requires no resources.
constexpr std::uint32_t kMaximumCopies = 1U << 20;

struct candidate_group
{
  std::size_t mBegin = 0;
  std::size_t mEnd = 0;
  std::uint64_t mCopies = 0;
  double mCheapest = 0;
};

std::vector<candidate_group> SufficientGroups(topology const& aTopology,
                                              std::span<fit_candidate const> aCandidates,
                                              gang_shape const& aShape)
{
  std::vector<candidate_group> groups;
  for (std::size_t begin = 0; begin < aCandidates.size();) {
    auto const group = aTopology.Group(aShape.mLevel, aCandidates[begin].mWorker);
    candidate_group sum{ .mBegin = begin, .mCheapest = aCandidates[begin].mCost };
    auto end = begin;
    for (; end < aCandidates.size() &&
           aTopology.Group(aShape.mLevel, aCandidates[end].mWorker) == group;
         ++end) {
      sum.mCopies += aCandidates[end].mCopies;
      sum.mCheapest = std::min(sum.mCheapest, aCandidates[end].mCost);
    }
    sum.mEnd = end;
    if (sum.mCopies >= aShape.mTasks) {
      groups.push_back(sum);
    }
    begin = end;
  }
  return groups;
}

/// Fills the cheapest workers first and, at equal cost, those with free capacity for the most
/// tasks, so that the gang spans few workers. Once the remaining tasks fit on one worker, they go
/// to the worker of that cost with the least sufficient free capacity.
placed_parts FillGroup(std::span<fit_candidate const> aGroup, std::uint32_t aTasks)
{
  std::vector<fit_candidate> order{ aGroup.begin(), aGroup.end() };
  std::stable_sort(order.begin(), order.end(), [](auto const& aLeft, auto const& aRight) {
    return aLeft.mCost != aRight.mCost ? aLeft.mCost < aRight.mCost
                                       : aLeft.mCopies > aRight.mCopies;
  });
  placed_parts parts;
  for (std::size_t index = 0; index < order.size() && aTasks > 0; ++index) {
    auto chosen = index;
    while (chosen + 1 < order.size() && order[chosen + 1].mCost == order[index].mCost &&
           order[chosen + 1].mCopies >= aTasks) {
      ++chosen;
    }
    auto const tasks = std::min(aTasks, order[chosen].mCopies);
    parts.push_back({ order[chosen].mWorker, tasks });
    aTasks -= tasks;
  }
  std::sort(parts.begin(), parts.end(),
            [](auto const& aLeft, auto const& aRight) { return aLeft.mWorker < aRight.mWorker; });
  return parts;
}

} // namespace

bool Admits(worker const& aWorker, gang_shape const& aShape)
{
  return (aShape.mKind.empty() || aWorker.mKind == aShape.mKind) &&
         (aShape.mRegion.empty() || aWorker.mRegion == aShape.mRegion);
}

std::vector<fit_candidate> Candidates(topology const& aTopology, std::span<resources const> aFree,
                                      gang_shape const& aShape)
{
  auto const demand = Demand(aShape.mTask);
  std::vector<fit_candidate> candidates;
  for (std::uint32_t index = 0; index < aFree.size(); ++index) {
    if (aFree[index].Covers(demand) && Admits(aTopology.Worker(index), aShape)) {
      candidates.push_back(
        { .mWorker = index, .mCopies = Copies(aFree[index], demand, kMaximumCopies) });
    }
  }
  return candidates;
}

std::optional<placed_parts> FitGang(topology const& aTopology,
                                    std::span<fit_candidate const> aCandidates,
                                    gang_shape const& aShape, fit_score const& aScore)
{
  auto groups = SufficientGroups(aTopology, aCandidates, aShape);
  auto const scored = std::min(groups.size(), kScoredGroups);
  std::partial_sort(groups.begin(), groups.begin() + static_cast<std::ptrdiff_t>(scored),
                    groups.end(), [](auto const& aLeft, auto const& aRight) {
                      return std::tie(aLeft.mCheapest, aLeft.mCopies, aLeft.mBegin) <
                             std::tie(aRight.mCheapest, aRight.mCopies, aRight.mBegin);
                    });
  std::optional<placed_parts> best;
  double bestScore = 0;
  for (auto const& group : std::span{ groups }.first(scored)) {
    auto parts =
      FillGroup(aCandidates.subspan(group.mBegin, group.mEnd - group.mBegin), aShape.mTasks);
    auto const score = aScore(parts);
    if (!best || score < bestScore) {
      best = std::move(parts);
      bestScore = score;
    }
  }
  return best;
}

std::optional<placed_parts> FirstFit(topology const& aTopology,
                                     std::span<fit_candidate const> aCandidates,
                                     gang_shape const& aShape)
{
  auto const groups = SufficientGroups(aTopology, aCandidates, aShape);
  if (groups.empty()) {
    return std::nullopt;
  }
  placed_parts parts;
  auto left = aShape.mTasks;
  for (auto index = groups.front().mBegin; left > 0; ++index) {
    auto const tasks = std::min(left, aCandidates[index].mCopies);
    parts.push_back({ aCandidates[index].mWorker, tasks });
    left -= tasks;
  }
  return parts;
}

std::vector<gang_part> NamedParts(topology const& aTopology, placed_parts const& aParts)
{
  std::vector<gang_part> named;
  named.reserve(aParts.size());
  for (auto const& part : aParts) {
    named.push_back({ aTopology.Worker(part.mWorker).mName, part.mTasks });
  }
  return named;
}

} // namespace rattanpond::placement
