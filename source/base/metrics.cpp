#include "base/metrics.h"

#include <sstream>

#include <boost/histogram.hpp>

namespace rattanpond::base {

namespace histogram = boost::histogram;

namespace {

constexpr double kMinimumSeconds = 1e-5;
constexpr double kMaximumSeconds = 1e3;
constexpr unsigned kBinCount = 132;

using log_axis = histogram::axis::regular<double, histogram::axis::transform::log>;

template<class Map>
auto& FindOrCreate(std::mutex& aMutex, Map& aMap, std::string const& aName)
{
  std::lock_guard const lock{ aMutex };
  auto& slot = aMap[aName];
  if (!slot) {
    slot = std::make_unique<typename Map::mapped_type::element_type>();
  }
  return *slot;
}

} // namespace

struct duration_histogram::storage
{
  decltype(histogram::make_histogram(
    log_axis{ kBinCount, kMinimumSeconds, kMaximumSeconds })) mBins =
    histogram::make_histogram(log_axis{ kBinCount, kMinimumSeconds, kMaximumSeconds });
  std::uint64_t mCount = 0;
  double mSum = 0;
};

duration_histogram::duration_histogram()
  : mStorage{ std::make_unique<storage>() }
{
}

duration_histogram::~duration_histogram() = default;

void duration_histogram::Record(double aSeconds)
{
  std::lock_guard const lock{ mMutex };
  mStorage->mBins(std::max(aSeconds, kMinimumSeconds));
  ++mStorage->mCount;
  mStorage->mSum += aSeconds;
}

std::uint64_t duration_histogram::Count() const
{
  std::lock_guard const lock{ mMutex };
  return mStorage->mCount;
}

double duration_histogram::Quantile(double aQuantile) const
{
  std::lock_guard const lock{ mMutex };
  auto const targetCount = aQuantile * static_cast<double>(mStorage->mCount);
  double cumulativeCount = 0;
  for (auto const& bin : histogram::indexed(mStorage->mBins)) {
    cumulativeCount += *bin;
    if (cumulativeCount >= targetCount && cumulativeCount > 0) {
      return bin.bin().upper();
    }
  }
  return mStorage->mCount == 0 ? 0 : kMaximumSeconds;
}

std::string duration_histogram::Exposition(std::string const& aName) const
{
  std::lock_guard const lock{ mMutex };
  std::ostringstream text;
  text << "# TYPE " << aName << " histogram\n";
  double cumulative = 0;
  for (auto const& bin : histogram::indexed(mStorage->mBins)) {
    if (*bin > 0) {
      cumulative += *bin;
      text << aName << "_bucket{le=\"" << bin.bin().upper() << "\"} " << cumulative << '\n';
    }
  }
  text << aName << "_bucket{le=\"+Inf\"} " << mStorage->mCount << '\n';
  text << aName << "_sum " << mStorage->mSum << '\n';
  text << aName << "_count " << mStorage->mCount << '\n';
  return text.str();
}

counter& metrics_registry::Counter(std::string const& aName)
{
  return FindOrCreate(mMutex, mCounters, aName);
}

gauge& metrics_registry::Gauge(std::string const& aName)
{
  return FindOrCreate(mMutex, mGauges, aName);
}

duration_histogram& metrics_registry::Histogram(std::string const& aName)
{
  return FindOrCreate(mMutex, mHistograms, aName);
}

std::string metrics_registry::Exposition() const
{
  std::lock_guard const lock{ mMutex };
  std::ostringstream text;
  for (auto const& [name, value] : mCounters) {
    text << "# TYPE " << name << " counter\n" << name << ' ' << value->Value() << '\n';
  }
  for (auto const& [name, value] : mGauges) {
    text << "# TYPE " << name << " gauge\n" << name << ' ' << value->Value() << '\n';
  }
  for (auto const& [name, value] : mHistograms) {
    text << value->Exposition(name);
  }
  return text.str();
}

} // namespace rattanpond::base
