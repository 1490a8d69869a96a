#pragma once

#include "base/codec.h"

#include <compare>
#include <cstdint>
#include <string>

namespace rattanpond::scheduling {

/// Identifies one tenure of the scheduler role. Terms compare by epoch, sequence and holder, in
/// this order; a higher term fences all lower ones.
struct term
{
  std::uint64_t mEpoch = 0;
  std::uint64_t mSequence = 0;
  std::string mHolder;

  auto operator<=>(term const&) const = default; // NOLINT(modernize-use-nullptr): false report

  static constexpr auto Fields()
  {
    return std::make_tuple(base::Field("epoch", &term::mEpoch),
                           base::Field("sequence", &term::mSequence),
                           base::Field("holder", &term::mHolder));
  }
};

} // namespace rattanpond::scheduling
