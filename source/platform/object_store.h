#pragma once

#include "base/error.h"

#include <string>

#include <boost/asio/awaitable.hpp>

namespace rattanpond::platform {

/// The platform's object store. Both calls may be repeated because an object is written completely
/// or not at all.
class object_store
{
public:
  virtual ~object_store() = default;

  /// Errors: store_unavailable (the object may or may not have been written).
  virtual boost::asio::awaitable<base::reply<base::done>> Put(std::string aKey,
                                                              std::string aContent) = 0;

  /// Errors: object_not_found, store_unavailable.
  virtual boost::asio::awaitable<base::reply<std::string>> Get(std::string aKey) = 0;
};

} // namespace rattanpond::platform
