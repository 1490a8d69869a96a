#pragma once

#include "scheduling/gang_messages.h"
#include "scheduling/gang_timings.h"

#include <deque>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace rattanpond::scheduling {

/// Whether the gang was newly committed or already ran when this coordinator was created.
enum class gang_origin
{
  committed,
  adopted
};

/// Grants leases to the members of one gang as long as all of them respond. Performs no I/O: the
/// caller delivers heartbeats and ticks and sends the returned messages.
///
/// A member is confirmed alive as of the start of the latest round that it answered. That start is
/// never later than the time at which the member sent the answer, so a delayed message or a paused
/// coordinator cannot make a lost member appear alive. A lease ends mLease after the oldest
/// confirmation.
class gang_coordinator
{
public:
  struct options
  {
    gang_id mGang;
    std::vector<std::string> mWorkers;
    gang_timings mTimings;
    std::uint64_t mFirstRound = 1;
    gang_origin mOrigin = gang_origin::committed;
  };

  /// A message to the agent of one worker.
  struct order
  {
    std::string mWorker;
    std::variant<gang_grant, gang_break> mMessage;
  };

  gang_coordinator(options aOptions, base::time_point aNow);

  std::vector<order> ApplyHeartbeat(gang_heartbeat const& aHeartbeat, base::time_point aNow);
  std::vector<order> Tick(base::time_point aNow);

  bool IsBroken() const { return mBreak.has_value(); }
  /// Whether the gang is broken and every member has either confirmed its end or can no longer run.
  bool IsDone(base::time_point aNow) const;

private:
  struct member
  {
    std::string mWorker;
    std::uint64_t mHeartbeatNumber = 0;
    std::uint64_t mRound = 0;
    std::optional<base::time_point> mConfirmedAt;
    member_state mState = member_state::unknown;
  };

  struct round
  {
    std::uint64_t mNumber = 0;
    base::time_point mStartedAt{};
  };

  member* Find(std::string const& aWorker);
  std::vector<order> CheckStates(member const& aMember, std::string const& aReason,
                                 base::time_point aNow);
  std::vector<order> Break(break_cause aCause, std::string aReason, base::time_point aNow);
  std::vector<order> BreakOrders() const;
  std::vector<order> Grants(base::time_point aNow);
  base::milliseconds Lease(base::time_point aNow) const;
  base::time_point OldestConfirmation() const;

  options mOptions;
  std::vector<member> mMembers;
  std::deque<round> mRounds;
  base::time_point mCreatedAt;
  base::time_point mNextRound;
  std::uint64_t mGrantedRound = 0;
  bool mIsFormed = false;
  /// Time of the first grant; empty for an adopted gang.
  std::optional<base::time_point> mFormedAt;
  std::optional<gang_break> mBreak;
  base::time_point mBrokenAt{};
};

} // namespace rattanpond::scheduling
