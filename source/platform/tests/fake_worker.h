#pragma once

#include "base/time.h"
#include "net/http_router.h"
#include "net/http_server.h"
#include "platform/tests/run_recorder.h"

#include <algorithm>
#include <charconv>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace rattanpond::platform {

/// In-memory worker with leases on its own clock, fences, runs, and run ends that are listed until
/// they are acknowledged.
class fake_worker
{
public:
  struct faults
  {
    /// Orders get no answer and are carried out after this delay.
    base::milliseconds mOrderDelay{ 0 };
    /// The next incarnation carries out the delayed orders of the one that has crashed.
    bool mOrdersOutliveCrash = false;
    bool mFailsAll = false;
    /// Members of gangs that fail by their own fault after half of their time, also if another one
    /// has failed.
    std::function<bool(std::string const& aTask, std::uint32_t aRun)> mFailsMember{};
    /// Runs of this job crash the worker once they have run for mCrashDelay.
    std::string mDeadlyJob{};
    base::milliseconds mCrashDelay{ 20 };
    /// Starts of this task are carried out at once and answered after mAnswerDelay.
    std::string mSlowTask{};
    base::milliseconds mAnswerDelay{ 0 };
    /// Stopped runs continue for this long.
    base::milliseconds mStopGrace{ 0 };
    bool mIsUnresponsive = false;
    /// The connection of a stop is closed at once, and the stop is not carried out.
    bool mDropsStops = false;
    /// All calls but run lists are closed without an answer, and are not carried out.
    bool mDropsOrders = false;
    /// Starts that do not carry this ticket are refused.
    std::string mTicket{};
    /// The worker's machine is off: no call is carried out or answered.
    bool mIsDown = false;
    /// Calls are carried out and answered once the worker is no longer suspended.
    bool mIsSuspended = false;
    /// All orders are carried out at once and answered after mAnswerDelay.
    bool mAnswersLate = false;
    /// Defect for tests of the judgement: ends are listed as this kind, whatever they are.
    std::string mListedEnd{};
    /// Defect for tests of the judgement: starts are answered and listed, but nothing runs.
    bool mPretendsToRun = false;
    /// Defect for tests of the judgement: a run that starts is listed as stopped, and continues.
    bool mHidesRuns = false;
  };

  /// Tasks of this job serve users; mResponseTimeTail is their tail response time in milliseconds.
  std::string mServingJob{};
  std::int64_t mResponseTimeTail = 0;
  /// Accelerators in the heartbeats. The worker starts what it is told to, whatever they are.
  int mAccelerators = 8;
  /// Crashes that deadly runs have caused.
  std::size_t mCrashes = 0;
  /// Last pace ordered for each task.
  std::map<std::string, std::uint32_t> mPaces{};

  /// Runs list their progress as a share of this time; if it is zero, they list 50 percent.
  base::milliseconds mProgressTime{ 0 };

  /// Checkpoint listed for all active runs, and for all ends. If both are long, they are the same.
  std::string mCheckpoint{};
  std::string mEndCheckpoint{};
  /// Checkpoint that the last start carried.
  std::string mResumedFrom{};

  fake_worker(boost::asio::io_context& aContext, run_recorder& aRecorder, std::string aId)
    : mContext{ aContext }
    , mRecorder{ aRecorder }
    , mId{ std::move(aId) }
    , mTimer{ aContext }
  {
    AddRoutes();
    auto created = base::Capture([&] {
      return net::http_server::Create(
        mContext,
        { .mEndpoint = { boost::asio::ip::address_v4::loopback(), 0 },
          .mHandler = [this](net::http_request aRequest) { return Handle(std::move(aRequest)); } });
    });
    mServer = std::move(std::get<0>(created));
    mEndpoint = mServer->Endpoint();
    Tick();
  }

  net::tcp::endpoint Endpoint() const { return mEndpoint; }
  std::string const& Id() const { return mId; }

