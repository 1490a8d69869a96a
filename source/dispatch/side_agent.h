#pragma once

#include "base/metrics.h"
#include "dispatch/awake_time.h"
#include "dispatch/messages.h"
#include "net/http_message.h"
#include "net/link_server.h"
#include "platform/deployment_settings.h"
#include "platform/worker_client.h"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>

#include <boost/asio/steady_timer.hpp>

namespace rattanpond::dispatch {

/// The agent next to a worker: receives its heartbeats, renews its lease, carries out the
/// scheduler's orders and reports its run lists. The only process that calls the worker.
class side_agent
{
public:
  struct options
  {
    boost::asio::io_context& mContext;
    platform::deployment_settings const& mSettings;
    base::metrics_registry& mMetrics;
  };

  explicit side_agent(options const& aOptions);
  ~side_agent();

  base::result<void> Start(net::tcp::endpoint const& aLinks);

  /// Address on which this side accepts the scheduler's connection.
  net::tcp::endpoint Links() const { return mLinks->Endpoint(); }

  /// Handles a worker heartbeat. Ignores unreadable and outdated ones and those of other domains.
  void Heartbeat(std::string const& aWorker, std::string const& aBody);
  /// Handles the worker's message that it shuts down in order.
  void HandleDeparture(std::string const& aWorker);
  base::json Dump() const;

private:
  /// The last known time on the worker's clock and the latest lease deadline sent to the worker.
  struct lease_state
  {
    std::int64_t mClockMs = 0;
    /// On mAwake: the worker's clock stands still whenever this machine is suspended.
    base::milliseconds mReadAt{ 0 };
    std::int64_t mLatestDeadlineMs = 0;
    /// Latest lease deadline that the worker has certainly received.
    std::int64_t mConfirmedDeadlineMs = 0;
  };

  struct sent_poll
  {
    std::uint64_t mNumber = 0;
    /// The fence of the poll.
    std::uint64_t mTerm = 0;
  };

  /// A start that the worker has not answered.
  struct open_start
  {
    /// Latest deadline of its attempts, on the worker's clock.
    std::int64_t mDeadlineMs = 0;
    /// Whether further attempts may follow.
    bool mIsExecuting = true;
  };

  /// Task and number of a run.
  using run_key = std::pair<std::string, std::uint32_t>;

  /// An order that has not been carried out; exactly one of the first three members is set.
  struct pending_order
  {
    /// Term of the scheduler that sent the order; the fence of its calls.
    std::uint64_t mTerm = 0;
    std::optional<start_order> mStart{};
    std::optional<stop_order> mStop{};
    std::optional<pace_order> mPace{};
    base::time_point mReportSentAt{};
  };

  boost::asio::awaitable<void> PollLoop();
  boost::asio::awaitable<void> ReportLoop();
  /// Advances mAwake while a lease matters.
  boost::asio::awaitable<void> AwakeLoop();
  boost::asio::awaitable<void> OrderLoop();
  boost::asio::awaitable<void> ReadRunListsForResults();
  boost::asio::awaitable<bool> ReadRunLists(base::milliseconds aWait);
  /// Records a call without an answer: the worker may have been replaced by another incarnation.
  void DoubtIncarnation() { ++mDoubts; }
  bool IsIncarnationConfirmed() const { return mConfirmedDoubts == mDoubts; }
  /// Records why a call for run lists has returned none.
  void NoteMissingLists(platform::worker_client::poll_answer const& aAnswer);
  /// Counts and logs the checkpoints that the lists lack, if there are more than before.
  void RecordCheckpointLosses(platform::worker_run_lists const& aLists);
  /// Handles an answer of another incarnation than the registered one. The worker counts as absent
  /// until the new incarnation has registered.
  void HandleUnknownIncarnation(std::int64_t aIncarnationStart, std::string const& aSign);
  /// Stops the runs whose start an earlier incarnation left unanswered, unless these lists show
  /// them: the call may still reach the incarnation that has answered.
  void StopUnansweredStarts(platform::worker_run_lists const& aLists);
  boost::asio::awaitable<order_result> ExecuteOrder(pending_order aOrder);
  boost::asio::awaitable<order_result> ExecuteStart(start_order aOrder, std::uint64_t aTerm,
                                                    base::time_point aReportSentAt);
  /// Waits until the next attempt of an order is due.
  static boost::asio::awaitable<void> WaitForRetry(int aAttempt, base::time_point aSentAt);
  boost::asio::awaitable<order_result> ExecuteStop(stop_order aOrder);
  void HandleFrame(net::link_ptr const& aLink, net::frame const& aFrame);
  void HandleOrders(net::link_ptr const& aLink, side_orders aOrders);
  void AcceptRunLists(platform::worker_run_lists aLists, sent_poll const& aPoll);
  void ApplyHeartbeat(platform::worker_heartbeat const& aHeartbeat);
  /// Whether a heartbeat of the registered incarnation is to be ignored: it is older than the last
  /// one, or the worker cannot have sent that many heartbeats yet.
  bool IsOutOfSequence(platform::worker_heartbeat const& aHeartbeat);
  /// Registers the incarnation that a heartbeat names, once the worker's address has confirmed it.
  boost::asio::awaitable<void> VerifyClaim(platform::worker_heartbeat aClaim);
  /// Whether the claim names a later incarnation than the registered one.
  bool IsNewer(platform::worker_heartbeat const& aClaim) const;
  void RequestReport();
  void SendReport();
  /// Removes the checkpoints of active runs from a report if it follows another one with
  /// checkpoints too soon, or would repeat them.
  void SelectCheckpoints(side_report& aReport);
  std::int64_t NextDeadline() const;
  std::int64_t StartDeadline() const;
  /// Latest lease deadline that the worker may have received without this process knowing it: from
  /// an earlier process of the side, or in a start for the former incarnation.
  std::int64_t LatestForeignDeadline() const;
  /// Maximum wait of the next poll; it ends soon after the deadline of an open start.
  base::milliseconds PollWait() const;
  /// Remembers that a start had no answer.
  void NoteUnansweredStart(run_key const& aRun, base::time_point aSentAt);
  /// Determines from the run lists which of the starts without an answer have taken effect, and
  /// which never will.
  void SettleOpenStarts();
  bool MayRenewLease(base::time_point aNow) const;
  /// Longest time until the worker's lease expires, unless the machine is suspended.
  base::milliseconds LeaseLeft() const;

