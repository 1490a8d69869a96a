#pragma once

#include "base/codec.h"

#include <map>
#include <string>
#include <vector>

namespace rattanpond::dispatch {

/// Estimates how long a task runs, from its declared run time and the actual run times in its
/// queue.
///
/// Load pattern: declared run times that are wrong by up to a factor of ten either way in one queue
/// and nearly right in another. Where they do not correlate with actual ones, the typical run time
/// of the queue is the better estimate.
class run_time_estimator
{
public:
  void Observe(std::string const& aQueue, base::milliseconds aDeclared, base::milliseconds aActual);
  base::milliseconds Estimate(std::string const& aQueue, base::milliseconds aDeclared) const;

  /// Serializes the observations, for the next holder of the term.
  std::string Encode() const;
  /// Replaces the observations by those of a serialized estimator. Returns false and changes
  /// nothing if the text cannot be decoded.
  bool Decode(std::string const& aText);

  struct observation
  {
    base::milliseconds mDeclared{ 0 };
    base::milliseconds mActual{ 0 };

    static constexpr auto Fields()
    {
      return std::make_tuple(base::Field("declared", &observation::mDeclared, { 1, 1'000'000'000 }),
                             base::Field("real", &observation::mActual, { 1, 1'000'000'000 }));
    }
  };

private:
  /// The most recent observations of each queue, oldest first.
  std::map<std::string, std::vector<observation>> mObserved;
};

} // namespace rattanpond::dispatch
