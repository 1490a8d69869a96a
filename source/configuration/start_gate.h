#pragma once

#include "base/enum_names.h"
#include "base/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace rattanpond::configuration {

/// Whether tasks may start; every value but open is a reason why they may not.
enum class gate_state
{
  open,
  no_configuration,
  domain_out_of_service,
  /// An entry has reported a version whose content has not been received.
  newer_version_known,
  not_confirmed
};

/// A confirmation of an entry. Its times are on the clock of the process that owns the gate.
struct gate_confirmation
{
  /// Process id and incarnation from the entry's hello.
  std::string mEntry;
  std::string mIncarnation;
  std::uint64_t mVersion = 0;
  bool mSynchronized = false;
  /// The confirmation was sent at this time or later.
  base::time_point mSentAfter{};
  /// The entry's last read of the table started at this time or later; absent if there was none.
  std::optional<base::time_point> mReadAfter;
};

/// Decides whether an agent may start tasks (design 5.4). Does not read a clock; callers pass the
/// time.
///
/// The gate is open for a failure domain that is in service in the highest known version if either
/// condition holds: one entry has a fresh read of the table, or a majority of the listed entries
/// have sent fresh confirmations, each after it has read the table since it started. A change is
/// accepted only when a majority of entries hold it, so every such majority has a member that holds
/// the change.
class start_gate
{
public:
  struct options
  {
    /// Number of entries in the settings.
    std::size_t mListedEntries = 1;
    base::milliseconds mFreshnessLimit{ 3000 };
  };

  explicit start_gate(options aOptions);

  void RecordConfirmation(gate_confirmation const& aConfirmation);

  /// Sets the content of a version. A version that is not higher than the current one is ignored.
  /// Returns whether the version is new.
  bool ApplyVersion(std::uint64_t aVersion, std::set<std::string> aDomainsOut);

  gate_state State(std::string const& aDomain, base::time_point aNow) const;

  /// The highest version whose content is known.
  std::uint64_t Version() const { return mVersion.value_or(0); }
  std::set<std::string> const& DomainsOut() const { return mDomainsOut; }
  bool HasStoreFreshEntry(base::time_point aNow) const;
  /// Entries whose confirmations count towards the majority.
  std::size_t ConfirmingEntries(base::time_point aNow) const;

private:
  struct entry_record
  {
    std::string mIncarnation;
    std::optional<base::time_point> mSentAfter;
    std::optional<base::time_point> mReadAfter;
  };

  bool IsFresh(std::optional<base::time_point> const& aTime, base::time_point aNow) const;

  options mOptions;
  std::map<std::string, entry_record> mEntries;
  /// The highest version that a confirmation named or whose content was received.
  std::uint64_t mHighestReportedVersion = 0;
  std::optional<std::uint64_t> mVersion;
  std::set<std::string> mDomainsOut;
};

} // namespace rattanpond::configuration

template<>
struct rattanpond::base::enum_names<rattanpond::configuration::gate_state>
{
  using type = rattanpond::configuration::gate_state;
  static constexpr enum_name<type> kTable[] = {
    { type::open, "open" },
    { type::no_configuration, "no_configuration" },
    { type::domain_out_of_service, "domain_out_of_service" },
    { type::newer_version_known, "newer_version_known" },
    { type::not_confirmed, "not_confirmed" },
  };
};
