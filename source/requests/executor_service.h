#pragma once

#include "base/codec.h"
#include "base/metrics.h"
#include "membership/target_description.h"
#include "net/endpoint.h"

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

namespace rattanpond::requests {

/// The agent's part in handling requests: accepts attempts on the traffic address, queues them, and
/// runs them on the executor. Not thread-safe, except where noted.
class executor_service
{
public:
  struct options
  {
    net::tcp::endpoint mTrafficEndpoint;
    net::tcp::endpoint mExecutorEndpoint;
    std::string mIncarnation;
    std::string mService;
    std::uint32_t mSlots = 8;
    std::size_t mMaximumQueued = 64;
    std::size_t mConnections = 60;
    /// Paths at which the executor accepts requests and reports its state.
    std::string mExecutorPath = "/execute";
    std::string mHealthPath = "/health";
    base::milliseconds mHealthPeriod{ 500 };
    /// Timeout of a health query. The last reported state stays valid after a timeout.
    base::milliseconds mHealthTimeout{ 2000 };
    base::milliseconds mHistoryRetention{ 600'000 };
    /// Called when the executor or Drain changes the state that the agent must publish.
    std::function<void(membership::target_state)> mOnStateChange = {};
  };

  static base::result<std::unique_ptr<executor_service>> Create(boost::asio::io_context& aContext,
                                                                options aOptions,
                                                                base::metrics_registry& aMetrics);
  ~executor_service();
  executor_service(executor_service const&) = delete;
  executor_service& operator=(executor_service const&) = delete;

  net::tcp::endpoint Endpoint() const;
  membership::target_state State() const;

  /// These two may be called from any thread.
  std::uint32_t Queued() const;
  std::uint32_t Running() const;

  /// Refuses new attempts from now on. Calls aDone once, when all accepted attempts are answered
  /// and the answers are sent.
  void Drain(std::function<void()> aDone);

  base::json StateDump() const;

private:
  class implementation;
  explicit executor_service(std::shared_ptr<implementation> aImplementation);
  std::shared_ptr<implementation> mImplementation;
};

} // namespace rattanpond::requests
