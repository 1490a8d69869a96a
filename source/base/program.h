#pragma once

#include "base/logging.h"
#include "base/toml_document.h"

#include <functional>
#include <iostream>
#include <optional>
#include <string>

namespace rattanpond::base {

inline constexpr std::string_view kVersion = "0.1.0";

/// Exit codes of all programs.
enum class exit_code : int
{
  success = 0,
  failure = 1,
  invalid_settings = 2
};

/// Command-line options that all daemons share.
struct daemon_command_line
{
  std::string mConfigFile;
  bool mCheckConfig = false;
  bool mPrintConfig = false;
};

/// Parses --config, --check-config, --print-config, --version and --help. Returns an exit code if
/// the program must exit without starting.
std::variant<daemon_command_line, exit_code> ParseDaemonCommandLine(int aCount,
                                                                    char const* const* aArguments,
                                                                    std::string const& aProgram);

/// Loads and validates settings. Unknown keys, wrong types and values out of range fail with
/// invalid_settings; the message contains file, line, column and key.
template<described T>
result<T> LoadSettings(std::string const& aFile)
{
  BOOST_LEAF_AUTO(document, toml_document::Load(aFile, result_code::invalid_settings));
  return document.template As<T>();
}

/// Main function of a daemon: parses the command line, loads the settings and calls aRun. aValidate
/// checks constraints that field ranges cannot express, such as the format of addresses. aRun is
/// not called if the settings are invalid.
template<described T>
int RunDaemon(int aCount, char const* const* aArguments, std::string const& aProgram,
              std::function<result<void>(T const&)> aValidate,
              std::function<exit_code(T const&)> aRun)
{
  auto const parsed = ParseDaemonCommandLine(aCount, aArguments, aProgram);
  if (auto const* const code = std::get_if<exit_code>(&parsed)) {
    return static_cast<int>(*code);
  }
  auto const& commandLine = std::get<daemon_command_line>(parsed);
  auto const loaded = Capture([&]() -> result<T> {
    BOOST_LEAF_AUTO(settings, LoadSettings<T>(commandLine.mConfigFile));
    BOOST_LEAF_CHECK(aValidate(settings));
    return settings;
  });
  if (!Succeeded(loaded)) {
    auto const& failure = Error(loaded);
    std::cerr << aProgram << ": error " << static_cast<int>(failure.mCode) << " ("
              << Name(failure.mCode) << "): " << failure.mMessage << '\n';
    return static_cast<int>(exit_code::invalid_settings);
  }
  auto const& settings = std::get<0>(loaded);
  if (commandLine.mPrintConfig) {
    std::cout << ToToml(Encode(settings));
  }
  if (commandLine.mPrintConfig || commandLine.mCheckConfig) {
    return static_cast<int>(exit_code::success);
  }
  return static_cast<int>(aRun(settings));
}

} // namespace rattanpond::base
