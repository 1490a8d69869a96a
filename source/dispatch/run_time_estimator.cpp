#include "dispatch/run_time_estimator.h"

#include <algorithm>
#include <cmath>

namespace rattanpond::dispatch {

using base::milliseconds;

namespace {

/// Observations per queue: enough to distinguish noise from correlation, few enough for a row that
/// is written every few seconds.
constexpr std::size_t kMaximumObservations = 24;
/// Prior of the estimate: declared run times count as if this many tasks had matched theirs, with
/// declared times that vary by kPriorVariance (of natural logarithms; a factor of 1.65 either way).
constexpr double kPriorTasks = 2.0;
constexpr double kPriorVariance = 0.25;
/// Estimate for a task without a declared run time in a queue without observations; such a task may
/// run for long.
constexpr milliseconds kUndeclaredRunTime{ 600'000 };

struct logarithms
{
  double mDeclared = 0;
  double mActual = 0;
};

double Logarithm(milliseconds aTime)
{
  return std::log(static_cast<double>(std::max<std::int64_t>(1, aTime.count())));
}

} // namespace

void run_time_estimator::Observe(std::string const& aQueue, milliseconds aDeclared,
                                 milliseconds aActual)
{
  if (aDeclared.count() <= 0 || aActual.count() <= 0) {
    return;
  }
  auto& observations = mObserved[aQueue];
  if (observations.size() == kMaximumObservations) {
    observations.erase(observations.begin());
  }
  observations.push_back({ aDeclared, aActual });
}

milliseconds run_time_estimator::Estimate(std::string const& aQueue, milliseconds aDeclared) const
{
  auto const found = mObserved.find(aQueue);
  auto const hasObservations = found != mObserved.end() && !found->second.empty();
  if (!hasObservations) {
    return aDeclared.count() > 0 ? aDeclared : kUndeclaredRunTime;
  }
  // Least-squares fit on logarithms, biased by the prior towards actual = declared.
  auto const& observations = found->second;
  auto const count = static_cast<double>(observations.size());
  logarithms mean;
  for (auto const& sample : observations) {
    mean.mDeclared += Logarithm(sample.mDeclared) / count;
    mean.mActual += Logarithm(sample.mActual) / count;
  }
  double variance = kPriorTasks * kPriorVariance;
  double covariance = variance;
  for (auto const& sample : observations) {
    auto const declared = Logarithm(sample.mDeclared) - mean.mDeclared;
    variance += declared * declared;
    covariance += declared * (Logarithm(sample.mActual) - mean.mActual);
  }
  auto const slope = std::clamp(covariance / variance, 0.0, 1.0);
  auto const level = (count * mean.mActual + kPriorTasks * mean.mDeclared) / (count + kPriorTasks);
  auto const declared = aDeclared.count() > 0 ? Logarithm(aDeclared) : mean.mDeclared;
  return milliseconds{ static_cast<std::int64_t>(
    std::exp(level + slope * (declared - mean.mDeclared))) };
}

std::string run_time_estimator::Encode() const
{
  base::json document = base::json::object();
  for (auto const& [queue, observations] : mObserved) {
    document[queue] = base::Encode(observations, base::layout::positional);
  }
  return document.dump();
}

bool run_time_estimator::Decode(std::string const& aText)
{
  auto const document = base::json::parse(aText, nullptr, false);
  if (!document.is_object()) {
    return false;
  }
  std::map<std::string, std::vector<observation>> observed;
  for (auto const& [queue, entry] : document.items()) {
    auto decoded = base::TryDecode<std::vector<observation>>(entry, base::layout::positional);
    auto* const observations = std::get_if<std::vector<observation>>(&decoded);
    if (observations == nullptr || observations->size() > kMaximumObservations) {
      return false;
    }
    observed[queue] = std::move(*observations);
  }
  mObserved = std::move(observed);
  return true;
}

} // namespace rattanpond::dispatch
