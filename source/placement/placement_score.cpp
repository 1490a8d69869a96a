#include "placement/placement_score.h"

#include <algorithm>

namespace rattanpond::placement {

namespace {

constexpr std::size_t kMaximumPreservedShapes = 4;

/// Weight of a destroyed free place of a preserved shape, which outweighs any difference in
/// tightness.
constexpr double kDestroyedWeight = 1000;
constexpr double kRackWeight = 0.05;
constexpr double kDomainWeight = 0.001;

} // namespace

std::vector<preserved_shape> PreservedShapes(
  std::map<std::string, configuration::contract> const& aContracts)
{
  std::vector<preserved_shape> preserved;
  for (auto const& [name, contract] : aContracts) {
    for (auto const& shape : contract.mGuarantee) {
      preserved_shape const entry{ shape.mAccelerators, shape.mLevel };
      if (shape.mAccelerators > 1 &&
          std::find(preserved.begin(), preserved.end(), entry) == preserved.end()) {
        preserved.push_back(entry);
      }
    }
  }
  std::stable_sort(preserved.begin(), preserved.end(), [](auto const& aLeft, auto const& aRight) {
    return aLeft.mAccelerators > aRight.mAccelerators;
  });
  preserved.resize(std::min(preserved.size(), kMaximumPreservedShapes));
  return preserved;
}

double placement_score::operator()(placed_parts const& aParts,
                                   std::int64_t aAcceleratorsPerTask) const
{
  double tightness = 0;
  for (auto const& part : aParts) {
    auto const taken = static_cast<std::int64_t>(part.mTasks) * aAcceleratorsPerTask;
    tightness +=
      static_cast<double>(mSums.At(adjacency::same_worker, part.mWorker) - taken) +
      kRackWeight * static_cast<double>(mSums.At(adjacency::same_rack, part.mWorker)) +
      kDomainWeight * static_cast<double>(mSums.At(adjacency::same_failure_domain, part.mWorker));
  }
  return kDestroyedWeight * DestroyedShapes(aParts, aAcceleratorsPerTask) + tightness;
}

double placement_score::DestroyedShapes(placed_parts const& aParts,
                                        std::int64_t aAcceleratorsPerTask) const
{
  double destroyed = 0;
  for (auto const& preserved : mPreservedShapes) {
    // Parts are in topology order, so the parts of one group are contiguous.
    for (std::size_t index = 0; index < aParts.size();) {
      auto const group = mTopology.Group(preserved.mLevel, aParts[index].mWorker);
      auto const before = mSums.At(preserved.mLevel, aParts[index].mWorker);
      std::int64_t taken = 0;
      for (; index < aParts.size() &&
             mTopology.Group(preserved.mLevel, aParts[index].mWorker) == group;
           ++index) {
        taken += static_cast<std::int64_t>(aParts[index].mTasks) * aAcceleratorsPerTask;
      }
      auto const lost =
        before / preserved.mAccelerators - (before - taken) / preserved.mAccelerators;
      destroyed += static_cast<double>(lost * preserved.mAccelerators);
    }
  }
  return destroyed;
}

} // namespace rattanpond::placement
