#pragma once

#include "base/codec.h"

#include <cstdint>
#include <string>

namespace rattanpond::membership {

enum class target_kind
{
  worker,
  executor
};

enum class target_state
{
  serving,
  draining
};

} // namespace rattanpond::membership

namespace rattanpond::base {

template<>
struct enum_names<membership::target_kind>
{
  using type = membership::target_kind;
  static constexpr enum_name<type> kTable[] = { { type::worker, "worker" },
                                                { type::executor, "executor" } };
};

template<>
struct enum_names<membership::target_state>
{
  using type = membership::target_state;
  static constexpr enum_name<type> kTable[] = { { type::serving, "serving" },
                                                { type::draining, "draining" } };
};

} // namespace rattanpond::base

namespace rattanpond::membership {

/// Resources of a worker.
struct worker_capacity
{
  std::string mKind;
  std::uint32_t mAccelerators = 0;
  std::uint32_t mCores = 0;
  std::uint64_t mMemoryMebibytes = 0;

  bool operator==(worker_capacity const&) const = default;

  static constexpr auto Fields()
  {
    return std::make_tuple(
      base::Field("kind", &worker_capacity::mKind),
      base::Field("accelerators", &worker_capacity::mAccelerators, { 0, 1024 }),
      base::Field("cores", &worker_capacity::mCores, { 0, 65'536 }),
      base::Field("memory_mebibytes", &worker_capacity::mMemoryMebibytes, { 0, 1 << 30 }));
  }
};

/// Description of a target, as announced by its agent.
struct target_description
{
  std::string mTarget;
  /// New for every start of the agent, so that messages for an earlier incarnation are rejected.
  std::string mIncarnation;
  target_kind mKind = target_kind::worker;
  target_state mState = target_state::serving;
  std::string mRegion;
  std::string mDomain;
  std::string mRack;
  /// Address at which the agent accepts links of gang peers (control), and of the traffic threads
  /// of entries (traffic).
  std::string mControlAddress;
  std::string mTrafficAddress;
  worker_capacity mCapacity;
  std::string mService;
  std::uint32_t mSlots = 0;

  bool operator==(target_description const&) const = default;

  static constexpr auto Fields()
  {
    return std::make_tuple(base::Required("target", &target_description::mTarget),
                           base::Required("incarnation", &target_description::mIncarnation),
                           base::Required("kind", &target_description::mKind),
                           base::Required("state", &target_description::mState),
                           base::Required("region", &target_description::mRegion),
                           base::Required("domain", &target_description::mDomain),
                           base::Required("rack", &target_description::mRack),
                           base::Required("control_address", &target_description::mControlAddress),
                           base::Required("traffic_address", &target_description::mTrafficAddress),
                           base::Required("capacity", &target_description::mCapacity),
                           base::Required("service", &target_description::mService),
                           base::Required("slots", &target_description::mSlots));
  }
};

} // namespace rattanpond::membership
