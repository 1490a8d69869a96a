#pragma once

#include "placement/gang_fit.h"

#include <unordered_map>
#include <vector>

namespace rattanpond::placement {

/// Assigns numbers to the distinct gang shapes, so that a result for one job applies to all jobs of
/// the same shape. Caches which shapes can never run.
class shape_table
{
public:
  std::uint32_t Number(gang_shape const& aShape);

  /// True if the gang fits on all workers of the topology when they are empty, whatever their
  /// present availability.
  bool CanEverRun(topology const& aTopology, std::uint32_t aNumber);

  std::size_t size() const { return mShapes.size(); }
  /// Discards the cached results after the set of workers changed.
  void Reset() { mVerdicts.assign(mShapes.size(), verdict::unknown); }

private:
  enum class verdict : std::uint8_t
  {
    unknown,
    fits,
    never
  };

  struct shape_hash
  {
    std::size_t operator()(gang_shape const& aShape) const;
  };

  std::unordered_map<gang_shape, std::uint32_t, shape_hash> mNumbers;
  std::vector<gang_shape> mShapes;
  std::vector<verdict> mVerdicts;
};

} // namespace rattanpond::placement
