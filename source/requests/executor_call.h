#pragma once

#include "net/http_client.h"
#include "requests/messages.h"

namespace rattanpond::requests {

/// Builds the HTTP request that sends one attempt to the executor.
net::http_request ToExecutorRequest(dispatch const& aDispatch, std::string const& aPath,
                                    base::milliseconds aRemaining);

/// Converts the executor's reply to the answer of an attempt. A response whose end cannot be
/// distinguished from a broken connection is not forwarded.
answer FromExecutorReply(repeatability aRepeatability, base::reply<net::http_response> aReply);

} // namespace rattanpond::requests
