#include "dispatch/job_record.h"

#include <algorithm>
#include <functional>
#include <numeric>
#include <utility>

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
  std::string mWorker{};
  std::int64_t mWorkerIncarnationStart = 0;
  std::uint32_t mFailures = 0;
  std::string mCheckpoint{};

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

/// First field of the state of a job that is stored in parts; the second one is the phase. Earlier
/// versions of the program cannot read this form.
constexpr char const* kInParts = "parts";

std::string EncodeInParts(job_phase aPhase)
{
  return base::json::array({ kInParts, static_cast<int>(aPhase) }).dump();
}

/// Returns the phase if the state is stored in parts.
std::optional<job_phase> DecodeInParts(base::json const& aDocument)
{
  if (!aDocument.is_array() || aDocument.size() != 2 || aDocument[0] != kInParts ||
      !aDocument[1].is_number_unsigned() ||
      aDocument[1].get<std::uint64_t>() > static_cast<std::uint64_t>(job_phase::cancelled)) {
    return std::nullopt;
  }
  return static_cast<job_phase>(aDocument[1].get<int>());
}

/// Decodes either form of a state in one row; the first field of the plain one is a number.
std::optional<stored_state_with_crashes> DecodeState(base::json const& aDocument)
{
  if (aDocument.is_array() && !aDocument.empty() && aDocument.front().is_array()) {
    auto const decoded =
      base::TryDecode<stored_state_with_crashes>(aDocument, base::layout::positional);
    auto const* const stored = std::get_if<stored_state_with_crashes>(&decoded);
    return stored == nullptr ? std::nullopt : std::optional{ *stored };
  }
  auto const decoded = base::TryDecode<stored_state>(aDocument, base::layout::positional);
  auto const* const stored = std::get_if<stored_state>(&decoded);
  return stored == nullptr ? std::nullopt
                           : std::optional{ stored_state_with_crashes{ .mState = *stored } };
}

std::uint64_t Combine(std::uint64_t aHash, std::uint64_t aValue)
{
  constexpr std::uint64_t kPrime = 0x100000001b3;
  return (aHash ^ aValue) * kPrime;
}

std::uint64_t Fingerprint(task_position const& aPosition, task_state const& aState)
{
  std::uint64_t hash = 0xcbf29ce484222325;
  for (std::uint64_t const value :
       { std::uint64_t{ aPosition.mOccurrence }, std::uint64_t{ aPosition.mStep },
         std::uint64_t{ aPosition.mIndex }, static_cast<std::uint64_t>(aState.mStatus),
         std::uint64_t{ aState.mRun }, std::uint64_t{ std::hash<std::string>{}(aState.mWorker) },
         static_cast<std::uint64_t>(aState.mWorkerIncarnationStart),
         std::uint64_t{ aState.mFailures }, std::uint64_t{ aState.mLastFailedRun },
         std::uint64_t{ std::hash<std::string>{}(aState.mCheckpoint) },
         std::uint64_t{ aState.mCrashes.mCrashes }, std::uint64_t{ aState.mCrashes.mAlone },
         static_cast<std::uint64_t>(aState.mLateStartUntilMs),
         std::uint64_t{ std::hash<std::string>{}(aState.MayReceiveCalls() ? aState.mIdentifier
                                                                          : std::string{}) } }) {
    hash = Combine(hash, value);
  }
  for (auto const& crash : aState.mSuspectedCrashes) {
    for (std::uint64_t const value :
         { std::uint64_t{ std::hash<std::string>{}(crash.mWorker) },
           static_cast<std::uint64_t>(crash.mWorkerIncarnationStart), std::uint64_t{ crash.mRun },
           std::uint64_t{ crash.mIsAlone } }) {
      hash = Combine(hash, value);
    }
  }
  return hash;
}

} // namespace

/// Encoded states of tasks, without those that have not had a run. Four kinds of entries follow
/// that of their task and have an index after the last one of the step, since earlier versions of
/// the program ignore tasks that the job does not have: the last failed run of a gang, the time
/// until which a start may be carried out late, the worker's identifier, and suspected crashes.
struct job_record::task_states
{
  std::vector<stored_task> mTasks{};
  std::vector<stored_crashes> mCrashes{};

