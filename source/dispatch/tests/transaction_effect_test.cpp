#include "dispatch/transaction_effect.h"

#include <boost/test/unit_test.hpp>

namespace rattanpond::dispatch {

using platform::row_transaction;
using platform::store_row;

namespace {

constexpr std::uint64_t kNone = 0;

row_transaction TwoJobs()
{
  return { .mConditions = { { "t", "term", 3 },
                            { "t", "run/1", 7 },
                            { "t", "stop/1", 0 },
                            { "t", "run/2", 0 } },
           .mChanges = {
             { "t", "run/1", "one" }, { "t", "run/2", "two" }, { "t", "other", "x" } } };
}

struct refusal
{
  char const* mName;
  std::vector<store_row> mCurrent;
  std::uint64_t mEffect = kNone;
};

} // namespace

BOOST_AUTO_TEST_SUITE(transaction_effect_test)

// Guards against a refused transaction that counts as committed, and against a committed one that
// is taken for refused after its answer was lost.
BOOST_AUTO_TEST_CASE(only_moved_rows_with_the_written_values_show_an_effect)
{
  store_row const term{ .mTable = "t", .mKey = "term", .mVersion = 3 };
  store_row const newerTerm{ .mTable = "t", .mKey = "term", .mVersion = 12 };
  store_row const second{ .mTable = "t", .mKey = "run/2", .mValue = "two", .mVersion = 9 };
  store_row const configuration{ .mTable = "op", .mKey = "run/1", .mValue = "one", .mVersion = 9 };
  auto const first = [](char const* aValue, std::uint64_t aVersion) {
    return store_row{ .mTable = "t", .mKey = "run/1", .mValue = aValue, .mVersion = aVersion };
  };
  refusal const refusals[] = {
    { "took effect", { term, first("one", 9), second }, 9 },
    { "took effect before the term changed", { newerTerm, first("one", 9), second }, 9 },
    { "nothing moved", { newerTerm, first("zero", 7) } },
    { "nothing moved, the value is the stored one", { newerTerm, first("one", 7) } },
    { "another condition failed, the rest is as written before",
      { term, first("one", 7), second } },
    { "another writer", { term, first("none", 9), second } },
    { "the same value in one row only", { term, first("one", 9) } },
    { "the same values of two transactions", { term, first("one", 8), second } },
    { "the row of another table", { term, configuration, second } },
    { "no rows", {} },
  };
  for (auto const& each : refusals) {
    BOOST_TEST_CONTEXT(each.mName)
    {
      BOOST_TEST(VersionOfEffect(TwoJobs(), each.mCurrent).value_or(kNone) == each.mEffect);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace rattanpond::dispatch
