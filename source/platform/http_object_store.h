#pragma once

#include "platform/object_store.h"
#include "platform/platform_client.h"

namespace rattanpond::platform {

/// The platform's object store over HTTP.
class http_object_store : public object_store
{
public:
  http_object_store(boost::asio::io_context& aContext, platform_client::options aOptions);

  boost::asio::awaitable<base::reply<base::done>> Put(std::string aKey,
                                                      std::string aContent) override;
  boost::asio::awaitable<base::reply<std::string>> Get(std::string aKey) override;

private:
  platform_client mClient;
};

} // namespace rattanpond::platform
