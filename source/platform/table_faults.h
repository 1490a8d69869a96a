#pragma once

#include "base/codec.h"
#include "platform/availability.h"

namespace rattanpond::platform {

enum class read_mode
{
  current,
  stale
};

/// Faults of a memory_table.
struct table_faults
{
  /// A table that is down refuses every call with store_unavailable before any effect.
  availability mAvailability = availability::up;
  /// Every call takes this much longer. A commit takes effect at the end of the delay.
  base::milliseconds mDelay{ 0 };
  /// The answers of the next commits are lost after the writes took effect.
  std::uint32_t mLostAnswers = 0;
  /// The next commits are lost before they took effect. Counted down before mLostAnswers.
  std::uint32_t mLostRequests = 0;
  /// Stale reads return the rows as they were when the fault began.
  read_mode mReads = read_mode::current;

  static constexpr auto Fields()
  {
    return std::make_tuple(base::Field("availability", &table_faults::mAvailability),
                           base::Field("delay_ms", &table_faults::mDelay, { 0, 60'000 }),
                           base::Field("lost_answers", &table_faults::mLostAnswers),
                           base::Field("lost_requests", &table_faults::mLostRequests),
                           base::Field("reads", &table_faults::mReads));
  }
};

} // namespace rattanpond::platform

template<>
struct rattanpond::base::enum_names<rattanpond::platform::read_mode>
{
  using mode = rattanpond::platform::read_mode;
  static constexpr enum_name<mode> kTable[] = { { mode::current, "current" },
                                                { mode::stale, "stale" } };
};
