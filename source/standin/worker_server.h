#pragma once

#include "platform/memory_task_runner.h"
#include "standin/fault.h"
#include "standin/restartable_server.h"

namespace rattanpond::standin {

/// Serves the simulated task runner of one worker over the platform's HTTP interface.
class worker_server : public fault_target
{
public:
  worker_server(boost::asio::io_context& aContext, platform::object_store& aObjects,
                platform::memory_task_runner::options aOptions);

  /// Faults: down; fail_tasks; ignore_stop; lapse_lease (task), which expires the lease once.
  base::result<void> Begin(fault const& aFault) override;
  base::result<void> End(fault const& aFault) override;
  base::json State() const override;

  restartable_server& Server() { return mServer; }
  platform::memory_task_runner& Runner() { return mRunner; }

private:
  using handler =
    boost::asio::awaitable<net::http_response> (worker_server::*)(net::routed_request);

  net::http_router Routes();
  /// Wraps a handler so that the simulated tasks advance to the current time before it runs.
  net::http_router::handler AdvanceThen(handler aHandler);

  boost::asio::awaitable<net::http_response> Start(net::routed_request aRequest);
  boost::asio::awaitable<net::http_response> Renew(net::routed_request aRequest);
  boost::asio::awaitable<net::http_response> Checkpoint(net::routed_request aRequest);
  boost::asio::awaitable<net::http_response> Throttle(net::routed_request aRequest);
  boost::asio::awaitable<net::http_response> Stop(net::routed_request aRequest);
  boost::asio::awaitable<net::http_response> List(net::routed_request aRequest);

  /// Changes one of the faults that the task runner simulates itself.
  template<class Member>
  void Change(Member platform::runner_faults::*aMember, Member aValue);

  struct faults;

  platform::memory_task_runner mRunner;
  restartable_server mServer;
};

} // namespace rattanpond::standin
