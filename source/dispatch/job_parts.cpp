#include "dispatch/job_parts.h"

#include <algorithm>

namespace rattanpond::dispatch {

job_parts::job_parts(job_description const& aJob)
{
  for (auto const& step : aJob.mSteps) {
    mStepOffsets.push_back(mTasksPerOccurrence);
    mTasksPerOccurrence += step.mCount;
  }
  mTasks = mTasksPerOccurrence * aJob.Runs();
  if (mTasks > kTasksInOneRow) {
    mCount = static_cast<std::uint32_t>((mTasks + kTasksPerPart - 1) / kTasksPerPart);
  }
}

std::uint32_t job_parts::PartOf(task_position const& aPosition) const
{
  auto const index =
    aPosition.mOccurrence * mTasksPerOccurrence + mStepOffsets[aPosition.mStep] + aPosition.mIndex;
  return static_cast<std::uint32_t>(index / kTasksPerPart);
}

std::vector<task_position> job_parts::TasksOf(std::uint32_t aPart) const
{
  std::vector<task_position> tasks;
  auto const first = aPart * kTasksPerPart;
  for (auto index = first; index < std::min(first + kTasksPerPart, mTasks); ++index) {
    auto const inOccurrence = index % mTasksPerOccurrence;
    auto const step =
      std::ranges::upper_bound(mStepOffsets, inOccurrence) - mStepOffsets.begin() - 1;
    tasks.push_back({ .mOccurrence = static_cast<std::uint32_t>(index / mTasksPerOccurrence),
                      .mStep = static_cast<std::uint32_t>(step),
                      .mIndex = static_cast<std::uint32_t>(
                        inOccurrence - mStepOffsets[static_cast<std::size_t>(step)]) });
  }
  return tasks;
}

} // namespace rattanpond::dispatch
