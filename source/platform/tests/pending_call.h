#pragma once

#include "platform/tests/test_cluster.h"

namespace rattanpond::platform {

/// A call whose answer the test does not wait for. A frozen front receives it once it goes on.
class pending_call
{
public:
  pending_call(test_front& aFront, std::string aMethod, std::string aPath, std::string aBody = {},
               std::string const& aKey = kKey)
  {
    net::http_request request{ .mMethod = std::move(aMethod), .mTarget = std::move(aPath) };
    request.mHeaders.Add("Host", "h");
    request.mHeaders.Add("Api-Key", aKey);
    request.mBody = std::move(aBody);
    boost::asio::co_spawn(
      aFront.mContext, aFront.mCallers.Handle(std::move(request)),
      [status = mStatus](std::exception_ptr, net::http_response const& aResponse) {
        *status = aResponse.mStatus;
      });
  }

  /// 0 as long as there is no answer.
  unsigned Status() const { return *mStatus; }

private:
  std::shared_ptr<unsigned> mStatus = std::make_shared<unsigned>(0);
};

} // namespace rattanpond::platform
