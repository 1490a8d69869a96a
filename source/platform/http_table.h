#pragma once

#include "platform/platform_client.h"
#include "platform/table_service.h"

namespace rattanpond::platform {

/// The platform's table over HTTP. A read that fails at every endpoint reports store_unavailable.
class http_table : public table_service
{
public:
  http_table(boost::asio::io_context& aContext, platform_client::options aOptions);

  boost::asio::awaitable<base::reply<std::optional<table_row>>> Read(std::string aKey) override;
  boost::asio::awaitable<base::reply<std::vector<table_row>>> Scan(std::string aPrefix,
                                                                   std::string aAfter,
                                                                   std::size_t aLimit) override;
  boost::asio::awaitable<base::reply<base::done>> CommitOnce(
    table_transaction aTransaction) override;

private:
  platform_client mClient;
};

} // namespace rattanpond::platform
