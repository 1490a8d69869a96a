#pragma once

#include "base/time.h"
#include "net/http_router.h"
#include "net/http_server.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace rattanpond::platform {

/// Records the runs of all workers of a test; reports a task that runs twice at the same time, or
/// that starts again after a recorded success.
class run_recorder
{
public:
  void Started(std::string const& aTask)
  {
    if (mActive.contains(aTask)) {
      mFaults.push_back("two runs at once: " + aTask);
    }
    if (mDone.contains(aTask)) {
      mFaults.push_back("start after done: " + aTask);
    }
    mActive.insert(aTask);
    ++mStarts[aTask];
  }
  void Ended(std::string const& aTask, std::string const& aEndKind)
  {
    mActive.erase(mActive.find(aTask));
    if (aEndKind == "done") {
      mDone.insert(aTask);
    }
  }

  std::vector<std::string> const& Faults() const { return mFaults; }
  std::size_t Starts(std::string const& aTask) const
  {
    auto const found = mStarts.find(aTask);
    return found == mStarts.end() ? 0 : found->second;
  }
  bool IsDone(std::string const& aTask) const { return mDone.contains(aTask); }
  std::size_t ActiveRuns() const { return mActive.size(); }
  std::size_t TasksStarted() const { return mStarts.size(); }

private:
  std::multiset<std::string> mActive;
  std::set<std::string> mDone;
  std::map<std::string, std::size_t> mStarts;
  std::vector<std::string> mFaults;
};

/// In-memory worker with leases on its own clock, fences, runs, and run ends that are listed until
/// they are acknowledged.
class fake_worker
{
public:
  struct faults
  {
    /// Orders get no answer and are carried out after this delay.
    base::milliseconds mOrderDelay{ 0 };
    bool mFailsAll = false;
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
  };

  /// Tasks of this job serve users; mResponseTimeTail is their tail response time in milliseconds.
  std::string mServingJob{};
  std::int64_t mResponseTimeTail = 0;
  /// Last pace ordered for each task.
  std::map<std::string, std::uint32_t> mPaces{};

  /// Runs list their progress as a share of this time; if it is zero, they list 50 percent.
  base::milliseconds mProgressTime{ 0 };

