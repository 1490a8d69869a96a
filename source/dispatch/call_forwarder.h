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

  struct result
  {
    /// The answer of the first other front that gave one which is not a refusal.
    std::optional<net::http_response> mAnswer{};
    /// A front was sent the call and did not say what became of it: it may still take effect.
    bool mIsOutcomeOpen = false;
  };

  explicit call_forwarder(options aOptions);

  boost::asio::awaitable<result> Forward(net::http_request aRequest, base::time_point aDeadline);

private:
  net::http_client* Client(std::string const& aAddress);

  options mOptions;
  /// Clients by address.
  std::map<std::string, std::unique_ptr<net::http_client>> mClients;
  /// The front that answered last.
  std::string mPreferred;
};

} // namespace rattanpond::dispatch
