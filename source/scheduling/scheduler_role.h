#pragma once

#include "scheduling/term.h"

#include <optional>
#include <string>

namespace rattanpond::scheduling {

/// Value of the row scheduler/<region>.
struct role_row
{
  std::uint64_t mEpoch = 0;
  std::string mHolder;
  std::uint64_t mSequence = 0;
  /// Number of renewals, so that operators who read the row can see that it is being renewed.
  std::uint64_t mRenewals = 0;

  static constexpr auto Fields()
  {
    return std::make_tuple(base::Required("epoch", &role_row::mEpoch),
                           base::Required("holder", &role_row::mHolder),
                           base::Required("sequence", &role_row::mSequence),
                           base::Field("renewals", &role_row::mRenewals));
  }
};

enum class role_state
{
  candidate,
  /// Holds the role as recorded in the row.
  holder,
  /// Holds the role while the store is unavailable.
  provisional
};

} // namespace rattanpond::scheduling

template<>
struct rattanpond::base::enum_names<rattanpond::scheduling::role_state>
{
  using type = rattanpond::scheduling::role_state;
  static constexpr enum_name<type> kTable[] = { { type::candidate, "candidate" },
                                                { type::holder, "holder" },
                                                { type::provisional, "provisional" } };
};

namespace rattanpond::scheduling {

/// Decides whether this entry holds the scheduler role of its region. Performs no I/O: the caller
/// reads and writes the row and exchanges term notices. All time points come from this process's
/// clock; clocks of different processes are never compared.
class scheduler_role
{
public:
  struct options
  {
    /// Unique for this process and incarnation.
    std::string mSelf;
    base::milliseconds mRenewInterval{ 2000 };
    /// Another entry may take the role when the row has not changed for this long.
    base::milliseconds mLease{ 6000 };
    /// Time without an answer of the store or a notice of the holder after which a candidate takes
    /// the provisional role.
    base::milliseconds mProvisionalDelay{ 5000 };
  };

  /// A conditional write of the row.
  struct row_write
  {
    role_row mRow;
    std::uint64_t mExpectedRevision = 0;
  };

  scheduler_role(options aOptions, base::time_point aNow);

  /// Processes a read of the row; aRow is empty if the row does not exist.
  void ApplyRow(std::optional<role_row> const& aRow, std::uint64_t aRevision,
                base::time_point aNow);
  /// Processes a successful write of the row.
  void ApplyWrite(row_write const& aWrite, std::uint64_t aNewRevision, base::time_point aNow);
  /// Processes a term that an agent reported.
  void ObserveTerm(term const& aTerm, base::time_point aNow);
  /// Processes a term that the holder itself sent to this entry.
  void ObserveHolder(term const& aTerm, base::time_point aNow);

  /// Returns the write of the row that is due after a read, if any.
  std::optional<row_write> DueWrite(base::time_point aNow) const;
  /// Takes the provisional role when the provisional delay has passed.
  void Tick(base::time_point aNow);
  /// Releases the role for good. The returned write, if any, lets another entry take it at once.
  std::optional<row_write> Release();

  bool Holds() const { return mState != role_state::candidate; }
  role_state State() const { return mState; }
  term const& Term() const { return mTerm; }
  term const& HighestTerm() const { return mHighest; }
  /// Time at which this entry last changed from candidate to holder or provisional holder.
  base::time_point AcquiredAt() const { return mAcquiredAt; }

private:
  void Acquire(role_state aState, term aTerm, base::time_point aNow);
  void StepDown();
  void RaiseHighestTerm(term const& aTerm);

  options mOptions;
  role_state mState = role_state::candidate;
  term mTerm;
  term mHighest;
  role_row mRow;
  std::uint64_t mRevision = 0;
  base::time_point mRowChangedAt;
  base::time_point mStoreAnsweredAt;
  base::time_point mHolderObservedAt;
  base::milliseconds mProvisionalDelay;
  base::time_point mAcquiredAt{};
  base::time_point mRenewedAt{};
  bool mHasReleased = false;
};

} // namespace rattanpond::scheduling
