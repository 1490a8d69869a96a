#pragma once

#include "configuration/freshness_service.h"
#include "configuration/operator_service.h"
#include "daemons/daemon_process.h"
#include "daemons/entry_settings.h"
#include "daemons/traffic_thread.h"
#include "membership/entry_links.h"
#include "membership/target_registry.h"
#include "net/link_server.h"
#include "platform/http_table.h"
#include "scheduling/scheduler_service.h"

#include <memory>
#include <vector>

namespace rattanpond::daemons {

/// Entry process: handles configuration, membership and the scheduler role on the control thread
/// and requests on traffic threads.
class entry_process
{
public:
  static base::result<std::unique_ptr<entry_process>> Create(entry_settings aSettings);
  ~entry_process();
  entry_process(entry_process const&) = delete;
  entry_process& operator=(entry_process const&) = delete;

  void Run() { mProcess.Run(); }

private:
  entry_process(entry_settings aSettings, std::string const& aToken,
                std::vector<net::tcp::endpoint> aOtherEntries);

  base::result<void> Listen();
  base::result<void> StartTraffic();
  void StartControl();
  void PublishTargets();
  void UpdateAdmission();
  void BeginShutdown();
  void FinishWhenDrained();
  void ScheduleTargetExpiry();
  bool IsDrained() const;
  std::map<std::string, placement::worker> KnownWorkers() const;

  entry_settings mSettings;
  std::string mIncarnation;
  daemon_process mProcess;
  platform::http_table mTable;
  net::frame_dispatcher mDispatcher;
  membership::target_registry mTargets;
  membership::entry_links mEntryLinks;
  configuration::configuration_store mConfiguration;
  configuration::freshness_service mFreshness;
  configuration::operator_service mOperatorService;
  std::unique_ptr<placement::policy> mPolicy;
  scheduling::scheduler_service mScheduler;
  std::unique_ptr<net::link_server> mControlServer;
  std::vector<std::unique_ptr<traffic_thread>> mTraffic;
  boost::asio::steady_timer mTargetExpiryTimer;
  boost::asio::steady_timer mShutdownTimer;
};

} // namespace rattanpond::daemons
