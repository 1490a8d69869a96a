#pragma once

#include "http.h"

#include <cstdio>
#include <fstream>
#include <mutex>

namespace standin {

/// The record of what was sent, answered and run, with the seconds since the start of the case.
class record
{
public:
  explicit record(std::string const& aPath)
    : mFile{ aPath }
  {
  }

  void Write(std::string const& aText)
  {
    std::lock_guard const lock{ mMutex };
    char time[32];
    std::snprintf(time, sizeof time, "%8.3f ", Seconds());
    mFile << time << aText << std::endl;
  }

  double Seconds() const { return static_cast<double>(NowMs() - mStartMs) / 1000.0; }

private:
  std::mutex mMutex;
  std::ofstream mFile;
  std::int64_t mStartMs = NowMs();
};

} // namespace standin
