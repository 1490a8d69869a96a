#pragma once

#include "membership/target_description.h"
#include "net/frame.h"

#include <string>

namespace rattanpond::membership {

enum class process_role
{
  entry,
  agent
};

} // namespace rattanpond::membership

template<>
struct rattanpond::base::enum_names<rattanpond::membership::process_role>
{
  using role = rattanpond::membership::process_role;
  static constexpr enum_name<role> kTable[] = { { role::entry, "entry" },
                                                { role::agent, "agent" } };
};

namespace rattanpond::membership {

/// First message of each peer on a control link.
struct hello
{
  static constexpr net::message_type kType = net::message_type::hello;

  std::string mProcess;
  std::string mIncarnation;
  process_role mRole = process_role::entry;
  std::string mRegion;
  std::string mDomain;

  static constexpr auto Fields()
  {
    return std::make_tuple(
      base::Field("process", &hello::mProcess), base::Field("incarnation", &hello::mIncarnation),
      base::Field("role", &hello::mRole), base::Field("region", &hello::mRegion),
      base::Field("domain", &hello::mDomain));
  }
};

/// Registers a target with an entry, or reports a change of its description.
struct announce
{
  static constexpr net::message_type kType = net::message_type::announce;

  target_description mTarget;

  static constexpr auto Fields()
  {
    return std::make_tuple(base::Field("target", &announce::mTarget));
  }
};

/// Periodic message of a target. It is small because every node sends it continuously.
struct target_heartbeat
{
  static constexpr net::message_type kType = net::message_type::target_heartbeat;

  /// Numbers of queued and running requests of an executor.
  std::uint32_t mQueued = 0;
  std::uint32_t mRunning = 0;

  static constexpr auto Fields()
  {
    return std::make_tuple(base::Field("queued", &target_heartbeat::mQueued),
                           base::Field("running", &target_heartbeat::mRunning));
  }
};

} // namespace rattanpond::membership
