#pragma once

#include "base/time.h"
#include "net/http_client.h"

#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

namespace rattanpond::platform {

/// Permission to start a step on a worker, with the ticket that such starts carry.
struct worker_permit
{
  std::string mWorker{};
  std::string mTicket{};
};

/// Queries the advice service for the workers that may run a step. Used on one thread.
class advice_client
{
public:
  advice_client(boost::asio::io_context& aContext, net::tcp::endpoint aEndpoint);

  /// Returns nothing if the service does not answer in time, refuses the query or sends an
  /// unreadable answer.
  boost::asio::awaitable<std::optional<std::vector<worker_permit>>> QueryAdvice(
    std::string aStep, std::vector<std::string> aWorkers, base::milliseconds aTimeout);

private:
  net::http_client mClient;
};

/// Decodes the permits of an answer and skips malformed entries. Returns nothing if the answer as a
/// whole is malformed.
std::optional<std::vector<worker_permit>> ParseAdvice(std::string const& aBody);

} // namespace rattanpond::platform
