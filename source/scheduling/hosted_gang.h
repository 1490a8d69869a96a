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

/// An agent's state of one gang that has tasks on its worker.
struct hosted_gang
{
  gang_description mDescription;
  /// Empty until the reservation is committed.
  std::optional<gang_member> mMember;
  /// Set only on the agent of the first roster member.
  std::optional<gang_coordinator> mCoordinator;
  /// Links on which the coordinator last received a heartbeat, by the member's worker.
  std::map<std::string, net::link_ptr> mLinks;
  std::vector<base::milliseconds> mWork;
  std::vector<base::milliseconds> mCheckpointedWork;
  std::optional<base::time_point> mClosedAt;
  /// Member state for which a report was last requested.
  member_state mReportedState = member_state::unknown;
  std::uint64_t mLastRound = 0;

  part_report Report() const
  {
    auto const minimum = [](std::vector<base::milliseconds> const& aWork) {
      auto const smallest = std::min_element(aWork.begin(), aWork.end());
      return smallest == aWork.end() ? base::milliseconds{ 0 } : *smallest;
    };
    return { .mGang = mDescription,
             .mState = mMember->State(),
             .mReason = mMember->Reason(),
             .mCheckpoints = mMember->Checkpoints(),
             .mWork = minimum(mWork),
             .mCheckpointedWork = minimum(mCheckpointedWork) };
  }
};

} // namespace rattanpond::scheduling
