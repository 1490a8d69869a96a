#include "base/program.h"

#include <boost/program_options.hpp>

namespace rattanpond::base {

namespace options = boost::program_options;

std::variant<daemon_command_line, exit_code> ParseDaemonCommandLine(int aCount,
                                                                    char const* const* aArguments,
                                                                    std::string const& aProgram)
{
  options::options_description description{ "Usage: " + aProgram + " --config FILE [options]" };
  description.add_options()("help,h", "print this help and exit")(
    "version", "print the version and exit")("config", options::value<std::string>(),
                                             "settings file (TOML)")(
    "check-config", "validate the settings and exit; exit code 2 if they are invalid")(
    "print-config", "print the effective settings, including defaults, and exit");
  options::variables_map given;
  try {
    options::store(options::parse_command_line(aCount, aArguments, description), given);
  } catch (options::error const& failure) {
    std::cerr << aProgram << ": " << failure.what() << '\n';
    return exit_code::invalid_settings;
  }
  if (given.contains("help")) {
    std::cout << description;
    return exit_code::success;
  }
  if (given.contains("version")) {
    std::cout << aProgram << ' ' << kVersion << '\n';
    return exit_code::success;
  }
  if (!given.contains("config")) {
    std::cerr << aProgram << ": --config is required\n";
    return exit_code::invalid_settings;
  }
  return daemon_command_line{ .mConfigFile = given["config"].as<std::string>(),
                              .mCheckConfig = given.contains("check-config"),
                              .mPrintConfig = given.contains("print-config") };
}

} // namespace rattanpond::base