  std::string Heartbeat(std::string const& aDomain, std::string const& aRack,
                        std::string const& aState = "ready")
  {
    base::json heartbeat{ { "service", "service" },
                          { "address", net::ToString(Endpoint()) },
                          { "zone", aDomain },
                          { "state", aState },
                          { "capacity",
                            { { "cpu", 64000 }, { "mem_mb", 262144 }, { "gpu", mAccelerators } } },
                          { "labels", { "a", aRack } },
                          { "clock_ms", Clock() },
                          { "seq", ++mHeartbeats },
                          { "born", mIncarnationStart } };
    if (mTimeLeft) {
      heartbeat["remaining_ms"] = mTimeLeft->count();
    }
    return heartbeat.dump();
  }

  /// Refuses connections from now on; active runs continue.
  void StopListening() { mServer.reset(); }

  /// Ends all runs at once; the next incarnation starts without any earlier state.
  void Crash()
  {
    for (auto const& [task, run] : mRuns) {
      if (!run.mIsPretended) {
        mRecorder.Ended(task, "crashed", run.mRun, mId);
      }
    }
    for (auto const& end : mEnds) {
      mRecorder.EndLost(end.mTask, end.mRun, end.mEndKind);
    }
    mRuns.clear();
    mEnds.clear();
    mHighestRun.clear();
    mNextEnd = 1;
    mFence = 0;
    mDeadline = 0;
    mHeartbeats = 0;
    ++mIncarnationStart;
    mStartedAt = base::Now();
  }

  /// Whether the worker lists the end of a run of the task, as it has not been acknowledged.
  bool ListsEnd(std::string const& aTask) const
  {
    return std::ranges::find(mEnds, aTask, &end::mTask) != mEnds.end();
  }

  /// Crashes; the next incarnation has another identifier.
  void Crash(std::string aNextId)
  {
    Crash();
    mId = std::move(aNextId);
  }

  /// The machine stands still, and with it the worker's clock; runs do not work.
  void Suspend() { mSuspendedAt = base::Now(); }

  void Resume()
  {
    auto const time = base::Now() - *mSuspendedAt;
    mSuspendedAt.reset();
    mStartedAt += time;
    for (auto& entry : mRuns) {
      entry.second.mBeganAt += time;
      entry.second.mEndsAt += time;
    }
  }

  std::int64_t IncarnationStart() const { return mIncarnationStart; }
  void SetIncarnationStart(std::int64_t aStart) { mIncarnationStart = aStart; }

  /// Adds a run that the worker lists without having received an order to start it.
  void AddUnorderedRun(std::string const& aTask, std::uint32_t aRun)
  {
    mRuns[aTask] = { .mRun = aRun, .mWork = mWork, .mEndsAt = base::Now() + mWork };
    mDeadline = std::max(mDeadline, Clock() + 8000);
    mRecorder.Started(aTask, aRun, mId);
  }

  /// Lets the active runs end after the given time from now, by their tasks.
  void EndRunsIn(std::function<base::milliseconds(std::string const& aTask)> const& aTimeLeft)
  {
    for (auto& [task, run] : mRuns) {
      run.mEndsAt = base::Now() + aTimeLeft(task);
    }
  }

  faults mFaults;
  /// Time left until the worker leaves, stated while it drains.
  std::optional<base::milliseconds> mTimeLeft{};
  /// Run time of tasks whose command is not a number of milliseconds.
  base::milliseconds mWork{ 300 };
  /// Run time of each of these tasks by its name; mWork if empty.
  std::function<base::milliseconds(std::string const&)> mWorkOf;
  std::size_t mStopCalls = 0;
  std::size_t mLeaseExpirations = 0;
  std::size_t mStarted = 0;
  /// Starts that carried a checkpoint.
  std::size_t mResumedStarts = 0;
  /// Starts that have arrived, carried out or not.
  std::size_t mStartCalls = 0;
  std::size_t mLateRefusals = 0;
  std::size_t mTicketRefusals = 0;
  /// Calls that acknowledge ends which this incarnation has not listed.
  std::size_t mUnknownAcknowledgements = 0;

private:
  static constexpr char const* kMark = "(long checkpoint)";
  /// Members of a gang wait this long for the others.
  static constexpr base::milliseconds kGangTimeout{ 3000 };

