#pragma once

#include "base/enum_names.h"

#include <memory>
#include <string>

#include <spdlog/spdlog.h>

namespace rattanpond::base {

enum class log_level
{
  debug,
  info,
  warning,
  error
};

template<>
struct enum_names<log_level>
{
  static constexpr enum_name<log_level> kTable[] = { { log_level::debug, "debug" },
                                                     { log_level::info, "info" },
                                                     { log_level::warning, "warning" },
                                                     { log_level::error, "error" } };
};

/// Stream that log lines are written to. Commands reserve standard output for their results.
enum class log_output
{
  standard_error,
  standard_output
};

/// Sets the level of all loggers and the process name that precedes the logger name in each line.
/// Existing loggers keep their output, so call this before the first call of Log to choose it.
void ConfigureLogging(log_level aLevel, std::string const& aProcess,
                      log_output aTarget = log_output::standard_error);

/// Returns the logger of a component, e.g. Log("scheduling"); each of its lines contains the
/// component name. Thread-safe, but takes a lock: callers on hot paths keep the returned pointer.
std::shared_ptr<spdlog::logger> Log(std::string const& aComponent);

} // namespace rattanpond::base
