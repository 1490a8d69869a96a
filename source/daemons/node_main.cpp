#include "base/program.h"
#include "daemons/front_process.h"
#include "daemons/side_process.h"

#include <iostream>
#include <string_view>

namespace {

using namespace rattanpond;

template<class Process>
base::result<void> RunProcess()
{
  BOOST_LEAF_AUTO(settings, platform::LoadDeploymentSettings());
  BOOST_LEAF_AUTO(process, Process::Create(settings));
  process->Run();
  return {};
}

struct role_entry
{
  std::string_view mName;
  base::result<void> (*mRun)();
};

constexpr role_entry kRoles[] = { { "front", &RunProcess<daemons::front_process> },
                                  { "side", &RunProcess<daemons::side_process> } };

} // namespace

int main(int aCount, char** aArguments)
{
  std::string_view const name = aCount == 2 ? aArguments[1] : "";
  for (auto const& role : kRoles) {
    if (role.mName != name) {
      continue;
    }
    auto const ended = base::Capture(role.mRun);
    if (!base::Succeeded(ended)) {
      std::cerr << "rattanpond-node: " << base::Error(ended).mMessage << '\n';
      return static_cast<int>(base::exit_code::failure);
    }
    return static_cast<int>(base::exit_code::success);
  }
  std::cerr << "usage: rattanpond-node front|side\n";
  return static_cast<int>(base::exit_code::invalid_settings);
}