  void Add(job_step const& aStep, task_position const& aPosition, task_state const& aState)
  {
    if (aState == task_state{}) {
      return;
    }
    mTasks.push_back({ .mOccurrence = aPosition.mOccurrence,
                       .mStep = aPosition.mStep,
                       .mIndex = aPosition.mIndex,
                       .mStatus = static_cast<std::uint32_t>(aState.mStatus),
                       .mRun = aState.mRun,
                       .mWorker = aState.mWorker,
                       .mWorkerIncarnationStart = aState.mWorkerIncarnationStart,
                       .mFailures = aState.mFailures,
                       .mCheckpoint = aState.mCheckpoint });
    if (aState.mLastFailedRun != 0) {
      mTasks.push_back({ .mOccurrence = aPosition.mOccurrence,
                         .mStep = aPosition.mStep,
                         .mIndex = aStep.mCount,
                         .mRun = aState.mLastFailedRun });
    }
    if (aState.mLateStartUntilMs != 0) {
      mTasks.push_back({ .mOccurrence = aPosition.mOccurrence,
                         .mStep = aPosition.mStep,
                         .mIndex = LateStartIndex(aStep, aPosition.mIndex),
                         .mWorkerIncarnationStart = aState.mLateStartUntilMs });
    }
    if (aState.MayReceiveCalls() && !aState.mIdentifier.empty()) {
      mTasks.push_back({ .mOccurrence = aPosition.mOccurrence,
                         .mStep = aPosition.mStep,
                         .mIndex = IdentifierIndex(aStep, aPosition.mIndex),
                         .mWorker = aState.mIdentifier });
    }
    for (auto const& crash : aState.mSuspectedCrashes) {
      mTasks.push_back({ .mOccurrence = aPosition.mOccurrence,
                         .mStep = aPosition.mStep,
                         .mIndex = SuspectedCrashIndex(aStep, aPosition.mIndex),
                         .mRun = crash.mRun,
                         .mWorker = crash.mWorker,
                         .mWorkerIncarnationStart = crash.mWorkerIncarnationStart,
                         .mFailures = crash.mIsAlone ? 1U : 0U });
    }
    if (aState.mCrashes != crash_count{}) {
      mCrashes.push_back({ .mOccurrence = aPosition.mOccurrence,
                           .mStep = aPosition.mStep,
                           .mIndex = aPosition.mIndex,
                           .mCrashes = aState.mCrashes.mCrashes,
                           .mAlone = aState.mCrashes.mAlone });
    }
  }

  using removed_checkpoints = std::vector<std::pair<task_position, std::string>>;

  /// Removes the longest checkpoints until the others have at most aBytes in total, not encoded.
  removed_checkpoints LimitCheckpoints(std::size_t aBytes)
  {
    auto bytes = std::accumulate(
      mTasks.begin(), mTasks.end(), std::size_t{ 0 },
      [](std::size_t aSum, stored_task const& aTask) { return aSum + aTask.mCheckpoint.size(); });
    return RemoveLongestFirst([&](std::string const& aCheckpoint) {
      auto const isOver = bytes > aBytes;
      bytes -= aCheckpoint.size();
      return isOver;
    });
  }

  /// Removes the longest checkpoints until at least aBytes of the encoded form are gone, or all of
  /// them are.
  removed_checkpoints RemoveCheckpoints(std::size_t aBytes)
  {
    std::size_t bytes = 0;
    return RemoveLongestFirst([&](std::string const& aCheckpoint) {
      if (bytes >= aBytes) {
        return false;
      }
      constexpr std::size_t kQuotes = 2;
      bytes += base::json(aCheckpoint).dump().size() - kQuotes;
      return true;
    });
  }

  /// Removes checkpoints, the longest one first, until aIsRemoved returns false. Returns the
  /// removed ones with the positions of their tasks.
  removed_checkpoints RemoveLongestFirst(
    std::function<bool(std::string const& aCheckpoint)> const& aIsRemoved)
  {
    std::vector<stored_task*> longestFirst;
    for (auto& task : mTasks) {
      if (!task.mCheckpoint.empty()) {
        longestFirst.push_back(&task);
      }
    }
    std::ranges::stable_sort(longestFirst, std::greater<>{},
                             [](stored_task const* aTask) { return aTask->mCheckpoint.size(); });
    removed_checkpoints removed;
    for (auto* const task : longestFirst) {
      if (!aIsRemoved(task->mCheckpoint)) {
        break;
      }
      removed.emplace_back(task_position{ task->mOccurrence, task->mStep, task->mIndex },
                           std::exchange(task->mCheckpoint, {}));
    }
    return removed;
  }

  /// Index of the entry with the time of a late start. The one after the last task is that of a
  /// gang's last failed run.
  static std::uint32_t LateStartIndex(job_step const& aStep, std::uint32_t aTask)
  {
    return aStep.mCount + 1 + aTask;
  }

