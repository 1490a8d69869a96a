#include "net/link_dialer.h"

#include <algorithm>
#include <random>

#include <boost/asio/steady_timer.hpp>

namespace rattanpond::net {

namespace asio = boost::asio;

class link_dialer::implementation : public std::enable_shared_from_this<implementation>
{
public:
  implementation(asio::io_context& aContext, options aOptions)
    : mContext{ aContext }
    , mTimer{ aContext }
    , mOptions{ std::move(aOptions) }
    , mDelay{ mOptions.mMinimumDelay }
    , mRandom{ std::random_device{}() }
  {
  }

  void Connect()
  {
    auto socket = std::make_shared<tcp::socket>(mContext);
    auto connectTimer = std::make_shared<asio::steady_timer>(mContext, mOptions.mConnectTimeout);
    connectTimer->async_wait([socket](boost::system::error_code aFailure) {
      if (!aFailure) {
        boost::system::error_code ignored;
        socket->cancel(ignored);
      }
    });
    socket->async_connect(mOptions.mEndpoint, [self = shared_from_this(), socket,
                                               connectTimer](boost::system::error_code aFailure) {
      connectTimer->cancel();
      if (self->mIsStopped) {
        return;
      }
      if (aFailure) {
        self->ScheduleReconnect();
        return;
      }
      self->Open(std::move(*socket));
    });
  }

  void Stop()
  {
    mIsStopped = true;
    mTimer.cancel();
    if (mLink) {
      mLink->Close(
        { .mCode = base::result_code::shutting_down, .mMessage = "the link dialer was destroyed" });
      // The handlers of the link own this object; resetting mLink breaks the reference cycle.
      mLink.reset();
    }
  }

  link_ptr const& Current() const { return mLink; }
  tcp::endpoint const& Endpoint() const { return mOptions.mEndpoint; }

private:
  void Open(tcp::socket aSocket)
  {
    mOpenedAt = base::Now();
    link_handlers handlers{
      .mOnFrame = mOptions.mHandlers.mOnFrame,
      .mOnClose =
        [self = shared_from_this()](link_ptr const& aLink, base::error const& aReason) {
          self->mLink.reset();
          if (self->mIsStopped) {
            return;
          }
          // The backoff is reset only after a link that has lasted, so that a peer that closes each
          // link at once is not dialed at the minimum delay.
          if (base::Now() - self->mOpenedAt >= self->mOptions.mMaximumDelay) {
            self->mDelay = self->mOptions.mMinimumDelay;
          }
          if (self->mOptions.mHandlers.mOnClose) {
            self->mOptions.mHandlers.mOnClose(aLink, aReason);
          }
          self->ScheduleReconnect();
        },
    };
    mLink = link::Start(std::move(aSocket), std::move(handlers));
    if (mOptions.mOnOpen) {
      mOptions.mOnOpen(mLink);
    }
  }

  void ScheduleReconnect()
  {
    // Jitter prevents many dialers from connecting to a restarted peer at the same time.
    std::uniform_real_distribution<double> jitter{ 0.5, 1.0 };
    mTimer.expires_after(std::chrono::duration_cast<base::milliseconds>(mDelay * jitter(mRandom)));
    mDelay = std::min(mDelay * 2, mOptions.mMaximumDelay);
    mTimer.async_wait([self = shared_from_this()](boost::system::error_code aFailure) {
      if (!aFailure && !self->mIsStopped) {
        self->Connect();
      }
    });
  }

  asio::io_context& mContext;
  asio::steady_timer mTimer;
  options mOptions;
  base::milliseconds mDelay;
  std::mt19937 mRandom;
  link_ptr mLink;
  base::time_point mOpenedAt{};
  bool mIsStopped = false;
};

link_dialer::link_dialer(asio::io_context& aContext, options aOptions)
  : mImplementation{ std::make_shared<implementation>(aContext, std::move(aOptions)) }
{
  mImplementation->Connect();
}

link_dialer::~link_dialer()
{
  mImplementation->Stop();
}

link_ptr link_dialer::Current() const
{
  return mImplementation->Current();
}

tcp::endpoint const& link_dialer::Endpoint() const
{
  return mImplementation->Endpoint();
}

} // namespace rattanpond::net
