#pragma once

#include "base/identifiers.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "platform/memory_table.h"
#include "requests/executor_service.h"
#include "requests/request_service.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

namespace rattanpond::requests {

/// An executor that this test controls, and the agent beside it.
class test_target
{
public:
  test_target(boost::asio::io_context& aContext, std::string aName);

  membership::target_description Description() const;
  /// Replaces the agent by one with a new incarnation.
  void RestartAgent();
  void StopAgent() { mAgent.reset(); }
  executor_service& Agent() { return *mAgent; }

  std::string mName;
  std::string mIncarnation;
  std::string mState = "serving";
  /// Answers POST; counts are kept by the fixture's callers.
  net::http_handler mHandler;
  std::vector<std::string> mExecutedBodies;

private:
  boost::asio::awaitable<net::http_response> Handle(net::http_request aRequest);
  void StartAgent();

  boost::asio::io_context& mContext;
  base::metrics_registry mMetrics;
  std::unique_ptr<net::http_server> mExecutor;
  std::unique_ptr<executor_service> mAgent;
};

/// An entry's traffic thread with its HTTP server.
class test_entry
{
public:
  test_entry(boost::asio::io_context& aContext, platform::table_service& aTable,
             std::vector<test_target*> const& aTargets);

  void Update(std::vector<test_target*> const& aTargets);
  /// Ends server and service at once. The object stays: their last coroutines refer to it.
  void Crash();
  request_service& Service() { return *mService; }
  base::metrics_registry& Metrics() { return mMetrics; }
  net::http_client& Client() { return mClient; }

private:
  base::metrics_registry mMetrics;
  configuration::access_control mAccess{ "operators" };
  std::unique_ptr<request_service> mService;
  net::http_router mRouter;
  std::unique_ptr<net::http_server> mServer;
  net::http_client mClient;
};

/// A call as a caller makes it.
struct test_call
{
  std::string mBody = "work";
  std::string mKey = {};
  std::string mIdempotent = "true";
  std::string mDeadline = "2000";
  std::string mToken = "operators";
};

net::http_request MakeCall(test_call const& aCall);

/// Text of the outcome header.
std::string OutcomeOf(net::http_response const& aResponse);

/// Serves everything on the context for a time.
void Serve(boost::asio::io_context& aContext, base::milliseconds aTime);

/// A call in progress.
class started_call
{
public:
  started_call(boost::asio::io_context& aContext, net::http_client& aClient,
               net::http_request aRequest);

  bool IsDone() const { return mReply->has_value(); }
  /// False if the entry went away without an answer.
  bool HasAnswer() const { return IsDone() && base::Succeeded(**mReply); }
  /// Serves the context until the answer is there, for 10 s at most.
  net::http_response Finish();

private:
  boost::asio::io_context& mContext;
  std::shared_ptr<std::optional<base::reply<net::http_response>>> mReply;
};

} // namespace rattanpond::requests
