#include "dispatch/set_aside_limit.h"

#include <map>
#include <string>

namespace rattanpond::dispatch {

namespace {

bool IsQuarantined(worker_snapshot const& aWorker)
{
  return aWorker.mBarrier == start_obstacle::quarantined;
}

} // namespace

void LimitSetAside(std::vector<worker_snapshot>& aWorkers)
{
  std::map<std::string, std::size_t> workers;
  for (auto const& worker : aWorkers) {
    workers[worker.mService] += worker.AcceptsStarts() || IsQuarantined(worker) ? 1 : 0;
  }
  std::map<std::string, std::size_t> setAside;
  auto const isWithinShare = [&](std::string const& aService) {
    if (static_cast<double>(setAside[aService] + 1) >
        kMaximumShareSetAside * static_cast<double>(workers[aService])) {
      return false;
    }
    ++setAside[aService];
    return true;
  };
  for (auto& worker : aWorkers) {
    if (IsQuarantined(worker) && !isWithinShare(worker.mService)) {
      worker.mBarrier = start_obstacle::none;
    }
  }
  for (auto& worker : aWorkers) {
    worker.mIsSuspect =
      worker.mIsSuspect && worker.AcceptsStarts() && isWithinShare(worker.mService);
  }
}

} // namespace rattanpond::dispatch
