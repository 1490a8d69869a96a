#include "dispatch/job.h"

#include <charconv>

namespace rattanpond::dispatch {

std::string TaskName(std::string const& aJob, task_position const& aPosition)
{
  return aJob + '.' + std::to_string(aPosition.mOccurrence) + '.' +
         std::to_string(aPosition.mStep) + '.' + std::to_string(aPosition.mIndex);
}

std::string StepName(std::string const& aJob, task_position const& aPosition)
{
  return aJob + '.' + std::to_string(aPosition.mOccurrence) + '.' + std::to_string(aPosition.mStep);
}

std::optional<parsed_task> ParseTaskName(std::string const& aName)
{
  parsed_task parsed;
  std::uint32_t* const numbers[] = { &parsed.mPosition.mOccurrence, &parsed.mPosition.mStep,
                                     &parsed.mPosition.mIndex };
  auto const jobEnd = aName.find('.');
  if (jobEnd == std::string::npos || jobEnd == 0) {
    return std::nullopt;
  }
  parsed.mJob = aName.substr(0, jobEnd);
  auto const* next = aName.data() + jobEnd;
  auto const* const end = aName.data() + aName.size();
  for (auto* const number : numbers) {
    if (next == end || *next != '.') {
      return std::nullopt;
    }
    auto const [stopped, failure] = std::from_chars(next + 1, end, *number);
    if (failure != std::errc{}) {
      return std::nullopt;
    }
    next = stopped;
  }
  if (next != end) {
    return std::nullopt;
  }
  return parsed;
}

} // namespace rattanpond::dispatch
