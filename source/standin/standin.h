#pragma once

#include "standin/executor_server.h"
#include "standin/fault_registry.h"
#include "standin/object_store_faults.h"
#include "standin/table_server.h"
#include "standin/worker_server.h"

#include <memory>
#include <vector>

namespace rattanpond::standin {

/// Simulates the platform with HTTP servers: one for the table and the object store, one for each
/// task runner and executor, and a control server for fault injection. Used on one thread.
class standin
{
public:
  static base::result<std::unique_ptr<standin>> Create(boost::asio::io_context& aContext,
                                                       settings const& aSettings);

  standin(standin const&) = delete;
  standin& operator=(standin const&) = delete;

  net::tcp::endpoint ControlEndpoint() const { return mControl.Endpoint(); }
  table_server& Table() { return mTable; }
  /// Workers and executors in the order of the settings.
  worker_server& Worker(std::size_t aIndex) { return *mWorkers.at(aIndex); }
  executor_server& Executor(std::size_t aIndex) { return *mExecutors.at(aIndex); }
  fault_registry& Faults() { return mFaults; }

  /// Advances the simulated tasks and ends the faults whose duration has passed. Call several times
  /// a second.
  void Tick(base::time_point aNow);

  /// Stops accepting connections; requests that are running may finish.
  void Drain();
  std::size_t ActiveRequests();

private:
  explicit standin(boost::asio::io_context& aContext);

  base::result<void> Listen(boost::asio::io_context& aContext, settings const& aSettings);
  net::http_router Routes();
  template<class Function>
  void ForEachServer(Function aFunction);

  boost::asio::awaitable<net::http_response> BeginFault(net::routed_request aRequest);
  boost::asio::awaitable<net::http_response> EndFaults(net::routed_request aRequest);
  boost::asio::awaitable<net::http_response> ListFaults(net::routed_request aRequest);
  boost::asio::awaitable<net::http_response> ListExecutions(net::routed_request aRequest);

  table_server mTable;
  std::vector<std::unique_ptr<worker_server>> mWorkers;
  std::vector<std::unique_ptr<executor_server>> mExecutors;
  object_store_faults mObjectFaults;
  fault_registry mFaults;
  restartable_server mControl;
};

} // namespace rattanpond::standin
