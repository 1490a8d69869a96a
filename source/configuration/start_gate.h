#pragma once

#include "base/enum_names.h"
#include "base/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace rattanpond::configuration {

/// Whether tasks may start, and why not.
enum class gate_state
{
  open,
  no_configuration,
  domain_out_of_service,
  /// A version is known to exist whose content has not arrived.
  newer_version_known,
  not_confirmed
};

/// A confirmation of an entry with times on the clock of the gate's owner.
struct gate_confirmation
{
  /// Process id and incarnation from the entry's hello.
  std::string mEntry;
  std::string mIncarnation;
  std::uint64_t mVersion = 0;
  bool mSynchronized = false;
  /// The confirmation was sent at this time or later.
  base::time_point mSentAfter{};
  /// The entry's read of the table began at this time or later; absent without a read.
  std::optional<base::time_point> mReadAfter;
};

/// Decides whether an agent may start tasks (design 5.4). Pure: reads no clock.
///
/// Two rules open the gate for a failure domain that is in service in the highest known version:
/// one entry whose own table read is fresh, or fresh confirmations from a majority of the listed
/// entries, each of which has read the table since it started. A change is accepted only when a
/// majority of entries hold it, so every such majority has a member that knows the change.
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

  void Confirmed(gate_confirmation const& aConfirmation);

  /// Takes the content of a version; lower versions than the known one are ignored. Returns whether
  /// the version is new.
  bool Learned(std::uint64_t aVersion, std::set<std::string> aDomainsOut);

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
  std::uint64_t mHighestNamed = 0;
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
