#pragma once

#include "base/time.h"

#include <deque>
#include <set>
#include <string>

namespace rattanpond::dispatch {

/// Tells a worker that fails what it starts from jobs that fail anywhere. Answers the pattern in
/// which one worker attracts work because it fails it quickly.
class worker_health
{
public:
  /// Distinct jobs that must fail in a row before the worker is set aside.
  static constexpr std::size_t kDistinctJobs = 2;
  /// Failures older than this say nothing about the worker now.
  static constexpr base::milliseconds kMemory{ 12'000 };
  /// Time before a worker that was set aside is tried again.
  static constexpr base::milliseconds kRest{ 6'000 };

  void Failed(std::string const& aJob, base::time_point aNow)
  {
    mFailures.push_back({ aJob, aNow });
    Forget(aNow);
    std::set<std::string> jobs;
    for (auto const& failure : mFailures) {
      jobs.insert(failure.mJob);
    }
    if (jobs.size() >= kDistinctJobs) {
      mRestsUntil = aNow + kRest;
    }
  }

  /// A run without progress speaks against the worker at once: a job cannot make itself stand
  /// still.
  void Stalled(base::time_point aNow) { mRestsUntil = aNow + kRest; }

  void Succeeded()
  {
    mFailures.clear();
    mRestsUntil = {};
  }

  bool IsResting(base::time_point aNow) const { return aNow < mRestsUntil; }

private:
  struct failure
  {
    std::string mJob;
    base::time_point mAt;
  };

  void Forget(base::time_point aNow)
  {
    while (!mFailures.empty() && mFailures.front().mAt + kMemory < aNow) {
      mFailures.pop_front();
    }
  }

  std::deque<failure> mFailures;
  base::time_point mRestsUntil{};
};

} // namespace rattanpond::dispatch