  struct run
  {
    std::uint32_t mRun = 0;
    base::milliseconds mWork{ 0 };
    /// For a member of a gang, the time at which it gives up if the others are not present.
    base::time_point mEndsAt{};
    base::time_point mBeganAt = base::Now();
    bool mIsStopping = false;
    /// Whether the progress is listed as the share of mWork.
    bool mListsProgress = false;
    bool mIsPretended = false;
    bool mIsHidden = false;
  };

  struct end
  {
    std::int64_t mNumber = 0;
    std::string mTask;
    std::uint32_t mRun = 0;
    /// As listed, and as it was.
    std::string mListed;
    std::string mEndKind;
    base::time_point mAt{};
    /// The lease has expired since.
    bool mIsLapsed = false;
  };

  std::int64_t Percent(std::string const& aTask, run const& aRun)
  {
    auto const now = base::Now();
    if (!aRun.mListsProgress) {
      auto const worked = now - aRun.mBeganAt;
      return mProgressTime.count() == 0 ? 50
                                        : std::min<std::int64_t>(100, 100 * worked / mProgressTime);
    }
    auto const* const gang = mRecorder.Gang(aTask, aRun.mRun);
    if (gang != nullptr && !gang->mBeganAt) {
      return 0;
    }
    auto const began = gang != nullptr ? *gang->mBeganAt : aRun.mEndsAt - aRun.mWork;
    return std::min<std::int64_t>(100, 100 * (now - began) / aRun.mWork);
  }

  std::string CheckpointOf(std::string const& aTask, run const& aRun)
  {
    return aRun.mListsProgress && mRecorder.IsCheckpointable(aTask)
             ? aTask + "@" + std::to_string(aRun.mRun)
             : Mark(mCheckpoint);
  }

  /// Long checkpoints are put into the answer once it is encoded: encoding them one by one would
  /// take more time than the side waits for it.
  static std::string Mark(std::string const& aCheckpoint)
  {
    constexpr std::size_t kShort = 1000;
    return aCheckpoint.size() <= kShort ? aCheckpoint : kMark;
  }

  std::string PutCheckpoints(std::string const& aText) const
  {
    auto const& checkpoint = mCheckpoint.empty() ? mEndCheckpoint : mCheckpoint;
    std::string text;
    std::size_t position = 0;
    for (auto found = aText.find(kMark); found != std::string::npos;
         found = aText.find(kMark, position)) {
      text.append(aText, position, found - position).append(checkpoint);
      position = found + std::string_view{ kMark }.size();
    }
    return text.append(aText, position);
  }

  std::int64_t Clock() const
  {
    return 1000 + (mSuspendedAt.value_or(base::Now()) - mStartedAt).count();
  }

  void Tick()
  {
    mTimer.expires_after(base::milliseconds{ 5 });
    mTimer.async_wait([this](boost::system::error_code aFailure) {
      if (!aFailure) {
        if (!mSuspendedAt) {
          Advance();
        }
        Tick();
      }
    });
  }

  void NoteLapse()
  {
    if (Clock() > mDeadline) {
      for (auto& end : mEnds) {
        end.mIsLapsed = true;
      }
    }
  }

