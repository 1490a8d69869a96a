#pragma once

#include "net/endpoint.h"
#include "net/http_message.h"

#include <string>
#include <vector>

namespace rattanpond::command_line {

/// Whether a call may be resent to another entry although an earlier one may have received it.
enum class repeatable
{
  no,
  yes
};

/// HTTP client that returns the response of the first entry that responds. Each call opens its own
/// connection.
class entry_client
{
public:
  struct options
  {
    std::vector<net::tcp::endpoint> mEntries;
    std::string mToken;
    base::milliseconds mTimeout{ 15'000 };
  };

  explicit entry_client(options aOptions);

  /// Tries the entries in order, and the next one when an entry cannot be reached or, for
  /// repeatable calls, when its response was lost. Never resends any other call that an entry may
  /// have received.
  base::reply<net::http_response> Call(net::http_request aRequest, repeatable aRepeatable) const;

private:
  base::reply<net::http_response> CallEntry(net::tcp::endpoint const& aEntry,
                                            net::http_request const& aRequest) const;

  options mOptions;
};

} // namespace rattanpond::command_line
