#pragma once

#include "net/http_router.h"
#include "requests/messages.h"

#include <string>

namespace rattanpond::requests {

/// A caller's request as the entry understood it.
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

/// Reads the headers. Without X-Rattanpond-Idempotent a request counts as non-idempotent, because
/// that is the safe reading; without X-Rattanpond-Urgency the contract's urgency holds.
base::result<request_description> ParseRequest(net::routed_request aRequest,
                                               configuration::urgency aContractUrgency);

} // namespace rattanpond::requests
