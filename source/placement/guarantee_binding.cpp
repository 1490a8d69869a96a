#include "placement/guarantee_binding.h"

#include <algorithm>
#include <utility>

namespace rattanpond::placement {

namespace {

using amounts_by_workspace = std::unordered_map<std::string, guarantee_binding::worker_amounts>;

bool IsAllBound(std::vector<bound_shape> const& aShapes)
{
  return std::all_of(aShapes.begin(), aShapes.end(),
                     [](bound_shape const& aShape) { return aShape.IsBound(); });
}

amounts_by_workspace BoundAmounts(topology const& aTopology,
                                  std::vector<bound_shape> const& aShapes)
{
  amounts_by_workspace bound;
  for (auto const& shape : aShapes) {
    for (auto const& part : shape.mParts) {
      bound[shape.mWorkspace][part.mWorker] +=
        UnitDemand(shape.mShape, aTopology.Worker(part.mWorker)) * part.mTasks;
    }
  }
  return bound;
}

/// Resources that guaranteed gangs use beyond those bound for their workspace, for example because
/// the rest of their shape moved to other workers.
amounts_by_workspace UncoveredUse(topology const& aTopology,
                                  std::vector<bound_shape> const& aShapes,
                                  std::vector<guaranteed_use> const& aUses)
{
  amounts_by_workspace uncovered;
  for (auto const& use : aUses) {
    for (auto const& part : *use.mParts) {
      uncovered[*use.mWorkspace][part.mWorker] += use.mTask * part.mTasks;
    }
  }
  for (auto const& [workspace, workers] : BoundAmounts(aTopology, aShapes)) {
    for (auto const& [worker, amount] : workers) {
      auto& left = uncovered[workspace][worker];
      left -= Minimum(left, amount);
    }
  }
  return uncovered;
}

/// Places one shape preferably where it covers uncovered use of its own workspace, and never on
/// resources in uncovered use by another workspace.
std::optional<placed_parts> PlaceBesideUse(topology const& aTopology, bound_shape const& aShape,
                                           std::span<resources const> aFree,
                                           amounts_by_workspace const& aUncovered)
{
  std::vector<resources> free{ aFree.begin(), aFree.end() };
  std::vector<bool> isOwn(free.size(), false);
  for (auto const& [workspace, workers] : aUncovered) {
    for (auto const& [worker, amount] : workers) {
      if (workspace == aShape.mWorkspace) {
        isOwn[worker] = amount.mAccelerators > 0;
      } else {
        free[worker] -= amount;
      }
    }
  }
  return PlaceShape(aTopology, aShape.mShape,
                    { .mCost = [&](std::uint32_t aWorker) { return isOwn[aWorker] ? 0.0 : 1.0; },
                      .mFree = [&](std::uint32_t aWorker) { return free[aWorker]; } });
}

} // namespace

guarantee_binding::shape_list guarantee_binding::Guarantees(
  std::map<std::string, configuration::contract> const& aContracts)
{
  shape_list guarantees;
  for (auto const& [name, contract] : aContracts) {
    guarantees.emplace_back(name, contract.mGuarantee);
  }
  return guarantees;
}

bool guarantee_binding::Update(topology const& aTopology, std::span<resources const> aUsable,
                               std::map<std::string, configuration::contract> const& aContracts,
                               std::vector<guaranteed_use> const& aUses)
{
  auto guarantees = Guarantees(aContracts);
  if (guarantees == mGuarantees &&
      std::equal(aUsable.begin(), aUsable.end(), mUsable.begin(), mUsable.end()) &&
      IsAllBound(mShapes)) {
    return Compact(aTopology, aUses);
  }
  mGuarantees = std::move(guarantees);
  mUsable.assign(aUsable.begin(), aUsable.end());
  auto shapes = placement::Shapes(aContracts);
  auto free = mUsable;
  KeepPlaces(aTopology, shapes, free);
  if (!PlaceAround(aTopology, shapes, free, aUses)) {
    // The remaining shapes can fit only if places move that are still usable. If that fails as
    // well, the usable places stay and as many shapes as possible are bound.
    auto moved = placement::Shapes(aContracts);
    auto all = mUsable;
    if (!PackShapes(aTopology, all, moved)) {
      shapes = std::move(moved);
    } else {
      PackShapes(aTopology, free, shapes);
    }
  }
  mShapes = std::move(shapes);
  Index(aTopology);
  return true;
}

void guarantee_binding::KeepPlaces(topology const& aTopology, std::vector<bound_shape>& aShapes,
                                   std::span<resources> aFree) const
{
  std::vector<bool> isUsed(mShapes.size(), false);
  for (auto& shape : aShapes) {
    for (std::size_t index = 0; index < mShapes.size(); ++index) {
      if (isUsed[index] || !mShapes[index].IsBound() ||
          mShapes[index].mWorkspace != shape.mWorkspace || mShapes[index].mShape != shape.mShape) {
        continue;
      }
      auto const& parts = mShapes[index].mParts;
      isUsed[index] = true;
      if (std::all_of(parts.begin(), parts.end(), [&](placed_part const& aPart) {
            return aFree[aPart.mWorker].Covers(
              UnitDemand(shape.mShape, aTopology.Worker(aPart.mWorker)) * aPart.mTasks);
          })) {
        shape.mParts = parts;
        Take(aTopology, aFree, shape);
      }
      break;
    }
  }
}

bool guarantee_binding::PlaceAround(topology const& aTopology, std::vector<bound_shape>& aShapes,
                                    std::span<resources> aFree,
                                    std::vector<guaranteed_use> const& aUses)
{
  std::vector<bound_shape*> order;
  for (auto& shape : aShapes) {
    if (!shape.IsBound()) {
      order.push_back(&shape);
    }
  }
  std::stable_sort(order.begin(), order.end(), [](auto const* aLeft, auto const* aRight) {
    return aLeft->mShape.mAccelerators > aRight->mShape.mAccelerators;
  });
  for (auto* const shape : order) {
    auto const uncovered = UncoveredUse(aTopology, aShapes, aUses);
    if (auto parts = PlaceBesideUse(aTopology, *shape, aFree, uncovered)) {
      shape->mParts = std::move(*parts);
      Take(aTopology, aFree, *shape);
    }
  }
  return IsAllBound(aShapes);
}

bool guarantee_binding::IsInUse(bound_shape const& aShape,
                                std::vector<guaranteed_use> const& aUses) const
{
  return std::any_of(aUses.begin(), aUses.end(), [&](guaranteed_use const& aUse) {
    return *aUse.mWorkspace == aShape.mWorkspace &&
           std::any_of(aUse.mParts->begin(), aUse.mParts->end(), [&](placed_part const& aUsed) {
             return std::any_of(
               aShape.mParts.begin(), aShape.mParts.end(),
               [&](placed_part const& aPart) { return aPart.mWorker == aUsed.mWorker; });
           });
  });
}

bool guarantee_binding::Compact(topology const& aTopology, std::vector<guaranteed_use> const& aUses)
{
  std::int64_t largest = 1;
  for (auto const& amount : mUsable) {
    largest = std::max(largest, amount.mAccelerators);
  }
  for (std::size_t count = 0; count < mShapes.size(); ++count) {
    auto& shape = mShapes[mCompactPosition++ % mShapes.size()];
    auto const fewest = (shape.mShape.mAccelerators + largest - 1) / largest;
    if (static_cast<std::int64_t>(shape.mParts.size()) <= fewest || IsInUse(shape, aUses)) {
      continue;
    }
    // One attempt per decision bounds the cost; the next decision continues with the next shape.
    auto old = std::exchange(shape.mParts, {});
    auto free = mUsable;
    for (auto const& other : mShapes) {
      Take(aTopology, free, other);
    }
    auto parts = PlaceBesideUse(aTopology, shape, free, UncoveredUse(aTopology, mShapes, aUses));
    auto const isBetter = parts && parts->size() < old.size();
    shape.mParts = std::move(isBetter ? *parts : old);
    if (isBetter) {
      Index(aTopology);
    }
    return isBetter;
  }
  return false;
}

void guarantee_binding::Rebase(topology const& aOld, topology const& aNew)
{
  for (auto& shape : mShapes) {
    placed_parts parts;
    for (auto const& part : shape.mParts) {
      auto const found = aNew.Find(aOld.Worker(part.mWorker).mName);
      if (!found) {
        parts.clear();
        break;
      }
      parts.push_back({ *found, part.mTasks });
    }
    shape.mParts = std::move(parts);
  }
  // The order of the workers may differ, so values that are stored by index are no longer valid.
  mUsable.clear();
}

void guarantee_binding::Index(topology const& aTopology)
{
  mBound = BoundAmounts(aTopology, mShapes);
}

guarantee_binding::worker_amounts const& guarantee_binding::Bound(
  std::string const& aWorkspace) const
{
  static worker_amounts const kNothing;
  auto const found = mBound.find(aWorkspace);
  return found == mBound.end() ? kNothing : found->second;
}

} // namespace rattanpond::placement
