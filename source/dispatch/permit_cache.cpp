#include "dispatch/permit_cache.h"

#include <algorithm>

namespace rattanpond::dispatch {

using base::milliseconds;

namespace {

/// Workers in one query, in addition to one for each waiting task: most policies permit only some
/// of the workers.
constexpr std::size_t kExtraWorkers = 6;
constexpr std::size_t kMaximumWorkers = 30;
/// Part of a ticket's lifetime that is left for the transaction and the order of a start.
constexpr milliseconds kTicketMargin{ 800 };
/// Added to the time that the service takes for a query by its configured timing.
constexpr milliseconds kResponseMargin{ 1000 };
/// Delay after a query without an answer.
constexpr milliseconds kRetryDelay{ 300 };

} // namespace

bool permit_cache::IsCurrent(std::string const& aStep, worker_incarnation const& aWorker,
                             base::time_point aNow) const
{
  auto const step = mPermits.find(aStep);
  if (step == mPermits.end()) {
    return false;
  }
  auto const found = step->second.find(aWorker.mNode);
  // Which workers may run a step does not change, so a denial is valid as long as the worker's
  // incarnation.
  return found != step->second.end() &&
         found->second.mIncarnationStart == aWorker.mIncarnationStart &&
         (!found->second.mIsGranted || aNow < found->second.mExpiresAt);
}

std::optional<permit_cache::query> permit_cache::NextQuery(std::vector<demand> const& aDemands,
                                                           base::time_point aNow)
{
  if (mIsQueryActive || aNow < mRetryAt) {
    return std::nullopt;
  }
  for (auto const& demand : aDemands) {
    query result{ .mStep = demand.mStep,
                  .mTicketLifetime = demand.mTiming.mTicketLifetime,
                  .mSentAt = aNow };
    auto const limit = std::min(kMaximumWorkers, demand.mTasks + kExtraWorkers);
    for (auto const& worker : demand.mCandidates) {
      if (result.mWorkers.size() < limit && !IsCurrent(demand.mStep, worker, aNow)) {
        result.mWorkers.push_back(worker);
      }
    }
    if (!result.mWorkers.empty()) {
      result.mTimeout =
        demand.mTiming.mQueryTime +
        demand.mTiming.mQueryTimePerWorker * static_cast<std::int64_t>(result.mWorkers.size()) +
        kResponseMargin;
      mIsQueryActive = true;
      return result;
    }
  }
  return std::nullopt;
}

void permit_cache::RecordAnswer(query const& aQuery,
                                std::map<std::string, std::string> const& aTickets)
{
  mIsQueryActive = false;
  for (auto const& worker : aQuery.mWorkers) {
    auto const ticket = aTickets.find(worker.mWorker);
    auto const isGranted = ticket != aTickets.end();
    // Counted from the time of the query: the service may have issued the ticket at any time since.
    mPermits[aQuery.mStep][worker.mNode] = { .mIncarnationStart = worker.mIncarnationStart,
                                             .mIsGranted = isGranted,
                                             .mTicket = isGranted ? ticket->second : std::string{},
                                             .mExpiresAt = aQuery.mSentAt + aQuery.mTicketLifetime -
                                                           kTicketMargin };
  }
}

void permit_cache::Failed(base::time_point aNow)
{
  mIsQueryActive = false;
  mRetryAt = aNow + kRetryDelay;
}

std::optional<std::string> permit_cache::Ticket(std::string const& aStep,
                                                worker_incarnation const& aWorker,
                                                base::time_point aNow) const
{
  if (!IsCurrent(aStep, aWorker, aNow)) {
    return std::nullopt;
  }
  auto const& cached = mPermits.at(aStep).at(aWorker.mNode);
  return cached.mIsGranted ? std::optional{ cached.mTicket } : std::nullopt;
}

void permit_cache::Refused(std::string const& aStep, std::string const& aNode)
{
  if (auto const step = mPermits.find(aStep); step != mPermits.end()) {
    step->second.erase(aNode);
  }
}

void permit_cache::RemoveJob(std::string const& aJob)
{
  std::erase_if(mPermits, [&](auto const& aEntry) { return aEntry.first.starts_with(aJob + '.'); });
}

} // namespace rattanpond::dispatch
