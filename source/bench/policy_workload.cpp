#include "bench/policy_workload.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace rattanpond::bench {

namespace {

using placement::adjacency;
using placement::urgency;

constexpr std::int64_t kMinute = 60'000;
constexpr std::int64_t kArrivals = 240 * kMinute;

/// Draws the same numbers on every platform; the distributions of the standard library do not.
class dice
{
public:
  explicit dice(std::uint64_t aSeed)
    : mEngine(aSeed)
  {
  }

  double Unit() { return static_cast<double>(mEngine() >> 11) * 0x1.0p-53; }
  std::int64_t Between(std::int64_t aLow, std::int64_t aHigh)
  {
    return aLow + static_cast<std::int64_t>(Unit() * static_cast<double>(aHigh - aLow + 1));
  }
  double LogBetween(double aLow, double aHigh)
  {
    return aLow * std::exp(Unit() * std::log(aHigh / aLow));
  }
  double Exponential(double aMean) { return -aMean * std::log(1 - Unit()); }

private:
  std::mt19937_64 mEngine;
};

/// A kind of job. Times are log-uniform between the bounds.
struct job_class
{
  std::vector<std::uint32_t> mTasks;
  std::vector<std::uint32_t> mAccelerators;
  adjacency mLevel;
  double mShortestMinutes;
  double mLongestMinutes;
  urgency mUrgency;
};

job_class const kLongAdjacent{ { 2 }, { 8 }, adjacency::same_rack, 20, 90, urgency::normal };
job_class const kLongWorker{ { 1 }, { 8 }, adjacency::same_worker, 20, 90, urgency::normal };
job_class const kMedium{ { 1, 2 }, { 2, 4 }, adjacency::same_rack, 4, 25, urgency::normal };
job_class const kSmall{ { 1 }, { 1, 2 }, adjacency::same_worker, 1, 6, urgency::normal };
job_class const kPatient{ { 1, 4 }, { 2 }, adjacency::same_region, 10, 40, urgency::patient };
job_class const kLargeOfBurst{ { 2, 4 }, { 4 }, adjacency::same_rack, 8, 30, urgency::normal };
job_class const kUrgent{ { 1 }, { 1, 2, 4 }, adjacency::same_worker, 1, 4, urgency::urgent };

class workload_writer
{
public:
  explicit workload_writer(workload_options const& aOptions)
    : mOptions(aOptions)
    , mDice(aOptions.mSeed * 7919 + (aOptions.mDeployment == "arla" ? 1 : 0))
  {
  }

  policy_workload Write()
  {
    AddWorkers();
    AddContracts();
    for (auto const& [name, contract] : mWorkload.mCluster.mContracts) {
      mBias[name] = mDice.LogBetween(0.4, 2.5);
    }
    for (std::uint32_t copy = 0; copy < mOptions.mScale; ++copy) {
      AddStreams();
    }
    std::stable_sort(
      mWorkload.mJobs.begin(), mWorkload.mJobs.end(),
      [](auto const& aLeft, auto const& aRight) { return aLeft.mSubmitted < aRight.mSubmitted; });
    NameJobs();
    AddFaults();
    return std::move(mWorkload);
  }

private:
  void AddWorkers()
  {
    auto const cores = mOptions.mDeployment == "arla" ? 60U : 130U;
    for (std::uint32_t index = 0; index < 10 * mOptions.mScale; ++index) {
      auto const rack = index / 3;
      auto const name = "worker-" + std::to_string(100 + index);
      // Racks are dealt to the three failure domains in turn.
      mWorkload.mCluster.mWorkers[name] = { .mName = name,
                                            .mRegion = "region-1",
                                            .mDomain = "domain-" + std::to_string(rack % 3 + 1),
                                            .mRack = "rack-" + std::to_string(rack + 1),
                                            .mKind = "accelerator",
                                            .mAccelerators = 8,
                                            .mCores = cores,
                                            .mMemoryMebibytes = 256 * 1024 };
    }
  }

  void AddContract(std::string const& aName, double aShare,
                   std::vector<std::pair<std::uint32_t, adjacency>> const& aShapes)
  {
    configuration::contract contract;
    contract.mWorkspace = aName;
    contract.mShare = aShare;
    for (std::uint32_t copy = 0; copy < mOptions.mScale; ++copy) {
      for (auto const& [accelerators, level] : aShapes) {
        contract.mGuarantee.push_back(
          { .mAccelerators = accelerators,
            .mLevel = level,
            .mKind = "accelerator",
            .mCoresPerAccelerator = mOptions.mDeployment == "arla" ? 7U : 16U,
            .mMemoryMebibytesPerAccelerator = 32 * 1024,
            .mRegion = {} });
      }
    }
    mWorkload.mCluster.mContracts[aName] = contract;
  }

  /// 40 of the 48 accelerators that remain when the largest failure domain is out.
  void AddContracts()
  {
    AddContract("alpha", 2, { { 16, adjacency::same_rack }, { 4, adjacency::same_worker } });
    AddContract("beta", 2, { { 8, adjacency::same_worker }, { 4, adjacency::same_worker } });
    AddContract("gamma", 1, { { 4, adjacency::same_worker } });
    AddContract("delta", 1, { { 4, adjacency::same_worker } });
  }

