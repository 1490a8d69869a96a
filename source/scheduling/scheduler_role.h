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
  /// Makes each renewal a different value for people who read the row.
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
  /// Holds the role by the row.
  holder,
  /// Holds the role without the store.
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

/// Decides whether this entry holds the scheduler role of its region. Pure: the caller reads and
/// writes the row and exchanges notices. Time points are this observer's own; no clocks of
/// different processes are compared.
class scheduler_role
{
public:
  struct options
  {
    /// Unique for this process and incarnation.
    std::string mSelf;
    base::milliseconds mRenewPeriod{ 2000 };
    /// The holder is taken for dead when its row did not change for this long.
    base::milliseconds mLease{ 6000 };
    base::milliseconds mProvisionalAfter{ 5000 };
  };

  /// A conditional write of the row.
  struct row_write
  {
    role_row mRow;
    std::uint64_t mExpectedRevision = 0;
  };

  scheduler_role(options aOptions, base::time_point aNow);

  /// The row as read, or nothing when it does not exist.
  void RowRead(std::optional<role_row> const& aRow, std::uint64_t aRevision, base::time_point aNow);
  /// The store answered, with or without effect.
  void Wrote(row_write const& aWrite, std::uint64_t aNewRevision, base::time_point aNow);
  /// A term that an agent knows.
  void TermSeen(term const& aTerm, base::time_point aNow);
  /// The holder spoke to this entry itself.
  void HolderHeard(term const& aTerm, base::time_point aNow);

  /// Returns the write that is due after a read, if any.
  std::optional<row_write> DueWrite(base::time_point aNow) const;
  /// Takes the provisional role when it is due.
  void Tick(base::time_point aNow);
  /// Gives the role up; the returned write lets another entry take it at once.
  std::optional<row_write> Resign();

  bool Holds() const { return mState != role_state::candidate; }
  role_state State() const { return mState; }
  term const& Term() const { return mTerm; }
  term const& HighestTerm() const { return mHighest; }
  /// When the role was last acquired.
  base::time_point Since() const { return mSince; }

private:
  void Acquire(role_state aState, term aTerm, base::time_point aNow);
  void StepDown();
  void See(term const& aTerm);

  options mOptions;
  role_state mState = role_state::candidate;
  term mTerm;
  term mHighest;
  role_row mRow;
  std::uint64_t mRevision = 0;
  base::time_point mRowChanged;
  base::time_point mStoreHeard;
  base::time_point mHolderHeard;
  base::milliseconds mProvisionalAfter;
  base::time_point mSince{};
  base::time_point mRenewed{};
  bool mHasResigned = false;
};

} // namespace rattanpond::scheduling
