#pragma once

#include "base/codec.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace rattanpond::configuration {

/// Largest topological distance between the members of a gang or the accelerators of a shape.
enum class adjacency
{
  same_worker,
  same_rack,
  same_failure_domain,
  same_region
};

enum class urgency
{
  urgent,
  normal,
  patient
};

enum class domain_state
{
  in_service,
  out_of_service
};

} // namespace rattanpond::configuration

namespace rattanpond::base {

template<>
struct enum_names<configuration::adjacency>
{
  using type = configuration::adjacency;
  static constexpr enum_name<type> kTable[] = { { type::same_worker, "same_worker" },
                                                { type::same_rack, "same_rack" },
                                                { type::same_failure_domain,
                                                  "same_failure_domain" },
                                                { type::same_region, "same_region" } };
};

template<>
struct enum_names<configuration::urgency>
{
  using type = configuration::urgency;
  static constexpr enum_name<type> kTable[] = { { type::urgent, "urgent" },
                                                { type::normal, "normal" },
                                                { type::patient, "patient" } };
};

template<>
struct enum_names<configuration::domain_state>
{
  using type = configuration::domain_state;
  static constexpr enum_name<type> kTable[] = { { type::in_service, "in_service" },
                                                { type::out_of_service, "out_of_service" } };
};

} // namespace rattanpond::base

namespace rattanpond::configuration {

/// Accelerators that are guaranteed to a workspace, together with their cores and memory.
struct guaranteed_shape
{
  std::uint32_t mAccelerators = 0;
  adjacency mLevel = adjacency::same_worker;
  std::string mKind;
  std::uint32_t mCoresPerAccelerator = 0;
  std::uint64_t mMemoryMebibytesPerAccelerator = 0;
  std::string mRegion;

  bool operator==(guaranteed_shape const&) const = default;

  static constexpr auto Fields()
  {
    return std::make_tuple(
      base::Required("accelerators", &guaranteed_shape::mAccelerators, { 1, 100'000 }),
      base::Required("level", &guaranteed_shape::mLevel),
      base::Required("kind", &guaranteed_shape::mKind),
      base::Field("cores_per_accelerator", &guaranteed_shape::mCoresPerAccelerator, { 0, 4096 }),
      base::Field("memory_mebibytes_per_accelerator",
                  &guaranteed_shape::mMemoryMebibytesPerAccelerator, { 0, 1 << 26 }),
      base::Field("region", &guaranteed_shape::mRegion));
  }
};

/// Rate and concurrency limits for the requests of a workspace.
struct request_limits
{
  double mRequestsPerSecond = 1000;
  double mBurst = 2000;
  std::uint32_t mInFlight = 1000;

  bool operator==(request_limits const&) const = default;

  static constexpr auto Fields()
  {
    return std::make_tuple(
      base::Field("requests_per_second", &request_limits::mRequestsPerSecond, { 0, 1e6 }),
      base::Field("burst", &request_limits::mBurst, { 1, 1e6 }),
      base::Field("in_flight", &request_limits::mInFlight, { 1, 1e6 }));
  }
};

/// The guarantees and limits of one workspace.
struct contract
{
  std::string mWorkspace;
  std::vector<guaranteed_shape> mGuarantee;
  /// Weight of the workspace in the division of accelerators that no guarantee is using.
  double mShare = 1;
  urgency mUrgency = urgency::normal;
  /// Maximum number of accelerators in use at once; 0 means no limit.
  std::uint32_t mAcceleratorQuota = 0;
  /// Maximum time from the request for a guaranteed shape until its accelerators are free.
  base::milliseconds mReclaimBound{ 30'000 };
  request_limits mRequests;
  /// base::NameBasedIdentifier("caller-token", token) of the workspace's callers. If it is empty,
  /// only the operators' token is accepted.
  std::string mCallerTokenHash;

  bool operator==(contract const&) const = default;

  static constexpr auto Fields()
  {
    return std::make_tuple(
      base::Required("workspace", &contract::mWorkspace),
      base::Field("guarantee", &contract::mGuarantee),
      base::Field("share", &contract::mShare, { 0.01, 1000 }),
      base::Field("urgency", &contract::mUrgency),
      base::Field("accelerator_quota", &contract::mAcceleratorQuota, { 0, 100'000 }),
      base::Field("reclaim_bound_ms", &contract::mReclaimBound, { 1000, 600'000 }),
      base::Field("requests", &contract::mRequests),
      base::Field("caller_token_hash", &contract::mCallerTokenHash));
  }
};

/// Service state of a failure domain, set by operators.
struct domain_service
{
  std::string mDomain;
  domain_state mState = domain_state::in_service;
  /// Time in which running gangs must checkpoint and stop when the domain goes out of service.
  base::milliseconds mNotice{ 30'000 };

  bool operator==(domain_service const&) const = default;

  static constexpr auto Fields()
  {
    return std::make_tuple(base::Required("domain", &domain_service::mDomain),
                           base::Field("state", &domain_service::mState),
                           base::Field("notice_ms", &domain_service::mNotice, { 0, 86'400'000 }));
  }
};

/// The whole configuration at one version. Immutable once it is shared between threads.
struct configuration_snapshot
{
  std::uint64_t mVersion = 0;
  std::map<std::string, contract> mContracts;
  std::map<std::string, domain_service> mDomains;

  bool operator==(configuration_snapshot const&) const = default;

  /// A failure domain without an entry in the configuration is in service.
  bool IsInService(std::string const& aDomain) const
  {
    auto const found = mDomains.find(aDomain);
    return found == mDomains.end() || found->second.mState == domain_state::in_service;
  }

  static constexpr auto Fields()
  {
    return std::make_tuple(base::Required("version", &configuration_snapshot::mVersion),
                           base::Field("contracts", &configuration_snapshot::mContracts),
                           base::Field("domains", &configuration_snapshot::mDomains));
  }
};

} // namespace rattanpond::configuration
