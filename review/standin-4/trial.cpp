#include "cases.h"

#include <iostream>

// Usage: trial CASE ROOT RECORD. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
// could not run. With TROUBLE=0 in the environment there is no disruption.
int main(int aCount, char** aArguments)
{
  if (aCount != 4) {
    std::cerr << "usage: trial CASE ROOT RECORD\n";
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  auto const* const trouble = std::getenv("TROUBLE");
  auto const hasTrouble = trouble == nullptr || std::string{ trouble } != "0";
  review::record::Get().Open(aArguments[3]);
  int status = 2;
  try {
    status = review::RunCase(aArguments[1], aArguments[2], hasTrouble);
  } catch (std::exception const& thrown) {
    review::Record(std::string{ "the case could not run: " } + thrown.what());
  }
  review::Record("exit " + std::to_string(status));
  std::cout << aArguments[1] << ": exit " << status << std::endl;
  // Threads of the stand-ins still run; the processes have been ended.
  std::_Exit(status);
}