  static std::uint32_t IdentifierIndex(job_step const& aStep, std::uint32_t aTask)
  {
    return LateStartIndex(aStep, aStep.mCount) + aTask;
  }

  static std::uint32_t SuspectedCrashIndex(job_step const& aStep, std::uint32_t aTask)
  {
    return IdentifierIndex(aStep, aStep.mCount) + aTask;
  }

  static constexpr auto Fields()
  {
    return std::make_tuple(base::Field("tasks", &task_states::mTasks),
                           base::Field("crashes", &task_states::mCrashes));
  }
};

job_record::job_record(std::string aId, job_description aDescription)
  : mId{ std::move(aId) }
  , mDescription{ std::move(aDescription) }
  , mParts{ mDescription }
  , mStoredParts(mParts.Count())
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
  task_states states;
  const_cast<job_record*>(this)->ForEachTask(
    [&](task_position const& aPosition, tracked_task const& aTask) {
      states.Add(Step(aPosition), aPosition, aTask.mState);
    });
  return EncodeWhole(states);
}

std::string job_record::EncodeWhole(task_states const& aStates) const
{
  stored_state stored{ .mPhase = mPhase, .mTasks = aStates.mTasks };
  if (aStates.mCrashes.empty()) {
    return base::Encode(stored, base::layout::positional).dump();
  }
  return base::Encode(
           stored_state_with_crashes{ .mState = std::move(stored), .mCrashes = aStates.mCrashes },
           base::layout::positional)
    .dump();
}

std::string job_record::EncodeRow(task_states aStates, std::size_t aMaximumBytes,
                                  std::function<std::string(task_states const&)> const& aEncode)
{
  auto const moveToOwnRows = [&](task_states::removed_checkpoints aRemoved) {
    for (auto& [position, checkpoint] : aRemoved) {
      mCheckpointRows.Set(position, std::move(checkpoint));
    }
  };
  // Encoding never shortens a checkpoint, so those that are too long already need not be encoded.
  moveToOwnRows(aStates.LimitCheckpoints(aMaximumBytes));
  auto text = aEncode(aStates);
  if (text.size() <= aMaximumBytes) {
    return text;
  }
  moveToOwnRows(aStates.RemoveCheckpoints(text.size() - aMaximumBytes));
  return aEncode(aStates);
}

std::uint64_t job_record::FingerprintOf(std::uint32_t aPart) const
{
  std::uint64_t fingerprint = 0;
  for (auto const& position : mParts.TasksOf(aPart)) {
    if (auto const& state = Find(position)->mState; !(state == task_state{})) {
      fingerprint = Combine(fingerprint, Fingerprint(position, state));
    }
  }
  return fingerprint;
}

state_change job_record::EncodeChange(change_limits const& aLimits)
{
  state_change change;
  std::size_t bytes = 0;
  auto const add = [&](task_states& aStates, task_position const& aPosition) {
    mCheckpointRows.Remove(aPosition);
    aStates.Add(Step(aPosition), aPosition, Find(aPosition)->mState);
  };
  if (mParts.Count() == 0) {
    task_states states;
    ForEachTask(
      [&](task_position const& aPosition, tracked_task const&) { add(states, aPosition); });
    change.mState = EncodeRow(std::move(states), aLimits.mRowBytes,
                              [this](task_states const& aStates) { return EncodeWhole(aStates); });
    bytes = change.mState->size();
  }
  // In ascending order: the failures of a gang are in the part of its first member, and must not be
  // stored after the ends of the members that are counted there.
  for (std::uint32_t part = 0; part < mParts.Count(); ++part) {
    auto const fingerprint = FingerprintOf(part);
    if (fingerprint == mStoredParts[part].mFingerprint) {
      continue;
    }
    auto const isFull = bytes >= aLimits.mBytes && !change.mParts.empty();
    if (change.mParts.size() == aLimits.mParts || isFull) {
      change.mOpenParts.insert(part);
      continue;
    }
    task_states states;
    for (auto const& position : mParts.TasksOf(part)) {
      add(states, position);
    }
    change.mParts.push_back(
      { .mPart = part,
        .mExpectedVersion = mStoredParts[part].mVersion,
        .mFingerprint = fingerprint,
        .mText = EncodeRow(std::move(states), aLimits.mRowBytes, [](task_states const& aStates) {
          return base::Encode(aStates, base::layout::positional).dump();
        }) });
    bytes += change.mParts.back().mText.size();
  }
  if (mParts.Count() > 0 && change.mOpenParts.empty()) {
    change.mState = EncodeInParts(mPhase);
  }
  change.mCheckpoints =
    mCheckpointRows.Encode(aLimits.mRowBytes, aLimits.mBytes - std::min(bytes, aLimits.mBytes));
  return change;
}

