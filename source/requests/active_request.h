#pragma once

#include "requests/request_description.h"
#include "requests/request_progress.h"
#include "requests/router.h"

#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace rattanpond::requests {

enum class caller_intent
{
  answer,
  cancel
};

/// State of one caller's request while the entry processes it. Event handlers set members and wake
/// the coroutine that runs the request. Used on one thread.
class active_request
{
public:
  active_request(boost::asio::io_context& aContext, request_description aDescription,
                 base::time_point aNow);

  /// Returns when Wake() is called, at aUntil at the latest.
  boost::asio::awaitable<void> Wait(base::time_point aUntil);
  void Wake();

  /// Starts a new attempt and discards the replies to the previous one.
  void BeginAttempt(std::string aAttempt, router::choice const& aChoice);

  base::milliseconds Remaining() const { return mDeadline - base::Now(); }

  request_description mDescription;
  base::time_point mDeadline{};
  request_progress mProgress;
  caller_intent mCallerIntent = caller_intent::answer;
  std::string mAttempt;
  std::string mTarget;
  std::string mIncarnation;
  link_state mLink = link_state::down;
  std::optional<answer> mAnswer;
  std::optional<resolve_reply> mResolveReply;
  /// Targets that refused or failed this request.
  std::vector<std::string> mExcluded;

private:
  boost::asio::steady_timer mSignal;
};

} // namespace rattanpond::requests
