#pragma once

#include <algorithm>
#include <map>
#include <set>
#include <string>

namespace rattanpond::dispatch {

/// Records on which workers each job has failed, to distinguish faulty workers from faulty jobs.
class failure_history
{
public:
  void Failed(std::string const& aJob, std::string const& aWorker)
  {
    mWorkers[aJob].insert(aWorker);
  }

  /// False if the job has also failed on another worker, since the job is then the likelier cause.
  bool IndicatesWorkerFault(std::string const& aJob, std::string const& aWorker) const
  {
    auto const found = mWorkers.find(aJob);
    return found == mWorkers.end() ||
           std::ranges::all_of(found->second,
                               [&](std::string const& aOther) { return aOther == aWorker; });
  }

  /// A job that fails right after its start on this many workers makes no further worker suspect.
  static constexpr std::size_t kSuspectsPerJob = 3;

  /// Whether a failure right after the start speaks against the worker.
  bool IsWorkerSuspect(std::string const& aJob, std::string const& aWorker) const
  {
    auto const found = mWorkers.find(aJob);
    return found == mWorkers.end() || found->second.contains(aWorker) ||
           found->second.size() < kSuspectsPerJob;
  }

  void RemoveJob(std::string const& aJob) { mWorkers.erase(aJob); }

private:
  std::map<std::string, std::set<std::string>> mWorkers;
};

} // namespace rattanpond::dispatch
