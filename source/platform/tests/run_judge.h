#pragma once

#include "dispatch/lease_timing.h"
#include "platform/tests/job_callers.h"

namespace rattanpond::platform {

/// Judges by what callers and workers have seen whether every task whose turn has come runs within
/// a bound once nothing is wrong any more, and whether nothing was lost, refused though run, or run
/// without need.
class run_judge
{
public:
  /// Longest time without a live run that docs/platform-deployment.md states for a task whose turn
  /// has come, after the last loss.
  static base::milliseconds Bound(base::milliseconds aMaximumLease)
  {
    // The users' limit for a takeover.
    constexpr base::milliseconds kTakeover{ 3000 };
    // A report of an idle side, each 1.5 s, and the transaction and the order that follow it.
    constexpr base::milliseconds kNextStart{ 2000 };
    return kTakeover + dispatch::kMaximumStoreSilence + dispatch::LeaseExpiryBound(aMaximumLease) +
           kNextStart;
  }

  run_judge(test_cluster& aCluster, job_callers const& aCallers)
    : mCluster{ aCluster }
    , mCallers{ aCallers }
    , mBound{ Bound(aCluster.mOptions.mMaximumLease) }
  {
  }

  /// Nothing is wrong any more from now on.
  void BeginCalm(base::time_point aNow) { mCalmSince = aNow; }

  /// Called often, so that no live run is missed.
  void Step(base::time_point aNow)
  {
    for (auto const& job : mCallers.Jobs()) {
      if (job.IsRefused()) {
        CheckRefused(job);
      }
      if (mCalmSince && job.IsOwed()) {
        CheckOwed(job, aNow);
      }
    }
    auto const isIdle = mCluster.mRecorder.ActiveRuns() == 0 && !mCallers.IsSubmitting() &&
                        std::ranges::all_of(mCallers.Jobs(), [&](job_callers::job const& aJob) {
                          return !aJob.mIsAccepted || aJob.IsShownFinal(mCluster.mFronts.size());
                        });
    if (!mCalmSince || !isIdle) {
      mIdleSince.reset();
      if (mCalmSince && aNow - *mCalmSince > 2 * mBound + kChainTime) {
        Fault("runs or calls did not end");
        mIsOver = true;
      }
    } else if (!mIdleSince) {
      mIdleSince = aNow;
    }
  }

  /// Whether all accepted jobs have ended and nothing has happened for a while after, or waiting
  /// longer can show nothing more.
  bool IsOver(base::time_point aNow) const
  {
    return mIsOver || (mIdleSince && aNow - *mIdleSince > kQuietTime);
  }

  std::vector<std::string> Faults() const
  {
    std::vector<std::string> all{ mFaults.begin(), mFaults.end() };
    std::ranges::copy(mCluster.mRecorder.Faults(), std::back_inserter(all));
    std::ranges::copy(mCallers.Faults(), std::back_inserter(all));
    return all;
  }

  /// Longest time in the calm for which a task waited for a run.
  base::milliseconds LongestWait() const { return mLongestWait; }
  base::milliseconds OwnBound() const { return mBound; }

private:
  /// The store may carry out the last write of a caller this late.
  static constexpr base::milliseconds kQuietTime{ 1000 };
  /// Run times of a job of the plan, one step after the other, with the time between them.
  static constexpr base::milliseconds kChainTime{ 15'000 };

  void Fault(std::string const& aText) { mFaults.insert(aText); }

  template<class Visit>
  void ForEachTask(planned_job const& aJob, Visit const& aVisit)
  {
    for (std::size_t step = 0; step < aJob.mSteps.size(); ++step) {
      for (std::uint32_t index = 0; index < aJob.mSteps[step].mCount; ++index) {
        aVisit(aJob.mSteps[step],
               aJob.mId + ".0." + std::to_string(step) + "." + std::to_string(index));
      }
    }
  }

  void CheckRefused(job_callers::job const& aJob)
  {
    ForEachTask(*aJob.mPlan, [&](run_recorder::step const&, std::string const& aTask) {
      if (mCluster.mRecorder.Starts(aTask) > 0) {
        Fault("refused, but run: " + aTask);
      }
    });
  }

  bool HasTurn(run_recorder::step const& aStep) const
  {
    return std::ranges::all_of(aStep.mAfter, [&](std::string const& aEarlier) {
      auto const number =
        static_cast<std::size_t>(std::stoul(aEarlier.substr(aEarlier.rfind('.') + 1)));
      auto const id = aEarlier.substr(0, aEarlier.find('.'));
      auto const job = std::ranges::find_if(
        mCallers.Jobs(), [&](job_callers::job const& aJob) { return aJob.mPlan->mId == id; });
      for (std::uint32_t index = 0; index < job->mPlan->mSteps[number].mCount; ++index) {
        if (!mCluster.mRecorder.IsDoneAcknowledged(aEarlier + "." + std::to_string(index))) {
          return false;
        }
      }
      return true;
    });
  }

  void CheckOwed(job_callers::job const& aJob, base::time_point aNow)
  {
    auto& recorder = mCluster.mRecorder;
    auto const isFailed = std::ranges::any_of(
      aJob.mShown, [](auto const& aShown) { return aShown.second == "failed"; });
    bool isProgressing = false;
    ForEachTask(*aJob.mPlan, [&](run_recorder::step const& aStep, std::string const& aTask) {
      auto const isLive = recorder.IsLive(aTask);
      isProgressing = isProgressing || isLive;
      auto [since, isNew] = mWaitingSince.try_emplace(aTask, aNow);
      // Of a success whose end was lost with its worker only the state of the job shows whether it
      // is known; the check below applies to it.
      if (isFailed || isLive || recorder.IsDoneAcknowledged(aTask) || recorder.IsDoneLost(aTask) ||
          !HasTurn(aStep)) {
        since->second = aNow;
        return;
      }
      mLongestWait = std::max(mLongestWait, aNow - since->second);
      if (aNow - since->second > mBound) {
        Fault("accepted, its turn has come, and no live run for " + std::to_string(mBound.count()) +
              " ms: " + aTask);
        mIsOver = true;
      }
    });
    auto [since, isNew] = mUnendedSince.try_emplace(aJob.mPlan->mId, aNow);
    if (isProgressing || aJob.IsShownFinal(mCluster.mFronts.size())) {
      since->second = aNow;
    } else if (aNow - since->second > mBound) {
      Fault("accepted, nothing of it runs, and not shown as ended for " +
            std::to_string(mBound.count()) + " ms: " + aJob.mPlan->mId);
      mIsOver = true;
    }
  }

  test_cluster& mCluster;
  job_callers const& mCallers;
  base::milliseconds mBound;
  std::optional<base::time_point> mCalmSince;
  std::optional<base::time_point> mIdleSince;
  bool mIsOver = false;
  std::map<std::string, base::time_point> mWaitingSince;
  std::map<std::string, base::time_point> mUnendedSince;
  base::milliseconds mLongestWait{ 0 };
  std::set<std::string> mFaults;
};

} // namespace rattanpond::platform