  /// Checkpoint listed for all runs.
  std::string mCheckpoint{};
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
    return base::json{
      { "service", "service" },
      { "address", net::ToString(Endpoint()) },
      { "zone", aDomain },
      { "state", aState },
      { "capacity", { { "cpu", 64000 }, { "mem_mb", 262144 }, { "gpu", 8 } } },
      { "labels", { "a", aRack } },
      { "clock_ms", Clock() },
      { "seq", ++mHeartbeats },
      { "born", mIncarnationStart }
    }.dump();
  }

  /// Refuses connections from now on; active runs continue.
  void StopListening() { mServer.reset(); }

  /// Ends all runs at once; the next incarnation starts without any earlier state.
  void Crash()
  {
    for (auto const& [task, run] : mRuns) {
      mRecorder.Ended(task, "crashed");
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

  /// Adds a run that the worker lists without having received an order to start it.
  void AddUnorderedRun(std::string const& aTask, std::uint32_t aRun)
  {
    mRuns[aTask] = { .mRun = aRun, .mEndsAt = base::Now() + mWork };
    mDeadline = std::max(mDeadline, Clock() + 8000);
    mRecorder.Started(aTask);
  }

  faults mFaults;
  base::milliseconds mWork{ 300 };
  /// Run time of each task by its name; mWork if empty.
  std::function<base::milliseconds(std::string const&)> mWorkOf;
  std::size_t mStopCalls = 0;
  std::size_t mLeaseExpirations = 0;
  std::size_t mStarted = 0;
  /// Starts that have arrived, carried out or not.
  std::size_t mStartCalls = 0;
  std::size_t mLateRefusals = 0;
  std::size_t mTicketRefusals = 0;

private:
  struct run
  {
    std::uint32_t mRun = 0;
    base::time_point mEndsAt{};
    base::time_point mBeganAt = base::Now();
    bool mIsStopping = false;
  };

  struct end
  {
    std::int64_t mNumber = 0;
    std::string mTask;
    std::uint32_t mRun = 0;
    std::string mEndKind;
  };

  std::int64_t Percent(run const& aRun) const
  {
    auto const worked = base::Now() - aRun.mBeganAt;
    return mProgressTime.count() == 0 ? 50
                                      : std::min<std::int64_t>(100, 100 * worked / mProgressTime);
  }

  std::int64_t Clock() const { return 1000 + (base::Now() - mStartedAt).count(); }

  void Tick()
  {
    mTimer.expires_after(base::milliseconds{ 5 });
    mTimer.async_wait([this](boost::system::error_code aFailure) {
      if (!aFailure) {
        Advance();
        Tick();
      }
    });
  }

  void Advance()
  {
    auto const now = base::Now();
    auto const isExpired = !mRuns.empty() && Clock() > mDeadline;
    std::vector<std::pair<std::string, std::string>> ending;
    for (auto const& [task, run] : mRuns) {
      if (isExpired) {
        ending.emplace_back(task, "lapsed");
        ++mLeaseExpirations;
      } else if (now >= run.mEndsAt) {
        ending.emplace_back(task, run.mIsStopping     ? "stopped"
                                  : mFaults.mFailsAll ? "failed"
                                                      : "done");
      }
    }
    for (auto const& [task, endKind] : ending) {
      End(task, endKind);
    }
  }

  void End(std::string const& aTask, std::string const& aEndKind)
  {
    mEnds.push_back({ mNextEnd++, aTask, mRuns.at(aTask).mRun, aEndKind });
    mHighestRun[aTask] = std::max(mHighestRun[aTask], mRuns.at(aTask).mRun);
    mRuns.erase(aTask);
    mRecorder.Ended(aTask, aEndKind);
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

  boost::asio::awaitable<net::http_response> Handle(net::http_request aRequest)
  {
    auto const isOrder = aRequest.mTarget != "/api/hold";
    mStartCalls += aRequest.mTarget == "/api/run-start" ? 1 : 0;
    auto const delay = mFaults.mOrderDelay;
    net::http_response lost;
    lost.mTransfer = net::response_transfer::none;
    if (mFaults.mIsUnresponsive || (isOrder && delay.count() > 0)) {
      boost::asio::steady_timer timer{ mContext, mFaults.mIsUnresponsive
                                                   ? base::milliseconds{ 60'000 }
                                                   : delay };
      boost::system::error_code ignored;
      co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
      if (!mFaults.mIsUnresponsive) {
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
      !mFaults.mSlowTask.empty() && aRequest.mBody.find(mFaults.mSlowTask) != std::string::npos;
    auto response = co_await mRouter.Handle(std::move(aRequest));
    if (isSlow) {
      boost::asio::steady_timer timer{ mContext, mFaults.mAnswerDelay };
      boost::system::error_code ignored;
      co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
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
    mRuns[task] = { .mRun = number, .mEndsAt = base::Now() + (mWorkOf ? mWorkOf(task) : mWork) };
    mResumedFrom = aBody.value("last_checkpoint", std::string{});
    mRecorder.Started(task);
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
    mDeadline = std::max(mDeadline, aBody.value("deadline_ms", std::int64_t{ 0 }));
    auto const acknowledged = aBody.value("ack_cursor", std::int64_t{ 0 });
    std::erase_if(mEnds, [&](end const& aEnd) { return aEnd.mNumber <= acknowledged; });
    auto const until = base::Now() + base::milliseconds{ aBody.value("wait_ms", 0) };
    auto const last = mNextEnd;
    while (base::Now() < until && mNextEnd == last) {
      boost::asio::steady_timer timer{ mContext, base::milliseconds{ 5 } };
      boost::system::error_code ignored;
      co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    }
    auto body = Answer();
    body["running"] = base::json::array();
    body["finished"] = base::json::array();
    for (auto const& [task, run] : mRuns) {
      auto const isServing = !mServingJob.empty() && task.starts_with(mServingJob);
      body["running"].push_back({ task, run.mRun, mCheckpoint, isServing ? 100 : Percent(run),
                                  isServing ? mResponseTimeTail : 1000 });
    }
    for (auto const& end : mEnds) {
      body["finished"].push_back({ end.mNumber, end.mTask, end.mRun, end.mEndKind, "" });
    }
    co_return net::JsonResponse(200, body);
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
};

} // namespace rattanpond::platform
