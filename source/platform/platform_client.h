#pragma once

#include "net/http_client.h"

#include <memory>
#include <string>
#include <vector>

namespace rattanpond::platform {

/// Header that names the calling process to the platform.
inline constexpr char const* kClientHeader = "X-Rattanpond-Client";

/// Client of one platform service that has one or more endpoints.
class platform_client
{
public:
  struct options
  {
    std::vector<net::tcp::endpoint> mEndpoints;
    /// Sent with each call; the platform's logs and the stand-in's faults identify clients by it.
    std::string mClientName;
    /// Time limit of a call over all endpoints.
    base::milliseconds mTimeout{ 2000 };
    base::milliseconds mConnectTimeout{ 500 };
    std::size_t mMaximumConnections = 60;
  };

  /// Whether a call whose answer was lost may be sent to another endpoint.
  enum class retry_safety
  {
    safe,
    unsafe
  };

  struct failures
  {
    /// No endpoint received the call.
    base::result_code mNotSent;
    /// An endpoint may have processed the call, but there is no usable answer.
    base::result_code mAnswerLost;
    retry_safety mRetrySafety;
  };

  platform_client(boost::asio::io_context& aContext, options aOptions);
  ~platform_client();
  platform_client(platform_client const&) = delete;
  platform_client& operator=(platform_client const&) = delete;

  /// Returns a successful answer, the error that the platform reported, or one of aFailures.
  boost::asio::awaitable<base::reply<net::http_response>> Call(net::http_request aRequest,
                                                               failures aFailures);

private:
  options mOptions;
  std::vector<std::unique_ptr<net::http_client>> mClients;
  /// The endpoint that answered last; the next call starts there.
  std::size_t mPreferred = 0;
};

/// Decodes the body of a successful answer.
template<class T>
base::reply<T> DecodeAnswer(base::reply<net::http_response> const& aAnswer)
{
  if (!base::Succeeded(aAnswer)) {
    return base::Error(aAnswer);
  }
  return base::Capture([&] { return base::DecodeText<T>(std::get<0>(aAnswer).mBody); });
}

} // namespace rattanpond::platform