bool job_record::ApplyCheckpointRow(std::uint32_t aRow, std::string const& aText)
{
  auto const isReadable = mCheckpointRows.ApplyRow(aRow, aText);
  CompleteCheckpoints();
  return isReadable;
}

void job_record::RemoveCheckpointRow(std::uint32_t aRow)
{
  mCheckpointRows.RemoveRow(aRow);
  CompleteCheckpoints();
}

void job_record::CompleteCheckpoints()
{
  // What is read belongs to the stored state, so that it makes no part differ from its row.
  std::set<std::uint32_t> unchangedParts;
  for (auto const& [position, known] : mCheckpointRows.Entries()) {
    auto* const task = Find(position);
    if (task == nullptr || task->mState.mRun == 0 || task->mState.mStatus == task_status::done) {
      continue;
    }
    auto& checkpoint = task->mState.mCheckpoint;
    if ((!checkpoint.empty() && !task->mIsCheckpointInOwnRow) || checkpoint == known.mCheckpoint) {
      continue;
    }
    if (mParts.Count() > 0 && !unchangedParts.contains(mParts.PartOf(position)) &&
        mStoredParts[mParts.PartOf(position)].mFingerprint ==
          FingerprintOf(mParts.PartOf(position))) {
      unchangedParts.insert(mParts.PartOf(position));
    }
    checkpoint = known.mCheckpoint;
    task->mIsCheckpointInOwnRow = true;
  }
  for (auto const part : unchangedParts) {
    mStoredParts[part].mFingerprint = FingerprintOf(part);
  }
}

void job_record::MarkPartsStored(std::uint64_t aVersion, std::vector<part_change> const& aParts)
{
  for (auto const& part : aParts) {
    mStoredParts[part.mPart] = { .mVersion = aVersion, .mFingerprint = part.mFingerprint };
  }
}

void job_record::MarkPartsRemoved(std::vector<std::uint32_t> const& aParts)
{
  for (auto const part : aParts) {
    mStoredParts[part] = {};
  }
}

std::vector<std::uint32_t> job_record::PartsWithRows() const
{
  std::vector<std::uint32_t> parts;
  for (std::uint32_t part = 0; part < mStoredParts.size(); ++part) {
    if (mStoredParts[part].mVersion != 0) {
      parts.push_back(part);
    }
  }
  return parts;
}

void job_record::ResetState()
{
  ForEachTask([](task_position const&, tracked_task& aTask) { aTask = {}; });
  mPhase = job_phase::queued;
  mIsTerminated = false;
  mIsInParts = false;
  mStoredParts.assign(mStoredParts.size(), {});
  mPendingParts.clear();
  MarkStateStored(0, mPhase);
}

void job_record::ResetPart(std::uint32_t aPart)
{
  ApplyTasks({}, aPart, {});
  mStoredParts[aPart] = {};
  mPendingParts.erase(aPart);
}

