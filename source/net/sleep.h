#pragma once

#include "base/time.h"

#include <boost/asio/awaitable.hpp>

namespace rattanpond::net {

/// Waits on the executor of the calling coroutine.
boost::asio::awaitable<void> Sleep(base::milliseconds aTime);

} // namespace rattanpond::net
