#pragma once

#include "placement/types.h"

#include <memory>
#include <optional>
#include <string_view>

namespace rattanpond::placement {

/// How a gang ended. Used for run-time estimates and to distinguish faulty workers from faulty
/// jobs.
enum class gang_outcome
{
  finished,
  failed,
  stopped,
  lost
};

/// Decides which gangs start and stop. Keeps statistics of earlier events, but reads neither clocks
/// nor sockets. A new object gives correct decisions at once and collects the statistics again.
class policy
{
public:
  virtual ~policy() = default;

  /// Decides from the whole state. The caller applies the decisions; a start that it could not
  /// apply is absent from mRunning at the next call. Starts never overlap accelerators of gangs in
  /// mRunning, including gangs that are stopping.
  virtual decisions Decide(cluster_state const& aState, base::time_point aNow) = 0;

  /// Reports the end of a gang. aFailedWorker names the worker of the first failed member, if any.
  virtual void RecordGangEnd(running_gang const& aGang, gang_outcome aOutcome,
                             std::string const& aFailedWorker, base::time_point aNow) = 0;

  /// Workers that the policy has quarantined because of failures reported to RecordGangEnd, for
  /// operators and metrics.
  virtual std::vector<std::string> Quarantined() const { return {}; }
};

struct policy_options
{
  std::uint64_t mSeed = 1;
  /// Waiting time from which a large job may get a reservation or have other gangs moved for it.
  base::milliseconds mReservationAfter{ 60'000 };
};

/// Known names: "guaranteed" (the policy of the product) and the baselines "first-fit-fifo" and
/// "best-fit-backfill". Null for any other name.
std::unique_ptr<policy> CreatePolicy(std::string_view aName, policy_options const& aOptions);

/// A guarantee that cannot be met together with those of the other contracts, and the reason.
struct unplaced_guarantee
{
  std::string mWorkspace;
  std::string mReason;
};

enum class domain_loss
{
  ignored,
  survived
};

/// Checks that the guarantees of all contracts can be met together: on all workers, and for
/// domain_loss::survived also with any one failure domain out of service. Returns nothing if so.
std::optional<unplaced_guarantee> CheckGuarantees(
  std::map<std::string, worker> const& aWorkers,
  std::map<std::string, configuration::contract> const& aContracts, domain_loss aDomainLoss);

} // namespace rattanpond::placement
