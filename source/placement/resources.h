#pragma once

#include "placement/types.h"

#include <algorithm>
#include <cstdint>
#include <limits>

namespace rattanpond::placement {

/// Amounts of accelerators, cores and memory. Signed, because bound capacity may exceed the free
/// capacity.
struct resources
{
  std::int64_t mAccelerators = 0;
  std::int64_t mCores = 0;
  std::int64_t mMemoryMebibytes = 0;

  bool operator==(resources const&) const = default;

  resources& operator+=(resources const& aOther)
  {
    mAccelerators += aOther.mAccelerators;
    mCores += aOther.mCores;
    mMemoryMebibytes += aOther.mMemoryMebibytes;
    return *this;
  }

  resources& operator-=(resources const& aOther)
  {
    mAccelerators -= aOther.mAccelerators;
    mCores -= aOther.mCores;
    mMemoryMebibytes -= aOther.mMemoryMebibytes;
    return *this;
  }

  friend resources operator*(resources const& aOne, std::int64_t aTimes)
  {
    return { aOne.mAccelerators * aTimes, aOne.mCores * aTimes, aOne.mMemoryMebibytes * aTimes };
  }

  friend resources operator+(resources aLeft, resources const& aRight) { return aLeft += aRight; }
  friend resources operator-(resources aLeft, resources const& aRight) { return aLeft -= aRight; }

  bool Covers(resources const& aDemand) const
  {
    return mAccelerators >= aDemand.mAccelerators && mCores >= aDemand.mCores &&
           mMemoryMebibytes >= aDemand.mMemoryMebibytes;
  }
};

inline resources Minimum(resources const& aLeft, resources const& aRight)
{
  return { std::min(aLeft.mAccelerators, aRight.mAccelerators),
           std::min(aLeft.mCores, aRight.mCores),
           std::min(aLeft.mMemoryMebibytes, aRight.mMemoryMebibytes) };
}

inline resources Capacity(worker const& aWorker)
{
  return { aWorker.mAccelerators, aWorker.mCores,
           static_cast<std::int64_t>(aWorker.mMemoryMebibytes) };
}

inline resources Demand(task_shape const& aTask)
{
  return { aTask.mAccelerators, aTask.mCores, static_cast<std::int64_t>(aTask.mMemoryMebibytes) };
}

/// How many times aDemand fits into aFree, at most aLimit.
inline std::uint32_t Copies(resources const& aFree, resources const& aDemand, std::uint32_t aLimit)
{
  std::int64_t copies = aLimit;
  auto const restrict = [&](std::int64_t aHave, std::int64_t aOne) {
    if (aOne > 0) {
      copies = std::min(copies, aHave / aOne);
    }
  };
  restrict(aFree.mAccelerators, aDemand.mAccelerators);
  restrict(aFree.mCores, aDemand.mCores);
  restrict(aFree.mMemoryMebibytes, aDemand.mMemoryMebibytes);
  return static_cast<std::uint32_t>(std::max<std::int64_t>(copies, 0));
}

} // namespace rattanpond::placement
