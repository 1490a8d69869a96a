#include "platform/http_object_store.h"

#include "net/http_router.h"

namespace rattanpond::platform {

namespace asio = boost::asio;
using base::done;
using base::reply;
using base::result_code;

namespace {

constexpr platform_client::failures kFailures{ .mNotSent = result_code::store_unavailable,
                                               .mAnswerLost = result_code::store_unavailable,
                                               .mRetrySafety =
                                                 platform_client::retry_safety::safe };

std::string Path(std::string const& aKey)
{
  return "/v1/objects/" + net::PercentEncode(aKey);
}

} // namespace

http_object_store::http_object_store(asio::io_context& aContext, platform_client::options aOptions)
  : mClient{ aContext, std::move(aOptions) }
{
}

asio::awaitable<reply<done>> http_object_store::Put(std::string aKey, std::string aContent)
{
  auto request = net::JsonRequest("PUT", Path(aKey));
  request.mBody = std::move(aContent);
  auto const answer = co_await mClient.Call(std::move(request), kFailures);
  if (!base::Succeeded(answer)) {
    co_return base::Error(answer);
  }
  co_return done{};
}

asio::awaitable<reply<std::string>> http_object_store::Get(std::string aKey)
{
  auto answer = co_await mClient.Call(net::JsonRequest("GET", Path(aKey)), kFailures);
  if (!base::Succeeded(answer)) {
    co_return base::Error(answer);
  }
  co_return std::get<0>(std::move(answer)).mBody;
}

} // namespace rattanpond::platform
