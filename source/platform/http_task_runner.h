#pragma once

#include "platform/platform_client.h"
#include "platform/task_runner.h"

namespace rattanpond::platform {

/// The task runner of one worker over HTTP. All calls are idempotent, so a lost answer is reported
/// like a call that was not sent: as runner_unavailable, after which the call may be repeated.
class http_task_runner : public task_runner
{
public:
  http_task_runner(boost::asio::io_context& aContext, platform_client::options aOptions);

  boost::asio::awaitable<base::reply<base::done>> Start(task_start aStart) override;
  boost::asio::awaitable<base::reply<base::done>> Renew(std::string aTask, std::uint64_t aFence,
                                                        base::milliseconds aLease) override;
  boost::asio::awaitable<base::reply<std::string>> Checkpoint(std::string aTask,
                                                              std::uint64_t aFence) override;
  boost::asio::awaitable<base::reply<base::done>> Throttle(std::string aTask, std::uint64_t aFence,
                                                           std::uint32_t aPercent) override;
  boost::asio::awaitable<base::reply<base::done>> Stop(std::string aTask,
                                                       std::uint64_t aFence) override;
  boost::asio::awaitable<base::reply<std::vector<runner_task>>> List() override;

private:
  boost::asio::awaitable<base::reply<base::done>> Post(std::string aTarget, base::json aBody);

  platform_client mClient;
};

} // namespace rattanpond::platform
