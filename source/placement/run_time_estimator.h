#pragma once

#include "base/time.h"

#include <map>
#include <string>
#include <vector>

namespace rattanpond::placement {

/// Corrects declared run times by the ratios of actual to declared run time that were observed per
/// workspace.
class run_time_estimator
{
public:
  void Observe(std::string const& aWorkspace, base::milliseconds aDeclared,
               base::milliseconds aReal);

  /// Median estimate, for ordering jobs.
  base::milliseconds Expected(std::string const& aWorkspace, base::milliseconds aDeclared) const;
  /// Upper estimate that most jobs do not exceed, for backfill.
  base::milliseconds Conservative(std::string const& aWorkspace,
                                  base::milliseconds aDeclared) const;
  /// Expected remaining run time of a run that has lasted for aElapsed.
  base::milliseconds ExpectedLeft(std::string const& aWorkspace, base::milliseconds aDeclared,
                                  base::milliseconds aElapsed) const;

private:
  struct history
  {
    /// Ring buffer of the most recent ratios.
    std::vector<double> mRatios;
    std::size_t mNext = 0;
    double mMedian = 1;
    double mHighQuantile = 1;
  };

  std::map<std::string, history> mHistories;
};

} // namespace rattanpond::placement
