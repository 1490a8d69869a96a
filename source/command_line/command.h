#pragma once

#include "command_line/command_context.h"

#include <span>
#include <string_view>

#include <boost/program_options/options_description.hpp>

namespace rattanpond::command_line {

/// Description of one rattanpondctl command.
struct command
{
  /// One or two words.
  std::string_view mName;
  /// Positional arguments as shown in the usage text.
  std::string_view mArguments;
  std::size_t mArgumentCount = 0;
  std::string_view mSummary;
  /// Adds the options that only this command has; may be null.
  void (*mAddOptions)(boost::program_options::options_description&) = nullptr;
  exit_status (*mRun)(command_context&) = nullptr;
};

std::span<command const> ConfigurationCommands();
std::span<command const> WorkCommands();

} // namespace rattanpond::command_line
