#pragma once

#include "platform/memory_object_store.h"
#include "platform/memory_table.h"
#include "standin/fault.h"
#include "standin/restartable_server.h"

#include <set>

namespace rattanpond::standin {

/// Serves an in-memory table and object store over the platform's HTTP interface.
class table_server : public fault_target
{
public:
  explicit table_server(boost::asio::io_context& aContext);

  /// Faults: down; slow (value: delay of each call in milliseconds); lose_answers and drop_requests
  /// (value: number of commits that are lost after or before they take effect); stale_reads;
  /// serve_only (clients).
  base::result<void> Begin(fault const& aFault) override;
  base::result<void> End(fault const& aFault) override;
  base::json State() const override;

  restartable_server& Server() { return mServer; }
  platform::memory_table& Table() { return mTable; }
  platform::memory_object_store& Objects() { return mObjects; }

private:
  net::http_router Routes();
  /// Wraps a handler so that it refuses clients that are not served.
  net::http_router::handler RequireServedClient(
    boost::asio::awaitable<net::http_response> (table_server::*aHandler)(net::routed_request));

  boost::asio::awaitable<net::http_response> ReadRow(net::routed_request aRequest);
  boost::asio::awaitable<net::http_response> ScanRows(net::routed_request aRequest);
  boost::asio::awaitable<net::http_response> CommitRows(net::routed_request aRequest);
  boost::asio::awaitable<net::http_response> GetObject(net::routed_request aRequest);
  boost::asio::awaitable<net::http_response> PutObject(net::routed_request aRequest);

  /// Changes one of the faults that the table simulates itself.
  template<class Member>
  void Change(Member platform::table_faults::*aMember, Member aValue);

  struct faults;

  platform::memory_table mTable;
  platform::memory_object_store mObjects;
  restartable_server mServer;
  /// The names of the clients that are served; all clients if absent.
  std::optional<std::set<std::string>> mServedClients;
};

} // namespace rattanpond::standin
