#include "command_line/entry_client.h"

#include "net/http_client.h"

#include <optional>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

namespace rattanpond::command_line {

namespace asio = boost::asio;
using base::result_code;

entry_client::entry_client(options aOptions)
  : mOptions{ std::move(aOptions) }
{
}

base::reply<net::http_response> entry_client::Call(net::http_request aRequest,
                                                   repeatable aRepeatable) const
{
  if (!mOptions.mToken.empty()) {
    aRequest.mHeaders.Add("Authorization", "Bearer " + mOptions.mToken);
  }
  base::reply<net::http_response> lastError =
    base::error{ result_code::connect_failed, "no entry is specified" };
  bool mayHaveBeenReceived = false;
  for (auto const& entry : mOptions.mEntries) {
    auto response = CallEntry(entry, aRequest);
    if (base::Succeeded(response)) {
      return response;
    }
    auto const wasSent = base::Error(response).mCode != result_code::connect_failed;
    if (wasSent && aRepeatable == repeatable::no) {
      return response;
    }
    // Keeps the error of an earlier entry that may have received the call: that a later entry
    // cannot be reached does not mean that the call has not run.
    if (wasSent || !mayHaveBeenReceived) {
      lastError = std::move(response);
    }
    mayHaveBeenReceived = mayHaveBeenReceived || wasSent;
  }
  return lastError;
}

base::reply<net::http_response> entry_client::CallEntry(net::tcp::endpoint const& aEntry,
                                                        net::http_request const& aRequest) const
{
  asio::io_context context;
  net::http_client client{ context,
                           { .mEndpoint = aEntry, .mMaximumBodyBytes = 64 * 1024 * 1024 } };
  std::optional<base::reply<net::http_response>> response;
  asio::co_spawn(context, client.Send(aRequest, mOptions.mTimeout),
                 [&](std::exception_ptr const& aFailure, base::reply<net::http_response> aReply) {
                   response = aFailure ? base::error{ result_code::internal,
                                                      "the call ended with an exception" }
                                       : std::move(aReply);
                 });
  context.run();
  return std::move(response).value();
}

} // namespace rattanpond::command_line
