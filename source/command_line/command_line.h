#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace rattanpond::command_line {

/// Surroundings of rattanpondctl.
struct surroundings
{
  /// RATTANPOND_ENTRIES: addresses separated by commas, used without --entry.
  std::string mEntries;
  /// RATTANPOND_TOKEN: used without --token-file.
  std::string mToken;
};

/// Main function of rattanpondctl. Returns its exit code.
int RunCommandLine(std::vector<std::string> const& aArguments, surroundings const& aSurroundings,
                   std::ostream& aOutput, std::ostream& aErrors);

} // namespace rattanpond::command_line
