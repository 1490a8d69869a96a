#pragma once

#include "base/error.h"
#include "net/http_message.h"

namespace rattanpond::command_line {

/// Exit codes of rattanpondctl. They are part of the public interface.
enum class exit_status : int
{
  success = 0,
  failure = 1,
  /// Wrong usage, declarations or settings; nothing was sent.
  usage = 2,
  refused = 3,
  version_conflict = 4,
  not_reachable = 5,
  not_in_force_yet = 6,
  /// The change may have been committed, or the request may have run.
  outcome_unknown = 7
};

exit_status StatusOf(base::result_code aCode);

/// Derives the exit code from the HTTP status and the result code of a response: "code" in its
/// body, or else the X-Rattanpond-Code header.
exit_status StatusOf(net::http_response const& aResponse);

} // namespace rattanpond::command_line
