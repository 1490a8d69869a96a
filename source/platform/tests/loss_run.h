#pragma once

#include "platform/tests/loss_scenario.h"
#include "platform/tests/run_judge.h"

#include <sstream>

namespace rattanpond::platform {

/// One seed of the random_losses test: a cluster, its losses, its callers and the judgement.
class loss_run
{
public:
  /// A short lease shortens the bound of the judgement and with it the time of a failing seed.
  static constexpr base::milliseconds kLease{ 2000 };

  struct options
  {
    std::uint32_t mSeed = 0;
    /// Only the jobs of the plan, for tests of the judgement.
    bool mHasLosses = true;
    job_callers::options (*mCallers)(test_cluster&) = [](test_cluster& aCluster) {
      return job_callers::options{ .mCluster = aCluster };
    };
    /// Called once, before the first job, and then with each step.
    std::function<void(test_cluster&)> mPrepare = [](test_cluster&) {};
    std::function<void(test_cluster&)> mDisturb = [](test_cluster&) {};
  };

  explicit loss_run(options aOptions)
    : mOptions{ std::move(aOptions) }
    , mCluster{ { .mFronts = kFronts,
                  .mSides = kSides,
                  .mRacks = 2,
                  .mLinkPath = link_path::relayed,
                  .mMaximumLease = kLease,
                  .mSuccess = run_recorder::success::acknowledged,
                  .mWaitsForHolder = false } }
    , mPlan{ mOptions.mSeed, kSides, kFronts }
    , mScenario{ mCluster, mOptions.mHasLosses ? mPlan.Losses() : std::vector<planned_loss>{} }
    , mCallers{ mOptions.mCallers(mCluster), mPlan }
    , mJudge{ mCluster, mCallers }
  {
    mCluster.mRecorder.SetMaximumAttempts(job_callers::kAttempts);
    for (auto const& job : mPlan.Jobs()) {
      for (std::size_t step = 0; step < job.mSteps.size(); ++step) {
        mCluster.mRecorder.Declare(job.mId + ".0." + std::to_string(step), job.mSteps[step]);
      }
    }
    mOptions.mPrepare(mCluster);
  }

  void Step()
  {
    mCluster.Step();
    auto const now = base::Now();
    if (!mBeganAt) {
      if (mCluster.Holder() == nullptr) {
        return;
      }
      mBeganAt = now;
    }
    auto const time = now - *mBeganAt;
    mOptions.mDisturb(mCluster);
    auto const wasCalm = mScenario.IsCalm();
    mScenario.Step(time);
    if (mScenario.IsCalm() && !wasCalm) {
      mCalmAt = time;
      mJudge.BeginCalm(now);
    }
    mCallers.Step(time);
    mJudge.Step(now);
    if (mScenario.IsCalm() && time >= mAskAt) {
      mAskAt = time + kAskInterval;
      mCallers.AskForUnfinished(mAsks++ % kFronts, time);
    }
    if (mJudge.IsOver(now)) {
      mEndedAt = time;
    }
  }

  bool IsOver() const { return mEndedAt.has_value(); }
  std::vector<std::string> Faults() const { return mJudge.Faults(); }
  std::uint32_t Seed() const { return mOptions.mSeed; }

  /// One line: the times of calm and end, what callers were told, and the longest wait in the calm.
  std::string Summary() const
  {
    std::size_t accepted = 0;
    std::size_t refused = 0;
    std::map<std::string, std::size_t> shown;
    for (auto const& job : mCallers.Jobs()) {
      accepted += job.mIsAccepted ? 1 : 0;
      refused += job.IsRefused() ? 1 : 0;
      if (!job.mShown.empty()) {
        ++shown[job.mShown.rbegin()->second];
      }
    }
    std::stringstream text;
    text << "seed " << mOptions.mSeed << ": " << (Faults().empty() ? "passed" : "FAILED")
         << ", calm at " << mCalmAt.count() << " ms, over at "
         << mEndedAt.value_or(base::milliseconds{ 0 }).count() << " ms, " << accepted
         << " accepted, " << refused << " refused";
    for (auto const& [state, count] : shown) {
      text << ", " << count << " " << state;
    }
    text << ", " << mCluster.mRecorder.TasksStarted() << " tasks, longest wait "
         << mJudge.LongestWait().count() << " of " << mJudge.OwnBound().count() << " ms";
    return text.str();
  }

  /// What is needed to read a failure: the faults, the plan, and each job that has not ended, as
  /// the store, the workers and the holder see it.
  std::string Report()
  {
    std::stringstream text;
    text << Summary() << "\n";
    auto const faults = Faults();
    for (auto const& fault : faults) {
      text << "  fault: " << fault << "\n";
    }
    text << "plan, began at " << mBeganAt.value_or(base::time_point{}).time_since_epoch().count()
         << " ms:\n"
         << mPlan.Text();
    for (auto const& job : mCallers.Jobs()) {
      auto const& id = job.mPlan->mId;
      auto const isNamed = std::ranges::any_of(
        faults, [&](std::string const& aFault) { return aFault.find(id) != std::string::npos; });
      if (!isNamed && (!job.mIsAccepted || job.IsShownFinal(kFronts))) {
        continue;
      }
      text << "job " << id << ": accepted " << job.mIsAccepted << ", cancelled " << job.mIsCancelled
           << ", stored state "
           << mCluster.mStore.Text(dispatch::kDispatchTable, dispatch::kStatePrefix + id)
                .value_or("none")
           << "\n";
      for (auto const& event : mCluster.mRecorder.Events(id)) {
        text << "  " << (event.mAt - mBeganAt.value_or(base::time_point{})).count()
             << " ms: " << event.mText << "\n";
      }
    }
    if (auto* const holder = mCluster.Holder()) {
      text << "holder " << holder->mSettings.mNode << ": " << holder->mScheduler.Dump().dump()
           << "\n";
    }
    for (auto const& side : mCluster.mSides) {
      text << side->mSettings.mNode << ": " << side->Agent().Dump().dump() << "\n";
    }
    return text.str();
  }

private:
  static constexpr int kFronts = 2;
  static constexpr int kSides = 5;
  static constexpr base::milliseconds kAskInterval{ 300 };

  options mOptions;
  test_cluster mCluster;
  loss_plan mPlan;
  loss_scenario mScenario;
  job_callers mCallers;
  run_judge mJudge;
  std::optional<base::time_point> mBeganAt;
  std::optional<base::milliseconds> mEndedAt;
  base::milliseconds mCalmAt{ 0 };
  base::milliseconds mAskAt{ 0 };
  std::size_t mAsks = 0;
};

} // namespace rattanpond::platform
