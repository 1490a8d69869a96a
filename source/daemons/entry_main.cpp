#include "base/program.h"
#include "daemons/entry_process.h"

#include <iostream>

int main(int aCount, char** aArguments)
{
  using namespace rattanpond;
  auto const run = [](daemons::entry_settings const& aSettings) {
    auto const started = base::Capture([&]() -> base::result<void> {
      BOOST_LEAF_AUTO(process, daemons::entry_process::Create(aSettings));
      process->Run();
      return {};
    });
    if (!base::Succeeded(started)) {
      std::cerr << "rattanpond-entry: " << base::Error(started).mMessage << '\n';
      return base::exit_code::failure;
    }
    return base::exit_code::success;
  };
  return base::RunDaemon<daemons::entry_settings>(
    aCount, aArguments, "rattanpond-entry",
    [](daemons::entry_settings const& aSettings) { return daemons::Validate(aSettings); }, run);
}
