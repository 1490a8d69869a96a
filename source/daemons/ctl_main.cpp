#include "command_line/command_line.h"

#include <cstdlib>
#include <iostream>

namespace {

std::string Variable(char const* aName)
{
  auto const* const value = std::getenv(aName);
  return value == nullptr ? std::string{} : std::string{ value };
}

} // namespace

int main(int aCount, char** aArguments)
{
  return rattanpond::command_line::RunCommandLine(
    { aArguments + 1, aArguments + aCount },
    { .mEntries = Variable("RATTANPOND_ENTRIES"), .mToken = Variable("RATTANPOND_TOKEN") },
    std::cout, std::cerr);
}
