#pragma once

#include "base/codec.h"
#include "base/logging.h"

#include <string>
#include <vector>

namespace rattanpond::daemons {

/// Settings of rattanpond-entry; docs/configuration.md describes them for operators.
struct entry_settings
{
  std::string mName;
  std::string mRegion;
  std::string mDomain;
  std::string mHttpAddress;
  std::string mControlAddress;
  /// Control addresses of all entries of the region, this one included.
  std::vector<std::string> mEntries;
  std::vector<std::string> mTableAddresses;
  std::string mOperatorTokenFile;
  std::uint32_t mTrafficThreads = 2;
  base::milliseconds mDrainNotice{ 1000 };
  base::milliseconds mShutdownLimit{ 60'000 };
  bool mGuaranteesSurviveDomainLoss = true;
  std::string mPlacementPolicy = "guaranteed";
  base::log_level mLogLevel = base::log_level::info;

  static constexpr auto Fields()
  {
    return std::make_tuple(
      base::Required("name", &entry_settings::mName),
      base::Required("region", &entry_settings::mRegion),
      base::Required("domain", &entry_settings::mDomain),
      base::Required("http_address", &entry_settings::mHttpAddress),
      base::Required("control_address", &entry_settings::mControlAddress),
      base::Required("entries", &entry_settings::mEntries),
      base::Required("table_addresses", &entry_settings::mTableAddresses),
      base::Required("operator_token_file", &entry_settings::mOperatorTokenFile),
      base::Field("traffic_threads", &entry_settings::mTrafficThreads, { 1, 64 }),
      base::Field("drain_notice_ms", &entry_settings::mDrainNotice, { 0, 600'000 }),
      base::Field("shutdown_limit_ms", &entry_settings::mShutdownLimit, { 1000, 3'600'000 }),
      base::Field("guarantees_survive_domain_loss", &entry_settings::mGuaranteesSurviveDomainLoss),
      base::Field("placement_policy", &entry_settings::mPlacementPolicy),
      base::Field("log_level", &entry_settings::mLogLevel));
  }
};

/// Checks what the ranges of Fields cannot express: addresses, names, the token file, the placement
/// policy, and that mEntries contains the entry's own control address.
base::result<void> Validate(entry_settings const& aSettings);

} // namespace rattanpond::daemons
