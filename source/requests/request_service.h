#pragma once

#include "base/codec.h"
#include "base/metrics.h"
#include "configuration/access_control.h"
#include "membership/target_description.h"
#include "net/http_router.h"
#include "platform/table_service.h"
#include "requests/routing_policy.h"

#include <memory>
#include <vector>

#include <boost/asio/io_context.hpp>

namespace rattanpond::requests {

/// Whether an entry admits new requests.
enum class admission_state
{
  open,
  not_ready,
  draining
};

/// Serves the request API of an entry on one traffic thread. Member functions are called on that
/// thread unless stated otherwise.
class request_service
{
public:
  struct options
  {
    routing_policy_kind mPolicy = routing_policy_kind::two_choices;
    /// Seed of the routing choices; each thread needs its own.
    std::uint64_t mSeed = 1;
    /// Fraction of every workspace's limits that this thread may use: one divided by the number of
    /// traffic threads of all entries.
    double mLimitShare = 1;
    base::milliseconds mClaimTimeLimit{ 1000 };
    /// Requests beyond this number of active ones are refused.
    std::size_t mMaximumActive = 10'000;
  };

  /// aTable runs on aContext. aTable, aAccess and aMetrics must outlive the service.
  request_service(boost::asio::io_context& aContext, options aOptions,
                  platform::table_service& aTable, configuration::access_control const& aAccess,
                  base::metrics_registry& aMetrics);
  ~request_service();
  request_service(request_service const&) = delete;
  request_service& operator=(request_service const&) = delete;

  /// Adds POST /v1/services/{service}/requests and DELETE /v1/services/{service}/requests/{key}.
  void Register(net::http_router& aRouter);

  /// Sets the services of the process's other traffic threads, which may run a request that is to
  /// be cancelled. Call once before traffic; destroy the services after all threads have stopped.
  void SetPeers(std::vector<request_service*> aPeers);

  /// May be called on any thread, as may the functions below. Every request is refused until a
  /// configuration is set.
  void UpdateTargets(std::shared_ptr<std::vector<membership::target_description> const> aTargets);
  void UpdateConfiguration(
    std::shared_ptr<configuration::configuration_snapshot const> aConfiguration);
  void SetAdmissionState(admission_state aState);
  /// Number of active requests.
  std::size_t Active() const;
  /// The state as of at most half a second ago.
  base::json StateDump() const;

private:
  class implementation;
  std::shared_ptr<implementation> mImplementation;
};

} // namespace rattanpond::requests
