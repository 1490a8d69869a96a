#include "dispatch/job_record.h"

#include <algorithm>

namespace rattanpond::dispatch {

namespace {

/// A task's state in the stored form; its position identifies the task.
struct stored_task
{
  std::uint32_t mOccurrence = 0;
  std::uint32_t mStep = 0;
  std::uint32_t mIndex = 0;
  std::uint32_t mStatus = 0;
  std::uint32_t mRun = 0;
  std::string mWorker;
  std::int64_t mWorkerIncarnationStart = 0;
  std::uint32_t mFailures = 0;
  std::string mCheckpoint;

  static constexpr auto Fields()
  {
    return std::make_tuple(
      base::Field("occurrence", &stored_task::mOccurrence),
      base::Field("step", &stored_task::mStep), base::Field("index", &stored_task::mIndex),
      base::Field("status", &stored_task::mStatus), base::Field("run", &stored_task::mRun),
      base::Field("worker", &stored_task::mWorker),
      base::Field("worker_born", &stored_task::mWorkerIncarnationStart),
      base::Field("failures", &stored_task::mFailures),
      base::Field("checkpoint", &stored_task::mCheckpoint));
  }
};

struct stored_state
{
  job_phase mPhase = job_phase::queued;
  std::vector<stored_task> mTasks{};

  static constexpr auto Fields()
  {
    return std::make_tuple(base::Field("phase", &stored_state::mPhase),
                           base::Field("tasks", &stored_state::mTasks));
  }
};

/// The crashes that a task is suspected of.
struct stored_crashes
{
  std::uint32_t mOccurrence = 0;
  std::uint32_t mStep = 0;
  std::uint32_t mIndex = 0;
  std::uint32_t mCrashes = 0;
  std::uint32_t mAlone = 0;

  static constexpr auto Fields()
  {
    return std::make_tuple(base::Field("occurrence", &stored_crashes::mOccurrence),
                           base::Field("step", &stored_crashes::mStep),
                           base::Field("index", &stored_crashes::mIndex),
                           base::Field("crashes", &stored_crashes::mCrashes),
                           base::Field("alone", &stored_crashes::mAlone));
  }
};

/// Form of the state of a job with suspected tasks. All others have the form above, which earlier
/// versions of the program read as well.
struct stored_state_with_crashes
{
  stored_state mState;
  std::vector<stored_crashes> mCrashes{};

