#pragma once

#include "net/link.h"
#include "scheduling/gang_coordinator.h"
#include "scheduling/gang_description.h"
#include "scheduling/gang_member.h"
#include "scheduling/messages.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace rattanpond::scheduling {

/// What an agent keeps of one gang that has tasks on its worker.
struct hosted_gang
{
  gang_description mDescription;
  /// Empty until the reservation is committed.
  std::optional<gang_member> mMember;
  /// On the agent of the first roster member only.
  std::optional<gang_coordinator> mCoordinator;
  /// Links over which the coordinator last heard the members' agents.
  std::map<std::string, net::link_ptr> mLinks;
  std::vector<base::milliseconds> mWork;
  std::vector<base::milliseconds> mCheckpointedWork;
  std::optional<base::time_point> mClosedAt;
  /// State that entries were last told.
  member_state mReported = member_state::unknown;
  std::uint64_t mLastRound = 0;

  part_report Report() const
  {
    auto const least = [](std::vector<base::milliseconds> const& aWork) {
      auto const smallest = std::min_element(aWork.begin(), aWork.end());
      return smallest == aWork.end() ? base::milliseconds{ 0 } : *smallest;
    };
    return { .mGang = mDescription,
             .mState = mMember->State(),
             .mReason = mMember->Reason(),
             .mCheckpoints = mMember->Checkpoints(),
             .mWork = least(mWork),
             .mCheckpointedWork = least(mCheckpointedWork) };
  }
};

} // namespace rattanpond::scheduling
