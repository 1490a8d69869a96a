#include "platform/http_task_runner.h"

#include "net/http_router.h"
#include "platform/wire.h"

namespace rattanpond::platform {

namespace asio = boost::asio;
using base::done;
using base::reply;
using base::result_code;

namespace {

constexpr platform_client::failures kFailures{ .mNotSent = result_code::runner_unavailable,
                                               .mAnswerLost = result_code::runner_unavailable,
                                               .mRetrySafety =
                                                 platform_client::retry_safety::safe };

std::string Path(std::string const& aTask, std::string const& aCall)
{
  return "/v1/tasks/" + net::PercentEncode(aTask) + "/" + aCall;
}

base::json Body(task_call const& aCall)
{
  return base::Encode(aCall);
}

} // namespace

http_task_runner::http_task_runner(asio::io_context& aContext, platform_client::options aOptions)
  : mClient{ aContext, std::move(aOptions) }
{
}

asio::awaitable<reply<done>> http_task_runner::Start(task_start aStart)
{
  return Post("/v1/tasks", base::Encode(aStart));
}

asio::awaitable<reply<done>> http_task_runner::Renew(std::string aTask, std::uint64_t aFence,
                                                     base::milliseconds aLease)
{
  return Post(Path(aTask, "renew"), Body({ .mFence = aFence, .mLease = aLease, .mPercent = {} }));
}

asio::awaitable<reply<std::string>> http_task_runner::Checkpoint(std::string aTask,
                                                                 std::uint64_t aFence)
{
  auto const body = Body({ .mFence = aFence, .mLease = {}, .mPercent = {} });
  auto const answer =
    co_await mClient.Call(net::JsonRequest("POST", Path(aTask, "checkpoint"), body), kFailures);
  auto decoded = DecodeAnswer<checkpoint_answer>(answer);
  if (!base::Succeeded(decoded)) {
    co_return base::Error(decoded);
  }
  co_return std::get<0>(std::move(decoded)).mKey;
}

asio::awaitable<reply<done>> http_task_runner::Throttle(std::string aTask, std::uint64_t aFence,
                                                        std::uint32_t aPercent)
{
  return Post(Path(aTask, "throttle"),
              Body({ .mFence = aFence, .mLease = {}, .mPercent = aPercent }));
}

asio::awaitable<reply<done>> http_task_runner::Stop(std::string aTask, std::uint64_t aFence)
{
  return Post(Path(aTask, "stop"), Body({ .mFence = aFence, .mLease = {}, .mPercent = {} }));
}

asio::awaitable<reply<std::vector<runner_task>>> http_task_runner::List()
{
  auto const answer = co_await mClient.Call(net::JsonRequest("GET", "/v1/tasks"), kFailures);
  auto decoded = DecodeAnswer<tasks_answer>(answer);
  if (!base::Succeeded(decoded)) {
    co_return base::Error(decoded);
  }
  co_return std::get<0>(std::move(decoded)).mTasks;
}

asio::awaitable<reply<done>> http_task_runner::Post(std::string aTarget, base::json aBody)
{
  auto const answer =
    co_await mClient.Call(net::JsonRequest("POST", std::move(aTarget), aBody), kFailures);
  if (!base::Succeeded(answer)) {
    co_return base::Error(answer);
  }
  co_return done{};
}

} // namespace rattanpond::platform
