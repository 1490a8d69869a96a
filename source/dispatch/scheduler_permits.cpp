#include "dispatch/scheduler.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace rattanpond::dispatch {

namespace asio = boost::asio;

permit_cache::worker_incarnation scheduler::IncarnationOf(session const& aSession)
{
  return { .mNode = aSession.mNode,
           .mWorker = aSession.mReport.mWorker,
           .mIncarnationStart = aSession.mReport.mIncarnationStart };
}

std::vector<std::string> scheduler::PermittedWorkers(std::string const& aStep,
                                                     base::time_point aNow) const
{
  std::vector<std::string> nodes;
  for (auto const& [node, session] : mSessions) {
    if (mPermits.Ticket(aStep, IncarnationOf(*session), aNow)) {
      nodes.push_back(node);
    }
  }
  return nodes;
}

std::vector<permit_cache::demand> scheduler::PermitDemands(
  std::vector<worker_snapshot> const& aSnapshots, std::vector<waiting_group> const& aGroups) const
{
  std::vector<waiting_group const*> advised;
  for (auto const& group : aGroups) {
    if (group.mAllowed) {
      advised.push_back(&group);
    }
  }
  if (advised.empty()) {
    return {};
  }
  std::ranges::stable_sort(advised, {}, [](waiting_group const* aGroup) {
    return std::pair{ aGroup->mPriority, aGroup->mDueBy };
  });
  std::vector<worker_snapshot const*> byFreeResources;
  byFreeResources.reserve(aSnapshots.size());
  for (auto const& snapshot : aSnapshots) {
    byFreeResources.push_back(&snapshot);
  }
  std::ranges::stable_sort(byFreeResources, std::greater<>{}, [](worker_snapshot const* aSnapshot) {
    return std::pair{ aSnapshot->mFree.mAccelerators, aSnapshot->mFree.mMillicores };
  });
  std::vector<permit_cache::demand> demands;
  for (auto const* const group : advised) {
    auto const* const queue = QueueOf(*mOptions.mReplica.FindJob(group->mJob));
    permit_cache::demand demand{ .mStep =
                                   StepName(group->mJob, { group->mOccurrence, group->mStep, 0 }),
                                 .mTasks = group->mIndexes.size(),
                                 .mTiming = *queue->mAdvice };
    for (auto const* const snapshot : byFreeResources) {
      if (MeetsRequirements(*group, *snapshot)) {
        demand.mCandidates.push_back(IncarnationOf(*mSessions.at(snapshot->mWorker)));
      }
    }
    demands.push_back(std::move(demand));
  }
  return demands;
}

void scheduler::RequestPermits(std::vector<permit_cache::demand> aDemands,
                               placement_decision const& aDecision, base::time_point aNow)
{
  if (aDemands.empty()) {
    return;
  }
  std::map<std::string, std::size_t> started;
  for (auto const& start : aDecision.mStarts) {
    ++started[StepName(start.mJob, start.mPosition)];
  }
  for (auto& demand : aDemands) {
    demand.mTasks -= started[demand.mStep];
  }
  std::erase_if(aDemands, [](permit_cache::demand const& aDemand) { return aDemand.mTasks == 0; });
  if (auto query = mPermits.NextQuery(aDemands, aNow)) {
    asio::co_spawn(mOptions.mContext, QueryAdvice(std::move(*query)), asio::detached);
  }
}

asio::awaitable<void> scheduler::QueryAdvice(permit_cache::query aQuery)
{
  std::vector<std::string> workers;
  for (auto const& worker : aQuery.mWorkers) {
    workers.push_back(worker.mWorker);
  }
  auto const permits =
    co_await mAdvice->QueryAdvice(aQuery.mStep, std::move(workers), aQuery.mTimeout);
  if (permits) {
    std::map<std::string, std::string> tickets;
    for (auto const& permit : *permits) {
      tickets[permit.mWorker] = permit.mTicket;
    }
    mPermits.RecordAnswer(aQuery, tickets);
  } else {
    mPermits.Failed(base::Now());
  }
  if (mIsHolder) {
    SchedulePlanning();
  }
}

} // namespace rattanpond::dispatch
