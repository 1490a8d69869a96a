#include "dispatch/side_agent.h"

#include "base/logging.h"
#include "dispatch/lease_timing.h"
#include "net/sleep.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace rattanpond::dispatch {

namespace asio = boost::asio;
using asio::awaitable;
using base::milliseconds;

namespace {

/// Maximum wait of a poll; the worker answers at once when a run ends.
constexpr milliseconds kPollWait{ 1000 };
constexpr milliseconds kPollRetryDelay{ 150 };
/// Maximum time between two reports, with and without runs or orders.
constexpr milliseconds kBusyReportInterval{ 1000 };
constexpr milliseconds kIdleReportInterval{ 1500 };
/// A worker whose run lists could not be read for this long counts as absent.
constexpr milliseconds kWorkerAbsenceTimeout{ 1500 };
/// Active runs' checkpoints that are no longer than this together, in bytes, are part of each
/// report; longer ones of one report in this interval, as a burst of reports would repeat them.
constexpr std::size_t kShortCheckpointBytes = 64 * 1024;
constexpr milliseconds kCheckpointInterval{ 1000 };
/// The link of a scheduler that has not sent orders for this long is closed; another scheduler may
/// connect.
constexpr milliseconds kSchedulerTimeout{ 3000 };
constexpr int kStartAttempts = 3;
constexpr int kStopAttempts = 4;
/// Shortest time between two attempts of an order; doubled with each attempt. A worker that refuses
/// or resets connections for a moment fails all attempts within milliseconds otherwise.
constexpr milliseconds kOrderRetryDelay{ 100 };
/// Maximum number of orders that are carried out at the same time.
constexpr std::size_t kMaximumConcurrentOrders = 4;
/// One in this many unreadable heartbeats, and run lists, is logged.
constexpr std::uint64_t kUnreadableLogInterval = 50;
/// Resolution of the time that counts towards the lease of a worker that does not answer.
constexpr milliseconds kAwakeInterval{ 250 };
constexpr milliseconds kAwakeIdleWait{ 60'000 };
/// A worker that has reported its departure ends within this time.
constexpr milliseconds kDepartureDelay{ 500 };
/// Starts without an answer are remembered for this long. The worker may carry them out "seconds
/// later"; the protocol gives no longest time.
constexpr milliseconds kLateCallWindow{ 30'000 };
/// Maximum number of claims that are verified at the same time.
constexpr std::size_t kMaximumClaims = 4;
/// A sequence number is plausible if the worker has sent at most one heartbeat in this interval
/// since the last one, and kSkippedHeartbeats more.
constexpr milliseconds kShortestHeartbeatInterval{ 50 };
constexpr std::int64_t kSkippedHeartbeats = 20;
/// A series of lower sequence numbers is taken for that of the worker once it has this many, and
/// the registered number had no successor for kSequenceSilence.
constexpr int kLowerSeries = 2;
constexpr milliseconds kSequenceSilence{ 1000 };

} // namespace

side_agent::side_agent(options const& aOptions)
  : mOptions{ aOptions }
  , mOrderTimer{ mOptions.mContext }
  , mReportTimer{ mOptions.mContext }
  , mPollTimer{ mOptions.mContext }
  , mAwakeTimer{ mOptions.mContext }
{
  // The timer never expires; cancelling it wakes all order loops that wait on it.
  mOrderTimer.expires_at(asio::steady_timer::time_point::max());
}

side_agent::~side_agent() = default;

base::result<void> side_agent::Start(net::tcp::endpoint const& aLinks)
{
  if (!mOptions.mSettings.mWorker) {
    return base::Fail(base::result_code::invalid_settings, "the settings name no worker");
  }
  mWorker =
    std::make_unique<platform::worker_client>(mOptions.mContext, *mOptions.mSettings.mWorker);
  net::link_handlers handlers{
    .mOnFrame = [this](net::link_ptr const& aLink,
                       net::frame aFrame) { HandleFrame(aLink, aFrame); },
    .mOnClose =
      [this](net::link_ptr const& aLink, base::error const& aReason) {
        if (aLink == mScheduler) {
          mOptions.mMetrics.Counter("rattanpond_scheduler_links_lost").Add();
          if (aReason.mCode == base::result_code::message_too_large) {
            mOptions.mMetrics.Counter("rattanpond_orders_too_large").Add();
          }
          base::Log("side")->info("scheduler-lost term={} reason=\"{}\"", mTerm, aReason.mMessage);
          mScheduler.reset();
        }
      },
  };
  BOOST_LEAF_ASSIGN(mLinks, net::link_server::Create(mOptions.mContext, aLinks, handlers));
  asio::co_spawn(
    mOptions.mContext, [this] { return PollLoop(); }, asio::detached);
  asio::co_spawn(
    mOptions.mContext, [this] { return ReportLoop(); }, asio::detached);
  asio::co_spawn(
    mOptions.mContext, [this] { return AwakeLoop(); }, asio::detached);
  for (std::size_t index = 0; index < kMaximumConcurrentOrders; ++index) {
    asio::co_spawn(
      mOptions.mContext, [this] { return OrderLoop(); }, asio::detached);
  }
  return {};
}

void side_agent::Heartbeat(std::string const& aWorker, std::string const& aBody)
{
  auto const parsed = base::Capture([&] { return platform::ParseHeartbeat(aWorker, aBody); });
  if (!base::Succeeded(parsed)) {
    mOptions.mMetrics.Counter("rattanpond_heartbeats_unreadable").Add();
    if (mUnreadableHeartbeats++ % kUnreadableLogInterval == 0) {
      base::Log("side")->warn("heartbeat-unreadable worker={} reason=\"{}\" count={}", aWorker,
                              base::Error(parsed).mMessage, mUnreadableHeartbeats);
    }
    return;
  }
  auto const& heartbeat = std::get<0>(parsed);
  if (heartbeat.mDomain != mOptions.mSettings.mFailureDomain) {
    return;
  }
  auto const isRegistered = mHeartbeat && mHeartbeat->mWorker == heartbeat.mWorker &&
                            mHeartbeat->mIncarnationStart == heartbeat.mIncarnationStart;
  if (isRegistered) {
    if (!IsOutOfSequence(heartbeat)) {
      ApplyHeartbeat(heartbeat);
    }
    return;
  }
  std::pair const claim{ heartbeat.mWorker, heartbeat.mIncarnationStart };
  if (!IsNewer(heartbeat) || mClaims.size() >= kMaximumClaims || !mClaims.insert(claim).second) {
    return;
  }
  asio::co_spawn(
    mOptions.mContext,
    [this, heartbeat]() -> awaitable<void> {
      co_await VerifyClaim(heartbeat);
      mClaims.erase({ heartbeat.mWorker, heartbeat.mIncarnationStart });
    },
    asio::detached);
}

bool side_agent::IsNewer(platform::worker_heartbeat const& aClaim) const
{
  return !mHeartbeat || aClaim.mIncarnationStart > mHeartbeat->mIncarnationStart;
}

bool side_agent::IsOutOfSequence(platform::worker_heartbeat const& aHeartbeat)
{
  auto const since = base::Now() - mHeartbeatAt;
  auto const sequence = aHeartbeat.mSequence;
  if (sequence > mHeartbeat->mSequence) {
    auto const highest =
      mHeartbeat->mSequence + kSkippedHeartbeats + since / kShortestHeartbeatInterval;
    if (sequence > highest) {
      mOptions.mMetrics.Counter("rattanpond_heartbeats_disputed").Add();
      base::Log("side")->warn("heartbeat-implausible worker={} sequence={} last={} since_ms={}",
                              aHeartbeat.mWorker, sequence, mHeartbeat->mSequence, since.count());
      return true;
    }
    mLowerHeartbeats = 0;
    return false;
  }
  // A delayed heartbeat is followed by newer ones. If only lower numbers arrive, and they increase,
  // they are the worker's, and the higher one came from another program.
  mLowerHeartbeats = mLowerHeartbeats > 0 && sequence > mLowerSequence ? mLowerHeartbeats + 1 : 1;
  mLowerSequence = sequence;
  if (mLowerHeartbeats < kLowerSeries || since < kSequenceSilence) {
    return true;
  }
  base::Log("side")->warn("heartbeat-series-replaced worker={} sequence={} last={} since_ms={}",
                          aHeartbeat.mWorker, sequence, mHeartbeat->mSequence, since.count());
  mLowerHeartbeats = 0;
  return false;
}

awaitable<void> side_agent::VerifyClaim(platform::worker_heartbeat aClaim)
{
  // A heartbeat can come from any program. Only the worker at this side's own address shows which
  // incarnation is there: it refuses calls for another identifier, and its run lists name its
  // start.
  auto const until = base::Now() + kWorkerAbsenceTimeout;
  while (IsNewer(aClaim)) {
    auto const answer = co_await mWorker->PollRuns(aClaim.mWorker, { .mFence = mTerm });
    if (!IsNewer(aClaim)) {
      break;
    }
    auto const isOther =
      answer.mIsOtherIncarnation ||
      (answer.mLists && answer.mLists->mIncarnationStart != aClaim.mIncarnationStart);
    if (isOther) {
      mOptions.mMetrics.Counter("rattanpond_heartbeats_disputed").Add();
      if (mDisputedHeartbeats++ % kUnreadableLogInterval == 0) {
        base::Log("side")->warn(
          "heartbeat-disputed worker={} born={} service={} answered_born={} count={}",
          aClaim.mWorker, aClaim.mIncarnationStart, aClaim.mService,
          answer.mLists ? answer.mLists->mIncarnationStart : 0, mDisputedHeartbeats);
      }
      break;
    }
    // Without any answer, a registered worker stays: it may be the one that does not answer now. A
    // side without a worker reports the claim, whose lease the scheduler must not take for expired.
    if (answer.mLists || !mHeartbeat) {
      ApplyHeartbeat(aClaim);
      break;
    }
    if (base::Now() > until) {
      break;
    }
    co_await net::Sleep(kPollRetryDelay);
  }
}

void side_agent::ApplyHeartbeat(platform::worker_heartbeat const& aHeartbeat)
{
  auto const isNew = !mHeartbeat || mHeartbeat->mIncarnationStart != aHeartbeat.mIncarnationStart;
  if (isNew) {
    mIsReborn = mHeartbeat && mHeartbeat->mWorker == aHeartbeat.mWorker;
  }
  if (mHeartbeat && mHeartbeat->mWorker != aHeartbeat.mWorker) {
    // Each call names the identifier that it is for, and the successor refuses those of another.
    mUnansweredStarts.clear();
  }
  auto const hasChanged = isNew || mHeartbeat->mState != aHeartbeat.mState ||
                          !(mHeartbeat->mCapacity == aHeartbeat.mCapacity) ||
                          mHeartbeat->mLabels != aHeartbeat.mLabels;
  if (!isNew && !aHeartbeat.mCapacity.Covers(mHeartbeat->mCapacity)) {
    mShrunkAt = base::Now();
    base::Log("side")->info(
      "worker-shrunk worker={} millicores={} memory_mebibytes={} accelerators={}",
      aHeartbeat.mWorker, aHeartbeat.mCapacity.mMillicores, aHeartbeat.mCapacity.mMemoryMebibytes,
      aHeartbeat.mCapacity.mAccelerators);
  }
  mHeartbeat = aHeartbeat;
  mHeartbeatAt = base::Now();
  if (isNew) {
    mLowerHeartbeats = 0;
    base::Log("side")->info("worker worker={} born={} service={}", aHeartbeat.mWorker,
                            aHeartbeat.mIncarnationStart, aHeartbeat.mService);
    mHasRunLists = false;
    mLists = {};
    mFirstCheckpoint = 0;
    mUnknownIncarnationStart = 0;
    DoubtIncarnation();
    // An earlier incarnation of this process may have renewed the lease until now. As long as the
    // worker's clock is unknown, the lease is assumed to have its full length from now on.
    mLease = {};
    mAwake.Advance(awake_time::clock::now());
    mLease.mReadAt = mAwake.Total();
    mLease.mLatestDeadlineMs = LatestForeignDeadline();
    // The scheduler knows of leases of this incarnation only from reports that name it, so answers
    // to earlier reports do not allow to renew them.
    mSentReports.clear();
    mAnsweredReportSentAt = {};
    mAcknowledged = 0;
    mResults.clear();
    mResultsAwaitingRunLists.clear();
    mOpenStarts.clear();
    mExpiredStarts.clear();
    mOrders.clear();
    mState = worker_state::absent;
    mPollTimer.cancel();
    RequestReport();
  }
  if (hasChanged && mState != worker_state::absent) {
    mState = aHeartbeat.mState;
    base::Log("side")->info(
      "worker-state worker={} state={} time_left_ms={}", aHeartbeat.mWorker, base::Name(mState),
      aHeartbeat.mTimeLeft ? std::to_string(aHeartbeat.mTimeLeft->count()) : "unknown");
    RequestReport();
  }
}

void side_agent::HandleDeparture(std::string const& aWorker)
{
  // The departure message does not name an incarnation, so it counts only for a worker whose last
  // heartbeat reported that it is draining.
  if (!mHeartbeat || mHeartbeat->mWorker != aWorker ||
      mHeartbeat->mState != worker_state::draining) {
    return;
  }
  auto const incarnationStart = mHeartbeat->mIncarnationStart;
  asio::co_spawn(
    mOptions.mContext,
    [this, incarnationStart]() -> awaitable<void> {
      auto const isDraining = [&] {
        return mHeartbeat && mHeartbeat->mIncarnationStart == incarnationStart &&
               mHeartbeat->mState == worker_state::draining;
      };
      // The message can come from any program, so the worker stays in use as long as it answers.
      do {
        co_await net::Sleep(kDepartureDelay);
      } while (isDraining() && co_await ReadRunLists(milliseconds{ 0 }));
      if (isDraining()) {
        base::Log("side")->info("worker-left worker={} born={}", mHeartbeat->mWorker,
                                incarnationStart);
        mState = worker_state::gone;
        RequestReport();
      }
    },
    asio::detached);
}

bool side_agent::MayRenewLease(base::time_point aNow) const
{
  return mAnsweredReportSentAt != base::time_point{} &&
         aNow - mAnsweredReportSentAt <= kLeaseRenewalWindow;
}

std::int64_t side_agent::NextDeadline() const
{
  auto const length = std::min(kLeaseLength, mOptions.mSettings.mMaximumLease);
  return mLease.mClockMs + length.count();
}

std::int64_t side_agent::LatestForeignDeadline() const
{
  // On a new clock only the maximum bounds the deadline of a start for the former incarnation.
  return mIsReborn ? mLease.mClockMs + mOptions.mSettings.mMaximumLease.count() : NextDeadline();
}

std::int64_t side_agent::StartDeadline() const
{
  auto const length = std::min(kStartValidity, mOptions.mSettings.mMaximumLease);
  return mLease.mClockMs + length.count();
}

milliseconds side_agent::PollWait() const
{
  auto wait = kPollWait;
  for (auto const& [run, start] : mOpenStarts) {
    milliseconds const left{ start.mDeadlineMs + 1 - mLists.mClockMs };
    wait = std::clamp(left, kPollRetryDelay, wait);
  }
  return wait;
}

milliseconds side_agent::LeaseLeft() const
{
  if (mLease.mLatestDeadlineMs <= mLease.mClockMs) {
    return milliseconds{ 0 };
  }
  auto const whole = MaximumRealTime(milliseconds{ mLease.mLatestDeadlineMs - mLease.mClockMs });
  return std::max(milliseconds{ 0 }, whole - (mAwake.Total() - mLease.mReadAt));
}

awaitable<void> side_agent::AwakeLoop()
{
  while (true) {
    auto const hasLease = mHeartbeat && LeaseLeft() > milliseconds{ 0 };
    auto const mayHaveRuns =
      mState == worker_state::absent || !mLists.mRunning.empty() || !mOpenStarts.empty();
    auto const isCounting = hasLease && mayHaveRuns;
    boost::system::error_code ignored;
    mAwakeTimer.expires_after(isCounting ? kAwakeInterval : kAwakeIdleWait);
    co_await mAwakeTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    auto const gap = mAwake.Advance(awake_time::clock::now());
    if (isCounting && gap > milliseconds{ 0 }) {
      base::Log("side")->info("suspension-possible gap_ms={} lease_left_ms={}", gap.count(),
                              LeaseLeft().count());
    }
  }
}

awaitable<bool> side_agent::ReadRunLists(milliseconds aWait)
{
  auto const worker = mHeartbeat->mWorker;
  auto const incarnationStart = mHeartbeat->mIncarnationStart;
  platform::worker_client::poll_request values{ .mFence = mTerm,
                                                .mWait = aWait,
                                                .mFirstCheckpoint = mFirstCheckpoint };
  // The acknowledgement and the deadline hold for one incarnation only: another one would forget
  // ends that nobody has seen, and take the deadline for a longer one.
  if (IsIncarnationConfirmed()) {
    values.mAcknowledged = mAcknowledged;
  }
  if (IsIncarnationConfirmed() && MayRenewLease(base::Now()) && mLease.mClockMs > 0) {
    values.mDeadlineMs = NextDeadline();
    mLease.mLatestDeadlineMs = std::max(mLease.mLatestDeadlineMs, values.mDeadlineMs);
  }
  sent_poll const poll{ .mNumber = ++mPolls, .mTerm = values.mFence };
  auto const doubts = mDoubts;
  auto answer = co_await mWorker->PollRuns(worker, values);
  if (!mHeartbeat || mHeartbeat->mIncarnationStart != incarnationStart) {
    co_return false;
  }
  if (!answer.mLists) {
    DoubtIncarnation();
    NoteMissingLists(answer);
    co_return false;
  }
  RecordCheckpointLosses(*answer.mLists);
  if (answer.mLists->mIncarnationStart != incarnationStart) {
    if (answer.mLists->mIncarnationStart > incarnationStart) {
      HandleUnknownIncarnation(answer.mLists->mIncarnationStart, "run lists");
      // Not only once it has registered: a late call may arrive before its first heartbeat.
      if (mSightedIncarnationStart != answer.mLists->mIncarnationStart) {
        mSightedIncarnationStart = answer.mLists->mIncarnationStart;
        StopUnansweredStarts(*answer.mLists);
      }
    }
    co_return false;
  }
  mConfirmedDoubts = std::max(mConfirmedDoubts, doubts);
  mLease.mConfirmedDeadlineMs = std::max(mLease.mConfirmedDeadlineMs, values.mDeadlineMs);
  AcceptRunLists(std::move(*answer.mLists), poll);
  co_return true;
}

void side_agent::NoteMissingLists(platform::worker_client::poll_answer const& aAnswer)
{
  mListsFailure = aAnswer.mFailure;
  if (!aAnswer.mIsUnreadable) {
    return;
  }
  mOptions.mMetrics.Counter("rattanpond_run_lists_unreadable").Add();
  if (mUnreadableLists++ % kUnreadableLogInterval == 0) {
    base::Log("side")->warn("run-lists-unreadable worker={} born={} reason=\"{}\" count={}",
                            mHeartbeat->mWorker, mHeartbeat->mIncarnationStart, aAnswer.mFailure,
                            mUnreadableLists);
  }
}

void side_agent::RecordCheckpointLosses(platform::worker_run_lists const& aLists)
{
  auto const record = [&](char const* aCounter, char const* aReason, std::size_t aCount,
                          std::size_t& aBefore) {
    if (aCount > aBefore) {
      mOptions.mMetrics.Counter(aCounter).Add(aCount - aBefore);
      base::Log("side")->warn("checkpoints-dropped worker={} runs={} before={} reason=\"{}\"",
                              mHeartbeat->mWorker, aCount, aBefore, aReason);
    }
    aBefore = aCount;
  };
  record("rattanpond_checkpoints_omitted", "the checkpoints of ended runs are too long",
         aLists.mOmittedCheckpoints, mOmittedCheckpoints);
  record("rattanpond_checkpoints_unreadable", "the checkpoints are not text",
         aLists.mUnreadableCheckpoints, mUnreadableCheckpoints);
}

void side_agent::HandleUnknownIncarnation(std::int64_t aIncarnationStart, std::string const& aSign)
{
  DoubtIncarnation();
  if (mState == worker_state::gone ||
      (aIncarnationStart != 0 && aIncarnationStart == mUnknownIncarnationStart)) {
    return;
  }
  base::Log("side")->warn(
    "worker-unknown-incarnation worker={} born={} answered_born={} sign=\"{}\" "
    "open_starts={}",
    mHeartbeat->mWorker, mHeartbeat->mIncarnationStart, aIncarnationStart, aSign,
    mOpenStarts.size());
  mOptions.mMetrics.Counter("rattanpond_unknown_incarnations").Add();
  mUnknownIncarnationStart = aIncarnationStart;
  // It may have carried out starts that were meant for its predecessor. Their deadlines are far
  // ahead on its own clock, so its lease may have the maximum length.
  mLease.mClockMs = 0;
  mAwake.Advance(awake_time::clock::now());
  mLease.mReadAt = mAwake.Total();
  mLease.mLatestDeadlineMs = mOptions.mSettings.mMaximumLease.count();
  mLease.mConfirmedDeadlineMs = 0;
  if (mState != worker_state::absent) {
    mState = worker_state::absent;
    RequestReport();
  }
  mPollTimer.cancel();
}

void side_agent::NoteUnansweredStart(run_key const& aRun, base::time_point aSentAt)
{
  std::erase_if(mUnansweredStarts,
                [&](auto const& aEntry) { return aSentAt - aEntry.second > kLateCallWindow; });
  mUnansweredStarts[aRun] = aSentAt;
  mSightedIncarnationStart = 0;
}

void side_agent::StopUnansweredStarts(platform::worker_run_lists const& aLists)
{
  auto const now = base::Now();
  for (auto const& entry : mUnansweredStarts) {
    auto const& run = entry.first;
    auto const sentAt = entry.second;
    auto const isListed = std::ranges::any_of(aLists.mRunning, [&](auto const& aListed) {
      return aListed.mTask == run.first && aListed.mRun == run.second;
    });
    if (isListed || now - sentAt > kLateCallWindow) {
      continue;
    }
    base::Log("side")->info("stop task={} run={} born={} why=\"its start had no answer from the "
                            "former incarnation\" age_ms={}",
                            run.first, run.second, aLists.mIncarnationStart,
                            (now - sentAt).count());
    mOrders.push_back({ .mTerm = mTerm, .mStop = stop_order{ run.first, run.second } });
  }
  if (!mOrders.empty()) {
    mOrderTimer.cancel();
  }
}

void side_agent::AcceptRunLists(platform::worker_run_lists aLists, sent_poll const& aPoll)
{
  // Answers on different connections may arrive out of order; older run lists are ignored.
  if (mHasRunLists && std::pair{ aLists.mClockMs, aPoll.mNumber } <
                        std::pair{ mLists.mClockMs, mRunListsPoll.mNumber }) {
    return;
  }
  mRunListsPoll = aPoll;
  auto const now = base::Now();
  auto const hasSameRuns = [](auto const& aLeft, auto const& aRight) {
    return std::ranges::equal(aLeft, aRight, [](auto const& aOne, auto const& aOther) {
      return aOne.mTask == aOther.mTask && aOne.mRun == aOther.mRun;
    });
  };
  auto const hasChanged = !mHasRunLists || !hasSameRuns(mLists.mRunning, aLists.mRunning) ||
                          !hasSameRuns(mLists.mEnded, aLists.mEnded);
  mLease.mClockMs = aLists.mClockMs;
  if (!mHasRunLists) {
    // First reading of the worker's clock: the lease is again assumed to have its full length, now
    // on that clock.
    mLease.mLatestDeadlineMs = LatestForeignDeadline();
  }
  mLists = std::move(aLists);
  mRunListsReadAt = now;
  if (!mHasRunLists) {
    StopUnansweredStarts(mLists);
  }
  mHasRunLists = true;
  mAwake.Advance(awake_time::clock::now());
  mLease.mReadAt = mAwake.Total();
  SettleOpenStarts();
  if (mState == worker_state::absent) {
    mState = mHeartbeat->mState;
    RequestReport();
  } else if (hasChanged) {
    RequestReport();
  }
}

void side_agent::SettleOpenStarts()
{
  for (auto const& run : mLists.mRunning) {
    mOpenStarts.erase({ run.mTask, run.mRun });
  }
  for (auto const& run : mLists.mEnded) {
    mOpenStarts.erase({ run.mTask, run.mRun });
  }
  // The worker refuses a start from its deadline on, so a run that it has not begun by then never
  // begins. Ends are acknowledged only after these lists have shown them.
  if (!mLists.mIsComplete || mLists.mIncarnationStart != mHeartbeat->mIncarnationStart) {
    return;
  }
  std::erase_if(mOpenStarts, [&](auto const& aEntry) {
    auto const& [run, start] = aEntry;
    if (start.mIsExecuting || mLists.mClockMs <= start.mDeadlineMs) {
      return false;
    }
    base::Log("side")->info("start-expired task={} run={} term={} deadline_ms={} clock_ms={}",
                            run.first, run.second, mTerm, start.mDeadlineMs, mLists.mClockMs);
    mExpiredStarts.emplace(run, 0);
    RequestReport();
    return true;
  });
}

awaitable<void> side_agent::PollLoop()
{
  auto const wait = [this](milliseconds aTime) -> awaitable<void> {
    boost::system::error_code ignored;
    mPollTimer.expires_after(aTime);
    co_await mPollTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  };
  while (true) {
    if (!mHeartbeat || mState == worker_state::gone) {
      co_await wait(kPollWait);
      continue;
    }
    auto const mustAnswerAtOnce = !mHasRunLists || !IsIncarnationConfirmed();
    if (co_await ReadRunLists(mustAnswerAtOnce ? milliseconds{ 0 } : PollWait())) {
      // The worker answers at once while it has run ends that are not acknowledged.
      auto const hasUnstoredEnds =
        !mLists.mEnded.empty() && mLists.mEnded.back().mNumber > mAcknowledged;
      if (hasUnstoredEnds) {
        co_await wait(kPollRetryDelay);
      }
      continue;
    }
    auto const now = base::Now();
    if (mState != worker_state::absent && mState != worker_state::gone &&
        now - mRunListsReadAt > kWorkerAbsenceTimeout) {
      base::Log("side")->warn(
        "worker-absent worker={} last_lists_ms={} last_heartbeat_ms={} reason=\"{}\"",
        mHeartbeat->mWorker, (now - mRunListsReadAt).count(), (now - mHeartbeatAt).count(),
        mListsFailure);
      mState = worker_state::absent;
      RequestReport();
    }
    co_await wait(kPollRetryDelay);
  }
}

void side_agent::RequestReport()
{
  mMustReport = true;
  mReportTimer.cancel();
  // The changes that are reported also decide whether a lease matters.
  mAwakeTimer.cancel();
}

awaitable<void> side_agent::ReportLoop()
{
  while (true) {
    if (!mMustReport) {
      auto const isBusy = !mLists.mRunning.empty() || !mLists.mEnded.empty() || !mOrders.empty();
      auto const interval = isBusy ? kBusyReportInterval : kIdleReportInterval;
      auto due = mReportedAt + interval;
      if (mState == worker_state::absent && mHeartbeat && LeaseLeft().count() > 0) {
        // The scheduler waits for the report that the lease of a lost worker is over.
        due = std::min(due, base::Now() + std::max(LeaseLeft(), kAwakeInterval));
      }
      auto const left = std::max(milliseconds{ 1 }, due - base::Now());
      boost::system::error_code ignored;
      mReportTimer.expires_after(left);
      co_await mReportTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
      if (!mMustReport && base::Now() < due) {
        continue;
      }
    }
    mMustReport = false;
    auto const now = base::Now();
    if (mScheduler && now - mOrdersReceivedAt > kSchedulerTimeout) {
      mScheduler->Close(
        { .mCode = base::result_code::timed_out, .mMessage = "the scheduler does not respond" });
      mScheduler.reset();
    }
    SendReport();
    mReportedAt = now;
  }
}

void side_agent::SendReport()
{
  if (!mScheduler) {
    return;
  }
  auto const now = base::Now();
  mAwake.Advance(awake_time::clock::now());
  side_report report{ .mSequence = ++mSequence,
                      .mNode = mOptions.mSettings.mNode,
                      .mDomain = mOptions.mSettings.mFailureDomain,
                      .mState = mState,
                      .mLeaseLeft = LeaseLeft() };
  if (mHeartbeat) {
    report.mWorker = mHeartbeat->mWorker;
    report.mIncarnationStart = mHeartbeat->mIncarnationStart;
    report.mService = mHeartbeat->mService;
    report.mCapacity = mHeartbeat->mCapacity;
    report.mLabels = mHeartbeat->mLabels;
    if (mHeartbeat->mTimeLeft) {
      report.mTimeLeft = std::max(milliseconds{ 0 }, *mHeartbeat->mTimeLeft - (now - mHeartbeatAt));
    }
  }
  report.mHasRunLists = mHasRunLists && mState != worker_state::absent;
  report.mRunListsTerm = mLists.mIsComplete ? mRunListsPoll.mTerm : 0;
  if (mHasRunLists) {
    report.mRunning = mLists.mRunning;
    SelectCheckpoints(report);
    std::ranges::copy_if(mLists.mEnded, std::back_inserter(report.mEnded),
                         [&](ended_run const& aRun) { return aRun.mNumber > mAcknowledged; });
  }
  report.mResults = std::move(mResults);
  mResults.clear();
  for (auto& [run, firstReport] : mExpiredStarts) {
    report.mResults.push_back({ run.first, run.second, order_outcome::expired,
                                "no answer, and the deadline of the start has passed" });
    if (firstReport == 0) {
      firstReport = mSequence;
    }
  }
  mSentReports[mSequence] = now;
  std::erase_if(mSentReports,
                [&](auto const& aEntry) { return now - aEntry.second > kLeaseRenewalWindow; });
  mScheduler->Send(report);
}

void side_agent::SelectCheckpoints(side_report& aReport)
{
  std::size_t bytes = 0;
  for (auto const& run : aReport.mRunning) {
    bytes += run.mCheckpoint.size();
  }
  auto const now = base::Now();
  auto const isTooSoon =
    bytes > kShortCheckpointBytes && now - mCheckpointsReportedAt < kCheckpointInterval;
  // Lists that were requested before the last report supply the same checkpoints as that report.
  auto const isRepeated = mLists.mFirstCheckpoint != mFirstCheckpoint;
  if (isTooSoon || isRepeated) {
    // The scheduler keeps the last checkpoint of each run.
    for (auto& run : aReport.mRunning) {
      run.mCheckpoint.clear();
    }
    return;
  }
  mCheckpointsReportedAt = now;
  mFirstCheckpoint = mLists.mNextCheckpoint;
}

void side_agent::HandleFrame(net::link_ptr const& aLink, net::frame const& aFrame)
{
  if (aFrame.mType != side_orders::kType) {
    return;
  }
  auto decoded = base::Capture([&] { return net::DecodeMessage<side_orders>(aFrame); });
  if (!base::Succeeded(decoded)) {
    base::Log("side")->warn("orders-unreadable reason=\"{}\"", base::Error(decoded).mMessage);
    aLink->Close(base::Error(decoded));
    return;
  }
  HandleOrders(aLink, std::get<0>(std::move(decoded)));
}

void side_agent::HandleOrders(net::link_ptr const& aLink, side_orders aOrders)
{
  auto const now = base::Now();
  if (aOrders.mTerm < mTerm) {
    base::Log("side")->info("older-term term={} held={}", aOrders.mTerm, mTerm);
    aLink->Close({ .mCode = base::result_code::stale_term, .mMessage = "the term is outdated" });
    return;
  }
  if (aLink != mScheduler) {
    if (mScheduler) {
      mScheduler->Close({ .mCode = base::result_code::stale_term, .mMessage = "replaced" });
    }
    base::Log("side")->info("scheduler term={} peer={}", aOrders.mTerm, aLink->Peer());
    mScheduler = aLink;
    mTerm = aOrders.mTerm;
    mOrdersReceivedAt = now;
    mSentReports.clear();
    mCheckpointsReportedAt = {};
    RequestReport();
    return;
  }
  mTerm = aOrders.mTerm;
  mOrdersReceivedAt = now;
  base::time_point reportSentAt{};
  if (auto const sent = mSentReports.find(aOrders.mAnsweredReport); sent != mSentReports.end()) {
    reportSentAt = sent->second;
    mAnsweredReportSentAt = std::max(mAnsweredReportSentAt, reportSentAt);
  }
  if (!mHeartbeat || aOrders.mIncarnationStart != mHeartbeat->mIncarnationStart) {
    for (auto const& start : aOrders.mStarts) {
      mResults.push_back({ start.mTask, start.mRun, order_outcome::not_started,
                           "the order is for another incarnation" });
    }
    return;
  }
  mAcknowledged = std::max(mAcknowledged, aOrders.mAcknowledged);
  std::erase_if(mExpiredStarts, [&](auto const& aEntry) {
    return aEntry.second != 0 && aEntry.second <= aOrders.mAnsweredReport;
  });
  for (auto& stop : aOrders.mStops) {
    mOrders.push_back({ .mTerm = mTerm, .mStop = std::move(stop), .mReportSentAt = reportSentAt });
  }
  for (auto& start : aOrders.mStarts) {
    mOrders.push_back(
      { .mTerm = mTerm, .mStart = std::move(start), .mReportSentAt = reportSentAt });
  }
  for (auto& pace : aOrders.mPaces) {
    mOrders.push_back({ .mTerm = mTerm, .mPace = std::move(pace), .mReportSentAt = reportSentAt });
  }
  if (!mOrders.empty()) {
    mOrderTimer.cancel();
  }
}

awaitable<void> side_agent::OrderLoop()
{
  while (true) {
    if (mOrders.empty()) {
      boost::system::error_code ignored;
      co_await mOrderTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
      continue;
    }
    auto order = std::move(mOrders.front());
    mOrders.pop_front();
    auto const incarnationStart = mHeartbeat ? mHeartbeat->mIncarnationStart : 0;
    auto result = co_await ExecuteOrder(std::move(order));
    if (!mHeartbeat || mHeartbeat->mIncarnationStart != incarnationStart || result.mTask.empty()) {
      continue;
    }
    mResultsAwaitingRunLists.push_back(std::move(result));
    if (!mIsReadingRunLists) {
      mIsReadingRunLists = true;
      asio::co_spawn(
        mOptions.mContext, [this] { return ReadRunListsForResults(); }, asio::detached);
    }
  }
}

awaitable<void> side_agent::ReadRunListsForResults()
{
  // The scheduler concludes from a stop result without a listed run that the worker does not have
  // the run. So the run lists in a report must be read after its results, also when orders are
  // carried out at the same time.
  while (!mResultsAwaitingRunLists.empty()) {
    auto results = std::move(mResultsAwaitingRunLists);
    mResultsAwaitingRunLists.clear();
    auto const incarnationStart = mHeartbeat ? mHeartbeat->mIncarnationStart : 0;
    auto const isRead = mHeartbeat && co_await ReadRunLists(milliseconds{ 0 });
    if (!mHeartbeat || mHeartbeat->mIncarnationStart != incarnationStart) {
      continue;
    }
    for (auto& result : results) {
      if ((!isRead || !mLists.mIsComplete) && result.mOutcome == order_outcome::stopped) {
        result.mOutcome = order_outcome::unknown;
      }
      mResults.push_back(std::move(result));
    }
    RequestReport();
  }
  mIsReadingRunLists = false;
}

awaitable<order_result> side_agent::ExecuteOrder(pending_order aOrder)
{
  if (aOrder.mStart) {
    co_return co_await ExecuteStart(std::move(*aOrder.mStart), aOrder.mTerm, aOrder.mReportSentAt);
  }
  if (aOrder.mStop) {
    co_return co_await ExecuteStop(std::move(*aOrder.mStop));
  }
  co_await mWorker->Pace(mHeartbeat->mWorker, *aOrder.mPace, mTerm);
  co_return order_result{};
}

awaitable<void> side_agent::WaitForRetry(int aAttempt, base::time_point aSentAt)
{
  auto const due = aSentAt + kOrderRetryDelay * (1 << aAttempt);
  if (auto const now = base::Now(); now < due) {
    co_await net::Sleep(due - now);
  }
}

awaitable<order_result> side_agent::ExecuteStart(start_order aOrder, std::uint64_t aTerm,
                                                 base::time_point aReportSentAt)
{
  order_result result{ .mTask = aOrder.mTask, .mRun = aOrder.mRun };
  auto const worker = mHeartbeat->mWorker;
  auto const incarnationStart = mHeartbeat->mIncarnationStart;
  run_key const run{ aOrder.mTask, aOrder.mRun };
  // A side that was without a scheduler has renewed no lease, and the start's own deadline is
  // short. With the lease renewed first, the run outlives a suspension of this process.
  if (mState == worker_state::ready && !IsIncarnationConfirmed()) {
    co_await ReadRunLists(milliseconds{ 0 });
  }
  if (mState == worker_state::ready && mLease.mConfirmedDeadlineMs <= StartDeadline()) {
    co_await ReadRunLists(milliseconds{ 0 });
  }
  for (int attempt = 0; attempt < kStartAttempts; ++attempt) {
    // Checked immediately before each call, as the process may have been suspended.
    auto const age = base::Now() - aReportSentAt;
    // The scheduler has chosen the worker by its former capacity.
    auto const hasShrunk = aReportSentAt < mShrunkAt;
    if (age > kMaximumOrderAge || hasShrunk || mState != worker_state::ready || !mHeartbeat ||
        mHeartbeat->mIncarnationStart != incarnationStart || !IsIncarnationConfirmed() ||
        mTerm != aTerm) {
      if (attempt == 0) {
        result.mOutcome = order_outcome::not_started;
        result.mDetail = mTerm != aTerm              ? "another scheduler has taken over"
                         : age > kMaximumOrderAge    ? "the order is too old"
                         : hasShrunk                 ? "the worker has shrunk"
                         : !IsIncarnationConfirmed() ? "the worker's incarnation is not confirmed"
                                                     : "the worker is not ready";
      }
      break;
    }
    auto const deadline = StartDeadline();
    mLease.mLatestDeadlineMs = std::max(mLease.mLatestDeadlineMs, deadline);
    auto& open = mOpenStarts[run];
    open.mDeadlineMs = std::max(open.mDeadlineMs, deadline);
    auto const sentAt = base::Now();
    auto const clockMs = mLease.mClockMs;
    auto const answer =
      co_await mWorker->Start(worker, aOrder, { .mFence = aTerm, .mDeadlineMs = deadline });
    mOptions.mMetrics.Histogram("rattanpond_start_call_seconds")
      .Record(std::chrono::duration<double>(base::Now() - sentAt).count());
    result.mDetail = answer.mDetail;
    auto const isSameIncarnation = mHeartbeat && mHeartbeat->mIncarnationStart == incarnationStart;
    if (isSameIncarnation && answer.mClockMs != 0 && answer.mClockMs < clockMs) {
      HandleUnknownIncarnation(0, "clock of the answer to a start");
    }
    if (answer.mOutcome == order_outcome::unknown) {
      DoubtIncarnation();
      NoteUnansweredStart(run, sentAt);
    }
    // After an attempt without an answer, another answer does not reveal the outcome of that
    // attempt, which may still be carried out.
    if (attempt == 0) {
      result.mOutcome = answer.mOutcome;
    }
    if (answer.mOutcome != order_outcome::unknown) {
      break;
    }
    co_await WaitForRetry(attempt, sentAt);
    // Without an answer it is not known whether the worker is still the same.
    if (mHeartbeat && mHeartbeat->mIncarnationStart == incarnationStart &&
        !IsIncarnationConfirmed()) {
      co_await ReadRunLists(milliseconds{ 0 });
    }
  }
  if (auto const open = mOpenStarts.find(run);
      open != mOpenStarts.end() && mHeartbeat->mIncarnationStart == incarnationStart) {
    if (result.mOutcome == order_outcome::unknown) {
      open->second.mIsExecuting = false;
    } else {
      mOpenStarts.erase(open);
    }
  }
  base::Log("side")->info("start task={} run={} term={} basis_age_ms={} outcome={} detail=\"{}\"",
                          aOrder.mTask, aOrder.mRun, mTerm, (base::Now() - aReportSentAt).count(),
                          base::Name(result.mOutcome), result.mDetail);
  co_return result;
}

awaitable<order_result> side_agent::ExecuteStop(stop_order aOrder)
{
  order_result result{ .mTask = aOrder.mTask, .mRun = aOrder.mRun };
  for (int attempt = 0; attempt < kStopAttempts && mHeartbeat; ++attempt) {
    auto const sentAt = base::Now();
    auto const answer = co_await mWorker->Stop(mHeartbeat->mWorker, aOrder, mTerm);
    result.mOutcome = answer.mOutcome;
    result.mDetail = answer.mDetail;
    if (answer.mOutcome != order_outcome::unknown || attempt + 1 == kStopAttempts) {
      break;
    }
    co_await WaitForRetry(attempt, sentAt);
  }
  base::Log("side")->info("stop task={} run={} term={} outcome={} detail=\"{}\"", aOrder.mTask,
                          aOrder.mRun, mTerm, base::Name(result.mOutcome), result.mDetail);
  co_return result;
}

base::json side_agent::Dump() const
{
  return { { "term", mTerm },
           { "linked", mScheduler != nullptr },
           { "state", std::string{ base::Name(mState) } },
           { "worker", mHeartbeat ? mHeartbeat->mWorker : "" },
           { "running", mLists.mRunning.size() },
           { "ended", mLists.mEnded.size() },
           { "acknowledged", mAcknowledged },
           { "open_starts", mOpenStarts.size() },
           { "first_checkpoint", mFirstCheckpoint },
           { "lease_left_ms", LeaseLeft().count() } };
}

} // namespace rattanpond::dispatch
