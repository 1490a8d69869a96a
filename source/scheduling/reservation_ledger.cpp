#include "scheduling/reservation_ledger.h"

#include <algorithm>

namespace rattanpond::scheduling {

using base::result_code;

namespace {

// A worker ends at most a few hundred gangs a day, and duplicates of messages arrive within
// seconds.
constexpr std::size_t kMaximumEndedJobs = 1024;

} // namespace

reservation_ledger::reservation_ledger(placement::task_shape aCapacity)
  : mCapacity{ aCapacity }
{
}

bool reservation_ledger::Admit(term const& aTerm)
{
  if (aTerm < mHighestTerm) {
    return false;
  }
  mHighestTerm = aTerm;
  return true;
}

result_code reservation_ledger::Reserve(term const& aTerm, gang_id const& aGang,
                                        placement::task_shape const& aDemand,
                                        base::milliseconds aExpiry, base::time_point aNow)
{
  if (!Admit(aTerm)) {
    return result_code::stale_term;
  }
  Expire(aNow);
  if (mEntries.contains(aGang)) {
    return result_code::ok;
  }
  if (IsRefused(aGang)) {
    return result_code::attempt_refused;
  }
  auto const used = Used();
  auto const fits = [](auto aUsed, auto aRequested, auto aCapacity) {
    return aUsed <= aCapacity && aRequested <= aCapacity - aUsed;
  };
  if (!fits(used.mAccelerators, aDemand.mAccelerators, mCapacity.mAccelerators) ||
      !fits(used.mCores, aDemand.mCores, mCapacity.mCores) ||
      !fits(used.mMemoryMebibytes, aDemand.mMemoryMebibytes, mCapacity.mMemoryMebibytes)) {
    return result_code::accelerators_taken;
  }
  mEntries[aGang] = { .mDemand = aDemand, .mExpiresAt = aNow + aExpiry };
  return result_code::ok;
}

result_code reservation_ledger::Commit(term const& aTerm, gang_id const& aGang,
                                       base::time_point aNow)
{
  if (!Admit(aTerm)) {
    return result_code::stale_term;
  }
  Expire(aNow);
  auto const found = mEntries.find(aGang);
  if (found == mEntries.end()) {
    return result_code::reservation_expired;
  }
  found->second.mExpiresAt.reset();
  return result_code::ok;
}

result_code reservation_ledger::Release(term const& aTerm, gang_id const& aGang)
{
  if (!Admit(aTerm)) {
    return result_code::stale_term;
  }
  auto const found = mEntries.find(aGang);
  if (found != mEntries.end() && found->second.mExpiresAt) {
    mEntries.erase(found);
    RecordEnd(aGang);
  }
  return result_code::ok;
}

void reservation_ledger::Adopt(gang_id const& aGang, placement::task_shape const& aDemand)
{
  mEntries[aGang] = { .mDemand = aDemand, .mExpiresAt = {} };
}

void reservation_ledger::Free(gang_id const& aGang)
{
  if (mEntries.erase(aGang) > 0) {
    RecordEnd(aGang);
  }
}

std::vector<gang_id> reservation_ledger::Expire(base::time_point aNow)
{
  std::vector<gang_id> expired;
  for (auto const& [gang, reserved] : mEntries) {
    if (reserved.mExpiresAt && *reserved.mExpiresAt <= aNow) {
      expired.push_back(gang);
    }
  }
  for (auto const& gang : expired) {
    mEntries.erase(gang);
    RecordEnd(gang);
  }
  return expired;
}

bool reservation_ledger::IsCommitted(gang_id const& aGang) const
{
  auto const found = mEntries.find(aGang);
  return found != mEntries.end() && !found->second.mExpiresAt;
}

placement::task_shape reservation_ledger::Used() const
{
  placement::task_shape used;
  for (auto const& [gang, taken] : mEntries) {
    used.mAccelerators += taken.mDemand.mAccelerators;
    used.mCores += taken.mDemand.mCores;
    used.mMemoryMebibytes += taken.mDemand.mMemoryMebibytes;
  }
  return used;
}

bool reservation_ledger::IsRefused(gang_id const& aGang) const
{
  auto const ended = mHighestEndedAttempts.find(aGang.mJob);
  if (ended != mHighestEndedAttempts.end() && ended->second >= aGang.mAttempt) {
    return true;
  }
  return std::ranges::any_of(mEntries, [&](auto const& aEntry) {
    return aEntry.first.mJob == aGang.mJob && aEntry.first.mAttempt >= aGang.mAttempt;
  });
}

void reservation_ledger::RecordEnd(gang_id const& aGang)
{
  auto const [found, isNew] = mHighestEndedAttempts.try_emplace(aGang.mJob, aGang.mAttempt);
  found->second = std::max(found->second, aGang.mAttempt);
  if (!isNew) {
    return;
  }
  mEndedJobs.push_back(aGang.mJob);
  if (mEndedJobs.size() > kMaximumEndedJobs) {
    mHighestEndedAttempts.erase(mEndedJobs.front());
    mEndedJobs.pop_front();
  }
}

} // namespace rattanpond::scheduling
