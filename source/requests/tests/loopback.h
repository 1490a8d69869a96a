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

/// An executor under control of the test, together with its agent.
class test_target
{
public:
  test_target(boost::asio::io_context& aContext, std::string aName);

  membership::target_description Description() const;
  /// Replaces the agent by one with a new incarnation identifier.
  void RestartAgent();
  void StopAgent() { mAgent.reset(); }
  executor_service& Agent() { return *mAgent; }
  /// Number of links that the agent has accepted.
  std::size_t Links() const;

  std::string mName;
  std::string mIncarnation;
  std::string mState = "serving";
  /// Answers POST requests; without it they get a default response.
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

/// The request service of an entry, with its HTTP server and a client.
class test_entry
{
public:
  test_entry(boost::asio::io_context& aContext, platform::table_service& aTable,
             std::vector<test_target*> const& aTargets);

  void Update(std::vector<test_target*> const& aTargets);
  /// Destroys server and service at once. The object must outlive this call, because their last
  /// coroutines refer to it.
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

/// Body and header values of a call.
struct test_call
{
  std::string mBody = "work";
  std::string mKey = {};
  std::string mIdempotent = "true";
  std::string mDeadline = "2000";
  std::string mToken = "operators";
};

net::http_request MakeCall(test_call const& aCall);

/// Value of the outcome header.
std::string OutcomeOf(net::http_response const& aResponse);

/// Runs the handlers of the context for the given time.
void RunFor(boost::asio::io_context& aContext, base::milliseconds aTime);

/// Runs the handlers until the condition holds, for 10 s at most; returns whether it holds.
bool RunUntil(boost::asio::io_context& aContext, std::function<bool()> const& aCondition);

/// A call in progress.
class started_call
{
public:
  started_call(boost::asio::io_context& aContext, net::http_client& aClient,
               net::http_request aRequest);

  bool IsDone() const { return mReply->has_value(); }
  /// False while the call is in progress, and if it ended without an answer, as after an entry
  /// crash.
  bool HasAnswer() const { return IsDone() && base::Succeeded(**mReply); }
  /// Runs the context until the answer has arrived, for 10 s at most.
  net::http_response Finish();

private:
  boost::asio::io_context& mContext;
  std::shared_ptr<std::optional<base::reply<net::http_response>>> mReply;
};

} // namespace rattanpond::requests
