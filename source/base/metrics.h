#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace rattanpond::base {

/// A monotonically increasing counter.
class counter
{
public:
  void Add(std::uint64_t aAmount = 1) { mValue.fetch_add(aAmount, std::memory_order_relaxed); }
  std::uint64_t Value() const { return mValue.load(std::memory_order_relaxed); }

private:
  std::atomic<std::uint64_t> mValue = 0;
};

/// A value that can increase and decrease.
class gauge
{
public:
  void Set(double aValue) { mValue.store(aValue, std::memory_order_relaxed); }
  double Value() const { return mValue.load(std::memory_order_relaxed); }

private:
  std::atomic<double> mValue = 0;
};

/// A histogram of durations in seconds with logarithmic bins from 10 microseconds to 1000 seconds.
class duration_histogram
{
public:
  duration_histogram();
  ~duration_histogram();
  duration_histogram(duration_histogram const&) = delete;
  duration_histogram& operator=(duration_histogram const&) = delete;

  void Record(double aSeconds);
  std::uint64_t Count() const;
  /// Returns the upper edge of the bin that contains the quantile, so the error is at most one bin
  /// width (15%).
  double Quantile(double aQuantile) const;
  std::string Exposition(std::string const& aName) const;

private:
  struct storage;
  mutable std::mutex mMutex;
  std::unique_ptr<storage> mStorage;
};

/// Metrics of one process. References stay valid for the lifetime of the registry; lookup by name
/// is thread-safe.
class metrics_registry
{
public:
  counter& Counter(std::string const& aName);
  gauge& Gauge(std::string const& aName);
  duration_histogram& Histogram(std::string const& aName);

  /// Returns all metrics in the Prometheus text exposition format: counters, gauges, histograms,
  /// each sorted by name.
  std::string Exposition() const;

private:
  mutable std::mutex mMutex;
  std::map<std::string, std::unique_ptr<counter>> mCounters;
  std::map<std::string, std::unique_ptr<gauge>> mGauges;
  std::map<std::string, std::unique_ptr<duration_histogram>> mHistograms;
};

} // namespace rattanpond::base
