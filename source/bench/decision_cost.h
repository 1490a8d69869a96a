#pragma once

#include "base/codec.h"

#include <cstdint>
#include <string>

namespace rattanpond::bench {

/// Measures the time of a decision at four sizes up to that expected in two years. Each decision
/// follows a change of a few gangs and jobs, as it does in service.
base::json MeasureDecisionCost(std::string const& aPolicy, std::uint64_t aSeed);

} // namespace rattanpond::bench
