#pragma once

#include "platform/table_service.h"
#include "scheduling/job.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

namespace rattanpond::scheduling {

/// The rows job/<id>. Used on the control thread.
class job_store
{
public:
  /// Called with the row when it holds an end of the job that the scheduler did not know of.
  using overruled = std::function<void(job const&)>;

  job_store(boost::asio::io_context& aContext, platform::table_service& aTable,
            overruled aOverruled);
  ~job_store();
  job_store(job_store const&) = delete;
  job_store& operator=(job_store const&) = delete;

  /// Id of the job that a workspace's key names; the same through every entry.
  static std::string JobId(std::string const& aWorkspace, std::string const& aKey);

  /// Creates the row if it is absent and returns the job as the row holds it. Fails with key_reused
  /// when the key was used for another specification.
  boost::asio::awaitable<base::reply<job>> Create(job aJob);
  boost::asio::awaitable<base::reply<std::optional<job>>> Read(std::string aId);
  boost::asio::awaitable<base::reply<std::vector<job>>> ReadAll();
  /// Writes the state cancelled unless the job has ended, and returns the job.
  boost::asio::awaitable<base::reply<job>> Cancel(std::string aId);

  /// Deletes the rows of jobs that ended before a wall-clock time, a bounded number of them, and
  /// returns their ids. Their keys may then name new jobs.
  boost::asio::awaitable<std::vector<std::string>> RemoveEnded(std::vector<job> aJobs,
                                                               std::int64_t aBeforeMilliseconds);

  /// Writes the job in the background and repeats that while the store is down. The latest version
  /// wins; a final state in the row is never changed.
  void Update(job aJob);
  /// Drops the writes that are still to be made, when another entry schedules from now on.
  void ForgetUpdates() { mPending.clear(); }
  std::size_t PendingUpdates() const { return mPending.size(); }

private:
  using alive = std::shared_ptr<bool>;

  boost::asio::awaitable<base::reply<platform::table_row>> ReadRow(std::string aId);
  boost::asio::awaitable<base::reply<base::done>> WriteRow(job aJob, std::uint64_t aRevision);
  boost::asio::awaitable<void> WritePending(alive aAlive);
  /// Returns whether the store answered.
  boost::asio::awaitable<bool> WriteUpdate(job aJob, alive aAlive);

  boost::asio::io_context& mContext;
  platform::table_service& mTable;
  overruled mOverruled;
  std::map<std::string, job> mPending;
  bool mIsWriting = false;
  alive mAlive = std::make_shared<bool>(true);
};

} // namespace rattanpond::scheduling
