#pragma once

#include "base/time.h"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace rattanpond::platform {

/// Records the runs of all workers of a test; reports a task that runs twice at the same time, or
/// that starts again after a recorded success. With declared steps it also models what the members
/// of a gang do together and reports starts that no caller can account for.
class run_recorder
{
public:
  /// From when on a success forbids another start.
  enum class success
  {
    /// The run has ended.
    ended,
    /// The end has been acknowledged under an unbroken lease. An end that is lost with its worker
    /// may be followed by another run.
    acknowledged
  };

  struct step
  {
    std::uint32_t mCount = 1;
    bool mIsGang = false;
    bool mIsCheckpointable = false;
    /// Names of the steps that must be done first.
    std::vector<std::string> mAfter{};
  };

  struct event
  {
    base::time_point mAt{};
    std::string mText;
  };

  explicit run_recorder(success aSuccess = success::ended)
    : mSuccess{ aSuccess }
  {
  }

  /// Starts of tasks of undeclared steps are faults as soon as one step has been declared.
  void Declare(std::string const& aStep, step aDescription)
  {
    mSteps[aStep] = std::move(aDescription);
  }

  /// Starts after this many acknowledged failures of a task or gang are faults; 0 for no limit.
  void SetMaximumAttempts(std::uint32_t aAttempts) { mMaximumAttempts = aAttempts; }

  void Started(std::string const& aTask, std::uint32_t aRun = 0, std::string const& aWorker = {},
               std::string const& aCheckpoint = {})
  {
    Note(aTask, aRun, aWorker, "starts");
    if (mActive.contains(aTask)) {
      mFaults.push_back("two runs at once: " + aTask);
    }
    auto const unit = UnitOf(aTask);
    if (mDone.contains(unit)) {
      mFaults.push_back("start after done: " + aTask);
    }
    CheckDeclared(aTask, aCheckpoint);
    if (mMaximumAttempts > 0 && AcknowledgedFailures(aTask) >= mMaximumAttempts) {
      mFaults.push_back("start after the last attempt: " + aTask);
    }
    mActive.insert(aTask);
    ++mStarts[aTask];
    mStartedAt[unit] = base::Now();
    mLostDone.erase(unit);
    if (auto* const gang = Gang(aTask, aRun)) {
      gang->mPresent.insert(aTask);
      if (gang->mPresent.size() == mSteps.at(StepOf(aTask)).mCount) {
        gang->mBeganAt = base::Now();
      }
    }
  }

  void Ended(std::string const& aTask, std::string const& aEndKind, std::uint32_t aRun = 0,
             std::string const& aWorker = {})
  {
    Note(aTask, aRun, aWorker, "ends " + aEndKind);
    mActive.erase(mActive.find(aTask));
    if (aEndKind == "done") {
      mEndedDone.insert(UnitOf(aTask));
      if (mSuccess == success::ended) {
        mDone.insert(UnitOf(aTask));
      }
    }
    if (aEndKind == "failed") {
      mFailedRuns[UnitOf(aTask)].insert(aRun);
    }
    if (auto* const gang = Gang(aTask, aRun); gang != nullptr && gang->mEnd.empty()) {
      gang->mEnd = aEndKind;
    }
  }

  /// An end was acknowledged; aIsLapsed tells whether the worker's lease has expired since.
  void Acknowledged(std::string const& aTask, std::uint32_t aRun, std::string const& aEndKind,
                    base::time_point aEndedAt, bool aIsLapsed)
  {
    Note(aTask, aRun, {}, "end " + aEndKind + " acknowledged" + (aIsLapsed ? ", lapsed" : ""));
    auto const unit = UnitOf(aTask);
    if (aEndKind == "failed" && !aIsLapsed) {
      mAcknowledgedFailedRuns[unit].insert(aRun);
    }
    if (aEndKind != "done") {
      return;
    }
    mAcknowledgedDone.insert(unit);
    if (aIsLapsed || mSuccess == success::ended) {
      return;
    }
    if (auto const started = mStartedAt.find(unit);
        started != mStartedAt.end() && started->second > aEndedAt) {
      mFaults.push_back("start after a success that is acknowledged later: " + aTask);
    }
    mDone.insert(unit);
  }

  /// An end that was not acknowledged was lost with its worker.
  void EndLost(std::string const& aTask, std::uint32_t aRun, std::string const& aEndKind)
  {
    Note(aTask, aRun, {}, "end " + aEndKind + " lost");
    if (aEndKind == "done") {
      mLostDone.insert(UnitOf(aTask));
    }
  }

  std::vector<std::string> const& Faults() const { return mFaults; }
  std::size_t Starts(std::string const& aTask) const
  {
    auto const found = mStarts.find(aTask);
    return found == mStarts.end() ? 0 : found->second;
  }
  std::size_t ActiveRuns() const { return mActive.size(); }
  std::size_t TasksStarted() const { return mStarts.size(); }