  void AddStreams()
  {
    Stream("alpha", kLongAdjacent, 40);
    Stream("beta", kLongWorker, 24);
    Stream("alpha", kMedium, 7);
    Stream("beta", kMedium, 7);
    Stream("gamma", kMedium, 12);
    Stream("delta", kSmall, 2);
    Stream("gamma", kSmall, 3);
    Stream("delta", kPatient, 20);
    Stream("beta", kPatient, 25);
    Bursts("gamma", kSmall, 55, 20, 60);
    Bursts("delta", kSmall, 70, 20, 60);
    Bursts("alpha", kLargeOfBurst, 90, 3, 6);
    Bursts("beta", kLargeOfBurst, 110, 3, 6);
    for (auto const* const workspace : { "alpha", "beta", "gamma", "delta" }) {
      Stream(workspace, kUrgent, 16);
    }
  }

  void Stream(std::string const& aWorkspace, job_class const& aClass, double aMeanGapMinutes)
  {
    double at = mDice.Exponential(aMeanGapMinutes);
    while (at * kMinute < kArrivals) {
      Add(aWorkspace, aClass, static_cast<std::int64_t>(at * kMinute));
      at += mDice.Exponential(aMeanGapMinutes);
    }
  }

  void Bursts(std::string const& aWorkspace, job_class const& aClass, double aMeanGapMinutes,
              std::int64_t aFewest, std::int64_t aMost)
  {
    double at = mDice.Exponential(aMeanGapMinutes);
    while (at * kMinute < kArrivals) {
      auto const begin = static_cast<std::int64_t>(at * kMinute);
      for (auto left = mDice.Between(aFewest, aMost); left > 0; --left) {
        Add(aWorkspace, aClass, begin + mDice.Between(0, 20'000));
      }
      at += mDice.Exponential(aMeanGapMinutes);
    }
  }

  template<class T>
  T Pick(std::vector<T> const& aValues)
  {
    return aValues[static_cast<std::size_t>(
      mDice.Between(0, static_cast<std::int64_t>(aValues.size()) - 1))];
  }

  void Add(std::string const& aWorkspace, job_class const& aClass, std::int64_t aAt)
  {
    trace_job job;
    job.mWorkspace = aWorkspace;
    job.mUrgency = aClass.mUrgency;
    auto const accelerators = Pick(aClass.mAccelerators);
    auto const cores = accelerators * static_cast<std::uint32_t>(mDice.Between(3, 7));
    auto const memory = accelerators * static_cast<std::uint64_t>(mDice.Between(8, 32)) * 1024;
    job.mShape = { .mTasks = Pick(aClass.mTasks),
                   .mTask = { accelerators, cores, memory },
                   .mKind = "accelerator",
                   .mLevel = aClass.mLevel,
                   .mRegion = {} };
    job.mSubmitted = base::time_point{ base::milliseconds{ aAt } };
    auto const minutes = mDice.LogBetween(aClass.mShortestMinutes, aClass.mLongestMinutes);
    job.mReal = base::milliseconds{ static_cast<std::int64_t>(minutes * kMinute) };
    // A workspace errs in one direction by habit, and by chance besides.
    auto const wrong = std::clamp(mBias[aWorkspace] * mDice.LogBetween(0.4, 2.5), 0.2, 5.0);
    job.mDeclared = base::milliseconds{ static_cast<std::int64_t>(minutes * wrong * kMinute) };
    job.mCheckpointEvery = base::milliseconds{ mDice.Between(3, 10) * kMinute };
    job.mCheckpointTakes = base::milliseconds{ mDice.Between(1'000, 10'000) };
    if (mDice.Unit() < 0.02) {
      job.mOverstays = base::milliseconds{ mDice.Between(0, 10'000) };
    }
    mWorkload.mJobs.push_back(std::move(job));
  }

  void NameJobs()
  {
    for (std::size_t index = 0; index < mWorkload.mJobs.size(); ++index) {
      mWorkload.mJobs[index].mName = "job-" + std::to_string(1'000'000 + index);
    }
  }

  void AddFaults()
  {
    auto const minute = [](std::int64_t aCount) {
      return base::time_point{ base::milliseconds{ aCount * kMinute } };
    };
    // Drawn always, so that the arrivals of a seed do not depend on the faults.
    auto const domain = mDice.Between(1, 3);
    auto const worker = mDice.Between(0, 10 * mOptions.mScale - 1);
    auto const wave = minute(mDice.Between(140, 170));
    if (mOptions.mHasDomainOut) {
      mWorkload.mOutDomain = "domain-" + std::to_string(domain);
      mWorkload.mOutAt = minute(90);
      mWorkload.mBackAt = minute(125);
    }
    if (mOptions.mHasFailingWorker) {
      mWorkload.mFailingWorker = "worker-" + std::to_string(100 + worker);
      mWorkload.mFailsFrom = minute(30);
      mWorkload.mFailsUntil = minute(75);
    }
    for (auto& job : mWorkload.mJobs) {
      auto const isHit = mDice.Unit() < 0.6;
      if (mOptions.mHasCancelWave && isHit && job.mWorkspace == "gamma" && job.mSubmitted < wave) {
        job.mCancelled = wave;
      }
    }
  }

  workload_options const& mOptions;
  dice mDice;
  policy_workload mWorkload;
  std::map<std::string, double> mBias;
};

} // namespace

policy_workload DrawWorkload(workload_options const& aOptions)
{
  return workload_writer{ aOptions }.Write();
}

} // namespace rattanpond::bench
