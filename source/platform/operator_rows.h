#pragma once

#include "base/error.h"
#include "dispatch/operator_configuration.h"

#include <string>

namespace rattanpond::platform {

/// Table of the operators' rows, and the keys and prefixes in it that rattanpond reads.
inline constexpr char const* kOperatorTable = "op";
inline constexpr char const* kConfigurationKey = "config";
inline constexpr char const* kEvacuationPrefix = "evacuate/";

/// Fails if any part that rattanpond uses is invalid, so that a version is taken whole or not at
/// all.
base::result<dispatch::operator_configuration> ParseConfiguration(std::string const& aText);

} // namespace rattanpond::platform
