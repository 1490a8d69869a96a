#pragma once

#include <deque>
#include <set>
#include <string>

namespace rattanpond::dispatch {

/// Jobs with changes that the store lacks, in the order of their oldest such change. A further
/// change of a job does not alter its place, so that each job gets its turn.
class change_queue
{
public:
  void Insert(std::string const& aJob)
  {
    if (mJobs.insert(aJob).second) {
      mOrder.push_back(aJob);
    }
  }

  bool Contains(std::string const& aJob) const { return mJobs.contains(aJob); }
  bool empty() const { return mJobs.empty(); }
  std::size_t size() const { return mJobs.size(); }

  void Clear()
  {
    mJobs.clear();
    mOrder.clear();
  }

  /// Removes the job that has waited longest. The queue must not be empty.
  std::string TakeOldest()
  {
    auto job = std::move(mOrder.front());
    mOrder.pop_front();
    mJobs.erase(job);
    return job;
  }

private:
  std::set<std::string> mJobs;
  std::deque<std::string> mOrder;
};

} // namespace rattanpond::dispatch
