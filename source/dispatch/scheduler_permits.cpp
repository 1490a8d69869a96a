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

std::vector<permit_book::need> scheduler::PermitNeeds(
  std::vector<worker_offer> const& aOffers, std::vector<waiting_group> const& aGroups) const
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
  std::vector<worker_offer const*> roomiest;
  roomiest.reserve(aOffers.size());
  for (auto const& offer : aOffers) {
    roomiest.push_back(&offer);
  }
  std::ranges::stable_sort(roomiest, std::greater<>{}, [](worker_offer const* aOffer) {
    return std::pair{ aOffer->mFree.mAccelerators, aOffer->mFree.mMillicores };
  });
  std::vector<permit_book::need> needs;
  for (auto const* const group : advised) {
    auto const* const queue = QueueOf(*mOptions.mReplica.FindJob(group->mJob));
    permit_book::need need{ .mStep = StepName(group->mJob, { group->mOccurrence, group->mStep, 0 }),
                            .mTasks = group->mIndexes.size(),
                            .mTerms = *queue->mAdvice };
    for (auto const* const offer : roomiest) {
      if (MeetsRequirements(*group, *offer)) {
        need.mCandidates.push_back(LifeOf(*mSessions.at(offer->mWorker)));
      }
    }
    needs.push_back(std::move(need));
  }
  return needs;
}

void scheduler::SeekPermits(std::vector<permit_book::need> aNeeds,
                            placement_decision const& aDecision, base::time_point aNow)
{
  if (aNeeds.empty()) {
    return;
  }
  std::map<std::string, std::size_t> started;
  for (auto const& start : aDecision.mStarts) {
    ++started[StepName(start.mJob, start.mPosition)];
  }
  for (auto& need : aNeeds) {
    need.mTasks -= started[need.mStep];
  }
  std::erase_if(aNeeds, [](permit_book::need const& aNeed) { return aNeed.mTasks == 0; });
  if (auto question = mPermits.NextQuestion(aNeeds, aNow)) {
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
