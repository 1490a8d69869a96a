#include "dispatch/job.h"

#include <algorithm>
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

std::string EncodeDescription(job_description const& aJob)
{
  auto encoded = base::Encode(aJob);
  auto const defaults = base::Encode(job_step{});
  for (auto& step : encoded["steps"]) {
    for (auto const& [name, value] : defaults.items()) {
      if (step[name] == value) {
        step.erase(name);
      }
    }
  }
  return encoded.dump();
}

std::string WhyImpossible(job_description const& aJob)
{
  if (aJob.mSteps.empty() || aJob.mSteps.size() > kMaximumSteps) {
    return "the number of steps is not between 1 and " + std::to_string(kMaximumSteps);
  }
  std::int64_t tasks = 0;
  for (std::uint32_t index = 0; index < aJob.mSteps.size(); ++index) {
    auto const& step = aJob.mSteps[index];
    tasks += step.mCount;
    if (std::ranges::any_of(step.mDependencies,
                            [&](std::uint32_t aEarlier) { return aEarlier >= index; })) {
      return "a step depends on one that is not an earlier one";
    }
    if (!step.mDemand.Covers({}) || step.mEstimate.count() < 0) {
      return "a demand or an estimate is negative";
    }
  }
  if (tasks * aJob.Runs() > kMaximumTasks) {
    return "there are more than " + std::to_string(kMaximumTasks) + " tasks";
  }
  return {};
}

} // namespace rattanpond::dispatch
