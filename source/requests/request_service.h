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

/// Whether an entry takes new requests.
enum class admitting
{
  open,
  /// The entry is not ready.
  not_ready,
  draining
};

/// The entry's side of requests on one traffic thread. Functions are called on that thread, except
/// where noted.
class request_service
{
public:
  struct options
  {
    routing_policy_kind mPolicy = routing_policy_kind::two_choices;
    /// Seed of the routing choices; each thread needs its own.
    std::uint64_t mSeed = 1;
    /// Part of every workspace's limits that this thread may use: one divided by the number of
    /// traffic threads of all entries.
    double mLimitShare = 1;
    base::milliseconds mClaimTimeLimit{ 1000 };
    /// Requests that are carried at once; more are refused.
    std::size_t mMaximumActive = 10'000;
  };

  /// aTable works on aContext. aTable, aAccess and aMetrics outlive the service.
  request_service(boost::asio::io_context& aContext, options aOptions,
                  platform::table_service& aTable, configuration::access_control const& aAccess,
                  base::metrics_registry& aMetrics);
  ~request_service();
  request_service(request_service const&) = delete;
  request_service& operator=(request_service const&) = delete;

  /// Adds POST /v1/services/{service}/requests and DELETE /v1/services/{service}/requests/{key}.
  void Register(net::http_router& aRouter);

  /// Names the services of the process's other traffic threads, where a request to be cancelled may
  /// be. Call once before traffic; the services are destroyed after all threads have stopped.
  void SetPeers(std::vector<request_service*> aPeers);

  /// Safe from every thread. Until a configuration is known every request is refused.
  void UpdateTargets(std::shared_ptr<std::vector<membership::target_description> const> aTargets);
  void UpdateConfiguration(
    std::shared_ptr<configuration::configuration_snapshot const> aConfiguration);
  void SetAdmitting(admitting aState);
  /// Requests that are carried now.
  std::size_t Active() const;
  /// The state as of at most half a second ago.
  base::json StateDump() const;

private:
  class implementation;
  std::shared_ptr<implementation> mImplementation;
};

} // namespace rattanpond::requests
