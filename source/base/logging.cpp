#include "base/logging.h"

#include "base/nonblocking_sink.h"

#include <memory>
#include <mutex>

#include <unistd.h>

#include <spdlog/sinks/stdout_sinks.h>

namespace rattanpond::base {

namespace {

struct logging_state
{
  std::mutex mMutex;
  std::string mPattern = "%Y-%m-%dT%H:%M:%S.%e %L %n: %v";
  spdlog::level::level_enum mLevel = spdlog::level::info;
  /// Shared by all loggers, so that their lines do not interleave; null for standard error.
  spdlog::sink_ptr mOutput;
};

logging_state& State()
{
  static logging_state sState;
  return sState;
}

spdlog::level::level_enum ToSpdlog(log_level aLevel)
{
  switch (aLevel) {
    case log_level::debug:
      return spdlog::level::debug;
    case log_level::info:
      return spdlog::level::info;
    case log_level::warning:
      return spdlog::level::warn;
    case log_level::error:
      return spdlog::level::err;
  }
  return spdlog::level::info;
}

} // namespace

void ConfigureLogging(log_level aLevel, std::string const& aProcess, log_output aTarget)
{
  auto& state = State();
  std::lock_guard const lock{ state.mMutex };
  state.mLevel = ToSpdlog(aLevel);
  if (aTarget == log_output::standard_output && !state.mOutput) {
    state.mOutput = std::make_shared<nonblocking_sink>(STDOUT_FILENO);
  }
  state.mPattern = "%Y-%m-%dT%H:%M:%S.%e %L " + aProcess + " %n: %v";
  spdlog::apply_all([&](std::shared_ptr<spdlog::logger> const& aLogger) {
    aLogger->set_level(state.mLevel);
    aLogger->set_pattern(state.mPattern);
  });
}

std::shared_ptr<spdlog::logger> Log(std::string const& aComponent)
{
  auto& state = State();
  std::lock_guard const lock{ state.mMutex };
  if (auto existing = spdlog::get(aComponent)) {
    return existing;
  }
  std::shared_ptr<spdlog::logger> logger;
  if (state.mOutput) {
    logger = std::make_shared<spdlog::logger>(aComponent, state.mOutput);
    spdlog::register_logger(logger);
  } else {
    logger = spdlog::stderr_logger_mt(aComponent);
  }
  logger->set_level(state.mLevel);
  logger->set_pattern(state.mPattern);
  logger->flush_on(spdlog::level::info);
  return logger;
}

} // namespace rattanpond::base
