#pragma once

#include "dispatch/replica.h"
#include "net/http_client.h"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace rattanpond::dispatch {

/// Header between fronts with the version of a configuration: in an answer, of the one that the
/// answering front holds.
inline constexpr char const* kConfigurationVersionHeader = "X-Rattanpond-Configuration";

/// Returns the value of the header; 0 if it is absent or not a number.
std::uint64_t ConfigurationVersionOf(net::http_headers const& aHeaders);

/// Forwards calls to other fronts while the store is unavailable to this front but may be available
/// to them.
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
    /// The first answer of another front that has neither status 503 nor 504.
    std::optional<net::http_response> mAnswer{};
    /// A forwarded call had no conclusive answer and may still take effect.
    bool mIsOutcomeUnknown = false;
  };

  explicit call_forwarder(options aOptions);

  boost::asio::awaitable<result> Forward(net::http_request aRequest, base::time_point aDeadline);

private:
  net::http_client* Client(std::string const& aAddress);

  options mOptions;
  /// HTTP clients by address.
  std::map<std::string, std::unique_ptr<net::http_client>> mClients;
  /// Name of the front that gave the last forwarded answer; tried first.
  std::string mPreferred;
};

} // namespace rattanpond::dispatch
