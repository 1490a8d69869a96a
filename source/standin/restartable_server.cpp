#include "standin/restartable_server.h"

namespace rattanpond::standin {

namespace asio = boost::asio;

namespace {

/// Each agent and each entry keeps about 60 connections open.
constexpr std::size_t kMaximumConnections = 10'000;

} // namespace

restartable_server::restartable_server(asio::io_context& aContext, net::http_handler aHandler)
  : mContext{ aContext }
  , mHandler{ std::move(aHandler) }
{
}

base::result<void> restartable_server::Listen(net::tcp::endpoint const& aEndpoint)
{
  net::http_server::options options;
  options.mEndpoint = aEndpoint;
  options.mMaximumConnections = kMaximumConnections;
  options.mHandler = [this](net::http_request aRequest) { return Handle(std::move(aRequest)); };
  BOOST_LEAF_ASSIGN(mServer, net::http_server::Create(mContext, std::move(options)));
  mEndpoint = mServer->Endpoint();
  return {};
}

base::result<void> restartable_server::SetAvailability(platform::availability aAvailability)
{
  if (aAvailability == Availability()) {
    return {};
  }
  if (aAvailability == platform::availability::up) {
    return Listen(mEndpoint);
  }
  ++mIncarnation;
  mServer.reset();
  return {};
}

void restartable_server::Drain()
{
  if (mServer) {
    mServer->Drain();
  }
}

asio::awaitable<net::http_response> restartable_server::Handle(net::http_request aRequest)
{
  auto const incarnation = mIncarnation;
  auto response = co_await mHandler(std::move(aRequest));
  if (incarnation != mIncarnation) {
    response.mTransfer = net::response_transfer::none;
  }
  co_return response;
}

net::http_handler RouterHandler(net::http_router aRouter)
{
  auto const shared = std::make_shared<net::http_router const>(std::move(aRouter));
  return [shared](net::http_request aRequest) { return shared->Handle(std::move(aRequest)); };
}

} // namespace rattanpond::standin
