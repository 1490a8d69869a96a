#pragma once

#include "net/http_message.h"

namespace rattanpond::standin {

/// Returns the response to a call that failed. For an unknown outcome, the connection closes
/// without a response.
inline net::http_response FailureResponse(base::error const& aError)
{
  auto response = net::ErrorResponse(aError);
  if (aError.mCode == base::result_code::outcome_unknown) {
    response.mTransfer = net::response_transfer::none;
  }
  return response;
}

inline net::http_response DoneResponse(base::reply<base::done> const& aReply)
{
  return base::Succeeded(aReply) ? net::JsonResponse(200, base::json::object())
                                 : FailureResponse(base::Error(aReply));
}

} // namespace rattanpond::standin
