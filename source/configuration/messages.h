#pragma once

#include "base/codec.h"
#include "net/frame.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace rattanpond::configuration {

/// An entry reports which version it holds and how old its last read of the table is.
struct confirm
{
  static constexpr net::message_type kType = net::message_type::confirm;

  std::uint64_t mVersion = 0;
  /// Time since the start of the last read of the table that confirmed or loaded the entry's
  /// current version. Absent if the entry has not read the table.
  std::optional<base::milliseconds> mReadAge;
  /// Whether the entry has read the table at least once since it started.
  bool mSynchronized = false;
  /// The newest config_held::mStamp that the entry received on the link. It proves to the receiver
  /// that the confirmation was sent after that stamp, regardless of its time in transit.
  std::optional<std::int64_t> mEcho;

  static constexpr auto Fields()
  {
    return std::make_tuple(
      base::Field("version", &confirm::mVersion), base::Field("read_age_ms", &confirm::mReadAge),
      base::Field("synchronized", &confirm::mSynchronized), base::Field("echo", &confirm::mEcho));
  }
};

/// A version of the configuration. Other entries also receive the whole snapshot, so that they can
/// adopt it while the store is unavailable.
struct config_push
{
  static constexpr net::message_type kType = net::message_type::config_push;

  std::uint64_t mVersion = 0;
  std::vector<std::string> mDomainsOut;
  base::json mSnapshot;

  static constexpr auto Fields()
  {
    return std::make_tuple(base::Field("version", &config_push::mVersion),
                           base::Field("domains_out", &config_push::mDomainsOut),
                           base::Field("snapshot", &config_push::mSnapshot));
  }
};

/// Response to confirm and config_push: the version that the receiver of those holds.
struct config_held
{
  static constexpr net::message_type kType = net::message_type::config_held;

  std::uint64_t mVersion = 0;
  /// Monotonic time of the sender in ms; only the sender can interpret it.
  std::int64_t mStamp = 0;

  static constexpr auto Fields()
  {
    return std::make_tuple(base::Field("version", &config_held::mVersion),
                           base::Field("stamp", &config_held::mStamp));
  }
};

} // namespace rattanpond::configuration
