#pragma once

#include "platform/tests/loss_plan.h"
#include "platform/tests/test_cluster.h"

#include <boost/asio/detached.hpp>

namespace rattanpond::platform {

/// The callers of a plan's jobs: they submit, repeat at another front what was refused or not
/// answered, cancel and ask for states. Remembers what the fronts have said and reports answers
/// that cannot be true.
class job_callers
{
public:
  /// Attempts of a task in all queues of the test configuration.
  static constexpr std::uint32_t kAttempts = 3;

  struct options
  {
    test_cluster& mCluster;
    /// Defect for tests of the judgement: callers are told that the job was refused.
    bool mTurnsAcceptanceIntoRefusal = false;
  };

  struct job
  {
    planned_job const* mPlan = nullptr;
    bool mIsAccepted = false;
    /// An attempt without a definite answer may have been accepted.
    bool mIsOutcomeUnknown = false;
    bool mHasGivenUp = false;
    bool mIsCancelSent = false;
    bool mIsCancelled = false;
    /// Last state that each front has shown.
    std::map<std::size_t, std::string> mShown{};

    /// All attempts to submit the job were rejected.
    bool IsRefused() const { return mHasGivenUp && !mIsAccepted && !mIsOutcomeUnknown; }
    bool IsOwed() const { return mIsAccepted && !mIsCancelSent; }
    bool IsShownFinal(std::size_t aFronts) const
    {
      std::size_t shown = 0;
      for (auto const& [front, state] : mShown) {
        shown += state == "done" || state == "failed" || state == "cancelled" ? 1 : 0;
      }
      return shown == aFronts;
    }
  };

  job_callers(options const& aOptions, loss_plan const& aPlan)
    : mOptions{ aOptions }
  {
    for (auto const& planned : aPlan.Jobs()) {
      mJobs.push_back({ .mPlan = &planned });
      mPending.push_back({ .mMethod = "POST",
                           .mJob = mJobs.size() - 1,
                           .mFront = planned.mFront,
                           .mDue = planned.mAt });
      if (planned.mRepeatAt) {
        mPending.push_back({ .mMethod = "POST",
                             .mJob = mJobs.size() - 1,
                             .mFront = planned.mFront + 1,
                             .mDue = *planned.mRepeatAt,
                             .mIsRepeat = true });
      }
      if (planned.mCancelAt) {
        mPending.push_back({ .mMethod = "DELETE",
                             .mJob = mJobs.size() - 1,
                             .mFront = planned.mFront + 1,
                             .mDue = *planned.mCancelAt });
      }
      for (auto const& at : planned.mAskAt) {
        mPending.push_back(
          { .mMethod = "GET", .mJob = mJobs.size() - 1, .mFront = mPending.size(), .mDue = at });
      }
    }
  }

  /// Sends what is due and handles the answers; aTime counts from the start of the plan.
  void Step(base::milliseconds aTime)
  {
    for (std::size_t index = 0; index < mPending.size();) {
      if (mPending[index].mDue > aTime) {
        ++index;
        continue;
      }
      auto const due = mPending[index];
      mPending.erase(mPending.begin() + static_cast<std::ptrdiff_t>(index));
      Send(due);
    }
    // Answers to calls that the caller has given up are true all the same.
    for (std::size_t index = 0; index < mOpen.size(); ++index) {
      auto const current = mOpen[index];
      if (current.mAnswer->has_value()) {
        mOpen.erase(mOpen.begin() + static_cast<std::ptrdiff_t>(index--));
        Answered(current, (*current.mAnswer)->mStatus, (*current.mAnswer)->mBody, aTime);
      } else if (!current.mIsAbandoned && base::Now() - current.mSentAt > kCallTimeout) {
        mOpen[index].mIsAbandoned = true;
        Unanswered(current.mCall, aTime);
      }
    }
  }

  /// Asks a front for the state of each accepted job that it has not shown as ended.
  void AskForUnfinished(std::size_t aFront, base::milliseconds aTime)
  {
    for (std::size_t index = 0; index < mJobs.size(); ++index) {
      auto const found = mJobs[index].mShown.find(aFront);
      auto const isFinal = found != mJobs[index].mShown.end() && IsFinal(found->second);
      if (mJobs[index].mIsAccepted && !isFinal) {
        mPending.push_back({ .mMethod = "GET", .mJob = index, .mFront = aFront, .mDue = aTime });
      }
    }
  }

  std::vector<job> const& Jobs() const { return mJobs; }
  bool IsSubmitting() const
  {
    return std::ranges::any_of(mPending,
                               [](call const& aCall) { return aCall.mMethod != "GET"; }) ||
           std::ranges::any_of(mOpen, [](open_call const& aCall) {
             return aCall.mCall.mMethod != "GET" && !aCall.mIsAbandoned;
           });
  }
  std::vector<std::string> const& Faults() const { return mFaults; }

private:
  static constexpr base::milliseconds kCallDeadline{ 1500 };
  /// Callers wait a little longer than the deadline that they state.
  static constexpr base::milliseconds kCallTimeout{ 1700 };
  static constexpr base::milliseconds kRetryDelay{ 200 };

  struct call
  {
    std::string mMethod;
    std::size_t mJob = 0;
    /// Counts on with each attempt; the remainder is the index of the front.
    std::size_t mFront = 0;
    base::milliseconds mDue{ 0 };
    int mAttempt = 1;
    bool mIsRepeat = false;
  };

