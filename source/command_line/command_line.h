#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace rattanpond::command_line {

/// Environment variables of rattanpondctl.
struct environment
{
  /// RATTANPOND_ENTRIES: comma-separated addresses, used when --entry is not given.
  std::string mEntries;
  /// RATTANPOND_TOKEN: used when --token-file is not given.
  std::string mToken;
};

/// Runs rattanpondctl and returns its exit code.
int RunCommandLine(std::vector<std::string> const& aArguments, environment const& aEnvironment,
                   std::ostream& aOutput, std::ostream& aErrors);

} // namespace rattanpond::command_line