  /// How a run ends now; empty if it continues.
  std::string EndOf(std::string const& aTask, run const& aRun)
  {
    auto const now = base::Now();
    if (Clock() > mDeadline) {
      ++mLeaseExpirations;
      return "lapsed";
    }
    std::string const own = mFaults.mFailsAll ? "failed" : "done";
    if (auto const* const gang = mRecorder.Gang(aTask, aRun.mRun)) {
      auto const failsByItself = mFaults.mFailsMember && mFaults.mFailsMember(aTask, aRun.mRun);
      auto const isFailing = mFaults.mFailsAll || failsByItself;
      if (!gang->mEnd.empty()) {
        return gang->mEnd == "done"                  ? "done"
               : gang->mEnd == "failed" && isFailing ? "failed"
                                                     : "broken";
      }
      if (aRun.mIsStopping) {
        return now >= aRun.mEndsAt ? "stopped" : "";
      }
      if (gang->mBeganAt) {
        auto const work = failsByItself ? aRun.mWork / 2 : aRun.mWork;
        return now < *gang->mBeganAt + work ? "" : isFailing ? "failed" : "done";
      }
      return now >= aRun.mEndsAt ? "alone" : "";
    }
    if (now < aRun.mEndsAt || aRun.mIsPretended) {
      return {};
    }
    return aRun.mIsStopping ? "stopped" : own;
  }

  /// Whether a run is about to crash the worker.
  bool HasDeadlyRun() const
  {
    return !mFaults.mDeadlyJob.empty() && std::ranges::any_of(mRuns, [&](auto const& aEntry) {
      return aEntry.first.starts_with(mFaults.mDeadlyJob) &&
             base::Now() - aEntry.second.mBeganAt >= mFaults.mCrashDelay;
    });
  }

  void Advance()
  {
    if (HasDeadlyRun()) {
      ++mCrashes;
      Crash();
      return;
    }
    NoteLapse();
    std::vector<std::string> tasks;
    for (auto const& [task, run] : mRuns) {
      tasks.push_back(task);
    }
    for (auto const& task : tasks) {
      auto const kind = EndOf(task, mRuns.at(task));
      if (!kind.empty()) {
        End(task, kind);
      }
    }
  }

  void End(std::string const& aTask, std::string const& aEndKind)
  {
    auto const ended = mRuns.at(aTask);
    mHighestRun[aTask] = std::max(mHighestRun[aTask], ended.mRun);
    mRuns.erase(aTask);
    if (!ended.mIsHidden) {
      mEnds.push_back({ .mNumber = mNextEnd++,
                        .mTask = aTask,
                        .mRun = ended.mRun,
                        .mListed = mFaults.mListedEnd.empty() ? aEndKind : mFaults.mListedEnd,
                        .mEndKind = aEndKind,
                        .mAt = base::Now() });
    }
    if (!ended.mIsPretended) {
      mRecorder.Ended(aTask, aEndKind, ended.mRun, mId);
    }
  }

  base::json Answer(std::string const& aReason = {}) const
  {
    base::json body{ { "clock_ms", Clock() }, { "born", mIncarnationStart } };
    if (!aReason.empty()) {
      body["reason"] = aReason;
    }
    return body;
  }

  void AddRoutes()
  {
    mRouter.Add("POST", "/api/run-start",
                [this](net::routed_request aRequest) -> boost::asio::awaitable<net::http_response> {
                  co_return Start(base::json::parse(aRequest.mRequest.mBody));
                });
    mRouter.Add("POST", "/api/run-stop",
                [this](net::routed_request aRequest) -> boost::asio::awaitable<net::http_response> {
                  co_return Stop(base::json::parse(aRequest.mRequest.mBody));
                });
    mRouter.Add("POST", "/api/pace",
                [this](net::routed_request aRequest) -> boost::asio::awaitable<net::http_response> {
                  auto const body = base::json::parse(aRequest.mRequest.mBody);
                  mPaces[body.at("task").get<std::string>()] =
                    body.at("percent").get<std::uint32_t>();
                  co_return net::JsonResponse(200, Answer());
                });
    mRouter.Add("POST", "/api/hold", [this](net::routed_request aRequest) {
      return PollRuns(base::json::parse(aRequest.mRequest.mBody));
    });
  }

  boost::asio::awaitable<void> Wait(base::milliseconds aTime)
  {
    boost::asio::steady_timer timer{ mContext, aTime };
    boost::system::error_code ignored;
    co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
  }

