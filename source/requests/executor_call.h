#pragma once

#include "net/http_client.h"
#include "requests/messages.h"

namespace rattanpond::requests {

/// The HTTP request that gives one attempt to the executor.
net::http_request ToExecutorRequest(dispatch const& aDispatch, std::string const& aPath,
                                    base::milliseconds aRemaining);

/// Judges the executor's reply to an attempt. A reply whose end cannot be told from a cut
/// connection is not passed on.
answer FromExecutorReply(repeatability aRepeatability, base::reply<net::http_response> aReply);

} // namespace rattanpond::requests
