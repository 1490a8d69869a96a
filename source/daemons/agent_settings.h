#pragma once

#include "base/codec.h"
#include "base/logging.h"
#include "membership/target_description.h"

#include <string>
#include <vector>

namespace rattanpond::daemons {

/// Settings of rattanpond-agent; docs/configuration.md describes them for operators.
struct agent_settings
{
  /// Name of the target that this agent serves.
  std::string mTarget;
  membership::target_kind mKind = membership::target_kind::worker;
  std::string mRegion;
  std::string mDomain;
  std::string mRack;
  std::string mControlAddress;
  std::string mTrafficAddress;
  /// Address of the HTTP server for the state dump, health and metrics.
  std::string mHttpAddress;
  /// Control addresses of all entries of the region.
  std::vector<std::string> mEntries;
  std::string mOperatorTokenFile;

  /// Worker only.
  membership::worker_capacity mCapacity;
  std::string mRunnerAddress;

  /// Executor only.
  std::string mService;
  std::string mExecutorAddress;
  std::uint32_t mSlots = 8;
  std::uint32_t mConnections = 60;
  std::uint32_t mQueueLimit = 64;

  base::milliseconds mShutdownLimit{ 60'000 };
  base::log_level mLogLevel = base::log_level::info;

  static constexpr auto Fields()
  {
    return std::make_tuple(
      base::Required("target", &agent_settings::mTarget),
      base::Required("kind", &agent_settings::mKind),
      base::Required("region", &agent_settings::mRegion),
      base::Required("domain", &agent_settings::mDomain),
      base::Required("rack", &agent_settings::mRack),
      base::Required("control_address", &agent_settings::mControlAddress),
      base::Field("traffic_address", &agent_settings::mTrafficAddress),
      base::Required("http_address", &agent_settings::mHttpAddress),
      base::Required("entries", &agent_settings::mEntries),
      base::Required("operator_token_file", &agent_settings::mOperatorTokenFile),
      base::Field("capacity", &agent_settings::mCapacity),
      base::Field("runner_address", &agent_settings::mRunnerAddress),
      base::Field("service", &agent_settings::mService),
      base::Field("executor_address", &agent_settings::mExecutorAddress),
      base::Field("slots", &agent_settings::mSlots, { 1, 4096 }),
      base::Field("connections", &agent_settings::mConnections, { 1, 4096 }),
      base::Field("queue_limit", &agent_settings::mQueueLimit, { 0, 65'536 }),
      base::Field("shutdown_limit_ms", &agent_settings::mShutdownLimit, { 1000, 3'600'000 }),
      base::Field("log_level", &agent_settings::mLogLevel));
  }
};

base::result<void> Validate(agent_settings const& aSettings);

} // namespace rattanpond::daemons
