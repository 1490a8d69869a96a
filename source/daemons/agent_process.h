#pragma once

#include "configuration/agent_configuration.h"
#include "daemons/agent_settings.h"
#include "daemons/daemon_process.h"
#include "membership/entry_links.h"
#include "net/link_server.h"
#include "platform/http_task_runner.h"
#include "requests/executor_service.h"
#include "scheduling/worker_service.h"

#include <memory>
#include <thread>

namespace rattanpond::daemons {

/// Agent process: announces its target to the entries and runs the target's service, for a worker
/// on the control thread and for an executor on a traffic thread.
class agent_process
{
public:
  static base::result<std::unique_ptr<agent_process>> Create(agent_settings aSettings);
  ~agent_process();
  agent_process(agent_process const&) = delete;
  agent_process& operator=(agent_process const&) = delete;

  void Run() { mProcess.Run(); }

private:
  agent_process(agent_settings aSettings, std::string const& aToken,
                std::vector<net::tcp::endpoint> aEntries);

  base::result<void> Listen();
  base::result<void> StartExecutor();
  void StartWorker();
  void StartControl();
  void AddRoutes();
  void SetState(membership::target_state aState);
  void Announce();
  void SendHeartbeat();
  void ScheduleHeartbeat();
  void BeginShutdown();

  agent_settings mSettings;
  membership::target_description mTarget;
  daemon_process mProcess;
  net::frame_dispatcher mDispatcher;
  membership::entry_links mEntryLinks;
  configuration::agent_configuration mConfiguration;
  std::unique_ptr<net::http_server> mHttpServer;
  std::unique_ptr<net::link_server> mControlServer;
  boost::asio::steady_timer mHeartbeatTimer;

  /// Worker only.
  std::unique_ptr<platform::http_task_runner> mRunner;
  std::unique_ptr<scheduling::worker_service> mWorker;

  /// Executor only.
  boost::asio::io_context mTrafficContext{ 1 };
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> mTrafficWorkGuard;
  std::unique_ptr<requests::executor_service> mExecutor;
  std::thread mTrafficThread;
};

} // namespace rattanpond::daemons
