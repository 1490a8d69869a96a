#include "cases.h"

#include <csignal>
#include <cstdio>

#include <unistd.h>

/// Plays one case. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not
/// run.
int main(int aCount, char** aArguments)
{
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  ::signal(SIGPIPE, SIG_IGN);
  std::string const name = aCount > 1 ? aArguments[1] : "";
  std::string const folder = aCount > 2 ? aArguments[2] : ".";
  auto const found = standin::Cases().find(name);
  if (found == standin::Cases().end()) {
    std::printf("unknown case %s\n", name.c_str());
    return 2;
  }
  int result = 2;
  try {
    result = found->second(folder);
  } catch (std::exception const& failure) {
    std::printf("the case could not run: %s\n", failure.what());
  }
  std::printf("%s\n", result == 0 ? "held" : result == 1 ? "BROKEN" : "not run");
  std::fflush(stdout);
  // The threads of the stand-ins end with the process; the nodes have been ended by now.
  ::_exit(result);
}