void job_record::ApplyTasks(task_states const& aStates, std::optional<std::uint32_t> aPart,
                            base::time_point aStoredAt)
{
  auto const isMeant = [&](task_position const& aPosition) {
    return Find(aPosition) != nullptr && (!aPart || mParts.PartOf(aPosition) == *aPart);
  };
  std::vector<std::pair<tracked_task*, task_state>> decodedTasks;
  std::vector<std::pair<task_position, std::uint32_t>> failedRuns;
  std::vector<std::pair<task_position, std::int64_t>> lateStarts;
  std::vector<std::pair<task_position, std::string>> identifiers;
  std::vector<std::pair<task_position, suspected_crash>> suspectedCrashes;
  for (auto const& entry : aStates.mTasks) {
    task_position const position{ entry.mOccurrence, entry.mStep, entry.mIndex };
    task_position const first{ entry.mOccurrence, entry.mStep, 0 };
    if (isMeant(first) && Step(first).mIsGang && entry.mIndex == Step(first).mCount) {
      failedRuns.emplace_back(first, entry.mRun);
      continue;
    }
    if (Find(first) != nullptr && entry.mIndex > Step(first).mCount) {
      auto const& step = Step(first);
      auto const isLateStart = entry.mIndex < task_states::IdentifierIndex(step, 0);
      auto const isIdentifier =
        !isLateStart && entry.mIndex < task_states::SuspectedCrashIndex(step, 0);
      auto const base = isLateStart    ? task_states::LateStartIndex(step, 0)
                        : isIdentifier ? task_states::IdentifierIndex(step, 0)
                                       : task_states::SuspectedCrashIndex(step, 0);
      task_position const task{ entry.mOccurrence, entry.mStep, entry.mIndex - base };
      if (!isMeant(task)) {
        continue;
      }
      if (isLateStart) {
        lateStarts.emplace_back(task, entry.mWorkerIncarnationStart);
      } else if (isIdentifier) {
        identifiers.emplace_back(task, entry.mWorker);
      } else {
        suspectedCrashes.emplace_back(
          task, suspected_crash{ .mWorker = entry.mWorker,
                                 .mWorkerIncarnationStart = entry.mWorkerIncarnationStart,
                                 .mRun = entry.mRun,
                                 .mIsAlone = entry.mFailures != 0 });
      }
      continue;
    }
    if (!isMeant(position) || entry.mStatus > static_cast<std::uint32_t>(task_status::done)) {
      continue;
    }
    decodedTasks.emplace_back(Find(position),
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
  if (aPart) {
    for (auto const& position : mParts.TasksOf(*aPart)) {
      Find(position)->mState = {};
    }
  } else {
    ForEachTask([](task_position const&, tracked_task& aTask) { aTask.mState = {}; });
  }
  for (auto& [task, state] : decodedTasks) {
    task->mState = std::move(state);
    task->mIsCheckpointInOwnRow = false;
  }
  for (auto const& [first, run] : failedRuns) {
    Find(first)->mState.mLastFailedRun = run;
  }
  for (auto const& [position, untilMs] : lateStarts) {
    Find(position)->mState.mLateStartUntilMs = untilMs;
  }
  for (auto& [position, identifier] : identifiers) {
    Find(position)->mState.mIdentifier = std::move(identifier);
  }
  for (auto& [position, crash] : suspectedCrashes) {
    Find(position)->mState.mSuspectedCrashes.push_back(std::move(crash));
  }
  for (auto const& entry : aStates.mCrashes) {
    task_position const position{ entry.mOccurrence, entry.mStep, entry.mIndex };
    if (isMeant(position)) {
      Find(position)->mState.mCrashes = { .mCrashes = entry.mCrashes, .mAlone = entry.mAlone };
    }
  }
  CompleteCheckpoints();
}

bool job_record::ApplyState(std::string const& aText, base::time_point aStoredAt)
{
  auto const document = base::json::parse(aText, nullptr, false);
  if (auto const phase = DecodeInParts(document); phase && mParts.Count() > 0) {
    mPhase = *phase;
    mStoredPhase = mPhase;
    mIsTerminated = false;
    if (!mIsInParts) {
      mIsInParts = true;
      ForEachTask([](task_position const&, tracked_task& aTask) { aTask.mState = {}; });
      for (auto const& [part, text] : std::exchange(mPendingParts, {})) {
        ApplyPart(part, mStoredParts[part].mVersion, text, aStoredAt);
      }
    }
    return true;
  }
  auto decoded = DecodeState(document);
  if (!decoded) {
    return false;
  }
  mPhase = decoded->mState.mPhase;
  mStoredPhase = mPhase;
  mIsTerminated = false;
  mIsInParts = false;
  mPendingParts.clear();
  // An earlier version has written this state, so the rows of parts are outdated and must be
  // written again.
  for (auto& part : mStoredParts) {
    part.mFingerprint = part.mVersion == 0 ? 0 : stored_part::kUnknown;
  }
  ApplyTasks(
    { .mTasks = std::move(decoded->mState.mTasks), .mCrashes = std::move(decoded->mCrashes) },
    std::nullopt, aStoredAt);
  return true;
}

bool job_record::ApplyPart(std::uint32_t aPart, std::uint64_t aVersion, std::string const& aText,
                           base::time_point aStoredAt)
{
  if (aPart >= mParts.Count()) {
    return false;
  }
  auto const decoded = base::TryDecode<task_states>(base::json::parse(aText, nullptr, false),
                                                    base::layout::positional);
  auto const* const states = std::get_if<task_states>(&decoded);
  auto& stored = mStoredParts[aPart];
  stored = { .mVersion = aVersion, .mFingerprint = stored_part::kUnknown };
  if (states == nullptr) {
    return false;
  }
  if (!mIsInParts) {
    mPendingParts[aPart] = aText;
    return true;
  }
  ApplyTasks(*states, aPart, aStoredAt);
  stored.mFingerprint = FingerprintOf(aPart);
  return true;
}

} // namespace rattanpond::dispatch
