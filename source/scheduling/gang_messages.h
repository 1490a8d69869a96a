#pragma once

#include "net/frame.h"
#include "scheduling/gang_description.h"
#include "scheduling/member_state.h"

namespace rattanpond::scheduling {

// Messages between the agents of one gang. Round and heartbeat numbers start at a random value in
// each process, so that a number of an earlier process is not mistaken for a current one.

/// Sent by a member to the coordinator to confirm that it is alive.
struct gang_heartbeat
{
  static constexpr net::message_type kType = net::message_type::gang_heartbeat;

  gang_id mGang;
  std::string mWorker;
  std::uint64_t mHeartbeatNumber = 0;
  /// Latest round of the coordinator that the member acknowledges. The heartbeat was therefore sent
  /// after that round began, however long its delivery took.
  std::uint64_t mRound = 0;
  member_state mState = member_state::unknown;
  std::string mReason;

  static constexpr auto Fields()
  {
    return std::make_tuple(
      base::Field("gang", &gang_heartbeat::mGang), base::Field("worker", &gang_heartbeat::mWorker),
      base::Field("beat", &gang_heartbeat::mHeartbeatNumber),
      base::Field("round", &gang_heartbeat::mRound), base::Field("state", &gang_heartbeat::mState),
      base::Field("reason", &gang_heartbeat::mReason));
  }
};

/// Sent by the coordinator to request a heartbeat for a new round and to grant a lease.
struct gang_grant
{
  static constexpr net::message_type kType = net::message_type::gang_grant;

  gang_id mGang;
  std::uint64_t mRound = 0;
  /// The lease starts when the member sent the heartbeat with this number, by the member's own
  /// clock.
  std::uint64_t mHeartbeatNumber = 0;
  /// Zero grants no lease.
  base::milliseconds mLease{ 0 };

  static constexpr auto Fields()
  {
    return std::make_tuple(base::Field("gang", &gang_grant::mGang),
                           base::Field("round", &gang_grant::mRound),
                           base::Field("beat", &gang_grant::mHeartbeatNumber),
                           base::Field("lease_ms", &gang_grant::mLease));
  }
};

/// Sent by the coordinator to end the gang.
struct gang_break
{
  static constexpr net::message_type kType = net::message_type::gang_break;

  gang_id mGang;
  break_cause mCause = break_cause::broken;
  std::string mReason;

  static constexpr auto Fields()
  {
    return std::make_tuple(base::Field("gang", &gang_break::mGang),
                           base::Field("cause", &gang_break::mCause),
                           base::Field("reason", &gang_break::mReason));
  }
};

} // namespace rattanpond::scheduling
