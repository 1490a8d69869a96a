#pragma once

#include "net/http_router.h"
#include "requests/messages.h"

#include <string>

namespace rattanpond::requests {

/// A caller's request, parsed from its path, headers and body.
struct request_description
{
  std::string mWorkspace;
  std::string mService;
  /// Empty for an idempotent request without a key.
  std::string mKey;
  base::milliseconds mTimeout{ 30'000 };
  configuration::urgency mUrgency = configuration::urgency::normal;
  repeatability mRepeatability = repeatability::non_idempotent;
  std::vector<header_field> mHeaders;
  base::bytes mBody;
};

/// Parses the request. Without X-Rattanpond-Idempotent it is treated as non-idempotent, which is
/// the safe default; without X-Rattanpond-Urgency it has the contract's urgency.
base::result<request_description> ParseRequest(net::routed_request aRequest,
                                               configuration::urgency aContractUrgency);

} // namespace rattanpond::requests
