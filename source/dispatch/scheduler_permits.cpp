#include "dispatch/scheduler.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace rattanpond::dispatch {

namespace asio = boost::asio;

permit_book::worker_life scheduler::LifeOf(session const& aSession)
{
  return { .mNode = aSession.mNode,
           .mWorker = aSession.mReport.mWorker,
           .mBorn = aSession.mReport.mBorn };
}

std::vector<std::string> scheduler::PermittedWorkers(std::string const& aStep,
                                                     base::time_point aNow) const
{
  std::vector<std::string> nodes;
  for (auto const& [node, session] : mSessions) {
    if (mPermits.Ticket(aStep, LifeOf(*session), aNow)) {
      nodes.push_back(node);
    }
  }
  return nodes;
}

void scheduler::SeekPermits(std::vector<worker_offer> aOffers,
                            std::vector<waiting_group> const& aGroups,
                            placement_decision const& aDecision, base::time_point aNow)
{
  std::map<std::string, std::size_t> started;
  for (auto const& start : aDecision.mStarts) {
    ++started[StepName(start.mJob, start.mPosition)];
  }
  std::vector<waiting_group const*> waiting;
  for (auto const& group : aGroups) {
    if (group.mAllowed) {
      waiting.push_back(&group);
    }
  }
  std::ranges::stable_sort(waiting, {}, [](waiting_group const* aGroup) {
    return std::pair{ aGroup->mPriority, aGroup->mDueBy };
  });
  std::ranges::stable_sort(aOffers, std::greater<>{}, [](worker_offer const& aOffer) {
    return std::pair{ aOffer.mFree.mAccelerators, aOffer.mFree.mMillicores };
  });
  std::vector<permit_book::need> needs;
  for (auto const* const group : waiting) {
    auto const step = StepName(group->mJob, { group->mOccurrence, group->mStep, 0 });
    auto const* const job = mOptions.mReplica.FindJob(group->mJob);
    auto const* const queue = job == nullptr ? nullptr : QueueOf(*job);
    if (queue == nullptr || !queue->mAdvice || started[step] >= group->mIndexes.size()) {
      continue;
    }
    permit_book::need need{ .mStep = step,
                            .mTasks = group->mIndexes.size() - started[step],
                            .mTerms = *queue->mAdvice };
    for (auto const& offer : aOffers) {
      if (MeetsRequirements(*group, offer)) {
        need.mCandidates.push_back(LifeOf(*mSessions.at(offer.mWorker)));
      }
    }
    needs.push_back(std::move(need));
  }
  if (auto question = mPermits.NextQuestion(needs, aNow)) {
    asio::co_spawn(mOptions.mContext, Ask(std::move(*question)), asio::detached);
  }
}

asio::awaitable<void> scheduler::Ask(permit_book::question aQuestion)
{
  std::vector<std::string> workers;
  for (auto const& worker : aQuestion.mWorkers) {
    workers.push_back(worker.mWorker);
  }
  auto const permits =
    co_await mAdvice->Ask(aQuestion.mStep, std::move(workers), aQuestion.mTimeout);
  if (permits) {
    std::map<std::string, std::string> tickets;
    for (auto const& permit : *permits) {
      tickets[permit.mWorker] = permit.mTicket;
    }
    mPermits.Answered(aQuestion, tickets);
  } else {
    mPermits.Failed(base::Now());
  }
  if (mIsHolder) {
    Pump();
  }
}

} // namespace rattanpond::dispatch
