#include "daemons/traffic_thread.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace rattanpond::daemons {

namespace asio = boost::asio;

namespace {

constexpr std::string_view kRequestPrefix = "/v1/services/";

} // namespace

base::result<std::unique_ptr<traffic_thread>> traffic_thread::Create(
  options aOptions, asio::io_context& aControl, net::http_router const& aControlRouter,
  configuration::access_control const& aAccess, base::metrics_registry& aMetrics)
{
  std::unique_ptr<traffic_thread> created{ new traffic_thread{ aOptions, aControl, aControlRouter,
                                                               aAccess, aMetrics } };
  net::http_server::options serverOptions;
  serverOptions.mEndpoint = aOptions.mHttpEndpoint;
  serverOptions.mSharesPort = true;
  serverOptions.mHandler = [thread = created.get()](net::http_request aRequest) {
    return thread->Handle(std::move(aRequest));
  };
  BOOST_LEAF_ASSIGN(created->mServer,
                    net::http_server::Create(created->mContext, std::move(serverOptions)));
  return created;
}

traffic_thread::traffic_thread(options const& aOptions, asio::io_context& aControl,
                               net::http_router const& aControlRouter,
                               configuration::access_control const& aAccess,
                               base::metrics_registry& aMetrics)
  : mControl{ aControl }
  , mControlRouter{ aControlRouter }
  , mTable{ mContext, aOptions.mTable }
  , mRequests{ std::make_unique<requests::request_service>(mContext, aOptions.mRequests, mTable,
                                                           aAccess, aMetrics) }
  , mWorkGuard{ asio::make_work_guard(mContext) }
{
  mRequests->Register(mRouter);
}

traffic_thread::~traffic_thread()
{
  Stop();
}

void traffic_thread::Start()
{
  mThread = std::thread{ [this] { mContext.run(); } };
}

void traffic_thread::Stop()
{
  mContext.stop();
  if (mThread.joinable()) {
    mThread.join();
  }
}

void traffic_thread::DisableKeepAlive()
{
  asio::post(mContext, [this] { mServer->DisableKeepAlive(); });
}

void traffic_thread::Drain()
{
  asio::post(mContext, [this] { mServer->Drain(); });
}

asio::awaitable<net::http_response> traffic_thread::Handle(net::http_request aRequest)
{
  if (aRequest.mTarget.starts_with(kRequestPrefix)) {
    co_return co_await mRouter.Handle(std::move(aRequest));
  }
  co_return co_await asio::co_spawn(mControl, mControlRouter.Handle(std::move(aRequest)),
                                    asio::use_awaitable);
}

} // namespace rattanpond::daemons
