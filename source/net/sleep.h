#pragma once

#include "base/time.h"

#include <boost/asio/awaitable.hpp>

namespace rattanpond::net {

/// Suspends the calling coroutine for aDuration, with a timer on its Asio executor.
boost::asio::awaitable<void> Sleep(base::milliseconds aDuration);

} // namespace rattanpond::net
