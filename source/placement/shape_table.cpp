#include "placement/shape_table.h"

#include <algorithm>

namespace rattanpond::placement {

namespace {

/// Callers choose the shapes, so the table is emptied at this size to keep it bounded.
constexpr std::size_t kMaximumShapes = 20'000;

} // namespace

std::size_t shape_table::shape_hash::operator()(gang_shape const& aShape) const
{
  std::size_t hash = std::hash<std::string>{}(aShape.mKind) * 31;
  hash ^= std::hash<std::string>{}(aShape.mRegion);
  for (std::size_t const value :
       { std::size_t{ aShape.mTasks }, std::size_t{ aShape.mTask.mAccelerators },
         std::size_t{ aShape.mTask.mCores }, std::size_t{ aShape.mTask.mMemoryMebibytes },
         static_cast<std::size_t>(aShape.mLevel) }) {
    hash = hash * 1'000'003 + value;
  }
  return hash;
}

std::uint32_t shape_table::Number(gang_shape const& aShape)
{
  auto const [entry, isNew] =
    mNumbers.try_emplace(aShape, static_cast<std::uint32_t>(mShapes.size()));
  if (!isNew) {
    return entry->second;
  }
  if (mShapes.size() >= kMaximumShapes) {
    mNumbers.clear();
    mShapes.clear();
    mVerdicts.clear();
    mNumbers.emplace(aShape, 0);
  }
  mShapes.push_back(aShape);
  mVerdicts.push_back(verdict::unknown);
  return static_cast<std::uint32_t>(mShapes.size() - 1);
}

bool shape_table::CanEverRun(topology const& aTopology, std::uint32_t aNumber)
{
  auto& known = mVerdicts[aNumber];
  if (known == verdict::unknown) {
    std::vector<resources> all(aTopology.size());
    for (std::size_t index = 0; index < all.size(); ++index) {
      all[index] = Capacity(aTopology.Worker(index));
    }
    auto const& shape = mShapes[aNumber];
    known = FirstFit(aTopology, Candidates(aTopology, all, shape), shape) ? verdict::fits
                                                                          : verdict::never;
  }
  return known == verdict::fits;
}

} // namespace rattanpond::placement
