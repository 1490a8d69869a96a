#pragma once

#include "base/state_dump.h"
#include "membership/entry_links.h"
#include "membership/target_description.h"
#include "net/frame_dispatcher.h"
#include "platform/task_runner.h"
#include "scheduling/gang_peers.h"
#include "scheduling/hosted_gang.h"
#include "scheduling/reservation_ledger.h"
#include "scheduling/runner_driver.h"

#include <functional>
#include <map>
#include <random>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace rattanpond::scheduling {

/// Runs gangs on one worker: maintains its reservations, takes part in the gangs' liveness
/// protocol, and drives the task runner. Used only on the control thread of the agent.
class worker_service
{
public:
  struct options
  {
    membership::target_description mTarget;
    gang_timings mTimings;
    /// The start gate; fails while no task may start.
    std::function<base::result<void>()> mMayStart;
    /// Interval at which the runner's task list is requested while gangs are active.
    base::milliseconds mPollPeriod{ 500 };
    /// Entries that connect within this time after a gang's end receive its outcome.
    base::milliseconds mOutcomeRetention{ 300'000 };
  };

  worker_service(boost::asio::io_context& aContext, platform::task_runner& aRunner,
                 options aOptions);
  ~worker_service();
  worker_service(worker_service const&) = delete;
  worker_service& operator=(worker_service const&) = delete;

  /// Registers the handlers for messages from schedulers and gang peers. The same dispatcher may
  /// serve the links to entries and the control links that peers open.
  void Register(net::frame_dispatcher& aDispatcher);
  void Register(base::state_dump& aDump);
  /// Reports to entries over these links; call before the links are started.
  void Attach(membership::entry_links& aEntries);

  /// Adopts the tasks that are already running, then accepts reservations. Until the adoption,
  /// reservations are refused.
  void Start();

  /// Refuses new gangs from now on; used for the graceful shutdown of the agent.
  void Drain() { mIsDraining = true; }
  /// Number of gangs that have not yet ended on this worker.
  std::size_t ActiveGangs() const;
  bool HasAdopted() const { return mHasAdopted; }

private:
  using gangs = std::map<gang_id, hosted_gang>;

  void OnReserve(net::link_ptr const& aLink, reserve const& aMessage);
  void OnCommit(net::link_ptr const& aLink, commit const& aMessage);
  void OnRelease(release const& aMessage);
  void OnPreempt(preempt const& aMessage);
  void OnStop(stop_task const& aMessage);
  void OnHeartbeat(net::link_ptr const& aLink, gang_heartbeat const& aMessage);
  void OnGrant(net::link_ptr const& aLink, gang_grant const& aMessage);
  void OnBreak(gang_break const& aMessage);

  base::result_code Reserve(reserve const& aMessage);
  void CreateMember(hosted_gang& aGang, gang_origin aOrigin,
                    std::vector<platform::task_phase> const& aPhases);
  void OnTasksListed(std::vector<platform::runner_task> const& aTasks,
                     base::time_point aRequestedAt);
  void Adopt(std::vector<platform::runner_task> const& aTasks);
  void AdoptGang(gang_description const& aGang,
                 std::map<std::uint32_t, platform::runner_task> const& aTasks);
  void Observe(hosted_gang& aGang,
               std::map<std::string, platform::runner_task const*> const& aTasks,
               base::time_point aRequestedAt);
  void Apply(hosted_gang& aGang, gang_member::actions const& aActions);
  void Deliver(hosted_gang& aGang, std::vector<gang_coordinator::order> const& aOrders);
  void SendHeartbeat(hosted_gang& aGang);
  void CloseIfEnded(hosted_gang& aGang);
  void Tick();
  void TickGang(hosted_gang& aGang, gate aGate, base::time_point aNow);
  /// Evicts ended gangs after the retention time, which is shorter when there are many.
  void EvictEndedGangs(base::time_point aNow);
  void Report();
  task_report FullReport() const;
  gate Gate() const;
  hosted_gang* Find(gang_id const& aGang);
  placement::task_shape Demand(gang_description const& aGang) const;
  base::json Dump() const;

  boost::asio::io_context& mContext;
  options mOptions;
  reservation_ledger mLedger;
  net::frame_dispatcher mPeerDispatcher;
  gang_peers mPeers;
  runner_driver mDriver;
  boost::asio::steady_timer mTimer;
  membership::entry_links* mEntries = nullptr;
  gangs mGangs;
  std::mt19937_64 mRandom;
  base::time_point mNextPoll{};
  base::time_point mNextReport{};
  bool mHasAdopted = false;
  bool mIsDraining = false;
  bool mIsReportDue = false;
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace rattanpond::scheduling
