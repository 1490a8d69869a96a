#pragma once

#include "net/endpoint.h"

#include <string>
#include <vector>

namespace rattanpond::daemons {

/// Fails with invalid_settings unless aValue has 1 to 128 letters, digits, '-', '_' or '.'.
base::result<void> CheckName(std::string_view aKey, std::string_view aValue);

base::result<net::tcp::endpoint> CheckAddress(std::string_view aKey, std::string_view aValue);

base::result<std::vector<net::tcp::endpoint>> CheckAddresses(
  std::string_view aKey, std::vector<std::string> const& aValues);

/// Returns the first line of a file without its line end. Fails with invalid_settings when the file
/// cannot be read or the line is empty.
base::result<std::string> ReadToken(std::string const& aFile);

} // namespace rattanpond::daemons
