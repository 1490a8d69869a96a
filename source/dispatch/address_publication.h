#pragma once

#include "platform/row_store.h"

#include <string>

#include <boost/asio/awaitable.hpp>

namespace rattanpond::dispatch {

/// Writes the address of a process to a row of the dispatch table; retries until the write is
/// committed.
boost::asio::awaitable<void> PublishAddress(platform::row_store& aStore, std::string aKey,
                                            std::string aAddress);

} // namespace rattanpond::dispatch
