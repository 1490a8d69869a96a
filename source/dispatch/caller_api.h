#pragma once

#include "base/metrics.h"
#include "dispatch/call_forwarder.h"
#include "dispatch/replica.h"
#include "net/http_message.h"
#include "platform/deployment_settings.h"
#include "platform/row_store.h"

#include <string>

#include <boost/asio/awaitable.hpp>

namespace rattanpond::dispatch {

/// The callers' HTTP interface of a front: submits, queries, cancels and counts jobs.
class caller_api
{
public:
  struct options
  {
    boost::asio::io_context& mContext;
    platform::row_store& mStore;
    replica& mReplica;
    platform::deployment_settings const& mSettings;
    base::metrics_registry& mMetrics;
  };

  explicit caller_api(options const& aOptions);

  /// Handles a caller's request. Forwards it to other fronts if the store is unavailable here.
  boost::asio::awaitable<net::http_response> Handle(net::http_request aRequest);
  /// Handles a call that another front has forwarded; never forwards it again.
  boost::asio::awaitable<net::http_response> HandleForwarded(net::http_request aRequest);

  /// Whether the load balancer should send new connections to this front.
  bool IsReady() const;
  void BeginShutdown() { mIsShuttingDown = true; }

private:
  /// An admitted call, with the configuration that it was checked against.
  struct admitted_call
  {
    std::shared_ptr<operator_configuration const> mConfiguration;
    std::uint64_t mConfigurationRow = 0;
    /// The configuration may have been replaced since it was confirmed.
    bool mIsStale = false;
    queue const* mQueue = nullptr;
    workspace const* mWorkspace = nullptr;
    /// The part of the path after the queue's prefix.
    std::string mPathRemainder;
  };

  boost::asio::awaitable<net::http_response> HandleLocally(net::http_request aRequest);
  std::variant<admitted_call, net::http_response> Admit(net::http_request const& aRequest) const;
  /// Whether callers of this front, or of the front that forwards the request, may have seen a
  /// newer configuration than this front holds.
  bool IsConfigurationBehind(net::http_request const& aRequest) const;
  /// The refusal of a job that the store does not take; it never runs.
  net::http_response TooLarge(std::string const& aJob, std::size_t aBytes) const;
  /// The refusal of a job that a caller has cancelled before any front accepted it.
  net::http_response CancelledBefore() const;
  boost::asio::awaitable<net::http_response> Submit(net::http_request aRequest,
                                                    admitted_call aCall);
  boost::asio::awaitable<net::http_response> Cancel(net::http_request aRequest,
                                                    admitted_call aCall);
  /// Looks for a job that the replica lacks in the store. Returns the answer to the caller if the
  /// job does not exist or the store does not answer.
  boost::asio::awaitable<std::optional<net::http_response>> LookUpJob(std::string aId,
                                                                      base::time_point aDeadline);
  net::http_response Status(admitted_call const& aCall) const;
  net::http_response Pending(admitted_call const& aCall) const;

  base::milliseconds ConfigurationAge() const;
  /// Version of the configuration that this front holds; 0 if it has none.
  std::uint64_t ConfigurationVersion() const;

  base::milliseconds ConfirmationLimit(double aShare) const;
  /// An error response with a Retry-After header.
  net::http_response Refusal(unsigned aStatus, std::string aReason) const;

  options mOptions;
  call_forwarder mForwarder;
  /// The newest configuration by which another front has decided a call of this front's callers.
  std::uint64_t mForwardedVersion = 0;
  bool mIsShuttingDown = false;
};

} // namespace rattanpond::dispatch