  boost::asio::awaitable<net::http_response> Handle(net::http_request aRequest)
  {
    constexpr base::milliseconds kStep{ 5 };
    auto const isOrder = aRequest.mTarget != "/api/hold";
    mStartCalls += aRequest.mTarget == "/api/run-start" ? 1 : 0;
    auto const delay = mFaults.mOrderDelay;
    // The connections of an incarnation end with it.
    auto const incarnationStart = mIncarnationStart;
    net::http_response lost;
    lost.mTransfer = net::response_transfer::none;
    while (mFaults.mIsSuspended || mSuspendedAt) {
      co_await Wait(kStep);
    }
    if (mFaults.mIsDown || incarnationStart != mIncarnationStart) {
      co_return lost;
    }
    if (mFaults.mIsUnresponsive || (isOrder && delay.count() > 0)) {
      co_await Wait(mFaults.mIsUnresponsive ? base::milliseconds{ 60'000 } : delay);
      auto const isAddressed = aRequest.mHeaders.Value("X-Expect-Instance") == mId;
      if (!mFaults.mIsUnresponsive && !mFaults.mIsDown && isAddressed &&
          (mFaults.mOrdersOutliveCrash || incarnationStart == mIncarnationStart)) {
        co_await mRouter.Handle(std::move(aRequest));
      }
      co_return lost;
    }
    auto const isStop = aRequest.mTarget == "/api/run-stop";
    mStopCalls += isStop ? 1 : 0;
    if ((isStop && mFaults.mDropsStops) || (isOrder && mFaults.mDropsOrders)) {
      co_return lost;
    }
    if (aRequest.mHeaders.Value("X-Expect-Instance") != mId) {
      co_return net::JsonResponse(421, Answer());
    }
    auto const isSlow =
      (isOrder && mFaults.mAnswersLate) ||
      (!mFaults.mSlowTask.empty() && aRequest.mBody.find(mFaults.mSlowTask) != std::string::npos);
    auto response = co_await mRouter.Handle(std::move(aRequest));
    if (isSlow) {
      co_await Wait(mFaults.mAnswerDelay);
    }
    if (mFaults.mIsDown || incarnationStart != mIncarnationStart) {
      co_return lost;
    }
    co_return response;
  }

  bool IsFenced(base::json const& aBody)
  {
    auto const fence = aBody.value("fence", std::uint64_t{ 0 });
    if (fence < mFence) {
      return true;
    }
    mFence = fence;
    return false;
  }

  net::http_response Start(base::json const& aBody)
  {
    if (IsFenced(aBody)) {
      return net::JsonResponse(409, Answer("fence"));
    }
    auto const deadline = aBody.at("deadline_ms").get<std::int64_t>();
    if (deadline <= Clock()) {
      ++mLateRefusals;
      return net::JsonResponse(409, Answer("late"));
    }
    mDeadline = std::max(mDeadline, deadline);
    if (aBody.value("ticket", std::string{}) != mFaults.mTicket) {
      ++mTicketRefusals;
      return net::JsonResponse(409, Answer("ticket"));
    }
    auto const task = aBody.at("task").get<std::string>();
    auto const number = aBody.at("run").get<std::uint32_t>();
    if (auto const live = mRuns.find(task); live != mRuns.end()) {
      return live->second.mRun == number ? net::JsonResponse(200, Answer())
                                         : net::JsonResponse(409, Answer("old"));
    }
    if (number <= mHighestRun[task]) {
      return net::JsonResponse(409, Answer("old"));
    }
    auto const command = aBody.value("spec", std::string{});
    std::int64_t commandMs = 0;
    auto const [last, failure] =
      std::from_chars(command.data(), command.data() + command.size(), commandMs);
    auto const isTimed = failure == std::errc{} && last == command.data() + command.size();
    mResumedFrom = aBody.value("last_checkpoint", std::string{});
    mResumedStarts += mResumedFrom.empty() ? 0 : 1;
    run started{ .mRun = number,
                 .mWork = isTimed   ? base::milliseconds{ commandMs }
                          : mWorkOf ? mWorkOf(task)
                                    : mWork,
                 .mListsProgress = isTimed,
                 .mIsPretended = mFaults.mPretendsToRun,
                 .mIsHidden = mFaults.mHidesRuns };
    if (!started.mIsPretended) {
      mRecorder.Started(task, number, mId, mResumedFrom);
    }
    started.mEndsAt =
      base::Now() + (mRecorder.Gang(task, number) != nullptr ? kGangTimeout : started.mWork);
    if (started.mIsHidden) {
      mEnds.push_back({ .mNumber = mNextEnd++,
                        .mTask = task,
                        .mRun = number,
                        .mListed = "stopped",
                        .mEndKind = "stopped",
                        .mAt = base::Now() });
    }
    mRuns[task] = started;
    ++mStarted;
    return net::JsonResponse(200, Answer());
  }

  net::http_response Stop(base::json const& aBody)
  {
    if (IsFenced(aBody)) {
      return net::JsonResponse(409, Answer("fence"));
    }
    auto const task = aBody.at("task").get<std::string>();
    auto const number = aBody.at("run").get<std::uint32_t>();
    auto const live = mRuns.find(task);
    if (live != mRuns.end() && live->second.mRun == number) {
      live->second.mIsStopping = true;
      live->second.mEndsAt = base::Now() + mFaults.mStopGrace;
    }
    mHighestRun[task] = std::max(mHighestRun[task], number);
    return net::JsonResponse(200, Answer());
  }

  boost::asio::awaitable<net::http_response> PollRuns(base::json aBody)
  {
    if (IsFenced(aBody)) {
      co_return net::JsonResponse(409, Answer("fence"));
    }
    NoteLapse();
    mDeadline = std::max(mDeadline, aBody.value("deadline_ms", std::int64_t{ 0 }));
    auto const acknowledged = aBody.value("ack_cursor", std::int64_t{ 0 });
    mUnknownAcknowledgements += acknowledged >= mNextEnd ? 1 : 0;
    std::erase_if(mEnds, [&](end const& aEnd) {
      if (aEnd.mNumber > acknowledged) {
        return false;
      }
      mRecorder.Acknowledged(aEnd.mTask, aEnd.mRun, aEnd.mEndKind, aEnd.mAt, aEnd.mIsLapsed);
      return true;
    });
    auto const until = base::Now() + base::milliseconds{ aBody.value("wait_ms", 0) };
    auto const last = mNextEnd;
    while (base::Now() < until && mNextEnd == last) {
      co_await Wait(base::milliseconds{ 5 });
    }
    auto body = Answer();
    body["running"] = base::json::array();
    body["finished"] = base::json::array();
    for (auto const& [task, run] : mRuns) {
      if (run.mIsHidden) {
        continue;
      }
      auto const isServing = !mServingJob.empty() && task.starts_with(mServingJob);
      body["running"].push_back({ task, run.mRun, CheckpointOf(task, run),
                                  isServing ? 100 : Percent(task, run),
                                  isServing ? mResponseTimeTail : 1000 });
    }
    for (auto const& end : mEnds) {
      body["finished"].push_back(
        { end.mNumber, end.mTask, end.mRun, end.mListed, Mark(mEndCheckpoint) });
    }
    auto response = net::JsonResponse(200, body);
    response.mBody = PutCheckpoints(response.mBody);
    co_return response;
  }

  boost::asio::io_context& mContext;
  run_recorder& mRecorder;
  std::string mId;
  boost::asio::steady_timer mTimer;
  net::http_router mRouter;
  std::unique_ptr<net::http_server> mServer;
  net::tcp::endpoint mEndpoint;
  std::map<std::string, run> mRuns;
  std::vector<end> mEnds;
  std::map<std::string, std::uint32_t> mHighestRun;
  std::int64_t mNextEnd = 1;
  std::uint64_t mFence = 0;
  std::int64_t mDeadline = 0;
  std::int64_t mIncarnationStart = 1'767'269'633'000;
  std::int64_t mHeartbeats = 0;
  base::time_point mStartedAt = base::Now();
  std::optional<base::time_point> mSuspendedAt;
};

} // namespace rattanpond::platform
