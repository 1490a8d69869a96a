#pragma once

#include "placement/gang_fit.h"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace rattanpond::placement {

/// One guaranteed shape of one contract and the accelerators that are bound to it. Each task of
/// mParts represents one accelerator; mParts is empty while the shape is not bound.
struct bound_shape
{
  std::string mWorkspace;
  configuration::guaranteed_shape mShape;
  placed_parts mParts;

  bool IsBound() const { return !mParts.empty(); }
};

/// Resources that one accelerator of a shape requires on a worker. A shape that declares no cores
/// or memory gets an equal share per accelerator of those of the worker.
resources UnitDemand(configuration::guaranteed_shape const& aShape, worker const& aWorker);

/// All guaranteed shapes of all contracts, not yet bound.
std::vector<bound_shape> Shapes(std::map<std::string, configuration::contract> const& aContracts);

/// What PlaceShape reads of a worker: the extra cost of using it for the shape, and the resources
/// that are free on it.
struct shape_view
{
  std::function<double(std::uint32_t aWorker)> mCost;
  std::function<resources(std::uint32_t aWorker)> mFree;
};

/// Returns the best place for one shape, or nothing if there is none.
std::optional<placed_parts> PlaceShape(topology const& aTopology,
                                       configuration::guaranteed_shape const& aShape,
                                       shape_view const& aView);

/// Subtracts the place of a shape from aFree, or adds it back with aTimes -1.
void Take(topology const& aTopology, std::span<resources> aFree, bound_shape const& aShape,
          std::int64_t aTimes = 1);

/// Places all shapes that are not bound yet, trying several orders, and keeps the attempt that
/// places most. Returns the first shape without a place in that attempt, or null if all are placed.
bound_shape const* PackShapes(topology const& aTopology, std::span<resources> aFree,
                              std::vector<bound_shape>& aShapes);

} // namespace rattanpond::placement
