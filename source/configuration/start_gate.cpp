#include "configuration/start_gate.h"

#include <algorithm>

namespace rattanpond::configuration {

start_gate::start_gate(options aOptions)
  : mOptions{ aOptions }
{
}

void start_gate::RecordConfirmation(gate_confirmation const& aConfirmation)
{
  mHighestReportedVersion = std::max(mHighestReportedVersion, aConfirmation.mVersion);
  auto& record = mEntries[aConfirmation.mEntry];
  if (record.mIncarnation != aConfirmation.mIncarnation) {
    // A restarted entry has lost the version that it held, so its earlier confirmations do not
    // count.
    record = { .mIncarnation = aConfirmation.mIncarnation, .mSentAfter = {}, .mReadAfter = {} };
  }
  if (!aConfirmation.mSynchronized) {
    return;
  }
  // A confirmation describes the state of the entry at one point in time. It stays true when it is
  // received late, so it is recorded unless a newer one has been recorded already.
  record.mSentAfter = std::max(record.mSentAfter, std::optional{ aConfirmation.mSentAfter });
  record.mReadAfter = std::max(record.mReadAfter, aConfirmation.mReadAfter);
}

bool start_gate::ApplyVersion(std::uint64_t aVersion, std::set<std::string> aDomainsOut)
{
  if (mVersion && aVersion <= *mVersion) {
    return false;
  }
  mVersion = aVersion;
  mHighestReportedVersion = std::max(mHighestReportedVersion, aVersion);
  mDomainsOut = std::move(aDomainsOut);
  return true;
}

gate_state start_gate::State(std::string const& aDomain, base::time_point aNow) const
{
  if (!mVersion) {
    return gate_state::no_configuration;
  }
  if (mHighestReportedVersion > *mVersion) {
    return gate_state::newer_version_known;
  }
  if (mDomainsOut.contains(aDomain)) {
    return gate_state::domain_out_of_service;
  }
  auto const isMajority = ConfirmingEntries(aNow) * 2 > mOptions.mListedEntries;
  return HasStoreFreshEntry(aNow) || isMajority ? gate_state::open : gate_state::not_confirmed;
}

bool start_gate::HasStoreFreshEntry(base::time_point aNow) const
{
  return std::ranges::any_of(
    mEntries, [&](auto const& aItem) { return IsFresh(aItem.second.mReadAfter, aNow); });
}

std::size_t start_gate::ConfirmingEntries(base::time_point aNow) const
{
  auto const count = std::ranges::count_if(
    mEntries, [&](auto const& aItem) { return IsFresh(aItem.second.mSentAfter, aNow); });
  return static_cast<std::size_t>(count);
}

bool start_gate::IsFresh(std::optional<base::time_point> const& aTime, base::time_point aNow) const
{
  return aTime && aNow - *aTime <= mOptions.mFreshnessLimit;
}

} // namespace rattanpond::configuration
