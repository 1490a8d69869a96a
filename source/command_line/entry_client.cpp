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
  base::reply<net::http_response> last =
    base::error{ result_code::connect_failed, "no entry is given" };
  bool mayHaveArrived = false;
  for (auto const& entry : mOptions.mEntries) {
    auto answer = CallEntry(entry, aRequest);
    if (base::Succeeded(answer)) {
      return answer;
    }
    auto const wasSent = base::Error(answer).mCode != result_code::connect_failed;
    if (wasSent && aRepeatable == repeatable::no) {
      return answer;
    }
    // An unreachable entry says nothing about the ones before it that may have received the call.
    if (wasSent || !mayHaveArrived) {
      last = std::move(answer);
    }
    mayHaveArrived = mayHaveArrived || wasSent;
  }
  return last;
}

base::reply<net::http_response> entry_client::CallEntry(net::tcp::endpoint const& aEntry,
                                                        net::http_request const& aRequest) const
{
  asio::io_context context;
  net::http_client client{ context,
                           { .mEndpoint = aEntry, .mMaximumBodyBytes = 64 * 1024 * 1024 } };
  std::optional<base::reply<net::http_response>> answer;
  asio::co_spawn(context, client.Send(aRequest, mOptions.mTimeout),
                 [&](std::exception_ptr const& aFailure, base::reply<net::http_response> aAnswer) {
                   answer = aFailure ? base::error{ result_code::internal, "the call failed" }
                                     : std::move(aAnswer);
                 });
  context.run();
  return std::move(answer).value();
}

} // namespace rattanpond::command_line
