#pragma once

#include "dispatch/replica.h"
#include "net/http_client.h"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace rattanpond::dispatch {

/// Header between fronts with the version of a configuration: in a request, the oldest one that may
/// decide the call; in an answer, the one that the answering front holds.
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
    /// The configuration of the front that has given mAnswer.
    std::uint64_t mConfigurationVersion = 0;
    /// A forwarded call had no conclusive answer and may still take effect.
    bool mIsOutcomeUnknown = false;
  };

  explicit call_forwarder(options aOptions);

  /// Other fronts decide the call only by aOldestVersion of the configuration or a newer one.
  boost::asio::awaitable<result> Forward(net::http_request aRequest, base::time_point aDeadline,
                                         std::uint64_t aOldestVersion);

private:
  net::http_client* Client(std::string const& aAddress);

  options mOptions;
  /// HTTP clients by address.
  std::map<std::string, std::unique_ptr<net::http_client>> mClients;
  /// Name of the front that gave the last forwarded answer; tried first.
  std::string mPreferred;
};

} // namespace rattanpond::dispatch