  static constexpr auto Fields()
  {
    return std::make_tuple(base::Field("state", &stored_state_with_crashes::mState),
                           base::Field("crashes", &stored_state_with_crashes::mCrashes));
  }
};

/// Decodes either form; the first field of the plain one is a number.
std::optional<stored_state_with_crashes> DecodeState(std::string const& aText)
{
  auto const document = base::json::parse(aText, nullptr, false);
  if (document.is_array() && !document.empty() && document.front().is_array()) {
    auto const decoded =
      base::TryDecode<stored_state_with_crashes>(document, base::layout::positional);
    auto const* const stored = std::get_if<stored_state_with_crashes>(&decoded);
    return stored == nullptr ? std::nullopt : std::optional{ *stored };
  }
  auto const decoded = base::TryDecode<stored_state>(document, base::layout::positional);
  auto const* const stored = std::get_if<stored_state>(&decoded);
  return stored == nullptr ? std::nullopt
                           : std::optional{ stored_state_with_crashes{ .mState = *stored } };
}

} // namespace

job_record::job_record(std::string aId, job_description aDescription)
  : mId{ std::move(aId) }
  , mDescription{ std::move(aDescription) }
  , mTasks(mDescription.Runs())
{
  for (auto& occurrence : mTasks) {
    for (auto const& step : mDescription.mSteps) {
      occurrence.emplace_back(step.mCount);
    }
  }
}

tracked_task const* job_record::Find(task_position const& aPosition) const
{
  if (aPosition.mOccurrence >= mTasks.size() ||
      aPosition.mStep >= mTasks[aPosition.mOccurrence].size() ||
      aPosition.mIndex >= mTasks[aPosition.mOccurrence][aPosition.mStep].size()) {
    return nullptr;
  }
  return &mTasks[aPosition.mOccurrence][aPosition.mStep][aPosition.mIndex];
}

tracked_task* job_record::Find(task_position const& aPosition)
{
  return const_cast<tracked_task*>(std::as_const(*this).Find(aPosition));
}

std::vector<tracked_task>& job_record::Tasks(std::uint32_t aOccurrence, std::uint32_t aStep)
{
  return mTasks[aOccurrence][aStep];
}

std::vector<tracked_task> const& job_record::Tasks(std::uint32_t aOccurrence,
                                                   std::uint32_t aStep) const
{
  return mTasks[aOccurrence][aStep];
}

std::vector<task_position> job_record::ActiveTasks(std::uint32_t aOccurrence,
                                                   std::uint32_t aStep) const
{
  std::vector<task_position> active;
  auto const& tasks = Tasks(aOccurrence, aStep);
  for (std::uint32_t index = 0; index < tasks.size(); ++index) {
    if (tasks[index].mState.mStatus == task_status::active) {
      active.push_back({ aOccurrence, aStep, index });
    }
  }
  return active;
}

void job_record::ForEachTask(std::function<void(task_position const&, tracked_task&)> const& aVisit)
{
  task_position position;
  for (position.mOccurrence = 0; position.mOccurrence < mTasks.size(); ++position.mOccurrence) {
    auto& steps = mTasks[position.mOccurrence];
    for (position.mStep = 0; position.mStep < steps.size(); ++position.mStep) {
      for (position.mIndex = 0; position.mIndex < steps[position.mStep].size(); ++position.mIndex) {
        aVisit(position, steps[position.mStep][position.mIndex]);
      }
    }
  }
}

bool job_record::IsStepDone(std::uint32_t aOccurrence, std::uint32_t aStep) const
{
  return std::ranges::all_of(mTasks[aOccurrence][aStep], [](tracked_task const& aTask) {
    return aTask.mState.mStatus == task_status::done;
  });
}

bool job_record::IsStepReady(std::uint32_t aOccurrence, std::uint32_t aStep) const
{
  return std::ranges::all_of(
    mDescription.mSteps[aStep].mDependencies,
    [&](std::uint32_t aDependency) { return IsStepDone(aOccurrence, aDependency); });
}

bool job_record::IsDone() const
{
  for (std::uint32_t occurrence = 0; occurrence < mTasks.size(); ++occurrence) {
    for (std::uint32_t step = 0; step < mTasks[occurrence].size(); ++step) {
      if (!IsStepDone(occurrence, step)) {
        return false;
      }
    }
  }
  return true;
}

bool job_record::HasStarted() const
{
  return std::ranges::any_of(mTasks, [](auto const& aSteps) {
    return std::ranges::any_of(aSteps, [](auto const& aTasks) {
      return std::ranges::any_of(aTasks,
                                 [](tracked_task const& aTask) { return aTask.mState.mRun > 0; });
    });
  });
}

void job_record::ApplyReportedCheckpoints()
{
  ForEachTask([](task_position const&, tracked_task& aTask) {
    if (aTask.mState.mStatus == task_status::active && !aTask.mReportedCheckpoint.empty()) {
      aTask.mState.mCheckpoint = aTask.mReportedCheckpoint;
    }
  });
}

std::string job_record::EncodeState() const
{
  stored_state stored{ .mPhase = mPhase };
  std::vector<stored_crashes> crashes;
  const_cast<job_record*>(this)->ForEachTask(
    [&](task_position const& aPosition, tracked_task const& aTask) {
      auto const& state = aTask.mState;
      if (state == task_state{}) {
        return;
      }
      stored.mTasks.push_back({ .mOccurrence = aPosition.mOccurrence,
                                .mStep = aPosition.mStep,
                                .mIndex = aPosition.mIndex,
                                .mStatus = static_cast<std::uint32_t>(state.mStatus),
                                .mRun = state.mRun,
                                .mWorker = state.mWorker,
                                .mWorkerIncarnationStart = state.mWorkerIncarnationStart,
                                .mFailures = state.mFailures,
                                .mCheckpoint = state.mCheckpoint });
      if (state.mCrashes != crash_count{}) {
        crashes.push_back({ .mOccurrence = aPosition.mOccurrence,
                            .mStep = aPosition.mStep,
                            .mIndex = aPosition.mIndex,
                            .mCrashes = state.mCrashes.mCrashes,
                            .mAlone = state.mCrashes.mAlone });
      }
    });
  if (crashes.empty()) {
    return base::Encode(stored, base::layout::positional).dump();
  }
  return base::Encode(
           stored_state_with_crashes{ .mState = std::move(stored), .mCrashes = std::move(crashes) },
           base::layout::positional)
    .dump();
}

void job_record::ResetState()
{
  ForEachTask([](task_position const&, tracked_task& aTask) { aTask = {}; });
  mPhase = job_phase::queued;
  mIsTerminated = false;
  MarkStateStored(0, mPhase);
}

bool job_record::ApplyState(std::string const& aText, base::time_point aStoredAt)
{
  auto const decoded = DecodeState(aText);
  if (!decoded) {
    return false;
  }
  auto const* const stored = &decoded->mState;
  mPhase = stored->mPhase;
  mIsTerminated = false;
  std::vector<std::pair<tracked_task*, task_state>> decodedTasks;
  for (auto const& entry : stored->mTasks) {
    auto* const task = Find({ entry.mOccurrence, entry.mStep, entry.mIndex });
    if (task == nullptr || entry.mStatus > static_cast<std::uint32_t>(task_status::done)) {
      continue;
    }
    decodedTasks.emplace_back(task,
                              task_state{ .mStatus = static_cast<task_status>(entry.mStatus),
                                          .mRun = entry.mRun,
                                          .mWorker = entry.mWorker,
                                          .mWorkerIncarnationStart = entry.mWorkerIncarnationStart,
                                          .mFailures = entry.mFailures,
                                          .mCheckpoint = entry.mCheckpoint });
  }
  for (auto const& [task, state] : decodedTasks) {
    if (state.mRun != task->mState.mRun) {
      task->mRunSeenAt = aStoredAt;
    }
  }
  ForEachTask([](task_position const&, tracked_task& aTask) { aTask.mState = {}; });
  mStoredPhase = mPhase;
  for (auto& [task, state] : decodedTasks) {
    task->mState = std::move(state);
  }
  for (auto const& entry : decoded->mCrashes) {
    if (auto* const task = Find({ entry.mOccurrence, entry.mStep, entry.mIndex })) {
      task->mState.mCrashes = { .mCrashes = entry.mCrashes, .mAlone = entry.mAlone };
    }
  }
  return true;
}

} // namespace rattanpond::dispatch