  bool IsLive(std::string const& aTask) const { return mActive.contains(aTask); }
  /// Whether a run of the task, or of a member of its gang, has ended done.
  bool HasEndedDone(std::string const& aTask) const { return mEndedDone.contains(UnitOf(aTask)); }
  /// Whether such an end has been acknowledged.
  bool IsDoneAcknowledged(std::string const& aTask) const
  {
    return mAcknowledgedDone.contains(UnitOf(aTask));
  }
  /// Whether such an end was lost with its worker, so that workers do not show whether it is known.
  bool IsDoneLost(std::string const& aTask) const { return mLostDone.contains(UnitOf(aTask)); }
  /// Number of runs of the task, or of its gang, that have ended failed.
  std::uint32_t Failures(std::string const& aTask) const
  {
    return CountOf(mFailedRuns, UnitOf(aTask));
  }
  /// All events of the tasks of a job, in order.
  std::vector<event> Events(std::string const& aJob) const
  {
    std::vector<event> events;
    std::ranges::copy_if(mEvents, std::back_inserter(events),
                         [&](event const& aEvent) { return aEvent.mText.starts_with(aJob); });
    return events;
  }

  bool IsCheckpointable(std::string const& aTask) const
  {
    auto const found = mSteps.find(StepOf(aTask));
    return found != mSteps.end() && found->second.mIsCheckpointable;
  }

  /// The common state of one run of a gang.
  struct gang_run
  {
    std::set<std::string> mPresent;
    /// Time from which on all members are present.
    std::optional<base::time_point> mBeganAt;
    /// How the first member ended; empty while none has.
    std::string mEnd;
  };

  /// Null if the task is not a member of a declared gang.
  gang_run* Gang(std::string const& aTask, std::uint32_t aRun)
  {
    auto const found = mSteps.find(StepOf(aTask));
    return found == mSteps.end() || !found->second.mIsGang ? nullptr
                                                           : &mGangs[{ found->first, aRun }];
  }

private:
  using runs_by_unit = std::map<std::string, std::set<std::uint32_t>>;

  static std::uint32_t CountOf(runs_by_unit const& aRuns, std::string const& aUnit)
  {
    auto const found = aRuns.find(aUnit);
    return found == aRuns.end() ? 0 : static_cast<std::uint32_t>(found->second.size());
  }

  static std::string StepOf(std::string const& aTask) { return aTask.substr(0, aTask.rfind('.')); }

  /// What ends, fails and is done as one: the gang of a task, or the task.
  std::string UnitOf(std::string const& aTask) const
  {
    auto const found = mSteps.find(StepOf(aTask));
    return found != mSteps.end() && found->second.mIsGang ? found->first : aTask;
  }

  std::uint32_t AcknowledgedFailures(std::string const& aTask) const
  {
    return CountOf(mAcknowledgedFailedRuns, UnitOf(aTask));
  }

  void CheckDeclared(std::string const& aTask, std::string const& aCheckpoint)
  {
    if (mSteps.empty()) {
      return;
    }
    auto const found = mSteps.find(StepOf(aTask));
    if (found == mSteps.end()) {
      mFaults.push_back("start of a task that no caller sent: " + aTask);
      return;
    }
    for (auto const& earlier : found->second.mAfter) {
      for (std::uint32_t index = 0; index < mSteps.at(earlier).mCount; ++index) {
        if (!HasEndedDone(earlier + "." + std::to_string(index))) {
          mFaults.push_back("start before its turn: " + aTask);
        }
      }
    }
    if (!aCheckpoint.empty() && !aCheckpoint.starts_with(UnitOf(aTask))) {
      mFaults.push_back("start with the checkpoint of another task: " + aTask);
    }
  }

  void Note(std::string const& aTask, std::uint32_t aRun, std::string const& aWorker,
            std::string const& aWhat)
  {
    mEvents.push_back({ base::Now(), aTask + " run " + std::to_string(aRun) + " " + aWhat +
                                       (aWorker.empty() ? "" : " on " + aWorker) });
  }

  success mSuccess;
  std::uint32_t mMaximumAttempts = 0;
  std::map<std::string, step> mSteps;
  std::map<std::pair<std::string, std::uint32_t>, gang_run> mGangs;
  std::multiset<std::string> mActive;
  /// Tasks and gangs that must not start again.
  std::set<std::string> mDone;
  std::set<std::string> mEndedDone;
  std::set<std::string> mAcknowledgedDone;
  std::set<std::string> mLostDone;
  /// Numbers of the failed runs by unit; several members of a gang may report the same one.
  runs_by_unit mFailedRuns;
  runs_by_unit mAcknowledgedFailedRuns;
  std::map<std::string, std::size_t> mStarts;
  std::map<std::string, base::time_point> mStartedAt;
  std::vector<std::string> mFaults;
  std::vector<event> mEvents;
};

} // namespace rattanpond::platform
