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

/// Reads and writes the table rows job/<id>. Used on the control thread.
class job_store
{
public:
  /// Called with the stored job when an update finds a final state in the row that differs from
  /// the state to be written.
  using end_observer = std::function<void(job const&)>;

  job_store(boost::asio::io_context& aContext, platform::table_service& aTable,
            end_observer aOnStoredEnd);
  ~job_store();
  job_store(job_store const&) = delete;
  job_store& operator=(job_store const&) = delete;

  /// Derives the id of a job from its workspace and idempotency key; every entry derives the same
  /// id.
  static std::string JobId(std::string const& aWorkspace, std::string const& aKey);

  /// Creates the row if it is absent, and returns the stored job. Fails with key_reused if the
  /// stored job has another specification.
  boost::asio::awaitable<base::reply<job>> Create(job aJob);
  boost::asio::awaitable<base::reply<std::optional<job>>> Read(std::string aId);
  boost::asio::awaitable<base::reply<std::vector<job>>> ReadAll();
  /// Writes the state cancelled unless the job has ended, and returns the stored job.
  boost::asio::awaitable<base::reply<job>> Cancel(std::string aId);

  /// Deletes the rows of jobs that ended before a wall-clock time, a bounded number per call, and
  /// returns their ids. Their idempotency keys can then be used for new jobs.
  boost::asio::awaitable<std::vector<std::string>> RemoveEnded(std::vector<job> aJobs,
                                                               std::int64_t aBeforeMilliseconds);

  /// Writes the job in the background and retries while the store is unavailable. A later update of
  /// the same job replaces one that is still pending; a final state in the row is never changed.
  void Update(job aJob);
  /// Discards the pending writes; called when the scheduler role is taken over or lost.
  void DiscardUpdates() { mPending.clear(); }
  std::size_t PendingUpdates() const { return mPending.size(); }

private:
  using alive = std::shared_ptr<bool>;

  boost::asio::awaitable<base::reply<platform::table_row>> ReadRow(std::string aId);
  boost::asio::awaitable<base::reply<base::done>> WriteRow(job aJob, std::uint64_t aRevision);
  boost::asio::awaitable<void> WritePending(alive aAlive);
  /// Returns false if the update must be retried.
  boost::asio::awaitable<bool> WriteUpdate(job aJob, alive aAlive);

  boost::asio::io_context& mContext;
  platform::table_service& mTable;
  end_observer mOnStoredEnd;
  std::map<std::string, job> mPending;
  bool mIsWriting = false;
  alive mAlive = std::make_shared<bool>(true);
};

} // namespace rattanpond::scheduling