  struct open_call
  {
    call mCall;
    base::time_point mSentAt{};
    std::shared_ptr<std::optional<net::http_response>> mAnswer;
    bool mWasAccepted = false;
    bool mIsAbandoned = false;
  };

  static bool IsFinal(std::string const& aState)
  {
    return aState == "done" || aState == "failed" || aState == "cancelled";
  }

  std::size_t FrontOf(call const& aCall) const
  {
    return aCall.mFront % mOptions.mCluster.mFronts.size();
  }

  void Send(call const& aCall)
  {
    auto& job = mJobs[aCall.mJob];
    if ((aCall.mIsRepeat || aCall.mMethod != "POST") && !job.mIsAccepted) {
      return;
    }
    job.mIsCancelSent = job.mIsCancelSent || aCall.mMethod == "DELETE";
    net::http_request request{ .mMethod = aCall.mMethod, .mTarget = job.mPlan->mPath };
    request.mHeaders.Add("Host", "h");
    request.mHeaders.Add("Api-Key", kKey);
    request.mHeaders.Add("X-Deadline-Ms", std::to_string(kCallDeadline.count()));
    if (aCall.mMethod == "POST") {
      request.mBody = job.mPlan->mBody;
    }
    open_call opened{ .mCall = aCall,
                      .mSentAt = base::Now(),
                      .mAnswer = std::make_shared<std::optional<net::http_response>>(),
                      .mWasAccepted = job.mIsAccepted };
    auto& front = *mOptions.mCluster.mFronts[FrontOf(aCall)];
    boost::asio::co_spawn(
      front.mContext, front.mCallers.Handle(std::move(request)),
      [answer = opened.mAnswer](std::exception_ptr aFailure, net::http_response aResponse) {
        if (!aFailure) {
          *answer = std::move(aResponse);
        }
      });
    mOpen.push_back(std::move(opened));
  }

  void Repeat(call aCall, base::milliseconds aTime)
  {
    ++aCall.mFront;
    ++aCall.mAttempt;
    aCall.mDue = aTime + kRetryDelay;
    mPending.push_back(std::move(aCall));
  }

  void Unanswered(call const& aCall, base::milliseconds aTime)
  {
    auto& job = mJobs[aCall.mJob];
    job.mIsOutcomeUnknown = job.mIsOutcomeUnknown || aCall.mMethod == "POST";
    RepeatIfWorthwhile(aCall, aTime);
  }

  void RepeatIfWorthwhile(call const& aCall, base::milliseconds aTime)
  {
    auto& job = mJobs[aCall.mJob];
    if (aCall.mMethod == "DELETE") {
      Repeat(aCall, aTime);
    } else if (aCall.mMethod == "POST" && !aCall.mIsRepeat && !job.mIsAccepted) {
      if (aCall.mAttempt < job.mPlan->mAttempts) {
        Repeat(aCall, aTime);
      } else {
        job.mHasGivenUp = true;
      }
    }
  }

  void Answered(open_call const& aOpen, unsigned aStatus, std::string const& aBody,
                base::milliseconds aTime)
  {
    auto const& call = aOpen.mCall;
    auto& job = mJobs[call.mJob];
    auto const where = call.mMethod + " " + job.mPlan->mPath + " at front-" +
                       std::to_string(FrontOf(call)) + " answered " + std::to_string(aStatus);
    if (aStatus == 503 || aStatus == 504) {
      job.mIsOutcomeUnknown = job.mIsOutcomeUnknown || (aStatus == 504 && call.mMethod == "POST");
      if (!aOpen.mIsAbandoned) {
        RepeatIfWorthwhile(call, aTime);
      }
      return;
    }
    if (aStatus != 200) {
      // The configuration has always had the queue and the key.
      if (aStatus != 410 || aOpen.mWasAccepted) {
        mFaults.push_back(where);
      }
      return;
    }
    if (call.mMethod == "POST") {
      if (mOptions.mTurnsAcceptanceIntoRefusal) {
        job.mHasGivenUp = true;
      } else {
        job.mIsAccepted = true;
      }
    } else if (call.mMethod == "DELETE") {
      job.mIsCancelled = true;
    } else {
      auto const state = base::json::parse(aBody).at("state").get<std::string>();
      CheckState(job, state, where);
      if (!aOpen.mIsAbandoned) {
        job.mShown[FrontOf(call)] = state;
      }
    }
  }

  void CheckState(job const& aJob, std::string const& aState, std::string const& aWhere)
  {
    auto const& recorder = mOptions.mCluster.mRecorder;
    bool areAllDone = true;
    std::uint32_t failures = 0;
    for (std::size_t step = 0; step < aJob.mPlan->mSteps.size(); ++step) {
      for (std::uint32_t index = 0; index < aJob.mPlan->mSteps[step].mCount; ++index) {
        auto const task =
          aJob.mPlan->mId + ".0." + std::to_string(step) + "." + std::to_string(index);
        areAllDone = areAllDone && recorder.HasEndedDone(task);
        failures = std::max(failures, recorder.Failures(task));
      }
    }
    auto const isTrue = aState == "done"        ? areAllDone
                        : aState == "failed"    ? failures >= kAttempts
                        : aState == "cancelled" ? aJob.mIsCancelSent
                                                : true;
    if (!isTrue) {
      mFaults.push_back(aWhere + " with the state " + aState + ", which its runs do not bear out");
    }
  }

  options mOptions;
  std::vector<job> mJobs;
  std::vector<call> mPending;
  std::vector<open_call> mOpen;
  std::vector<std::string> mFaults;
};

} // namespace rattanpond::platform
