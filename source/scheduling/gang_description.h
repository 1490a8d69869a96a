#pragma once

#include "placement/types.h"
#include "scheduling/job.h"

#include <compare>
#include <string>
#include <vector>

template<>
struct rattanpond::base::enum_names<rattanpond::placement::tenure>
{
  using type = rattanpond::placement::tenure;
  static constexpr enum_name<type> kTable[] = { { type::guaranteed, "guaranteed" },
                                                { type::borrowed, "borrowed" } };
};

namespace rattanpond::scheduling {

/// Identifies one attempt to run a job.
struct gang_id
{
  std::string mJob;
  std::uint64_t mAttempt = 0;

  auto operator<=>(gang_id const&) const = default; // NOLINT(modernize-use-nullptr): false report

  static constexpr auto Fields()
  {
    return std::make_tuple(base::Field("job", &gang_id::mJob),
                           base::Field("attempt", &gang_id::mAttempt));
  }
};

/// The tasks of a gang on one worker: ranks [mFirstRank, mFirstRank + mTasks).
struct roster_member
{
  std::string mWorker;
  std::string mControlAddress;
  std::uint32_t mFirstRank = 0;
  std::uint32_t mTasks = 0;

  bool operator==(roster_member const&) const = default;

  static constexpr auto Fields()
  {
    return std::make_tuple(base::Field("worker", &roster_member::mWorker),
                           base::Field("control_address", &roster_member::mControlAddress),
                           base::Field("first_rank", &roster_member::mFirstRank),
                           base::Field("tasks", &roster_member::mTasks, { 1, 4096 }));
  }
};

/// The complete description of a gang. Agents store it with the tasks, so that a job survives the
/// loss of all entries and of the store.
struct gang_description
{
  /// Excludes the job's history, which grows over time.
  job mJob;
  /// The agent of the first member coordinates the gang.
  std::vector<roster_member> mRoster;
  placement::tenure mTenure = placement::tenure::borrowed;

  gang_id Id() const { return { .mJob = mJob.mId, .mAttempt = mJob.mAttempt }; }

  roster_member const* Find(std::string const& aWorker) const
  {
    for (auto const& member : mRoster) {
      if (member.mWorker == aWorker) {
        return &member;
      }
    }
    return nullptr;
  }

  static constexpr auto Fields()
  {
    return std::make_tuple(base::Required("job", &gang_description::mJob),
                           base::Required("roster", &gang_description::mRoster),
                           base::Required("tenure", &gang_description::mTenure));
  }
};

} // namespace rattanpond::scheduling
