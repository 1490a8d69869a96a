#pragma once

#include "base/time.h"

#include <deque>
#include <set>
#include <string>

namespace rattanpond::dispatch {

/// Distinguishes a faulty worker from faulty jobs by the tasks that fail on it. Load patterns: a
/// worker that fails tasks quickly has free resources again at once and receives even more tasks;
/// several such workers at once use up the attempts of an urgent gang, one after the other; a
/// worker that goes down and up by turns breaks what it receives in between.
class worker_health
{
public:
  /// Number of distinct tasks or gangs that must fail without a success in between before the
  /// worker is quarantined.
  static constexpr std::size_t kDistinctUnits = 2;
  /// Failures older than this are not counted.
  static constexpr base::milliseconds kFailureWindow{ 12'000 };
  /// Time after which a quarantined worker is used again.
  static constexpr base::milliseconds kQuarantineDuration{ 6'000 };

  /// A task that fails this soon after its start has hardly begun; a task's own faults show at any
  /// time of its run.
  static constexpr base::milliseconds kEarlyFailure{ 300 };
  /// A worker stays suspect for this long after the last indication, unless a task succeeds.
  static constexpr base::milliseconds kSuspicionDuration{ 12'000 };
  /// Number of losses within kFailureWindow that make a returning worker suspect.
  static constexpr std::size_t kLosses = 2;

  /// A task has failed right after its start. The worker receives single tasks with attempts left
  /// until one succeeds.
  void FailedEarly(base::time_point aNow) { mSuspectUntil = aNow + kSuspicionDuration; }

  /// The worker's incarnation was lost while it should have been available.
  void Lost(base::time_point aNow)
  {
    mLosses.push_back(aNow);
    while (mLosses.front() + kFailureWindow < aNow) {
      mLosses.pop_front();
    }
    if (mLosses.size() >= kLosses) {
      mSuspectUntil = aNow + kSuspicionDuration;
    }
  }

  /// A new incarnation starts without the failures of the former one, but not without its losses.
  void Replaced()
  {
    mFailures.clear();
    mQuarantinedUntil = {};
    if (mLosses.size() < kLosses) {
      mSuspectUntil = {};
    }
  }

  bool IsSuspect(base::time_point aNow) const { return aNow < mSuspectUntil; }

  /// A run has failed. aUnit: what fails as a whole, a task or the step of a gang.
  void Failed(std::string const& aUnit, base::time_point aNow)
  {
    mFailures.push_back({ aUnit, aNow });
    RemoveExpiredFailures(aNow);
    std::set<std::string> units;
    for (auto const& failure : mFailures) {
      units.insert(failure.mUnit);
    }
    if (units.size() >= kDistinctUnits) {
      Quarantine(aNow);
    }
  }

  /// A stalled run quarantines the worker at once: a job cannot stall by itself.
  void Stalled(base::time_point aNow) { Quarantine(aNow); }

  /// The worker has answered neither a start in any of its attempts nor the stop after it.
  void Unresponsive(base::time_point aNow) { Quarantine(aNow); }

  void Succeeded()
  {
    mFailures.clear();
    mQuarantinedUntil = {};
    mSuspectUntil = {};
  }

  bool IsQuarantined(base::time_point aNow) const { return aNow < mQuarantinedUntil; }

private:
  struct failure
  {
    std::string mUnit;
    base::time_point mAt;
  };

  void Quarantine(base::time_point aNow)
  {
    mQuarantinedUntil = aNow + kQuarantineDuration;
    mSuspectUntil = mQuarantinedUntil + kSuspicionDuration;
  }

  void RemoveExpiredFailures(base::time_point aNow)
  {
    while (!mFailures.empty() && mFailures.front().mAt + kFailureWindow < aNow) {
      mFailures.pop_front();
    }
  }

  std::deque<failure> mFailures;
  std::deque<base::time_point> mLosses;
  base::time_point mQuarantinedUntil{};
  base::time_point mSuspectUntil{};
};

} // namespace rattanpond::dispatch
