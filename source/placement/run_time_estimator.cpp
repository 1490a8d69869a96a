#include "placement/run_time_estimator.h"

#include <algorithm>

namespace rattanpond::placement {

namespace {

constexpr std::size_t kHistorySize = 64;
/// Number of ratios of 1 that are added to the observed ones, so that fewer observations than this
/// do not outweigh the declared run time.
constexpr std::size_t kPriorObservations = 3;
constexpr double kConservativeQuantile = 0.8;
/// Factor of the upper estimate before any run was observed: declared run times are known to be off
/// by up to this.
constexpr double kUnobservedFactor = 2;
/// Assumed for jobs that declare no run time.
constexpr base::milliseconds kDefaultRunTime{ 600'000 };
/// A run that exceeds its estimate is expected to continue for this share of its elapsed run time.
constexpr double kOverrunShare = 0.5;

double Quantile(std::vector<double> aValues, double aQuantile)
{
  auto const position =
    static_cast<std::ptrdiff_t>(aQuantile * static_cast<double>(aValues.size() - 1));
  std::nth_element(aValues.begin(), aValues.begin() + position, aValues.end());
  return aValues[static_cast<std::size_t>(position)];
}

base::milliseconds Scale(base::milliseconds aTime, double aFactor)
{
  return base::milliseconds{ static_cast<std::int64_t>(static_cast<double>(aTime.count()) *
                                                       aFactor) };
}

base::milliseconds Declared(base::milliseconds aDeclared)
{
  return aDeclared.count() > 0 ? aDeclared : kDefaultRunTime;
}

} // namespace

void run_time_estimator::Observe(std::string const& aWorkspace, base::milliseconds aDeclared,
                                 base::milliseconds aReal)
{
  if (aDeclared.count() <= 0 || aReal.count() <= 0) {
    return;
  }
  auto const ratio = static_cast<double>(aReal.count()) / static_cast<double>(aDeclared.count());
  auto& observed = mHistories[aWorkspace];
  if (observed.mRatios.size() < kHistorySize) {
    observed.mRatios.push_back(ratio);
  } else {
    observed.mRatios[observed.mNext] = ratio;
    observed.mNext = (observed.mNext + 1) % kHistorySize;
  }
  auto ratios = observed.mRatios;
  ratios.insert(ratios.end(), kPriorObservations, 1.0);
  observed.mMedian = Quantile(ratios, 0.5);
  observed.mHighQuantile = Quantile(std::move(ratios), kConservativeQuantile);
}

base::milliseconds run_time_estimator::Expected(std::string const& aWorkspace,
                                                base::milliseconds aDeclared) const
{
  auto const found = mHistories.find(aWorkspace);
  return Scale(Declared(aDeclared), found == mHistories.end() ? 1 : found->second.mMedian);
}

base::milliseconds run_time_estimator::Conservative(std::string const& aWorkspace,
                                                    base::milliseconds aDeclared) const
{
  auto const found = mHistories.find(aWorkspace);
  return Scale(Declared(aDeclared),
               found == mHistories.end() ? kUnobservedFactor : found->second.mHighQuantile);
}

base::milliseconds run_time_estimator::ExpectedLeft(std::string const& aWorkspace,
                                                    base::milliseconds aDeclared,
                                                    base::milliseconds aElapsed) const
{
  auto const expected = Expected(aWorkspace, aDeclared);
  return expected > aElapsed ? expected - aElapsed : Scale(aElapsed, kOverrunShare);
}

} // namespace rattanpond::placement
