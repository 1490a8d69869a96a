#pragma once

#include "net/http_message.h"
#include "requests/messages.h"

#include <string>

namespace rattanpond::requests {

/// The result that is returned to the caller.
struct request_result
{
  outcome mOutcome = outcome::refused_not_run;
  base::result_code mCode = base::result_code::refused_not_run;
  std::string mMessage;
  /// HTTP status of the executor, for outcome done.
  std::uint32_t mStatus = 0;
  std::vector<header_field> mHeaders;
  base::bytes mBody;
};

request_result MakeResult(outcome aOutcome, base::result_code aCode, std::string aMessage);

request_result FromAnswer(answer aAnswer);

net::http_response ToResponse(request_result aResult);

} // namespace rattanpond::requests
