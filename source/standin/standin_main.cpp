#include "base/program.h"
#include "standin/standin.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace rattanpond::standin {

namespace {

namespace asio = boost::asio;

constexpr base::milliseconds kTickInterval{ 20 };

/// Advances the simulation until a signal arrives and the running requests have finished or the
/// shutdown limit has passed, then stops the context.
asio::awaitable<void> Serve(asio::io_context& aContext, standin& aStandin, bool const& aIsStopping,
                            base::milliseconds aShutdownLimit)
{
  asio::steady_timer timer{ aContext };
  std::optional<base::time_point> deadline;
  while (!deadline || (aStandin.ActiveRequests() > 0 && base::Now() < *deadline)) {
    aStandin.Tick(base::Now());
    if (aIsStopping && !deadline) {
      base::Log("standin")->info("Stopping: {} requests are running.", aStandin.ActiveRequests());
      aStandin.Drain();
      deadline = base::Now() + aShutdownLimit;
    }
    timer.expires_after(kTickInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
  base::Log("standin")->info("Stopped with {} requests running.", aStandin.ActiveRequests());
  aContext.stop();
}

base::exit_code Run(settings const& aSettings)
{
  base::ConfigureLogging(aSettings.mLogLevel, "rattanpond-standin");
  asio::io_context context{ 1 };
  auto const created = base::Capture([&] { return standin::Create(context, aSettings); });
  if (!base::Succeeded(created)) {
    base::Log("standin")->error("Cannot start: {}.", base::Error(created).mMessage);
    return base::exit_code::failure;
  }
  bool isStopping = false;
  asio::signal_set signals{ context, SIGTERM, SIGINT };
  signals.async_wait([&](boost::system::error_code, int) { isStopping = true; });
  asio::co_spawn(context,
                 Serve(context, *std::get<0>(created), isStopping, aSettings.mShutdownLimit),
                 asio::detached);
  base::Log("standin")->info("Serving; control server on {}.",
                             net::ToString(std::get<0>(created)->ControlEndpoint()));
  context.run();
  return base::exit_code::success;
}

} // namespace

} // namespace rattanpond::standin

int main(int aCount, char** aArguments)
{
  using namespace rattanpond;
  return base::RunDaemon<standin::settings>(aCount, aArguments, "rattanpond-standin",
                                            &standin::Validate, &standin::Run);
}
