#pragma once

#include "base/time.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace rattanpond::dispatch {

/// The stored list of silent sides. While the store lists a side, no holder of the term answers its
/// reports, so its leases end a known time after the listed one, whoever holds the term since.
/// Tracks which sides the store may list, for every outcome of the writes of the list.
class silent_sides
{
public:
  /// For each side, the time on the store's clock since which no report of it has been answered.
  using entries = std::map<std::string, std::int64_t>;

  /// Takes over the list of the former holder; aText is empty if there is none.
  void Adopt(std::string const& aText, std::uint64_t aVersion);
  bool IsAdopted() const { return mIsAdopted; }

  /// Has no effect on a side that is listed already.
  void Add(std::string const& aNode, std::int64_t aSinceMs);
  void Remove(std::string const& aNode) { mWanted.erase(aNode); }
  entries const& Wanted() const { return mWanted; }

  /// Whether the store certainly does not list the side. False for all sides until the list of the
  /// former holder is known.
  bool MayAnswer(std::string const& aNode) const;

  bool MustWrite() const;
  /// Version of the row on which the next write is conditional. Each write changes it, so that
  /// earlier writes can no longer take effect once a later one has.
  std::uint64_t Version() const { return mVersion; }
  /// Begins a write and returns the text to write.
  std::string BeginWrite();
  void WriteCommitted(std::uint64_t aVersion);
  /// The write had no effect, as the row has another version.
  void WriteConflicted(std::uint64_t aVersion);
  /// The write may still take effect.
  void WriteUnanswered();

private:
  bool mIsAdopted = false;
  bool mIsWriting = false;
  /// Whether the row may differ from mStored.
  bool mIsUncertain = false;
  entries mWanted;
  entries mSent;
  entries mStored;
  /// Sides that the row lists, or will list if an unanswered write takes effect.
  std::set<std::string> mMayBeListed;
  std::uint64_t mVersion = 0;
};

} // namespace rattanpond::dispatch
