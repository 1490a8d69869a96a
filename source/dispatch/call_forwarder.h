#pragma once

#include "dispatch/replica.h"
#include "net/http_client.h"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace rattanpond::dispatch {

/// Passes calls of this front on to others, for a time in which the store turns this front away and
/// serves them.
class call_forwarder
{
public:
  struct options
  {
    boost::asio::io_context& mContext;
    replica& mReplica;
    std::string mNode;
  };

  explicit call_forwarder(options aOptions);

  /// The answer of the first other front that gives one that is not a refusal, or nothing.
  boost::asio::awaitable<std::optional<net::http_response>> Forward(net::http_request aRequest,
                                                                    base::time_point aDeadline);

private:
  net::http_client* Client(std::string const& aAddress);

  options mOptions;
  /// Clients by address.
  std::map<std::string, std::unique_ptr<net::http_client>> mClients;
  /// The front that answered last.
  std::string mPreferred;
};

} // namespace rattanpond::dispatch