  options mOptions;
  std::unique_ptr<platform::worker_client> mWorker;
  std::unique_ptr<net::link_server> mLinks;
  /// Link to the holder of the highest term received.
  net::link_ptr mScheduler;
  std::uint64_t mTerm = 0;
  base::time_point mOrdersReceivedAt{};

  std::optional<platform::worker_heartbeat> mHeartbeat;
  base::time_point mHeartbeatAt{};
  worker_state mState = worker_state::absent;
  /// Time of the last heartbeat with a smaller capacity than the one before.
  base::time_point mShrunkAt{};
  bool mHasRunLists = false;
  platform::worker_run_lists mLists;
  base::time_point mRunListsReadAt{};
  /// Why the last call without run lists returned none.
  std::string mListsFailure;
  std::uint64_t mUnreadableLists = 0;
  /// Position in the list of active runs from which the next one supplies checkpoints. It moves on
  /// with each report of checkpoints, so that all runs have their turn.
  std::size_t mFirstCheckpoint = 0;
  base::time_point mCheckpointsReportedAt{};
  /// Checkpoints that the last lists lacked.
  std::size_t mOmittedCheckpoints = 0;
  std::size_t mUnreadableCheckpoints = 0;
  /// Number of polls sent; mRunListsPoll is the one that returned mLists.
  std::uint64_t mPolls = 0;
  sent_poll mRunListsPoll;
  lease_state mLease;
  /// Advanced before each use as the present time.
  awake_time mAwake;
  std::int64_t mAcknowledged = 0;

  std::uint64_t mSequence = 0;
  /// Send times of recent reports by sequence number.
  std::map<std::uint64_t, base::time_point> mSentReports;
  /// Send time of the latest report that has been answered.
  base::time_point mAnsweredReportSentAt{};
  /// Order results that are reported once the run lists have been read after them.
  std::vector<order_result> mResultsAwaitingRunLists;
  std::vector<order_result> mResults;
  std::map<run_key, open_start> mOpenStarts;
  /// Send times of recent start calls without an answer. A later incarnation may still carry them
  /// out: its clock begins anew, so it does not refuse them as late.
  std::map<run_key, base::time_point> mUnansweredStarts;
  /// Number of calls without an answer, and that number when the last run-list call that the
  /// registered incarnation has answered was sent. The incarnation is confirmed if they are equal.
  std::uint64_t mDoubts = 0;
  std::uint64_t mConfirmedDoubts = 0;
  /// Whether the registered incarnation has the identifier of its predecessor, so that it carries
  /// out calls for that one.
  bool mIsReborn = false;
  /// Incarnation that has answered and has not registered; 0 if there is none.
  std::int64_t mUnknownIncarnationStart = 0;
  /// Incarnation that was sent the stops of all unanswered starts before it has registered.
  std::int64_t mSightedIncarnationStart = 0;
  /// Starts that never took effect, and the first report with that result; 0 before the first. They
  /// are reported until one of the reports has been answered.
  std::map<run_key, std::uint64_t> mExpiredStarts;
  bool mIsReadingRunLists = false;
  std::deque<pending_order> mOrders;
  boost::asio::steady_timer mOrderTimer;
  boost::asio::steady_timer mReportTimer;
  boost::asio::steady_timer mPollTimer;
  boost::asio::steady_timer mAwakeTimer;
  bool mMustReport = false;
  base::time_point mReportedAt{};
  std::uint64_t mUnreadableHeartbeats = 0;
  std::uint64_t mDisputedHeartbeats = 0;
  /// Claims that are being verified: identifier and start of the incarnation.
  std::set<std::pair<std::string, std::int64_t>> mClaims;
  /// Sequence number of the last heartbeat that was ignored as older, and how many of these numbers
  /// in a row have been increasing.
  std::int64_t mLowerSequence = 0;
  int mLowerHeartbeats = 0;
};

} // namespace rattanpond::dispatch
