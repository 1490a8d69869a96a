#include "scheduling/runner_driver.h"

#include "base/logging.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace rattanpond::scheduling {

namespace asio = boost::asio;

runner_driver::runner_driver(asio::io_context& aContext, platform::task_runner& aRunner,
                             std::string aWorker, observers aObservers)
  : mContext{ aContext }
  , mRunner{ aRunner }
  , mWorker{ std::move(aWorker) }
  , mObservers{ std::move(aObservers) }
{
}

runner_driver::~runner_driver()
{
  *mAlive = false;
}

void runner_driver::Run(gang_description const& aGang, gang_member::actions const& aActions)
{
  auto const* const part = aGang.Find(mWorker);
  if (part == nullptr) {
    return;
  }
  auto const gang = aGang.Id();
  for (auto const& action : aActions) {
    auto const rank = part->mFirstRank + action.mTask;
    auto const name = TaskName(gang, rank);
    auto& fence = Fence(gang, rank);
    switch (action.mOrder) {
      case member_order::start:
        co_spawn(mContext, Start(gang, action.mTask, StartOf(aGang, rank, action.mLease), mAlive),
                 asio::detached);
        break;
      case member_order::checkpoint:
        co_spawn(mContext, Checkpoint(gang, action.mTask, name, fence, mAlive), asio::detached);
        break;
      case member_order::force_stop:
        ++fence;
        [[fallthrough]];
      case member_order::stop:
        co_spawn(mContext, Stop(name, fence, mAlive), asio::detached);
        break;
      case member_order::renew:
        co_spawn(mContext, Renew(gang, name, fence, action.mLease, mAlive), asio::detached);
        break;
    }
  }
}

void runner_driver::Poll()
{
  mIsListDue = mIsListing;
  if (!mIsListing) {
    mIsListing = true;
    co_spawn(mContext, List(mAlive), asio::detached);
  }
}

void runner_driver::Adopt(gang_id const& aGang, std::uint32_t aRank, std::uint64_t aFence)
{
  Fence(aGang, aRank) = aFence + 1;
}

std::string runner_driver::TaskName(gang_id const& aGang, std::uint32_t aRank)
{
  return aGang.mJob + "/" + std::to_string(aGang.mAttempt) + "/" + std::to_string(aRank);
}

std::uint64_t& runner_driver::Fence(gang_id const& aGang, std::uint32_t aRank)
{
  return mFences[aGang].try_emplace(aRank, 1).first->second;
}

platform::task_start runner_driver::StartOf(gang_description const& aGang, std::uint32_t aRank,
                                            base::milliseconds aLease)
{
  auto const& job = aGang.mJob;
  auto const& specification = job.mSpecification;
  return { .mTask = TaskName(aGang.Id(), aRank),
           .mFence = Fence(aGang.Id(), aRank),
           .mLease = aLease,
           .mAccelerators = specification.mAcceleratorsPerTask,
           .mCores = specification.mCoresPerTask,
           .mMemoryMebibytes = specification.mMemoryMebibytesPerTask,
           .mCommand = specification.mCommand,
           .mCheckpoint = aRank < job.mCheckpoints.size() ? job.mCheckpoints[aRank] : std::string{},
           .mMetadata = base::Encode(task_owner{ .mGang = aGang, .mRank = aRank }) };
}

asio::awaitable<void> runner_driver::Start(gang_id aGang, std::uint32_t aTask,
                                           platform::task_start aStart, alive aAlive)
{
  // co_spawn may run the coroutine immediately, but observers must not be called from within Run.
  co_await asio::post(mContext, asio::use_awaitable);
  auto const started = co_await mRunner.Start(std::move(aStart));
  if (*aAlive) {
    mObservers.mStarted(aGang, aTask, started);
  }
}

asio::awaitable<void> runner_driver::Checkpoint(gang_id aGang, std::uint32_t aTask,
                                                std::string aName, std::uint64_t aFence,
                                                alive aAlive)
{
  co_await asio::post(mContext, asio::use_awaitable);
  auto const taken = co_await mRunner.Checkpoint(std::move(aName), aFence);
  if (*aAlive) {
    mObservers.mCheckpointed(aGang, aTask, taken);
  }
}

asio::awaitable<void> runner_driver::Stop(std::string aName, std::uint64_t aFence, alive aAlive)
{
  co_await asio::post(mContext, asio::use_awaitable);
  auto const stopped = co_await mRunner.Stop(aName, aFence);
  if (!*aAlive) {
    co_return;
  }
  if (!base::Succeeded(stopped)) {
    base::Log("scheduling")
      ->warn("The stop call for task {} failed: {}.", aName, base::Error(stopped).mMessage);
  }
  mObservers.mStopAnswered();
}

asio::awaitable<void> runner_driver::Renew(gang_id aGang, std::string aName, std::uint64_t aFence,
                                           base::milliseconds aLease, alive aAlive)
{
  co_await asio::post(mContext, asio::use_awaitable);
  auto const renewed = co_await mRunner.Renew(aName, aFence, aLease);
  if (!*aAlive || base::Succeeded(renewed)) {
    co_return;
  }
  if (base::Error(renewed).mCode != base::result_code::task_lease_lost) {
    co_return;
  }
  // The runner returns the same code for a stopped task and for a task with a higher fence; the
  // task list distinguishes them.
  auto const listed = co_await mRunner.List();
  if (!*aAlive || !base::Succeeded(listed)) {
    co_return;
  }
  for (auto const& task : std::get<0>(listed)) {
    if (task.mTask == aName && task.mFence > aFence) {
      mObservers.mFenced(aGang);
    }
  }
}

asio::awaitable<void> runner_driver::List(alive aAlive)
{
  co_await asio::post(mContext, asio::use_awaitable);
  auto const requestedAt = base::Now();
  auto const listed = co_await mRunner.List();
  if (!*aAlive) {
    co_return;
  }
  mIsListing = false;
  if (base::Succeeded(listed)) {
    mObservers.mListed(std::get<0>(listed), requestedAt);
  }
  if (*aAlive && mIsListDue) {
    Poll();
  }
}

} // namespace rattanpond::scheduling
