#include "standin/standin.h"

#include "standin/responses.h"

namespace rattanpond::standin {

namespace asio = boost::asio;
using base::result;
using base::result_code;
using net::http_response;
using net::routed_request;

result<std::unique_ptr<standin>> standin::Create(asio::io_context& aContext,
                                                 settings const& aSettings)
{
  std::unique_ptr<standin> created{ new standin{ aContext } };
  BOOST_LEAF_CHECK(created->Listen(aContext, aSettings));
  return created;
}

standin::standin(asio::io_context& aContext)
  : mTable{ aContext }
  , mObjectFaults{ mTable.Objects() }
  , mControl{ aContext, RouterHandler(Routes()) }
{
}

result<void> standin::Listen(asio::io_context& aContext, settings const& aSettings)
{
  auto const listen = [](restartable_server& aServer, std::string const& aText) -> result<void> {
    BOOST_LEAF_AUTO(endpoint, net::ParseEndpoint(aText));
    return aServer.Listen(endpoint);
  };
  BOOST_LEAF_CHECK(listen(mTable.Server(), aSettings.mTableEndpoint));
  mFaults.Register(component::table, "", mTable);
  mFaults.Register(component::object_store, "", mObjectFaults);
  for (auto const& worker : aSettings.mWorkers) {
    platform::memory_task_runner::options const options{ .mAccelerators = worker.mAccelerators,
                                                         .mUsageLag = aSettings.mUsageLag,
                                                         .mForceAfter = aSettings.mForceAfter };
    mWorkers.push_back(std::make_unique<worker_server>(aContext, mTable.Objects(), options));
    BOOST_LEAF_CHECK(listen(mWorkers.back()->Server(), worker.mEndpoint));
    mFaults.Register(component::worker, worker.mName, *mWorkers.back());
  }
  for (auto const& executor : aSettings.mExecutors) {
    mExecutors.push_back(std::make_unique<executor_server>(aContext, executor));
    BOOST_LEAF_CHECK(listen(mExecutors.back()->Server(), executor.mEndpoint));
    mFaults.Register(component::executor, executor.mName, *mExecutors.back());
  }
  // The control server starts last: once it responds, all other servers accept connections.
  return listen(mControl, aSettings.mControlEndpoint);
}

void standin::Tick(base::time_point aNow)
{
  for (auto const& worker : mWorkers) {
    worker->Runner().Advance(aNow);
  }
  mFaults.Expire(aNow);
}

template<class Function>
void standin::ForEachServer(Function aFunction)
{
  aFunction(mTable.Server());
  for (auto const& worker : mWorkers) {
    aFunction(worker->Server());
  }
  for (auto const& executor : mExecutors) {
    aFunction(executor->Server());
  }
  aFunction(mControl);
}

void standin::Drain()
{
  ForEachServer([](restartable_server& aServer) { aServer.Drain(); });
}

std::size_t standin::ActiveRequests()
{
  std::size_t active = 0;
  ForEachServer([&](restartable_server& aServer) { active += aServer.ActiveRequests(); });
  return active;
}

net::http_router standin::Routes()
{
  net::http_router router;
  using handler = asio::awaitable<http_response> (standin::*)(routed_request);
  auto const add = [&](char const* aMethod, char const* aPath, handler aHandler) {
    router.Add(aMethod, aPath, [this, aHandler](routed_request aRequest) {
      return (this->*aHandler)(std::move(aRequest));
    });
  };
  add("POST", "/standin/faults", &standin::BeginFault);
  add("DELETE", "/standin/faults", &standin::EndFaults);
  add("GET", "/standin/faults", &standin::ListFaults);
  add("GET", "/standin/executions", &standin::ListExecutions);
  return router;
}

asio::awaitable<http_response> standin::BeginFault(routed_request aRequest)
{
  auto const begun = base::Capture([&]() -> result<void> {
    BOOST_LEAF_AUTO(requested, base::DecodeText<fault>(aRequest.mRequest.mBody));
    return mFaults.Begin(std::move(requested), base::Now());
  });
  co_return DoneResponse(begun);
}

asio::awaitable<http_response> standin::EndFaults(routed_request aRequest)
{
  std::optional<component> wanted;
  auto const& name = aRequest.mQuery["component"];
  if (!name.empty()) {
    wanted = base::ParseEnum<component>(name);
    if (!wanted) {
      co_return FailureResponse(
        { result_code::invalid_argument, "unknown component '" + name + "'" });
    }
  }
  auto const ended = mFaults.End(wanted, aRequest.mQuery["name"], aRequest.mQuery["fault"]);
  co_return net::JsonResponse(200, { { "ended", ended } });
}

asio::awaitable<http_response> standin::ListFaults(routed_request)
{
  co_return net::JsonResponse(200, mFaults.List());
}

asio::awaitable<http_response> standin::ListExecutions(routed_request)
{
  auto executors = base::json::array();
  std::map<std::string, std::uint32_t> keys;
  for (auto const& executor : mExecutors) {
    executors.push_back(executor->Executions());
    for (auto const& [key, count] : executor->KeyCounts()) {
      keys[key] += count;
    }
  }
  co_return net::JsonResponse(200, { { "executors", std::move(executors) }, { "keys", keys } });
}

} // namespace rattanpond::standin
