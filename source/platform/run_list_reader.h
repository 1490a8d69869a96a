#pragma once

#include "base/error.h"
#include "dispatch/messages.h"

#include <cstddef>
#include <memory>
#include <string_view>
#include <vector>

namespace rattanpond::platform {

/// Run lists of a worker, read in one call.
struct worker_run_lists
{
  std::int64_t mClockMs = 0;
  std::int64_t mIncarnationStart = 0;
  std::vector<dispatch::listed_run> mRunning{};
  std::vector<dispatch::ended_run> mEnded{};
  /// False if a run may be missing from both lists.
  bool mIsComplete = true;
  /// Position in mRunning of the first run whose checkpoint was read.
  std::size_t mFirstCheckpoint = 0;
  /// Value of mFirstCheckpoint for the next list: the first run whose checkpoint exceeded the
  /// limit, or 0 to start again at the first run, if the checkpoints of all later runs were read.
  std::size_t mNextCheckpoint = 0;
  /// Ends whose checkpoint was left out for lack of room.
  std::size_t mOmittedCheckpoints = 0;
  /// Number of checkpoints that are not strings or not valid UTF-8. They are dropped, because they
  /// cannot be encoded as JSON again.
  std::size_t mUnreadableCheckpoints = 0;
};

/// Reads a worker's run lists from a JSON document that arrives in pieces. The worker bounds
/// neither the number of its runs nor the length of their checkpoints, so checkpoints are kept only
/// up to a total length; everything else is kept.
class run_list_reader
{
public:
  /// Total length of the checkpoints of active and of ended runs, in bytes. Both, and the names of
  /// the runs, fit into one report to the scheduler.
  static constexpr std::size_t kActiveCheckpointBytes = 1024 * 1024;
  static constexpr std::size_t kEndedCheckpointBytes = 2 * 1024 * 1024;

  /// Leaves out the checkpoints of active runs before the position aFirstCheckpoint, so that
  /// successive lists can supply different ones.
  explicit run_list_reader(std::size_t aFirstCheckpoint = 0);
  ~run_list_reader();
  run_list_reader(run_list_reader const&) = delete;
  run_list_reader& operator=(run_list_reader const&) = delete;

  void Append(std::string_view aPiece);

  /// Returns the lists after the last piece, or the reason why they cannot be used.
  base::result<worker_run_lists> Finish();

private:
  class parser;
  std::unique_ptr<parser> mParser;
};

} // namespace rattanpond::platform
