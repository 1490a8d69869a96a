#pragma once

#include "base/time.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace rattanpond::dispatch {

/// Times of the advice service's queries and tickets. A queue that has it starts a step only on
/// workers for which the service has given a permit.
struct advice_timing
{
  base::milliseconds mQueryTime{ 0 };
  base::milliseconds mQueryTimePerWorker{ 0 };
  base::milliseconds mTicketLifetime{ 0 };
};

struct queue
{
  std::string mName{};
  std::string mHost{};
  std::string mPrefix{};
  std::string mService{};
  /// 0 is the highest priority.
  std::uint32_t mPriority = 0;
  std::uint32_t mMaximumAttempts = 1;
  /// Completion objective of a job: mStretch times its critical path, plus mObjective.
  double mStretch = 1.0;
  base::milliseconds mObjective{ 0 };
  bool mIsPublic = false;
  std::optional<advice_timing> mAdvice{};
};

struct workspace
{
  std::string mName{};
  std::set<std::string> mKeys{};
  std::int64_t mGuaranteedAccelerators = 0;
};

/// One version of the operators' declarations.
struct operator_configuration
{
  std::uint64_t mVersion = 0;
  std::vector<queue> mQueues{};
  std::vector<workspace> mWorkspaces{};
  std::size_t mMaximumBodyBytes = 262'144;

  queue const* FindQueue(std::string const& aName) const;
  workspace const* FindWorkspace(std::string const& aName) const;
  /// Returns the queue of a host with the longest prefix of the path, or null.
  queue const* Route(std::string_view aHost, std::string_view aPath) const;
  workspace const* WorkspaceOfKey(std::string const& aKey) const;
};

} // namespace rattanpond::dispatch
