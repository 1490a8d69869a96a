#pragma once

#include "standin/fault.h"
#include "standin/restartable_server.h"
#include "standin/settings.h"

#include <map>

namespace rattanpond::standin {

/// Simulates an executor. POST on any path waits for the time that the header X-Standin-Work-Ms or
/// the query parameter work_ms gives, then responds with the executor's name, a line feed and the
/// request's body.
class executor_server : public fault_target
{
public:
  executor_server(boost::asio::io_context& aContext, executor_settings aSettings);

  /// Faults: down; slow (value: milliseconds added to the work); fail (status 500 after the work);
  /// drain (the health check reports draining; requests still run and are counted); truncate (half
  /// of the response is sent); lose_answers (the connection closes after the work).
  base::result<void> Begin(fault const& aFault) override;
  base::result<void> End(fault const& aFault) override;
  base::json State() const override;

  /// Returns the counts of the requests that were run, in total and per Idempotency-Key.
  base::json Executions() const;
  std::map<std::string, std::uint32_t> const& KeyCounts() const { return mKeyCounts; }

  executor_settings const& Settings() const { return mSettings; }
  restartable_server& Server() { return mServer; }

private:
  boost::asio::awaitable<net::http_response> Handle(net::http_request aRequest);
  boost::asio::awaitable<net::http_response> Execute(net::http_request aRequest);
  void CountStart(net::http_request const& aRequest);

  struct faults;

  struct mode
  {
    base::milliseconds mDelay{ 0 };
    bool mFails = false;
    bool mIsDraining = false;
    net::response_transfer mTransfer = net::response_transfer::complete;
  };

  executor_settings mSettings;
  restartable_server mServer;
  mode mMode;
  std::map<std::string, std::uint32_t> mKeyCounts;
  std::uint64_t mUncountedKeys = 0;
  std::uint64_t mTotal = 0;
  std::uint64_t mStartsWhileDraining = 0;
  std::uint32_t mRunning = 0;
  std::uint32_t mPeakRunning = 0;
};

} // namespace rattanpond::standin
