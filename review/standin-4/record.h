#pragma once

#include "http.h"

#include <cstdio>
#include <fstream>

namespace review {

/// The record of a trial: what was sent, answered and run, with the time in seconds.
class record
{
public:
  static record& Get()
  {
    static record sRecord;
    return sRecord;
  }

  void Open(std::string const& aPath) { mFile.open(aPath, std::ios::trunc); }

  void Write(std::string const& aText)
  {
    std::lock_guard const lock{ mMutex };
    char time[32];
    std::snprintf(time, sizeof time, "%8.3f ", static_cast<double>(NowMs()) / 1000.0);
    mFile << time << aText << '\n' << std::flush;
  }

private:
  std::mutex mMutex;
  std::ofstream mFile;
};

inline void Record(std::string const& aText)
{
  record::Get().Write(aText);
}

} // namespace review
