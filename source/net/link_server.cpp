#include "net/link_server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace rattanpond::net {

namespace asio = boost::asio;

namespace {

// Delay before accepting again after a failure. Without it, the server would spin while the process
// has no file descriptors left.
constexpr base::milliseconds kAcceptRetryDelay{ 100 };

} // namespace

class link_server::implementation : public std::enable_shared_from_this<implementation>
{
public:
  implementation(asio::io_context& aContext, link_handlers aHandlers, open_handler aOnOpen)
    : mAcceptor{ aContext }
    , mRetryTimer{ aContext }
    , mHandlers{ std::move(aHandlers) }
    , mOnOpen{ std::move(aOnOpen) }
  {
  }

  base::result<void> Listen(tcp::endpoint const& aEndpoint)
  {
    boost::system::error_code failure;
    mAcceptor.open(aEndpoint.protocol(), failure);
    if (!failure) {
      mAcceptor.set_option(asio::socket_base::reuse_address{ true }, failure);
    }
    if (!failure) {
      mAcceptor.bind(aEndpoint, failure);
    }
    if (!failure) {
      mAcceptor.listen(asio::socket_base::max_listen_connections, failure);
    }
    if (failure) {
      return base::Fail(base::result_code::connect_failed,
                        "cannot listen on " + ToString(aEndpoint) + ": " + failure.message());
    }
    Accept();
    return {};
  }

  void Stop()
  {
    boost::system::error_code ignored;
    mAcceptor.close(ignored);
    mRetryTimer.cancel();
  }

  tcp::endpoint Endpoint() const { return mAcceptor.local_endpoint(); }

private:
  void Accept()
  {
    mAcceptor.async_accept(
      [self = shared_from_this()](boost::system::error_code aFailure, tcp::socket aSocket) {
        if (!self->mAcceptor.is_open()) {
          return;
        }
        if (aFailure) {
          self->ScheduleAccept();
          return;
        }
        auto const accepted = link::Start(std::move(aSocket), self->mHandlers);
        if (self->mOnOpen) {
          self->mOnOpen(accepted);
        }
        self->Accept();
      });
  }

  void ScheduleAccept()
  {
    mRetryTimer.expires_after(kAcceptRetryDelay);
    mRetryTimer.async_wait([self = shared_from_this()](boost::system::error_code aFailure) {
      if (!aFailure) {
        self->Accept();
      }
    });
  }

  tcp::acceptor mAcceptor;
  asio::steady_timer mRetryTimer;
  link_handlers mHandlers;
  open_handler mOnOpen;
};

base::result<std::unique_ptr<link_server>> link_server::Create(asio::io_context& aContext,
                                                               tcp::endpoint const& aEndpoint,
                                                               link_handlers aHandlers,
                                                               open_handler aOnOpen)
{
  auto created =
    std::make_shared<implementation>(aContext, std::move(aHandlers), std::move(aOnOpen));
  BOOST_LEAF_CHECK(created->Listen(aEndpoint));
  return std::unique_ptr<link_server>{ new link_server{ std::move(created) } };
}

link_server::link_server(std::shared_ptr<implementation> aImplementation)
  : mImplementation{ std::move(aImplementation) }
{
}

link_server::~link_server()
{
  mImplementation->Stop();
}

tcp::endpoint link_server::Endpoint() const
{
  return mImplementation->Endpoint();
}

} // namespace rattanpond::net
