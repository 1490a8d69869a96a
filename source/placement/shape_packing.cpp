#include "placement/shape_packing.h"

#include <algorithm>
#include <array>
#include <numeric>

namespace rattanpond::placement {

namespace {

using shape_order = bool (*)(bound_shape const&, bound_shape const&);

bool LargestFirst(bound_shape const& aLeft, bound_shape const& aRight)
{
  return aLeft.mShape.mAccelerators != aRight.mShape.mAccelerators
           ? aLeft.mShape.mAccelerators > aRight.mShape.mAccelerators
           : aLeft.mShape.mLevel < aRight.mShape.mLevel;
}

bool ClosestFirst(bound_shape const& aLeft, bound_shape const& aRight)
{
  return aLeft.mShape.mLevel != aRight.mShape.mLevel
           ? aLeft.mShape.mLevel < aRight.mShape.mLevel
           : aLeft.mShape.mAccelerators > aRight.mShape.mAccelerators;
}

bool WidestFirst(bound_shape const& aLeft, bound_shape const& aRight)
{
  return aLeft.mShape.mLevel != aRight.mShape.mLevel
           ? aLeft.mShape.mLevel > aRight.mShape.mLevel
           : aLeft.mShape.mAccelerators > aRight.mShape.mAccelerators;
}

/// Optimal packing is a hard problem; each order solves cases that the others do not.
constexpr shape_order kOrders[] = { &LargestFirst, &ClosestFirst, &WidestFirst };

std::vector<std::size_t> Order(std::vector<bound_shape> const& aShapes, shape_order aBefore)
{
  std::vector<std::size_t> order(aShapes.size());
  std::iota(order.begin(), order.end(), 0);
  std::stable_sort(order.begin(), order.end(), [&](std::size_t aLeft, std::size_t aRight) {
    return aBefore(aShapes[aLeft], aShapes[aRight]);
  });
  return order;
}

/// Places as many shapes as it can in the given order; returns the indices of the others.
std::vector<std::size_t> PackInOrder(topology const& aTopology, std::span<resources> aFree,
                                     std::vector<bound_shape>& aShapes,
                                     std::vector<std::size_t> const& aOrder)
{
  std::vector<std::size_t> unplacedShapes;
  shape_view const view{ .mCost = [](std::uint32_t) { return 0.0; },
                         .mFree = [&](std::uint32_t aWorker) { return aFree[aWorker]; } };
  for (auto const index : aOrder) {
    auto& shape = aShapes[index];
    if (shape.IsBound()) {
      continue;
    }
    if (auto parts = PlaceShape(aTopology, shape.mShape, view)) {
      shape.mParts = std::move(*parts);
      Take(aTopology, aFree, shape);
    } else {
      unplacedShapes.push_back(index);
    }
  }
  return unplacedShapes;
}

} // namespace

resources UnitDemand(configuration::guaranteed_shape const& aShape, worker const& aWorker)
{
  auto const count = std::max<std::int64_t>(aWorker.mAccelerators, 1);
  auto const share = [count](std::int64_t aDeclared, std::int64_t aAll) {
    return aDeclared > 0 ? aDeclared : aAll / count;
  };
  return { 1, share(aShape.mCoresPerAccelerator, aWorker.mCores),
           share(static_cast<std::int64_t>(aShape.mMemoryMebibytesPerAccelerator),
                 static_cast<std::int64_t>(aWorker.mMemoryMebibytes)) };
}

std::vector<bound_shape> Shapes(std::map<std::string, configuration::contract> const& aContracts)
{
  std::vector<bound_shape> shapes;
  for (auto const& [name, contract] : aContracts) {
    for (auto const& shape : contract.mGuarantee) {
      shapes.push_back({ .mWorkspace = name, .mShape = shape, .mParts = {} });
    }
  }
  return shapes;
}

std::optional<placed_parts> PlaceShape(topology const& aTopology,
                                       configuration::guaranteed_shape const& aShape,
                                       shape_view const& aView)
{
  gang_shape const gang{ .mTasks = aShape.mAccelerators,
                         .mTask = { .mAccelerators = 1 },
                         .mKind = aShape.mKind,
                         .mLevel = aShape.mLevel,
                         .mRegion = aShape.mRegion };
  std::vector<fit_candidate> candidates;
  std::vector<std::int64_t> inRack(aTopology.GroupCount(adjacency::same_rack), 0);
  for (std::uint32_t index = 0; index < aTopology.size(); ++index) {
    auto const& worker = aTopology.Worker(index);
    if (worker.mAccelerators == 0 || !Admits(worker, gang)) {
      continue;
    }
    auto const copies =
      Copies(aView.mFree(index), UnitDemand(aShape, worker), worker.mAccelerators);
    if (copies > 0) {
      candidates.push_back({ index, copies, aView.mCost(index) });
      inRack[aTopology.Group(adjacency::same_rack, index)] += copies;
    }
  }
  // Using the rack with the least free capacity keeps whole racks free for the shapes that follow.
  auto const score = [&](placed_parts const& aParts) {
    // A place on fewer workers can run gangs with larger tasks.
    double sum = 10'000.0 * static_cast<double>(aParts.size());
    for (auto const& part : aParts) {
      sum += 1000 * aView.mCost(part.mWorker) * part.mTasks +
             static_cast<double>(inRack[aTopology.Group(adjacency::same_rack, part.mWorker)]) +
             100.0 * static_cast<double>(aView.mFree(part.mWorker).mAccelerators - part.mTasks);
    }
    return sum;
  };
  return FitGang(aTopology, candidates, gang, score);
}

void Take(topology const& aTopology, std::span<resources> aFree, bound_shape const& aShape,
          std::int64_t aTimes)
{
  for (auto const& part : aShape.mParts) {
    aFree[part.mWorker] -=
      UnitDemand(aShape.mShape, aTopology.Worker(part.mWorker)) * (part.mTasks * aTimes);
  }
}

bound_shape const* PackShapes(topology const& aTopology, std::span<resources> aFree,
                              std::vector<bound_shape>& aShapes)
{
  std::vector<bound_shape> best;
  std::vector<resources> bestFree;
  std::vector<std::size_t> bestUnplacedShapes(aShapes.size() + 1);
  for (auto const order : kOrders) {
    auto shapes = aShapes;
    std::vector<resources> free{ aFree.begin(), aFree.end() };
    auto unplacedShapes = PackInOrder(aTopology, free, shapes, Order(shapes, order));
    if (unplacedShapes.size() < bestUnplacedShapes.size()) {
      best = std::move(shapes);
      bestFree = std::move(free);
      bestUnplacedShapes = std::move(unplacedShapes);
    }
    if (bestUnplacedShapes.empty()) {
      break;
    }
  }
  aShapes = std::move(best);
  std::copy(bestFree.begin(), bestFree.end(), aFree.begin());
  return bestUnplacedShapes.empty() ? nullptr : &aShapes[bestUnplacedShapes.front()];
}

} // namespace rattanpond::placement
