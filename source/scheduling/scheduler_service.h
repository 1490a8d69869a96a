#pragma once

#include "base/metrics.h"
#include "base/state_dump.h"
#include "configuration/access_control.h"
#include "configuration/contract.h"
#include "membership/entry_links.h"
#include "membership/target_registry.h"
#include "net/frame_dispatcher.h"
#include "net/http_router.h"
#include "placement/policy.h"
#include "platform/table_service.h"
#include "scheduling/job_registry.h"
#include "scheduling/job_store.h"
#include "scheduling/scheduler_role.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace rattanpond::scheduling {

/// Job interface and scheduler of one entry. Every entry accepts submissions; the entry that holds
/// the scheduler role of the region places gangs. Used on the control thread.
class scheduler_service
{
public:
  /// Returns the configuration in force, or null before it is loaded.
  using snapshot_source =
    std::function<std::shared_ptr<configuration::configuration_snapshot const>()>;

  struct options
  {
    std::string mRegion;
    /// Unique for this process and incarnation.
    std::string mSelf;
    snapshot_source mSnapshot;
    scheduler_role::options mRole;
    job_registry::options mRegistry;
    base::milliseconds mDecisionInterval{ 250 };
    /// After a takeover the scheduler waits this long for agent reports before it places gangs.
    base::milliseconds mRecoveryTime{ 2000 };
    /// Rows of ended jobs are deleted this long after the end.
    base::milliseconds mEndedRetention{ 7 * 86'400'000LL };
  };

  scheduler_service(boost::asio::io_context& aContext, platform::table_service& aTable,
                    membership::target_registry& aTargets, membership::entry_links& aEntries,
                    placement::policy& aPolicy, configuration::access_control const& aAccess,
                    base::metrics_registry& aMetrics, options aOptions);
  ~scheduler_service();
  scheduler_service(scheduler_service const&) = delete;
  scheduler_service& operator=(scheduler_service const&) = delete;

  /// Registers the handlers for messages of agents and other entries. Replies to forwarded jobs
  /// arrive on the links to the other entries, so their dispatcher must be registered as well.
  void Register(net::frame_dispatcher& aDispatcher);
  /// Registers the HTTP routes for jobs.
  void Register(net::http_router& aRouter);
  void Register(base::state_dump& aDump);

  /// Starts the timer and the contest for the scheduler role; call after the observers are set.
  void Start();
  /// Releases the role, so that another entry can take it without waiting for the lease to expire.
  boost::asio::awaitable<void> ReleaseRole();

  bool HoldsRole() const { return mRole.Holds(); }
  term const& Term() const { return mRole.Term(); }
  job_registry const& Jobs() const { return mRegistry; }

private:
  struct departed_worker
  {
    membership::target_description mDescription;
    base::time_point mLeftAt{};
  };

  using alive = std::shared_ptr<bool>;

  void Tick();
  void TickHolder(base::time_point aNow);
  void Decide(base::time_point aNow);
  bool MayPlace(base::time_point aNow) const;
  placement::cluster_state State(base::time_point aNow) const;
  placement::worker Worker(membership::target_description const& aTarget,
                           configuration::configuration_snapshot const& aSnapshot) const;
  void Recover(base::time_point aNow);
  void Flush();
  void Send(job_registry::outgoing const& aOutgoing);
  void WorkerChanged(membership::target_change aChange, membership::known_target const& aTarget);
  void RoleChanged(base::time_point aNow);
  term_notice Notice() const;
  void NotifyWorkers() const;
  boost::asio::awaitable<void> ContestRoleLoop(alive aAlive);
  boost::asio::awaitable<void> LoadJobs(alive aAlive);
  boost::asio::awaitable<void> ContestRoleOnce();

  // HTTP handlers and messages between entries; defined in job_api.cpp.
  boost::asio::awaitable<net::http_response> HandleSubmit(net::routed_request aRequest);
  boost::asio::awaitable<net::http_response> HandleRead(net::routed_request aRequest);
  boost::asio::awaitable<net::http_response> HandleList(net::routed_request aRequest);
  boost::asio::awaitable<net::http_response> HandleCancel(net::routed_request aRequest);
  /// Accepts a job whose row cannot be written if its gang is committed in time.
  boost::asio::awaitable<base::reply<job>> CommitUnrecorded(job aJob);
  boost::asio::awaitable<void> AnswerUnrecorded(net::link_ptr aLink, job aJob);
  boost::asio::awaitable<net::http_response> SubmitWithoutStore(job aJob);
  base::milliseconds UnrecordedCommitTimeout(job const& aJob) const;
  boost::asio::awaitable<base::reply<job>> ReadJob(std::string aId);
  /// Sends a submission or a cancellation to the other entries repeatedly until the scheduler
  /// replies. Returns whether the scheduler accepted it.
  boost::asio::awaitable<bool> Forward(base::bytes aFrame, std::string aJob,
                                       base::milliseconds aTimeout);
  boost::asio::awaitable<void> ForwardUntilAcknowledged(base::bytes aFrame, std::string aJob,
                                                        alive aAlive);
  void ForwardInBackground(base::bytes aFrame, std::string aJob);
  base::result<void> CheckCaller(std::string_view aAuthorization,
                                 std::string const& aWorkspace) const;
  base::result<job> ParseSubmission(net::routed_request const& aRequest) const;
  bool IsOwn(job const& aJob) const { return aJob.mSpecification.mRegion == mOptions.mRegion; }

  boost::asio::io_context& mContext;
  platform::table_service& mTable;
  membership::target_registry& mTargets;
  membership::entry_links& mEntries;
  placement::policy& mPolicy;
  configuration::access_control const& mAccess;
  base::metrics_registry& mMetrics;
  options mOptions;
  scheduler_role mRole;
  job_registry mRegistry;
  job_store mStore;
  boost::asio::steady_timer mTimer;
  std::map<std::string, departed_worker> mDepartedWorkers;
  /// Latest report of each connected worker; applied when this entry takes the role.
  std::map<std::string, task_report> mReports;
  /// Replies to forwarded jobs; timed_out until the scheduler replies.
  std::map<std::string, base::result_code> mReplies;
  /// Jobs that CommitUnrecorded is processing.
  std::set<std::string> mUnrecordedCommits;
  base::time_point mNextDecision{};
  base::time_point mNextAnnouncement{};
  base::time_point mNextWorkerNotice{};
  base::time_point mNextReload{};
  bool mWasHolder = false;
  bool mIsRecovered = false;
  bool mIsLoaded = false;
  bool mIsLoading = false;
  bool mLoadFailed = false;
  bool mIsDecisionDue = false;
  alive mAlive = std::make_shared<bool>(true);
};

} // namespace rattanpond::scheduling
