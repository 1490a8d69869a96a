#include "standin/worker_server.h"

#include "platform/wire.h"
#include "standin/fault_kind.h"
#include "standin/responses.h"

namespace rattanpond::standin {

namespace asio = boost::asio;
using base::result;
using base::result_code;
using net::http_response;
using net::routed_request;
using platform::task_call;

namespace {

template<class T>
base::reply<T> Body(routed_request const& aRequest)
{
  return base::Capture([&] { return base::DecodeText<T>(aRequest.mRequest.mBody); });
}

} // namespace

template<class Member>
void worker_server::Change(Member platform::runner_faults::*aMember, Member aValue)
{
  auto faults = mRunner.Faults();
  faults.*aMember = aValue;
  mRunner.Inject(faults);
}

struct worker_server::faults
{
  using target = worker_server;
  using values = platform::runner_faults;
  static constexpr fault_kind<target> kKinds[] = {
    { "down",
      [](target& aTarget, fault const* aFault) {
        using platform::availability;
        return aTarget.mServer.SetAvailability(aFault ? availability::down : availability::up);
      } },
    { "fail_tasks",
      [](target& aTarget, fault const* aFault) -> result<void> {
        using platform::task_behavior;
        aTarget.Change(&values::mTasks,
                       aFault ? task_behavior::fails : task_behavior::as_commanded);
        return {};
      } },
    { "ignore_stop",
      [](target& aTarget, fault const* aFault) -> result<void> {
        using platform::stop_behavior;
        aTarget.Change(&values::mStops, aFault ? stop_behavior::ignored : stop_behavior::obeyed);
        return {};
      } },
    { "lapse_lease",
      [](target& aTarget, fault const* aFault) -> result<void> {
        if (aFault && !aTarget.mRunner.ExpireLease(aFault->mTask)) {
          return base::Fail(result_code::not_found,
                            "the worker runs no task '" + aFault->mTask + "'");
        }
        return {};
      } },
  };
};

worker_server::worker_server(asio::io_context& aContext, platform::object_store& aObjects,
                             platform::memory_task_runner::options aOptions)
  : mRunner{ aObjects, aOptions, base::Now() }
  , mServer{ aContext, RouterHandler(Routes()) }
{
}

result<void> worker_server::Begin(fault const& aFault)
{
  return BeginFault(faults::kKinds, *this, aFault);
}

result<void> worker_server::End(fault const& aFault)
{
  return EndFault(faults::kKinds, *this, aFault);
}

base::json worker_server::State() const
{
  auto state = base::Encode(mRunner.Faults());
  state["availability"] = base::Name(mServer.Availability());
  state["starts"] = mRunner.Starts();
  return state;
}

net::http_router worker_server::Routes()
{
  net::http_router router;
  router.Add("POST", "/v1/tasks", AdvanceThen(&worker_server::Start));
  router.Add("GET", "/v1/tasks", AdvanceThen(&worker_server::List));
  router.Add("POST", "/v1/tasks/{task}/renew", AdvanceThen(&worker_server::Renew));
  router.Add("POST", "/v1/tasks/{task}/checkpoint", AdvanceThen(&worker_server::Checkpoint));
  router.Add("POST", "/v1/tasks/{task}/throttle", AdvanceThen(&worker_server::Throttle));
  router.Add("POST", "/v1/tasks/{task}/stop", AdvanceThen(&worker_server::Stop));
  return router;
}

net::http_router::handler worker_server::AdvanceThen(handler aHandler)
{
  return [this, aHandler](routed_request aRequest) {
    mRunner.Advance(base::Now());
    return (this->*aHandler)(std::move(aRequest));
  };
}

asio::awaitable<http_response> worker_server::Start(routed_request aRequest)
{
  auto body = Body<platform::task_start>(aRequest);
  if (!base::Succeeded(body)) {
    co_return FailureResponse(base::Error(body));
  }
  co_return DoneResponse(co_await mRunner.Start(std::get<0>(std::move(body))));
}

asio::awaitable<http_response> worker_server::Renew(routed_request aRequest)
{
  auto const body = Body<task_call>(aRequest);
  if (!base::Succeeded(body)) {
    co_return FailureResponse(base::Error(body));
  }
  auto const& call = std::get<0>(body);
  if (!call.mLease) {
    co_return FailureResponse({ result_code::invalid_argument, "lease_ms is missing" });
  }
  co_return DoneResponse(co_await mRunner.Renew(aRequest.mPath["task"], call.mFence, *call.mLease));
}

asio::awaitable<http_response> worker_server::Checkpoint(routed_request aRequest)
{
  auto const body = Body<task_call>(aRequest);
  if (!base::Succeeded(body)) {
    co_return FailureResponse(base::Error(body));
  }
  auto const key = co_await mRunner.Checkpoint(aRequest.mPath["task"], std::get<0>(body).mFence);
  if (!base::Succeeded(key)) {
    co_return FailureResponse(base::Error(key));
  }
  platform::checkpoint_answer const answer{ .mKey = std::get<0>(key) };
  co_return net::JsonResponse(200, base::Encode(answer));
}

asio::awaitable<http_response> worker_server::Throttle(routed_request aRequest)
{
  auto const body = Body<task_call>(aRequest);
  if (!base::Succeeded(body)) {
    co_return FailureResponse(base::Error(body));
  }
  auto const& call = std::get<0>(body);
  if (!call.mPercent) {
    co_return FailureResponse({ result_code::invalid_argument, "percent is missing" });
  }
  co_return DoneResponse(
    co_await mRunner.Throttle(aRequest.mPath["task"], call.mFence, *call.mPercent));
}

asio::awaitable<http_response> worker_server::Stop(routed_request aRequest)
{
  auto const body = Body<task_call>(aRequest);
  if (!base::Succeeded(body)) {
    co_return FailureResponse(base::Error(body));
  }
  co_return DoneResponse(co_await mRunner.Stop(aRequest.mPath["task"], std::get<0>(body).mFence));
}

asio::awaitable<http_response> worker_server::List(routed_request)
{
  auto tasks = co_await mRunner.List();
  if (!base::Succeeded(tasks)) {
    co_return FailureResponse(base::Error(tasks));
  }
  platform::tasks_answer const answer{ .mTasks = std::get<0>(std::move(tasks)) };
  co_return net::JsonResponse(200, base::Encode(answer));
}

} // namespace rattanpond::standin
