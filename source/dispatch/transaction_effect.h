#pragma once

#include "platform/row_store.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace rattanpond::dispatch {

/// Returns the version with which an earlier attempt of a transaction took effect, after an attempt
/// that was refused with the current rows of its conditions; nothing if these rows do not show it.
std::optional<std::uint64_t> VersionOfEffect(platform::row_transaction const& aTransaction,
                                             std::vector<platform::store_row> const& aCurrent);

} // namespace rattanpond::dispatch
