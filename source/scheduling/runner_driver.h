#pragma once

#include "platform/task_runner.h"
#include "scheduling/gang_description.h"
#include "scheduling/gang_member.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

namespace rattanpond::scheduling {

/// The gang and the rank in the metadata of a runner's task.
struct task_owner
{
  gang_description mGang;
  std::uint32_t mRank = 0;

  static constexpr auto Fields()
  {
    return std::make_tuple(base::Required("gang", &task_owner::mGang),
                           base::Required("rank", &task_owner::mRank));
  }
};

/// Carries out the actions of gang members at the task runner and maintains the fence numbers.
/// Results are reported on the control thread.
class runner_driver
{
public:
  struct observers
  {
    std::function<void(gang_id const&, std::uint32_t, base::reply<base::done> const&)> mStarted;
    std::function<void(gang_id const&, std::uint32_t, base::reply<std::string> const&)>
      mCheckpointed;
    /// Called when a stop call was answered: the next task list may show the end of the task.
    std::function<void()> mStopAnswered;
    /// Called when another agent holds a task of the gang with a higher fence.
    std::function<void(gang_id const&)> mFenced;
    std::function<void(std::vector<platform::runner_task> const&, base::time_point)> mListed;
  };

  runner_driver(boost::asio::io_context& aContext, platform::task_runner& aRunner,
                std::string aWorker, observers aObservers);
  ~runner_driver();
  runner_driver(runner_driver const&) = delete;
  runner_driver& operator=(runner_driver const&) = delete;

  void Run(gang_description const& aGang, gang_member::actions const& aActions);
  /// Requests the task list. If a request is in flight, another one follows it.
  void Poll();
  /// Takes over a task with a fence above that of its previous holder.
  void Adopt(gang_id const& aGang, std::uint32_t aRank, std::uint64_t aFence);
  void RemoveGang(gang_id const& aGang) { mFences.erase(aGang); }

  static std::string TaskName(gang_id const& aGang, std::uint32_t aRank);

private:
  using alive = std::shared_ptr<bool>;

  std::uint64_t& Fence(gang_id const& aGang, std::uint32_t aRank);
  platform::task_start StartOf(gang_description const& aGang, std::uint32_t aRank,
                               base::milliseconds aLease);
  boost::asio::awaitable<void> Start(gang_id aGang, std::uint32_t aTask,
                                     platform::task_start aStart, alive aAlive);
  boost::asio::awaitable<void> Checkpoint(gang_id aGang, std::uint32_t aTask, std::string aName,
                                          std::uint64_t aFence, alive aAlive);
  boost::asio::awaitable<void> Stop(std::string aName, std::uint64_t aFence, alive aAlive);
  boost::asio::awaitable<void> Renew(gang_id aGang, std::string aName, std::uint64_t aFence,
                                     base::milliseconds aLease, alive aAlive);
  boost::asio::awaitable<void> List(alive aAlive);

  boost::asio::io_context& mContext;
  platform::task_runner& mRunner;
  std::string mWorker;
  observers mObservers;
  std::map<gang_id, std::map<std::uint32_t, std::uint64_t>> mFences;
  alive mAlive = std::make_shared<bool>(true);
  bool mIsListing = false;
  bool mIsListDue = false;
};

} // namespace rattanpond::scheduling
