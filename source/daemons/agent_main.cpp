#include "base/program.h"
#include "daemons/agent_process.h"

#include <iostream>

int main(int aCount, char** aArguments)
{
  using namespace rattanpond;
  auto const run = [](daemons::agent_settings const& aSettings) {
    auto const started = base::Capture([&]() -> base::result<void> {
      BOOST_LEAF_AUTO(process, daemons::agent_process::Create(aSettings));
      process->Run();
      return {};
    });
    if (!base::Succeeded(started)) {
      std::cerr << "rattanpond-agent: " << base::Error(started).mMessage << '\n';
      return base::exit_code::failure;
    }
    return base::exit_code::success;
  };
  return base::RunDaemon<daemons::agent_settings>(
    aCount, aArguments, "rattanpond-agent",
    [](daemons::agent_settings const& aSettings) { return daemons::Validate(aSettings); }, run);
}
