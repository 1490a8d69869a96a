#include "requests/active_request.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace rattanpond::requests {

namespace asio = boost::asio;

active_request::active_request(asio::io_context& aContext, request_description aDescription,
                               base::time_point aNow)
  : mDescription{ std::move(aDescription) }
  , mDeadline{ aNow + mDescription.mTimeout }
  , mProgress{ mDescription.mRepeatability }
  , mSignal{ aContext }
{
}

asio::awaitable<void> active_request::Wait(base::time_point aUntil)
{
  mSignal.expires_after(std::max(base::milliseconds{ 0 }, aUntil - base::Now()));
  boost::system::error_code ignored;
  co_await mSignal.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

void active_request::Wake()
{
  mSignal.cancel();
}

void active_request::BeginAttempt(std::string aAttempt, router::choice const& aChoice)
{
  mAttempt = std::move(aAttempt);
  mTarget = aChoice.mTarget;
  mIncarnation = aChoice.mIncarnation;
  mLink = link_state::up;
  mAnswer.reset();
  mResolveReply.reset();
}

} // namespace rattanpond::requests
