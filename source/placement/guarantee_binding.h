#pragma once

#include "placement/shape_packing.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace rattanpond::placement {

/// Resources that a guaranteed gang of a workspace uses.
struct guaranteed_use
{
  std::string const* mWorkspace = nullptr;
  placed_parts const* mParts = nullptr;
  resources mTask;
};

/// Binds the guaranteed shapes of all contracts to accelerators of concrete workers. Keeps a place
/// while its workers stay usable, unless a shape moves to fewer workers or to make all shapes fit.
class guarantee_binding
{
public:
  using worker_amounts = std::map<std::uint32_t, resources>;

  /// aUsable are the resources that may be bound on each worker. Returns whether the binding was
  /// computed again or a shape moved.
  bool Update(topology const& aTopology, std::span<resources const> aUsable,
              std::map<std::string, configuration::contract> const& aContracts,
              std::vector<guaranteed_use> const& aUses);

  /// Translates the places to the indices of aNew after the set of workers changed. A shape loses
  /// its place if one of its workers is gone.
  void Rebase(topology const& aOld, topology const& aNew);

  std::vector<bound_shape> const& Shapes() const { return mShapes; }
  /// Resources that are bound for a workspace, per worker.
  worker_amounts const& Bound(std::string const& aWorkspace) const;

private:
  using shape_list =
    std::vector<std::pair<std::string, std::vector<configuration::guaranteed_shape>>>;

  static shape_list Guarantees(std::map<std::string, configuration::contract> const& aContracts);
  /// Gives shapes the places of equal shapes of the previous binding that are still usable.
  void KeepPlaces(topology const& aTopology, std::vector<bound_shape>& aShapes,
                  std::span<resources> aFree) const;
  /// Binds the remaining shapes around guaranteed gangs. Returns whether all shapes are bound.
  static bool PlaceAround(topology const& aTopology, std::vector<bound_shape>& aShapes,
                          std::span<resources> aFree, std::vector<guaranteed_use> const& aUses);
  /// Moves at most one unused shape that spans more workers than necessary to a place on fewer.
  /// Returns whether it moved one.
  bool Compact(topology const& aTopology, std::vector<guaranteed_use> const& aUses);
  bool IsInUse(bound_shape const& aShape, std::vector<guaranteed_use> const& aUses) const;
  void Index(topology const& aTopology);

  std::vector<bound_shape> mShapes;
  std::unordered_map<std::string, worker_amounts> mBound;
  shape_list mGuarantees;
  std::vector<resources> mUsable;
  /// Index of the shape at which the next call of Compact continues, modulo the number of shapes.
  std::size_t mCompactPosition = 0;
};

} // namespace rattanpond::placement
