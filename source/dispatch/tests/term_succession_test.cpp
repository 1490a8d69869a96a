#include "dispatch/term_succession.h"

#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

namespace rattanpond::dispatch {

using base::milliseconds;
using base::time_point;

namespace {

time_point At(int aMs)
{
  return time_point{ milliseconds{ 100'000 + aMs } };
}

/// A row as it is read: a term if mNumber is not 0, otherwise a release.
struct event
{
  int mAtMs = 0;
  std::uint64_t mVersion = 0;
  std::uint64_t mNumber = 0;
};

struct succession_case
{
  std::string mName;
  std::vector<event> mEvents;
  int mStopByMs = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(term_succession_test)

// Guards against a second run beside one that still works: a lease is taken to be over while a
// former holder may still renew it. A holder that did not release its term may do so for 6 s.
BOOST_AUTO_TEST_CASE(a_former_holder_counts_as_stopped_only_if_it_released_its_term)
{
  std::vector<succession_case> const cases{
    { "first term", { { 0, 5, 1 } }, 0 },
    { "only the current term is known", { { 0, 5, 4 } }, 6000 },
    { "the former holder was replaced", { { 0, 5, 1 }, { 9000, 8, 2 } }, 15'000 },
    { "the former holder released", { { 0, 5, 1 }, { 8000, 7 }, { 9000, 8, 2 } }, 9000 },
    { "released soon after a takeover: the holder before may go on",
      { { 0, 5, 1 }, { 7000, 8, 2 }, { 8000, 9 }, { 8500, 10, 3 } },
      13'000 },
    { "two releases in series",
      { { 0, 5, 1 }, { 7000, 6 }, { 7100, 8, 2 }, { 8000, 9 }, { 8500, 10, 3 } },
      8500 },
    { "released, then replaced by one that is replaced",
      { { 0, 5, 1 }, { 7000, 6 }, { 7100, 8, 2 }, { 8500, 10, 3 } },
      14'500 },
    { "a full read: the release is that of the new term",
      { { 0, 5, 1 }, { 9000, 10 }, { 9000, 8, 2 } },
      15'000 },
    { "a full read: a term was missed", { { 0, 5, 1 }, { 9000, 10 }, { 9000, 12, 3 } }, 15'000 },
    { "a release of an earlier term", { { 0, 3 }, { 0, 5, 4 }, { 9000, 8, 5 } }, 15'000 },
  };
  for (auto const& each : cases) {
    BOOST_TEST_CONTEXT(each.mName)
    {
      term_succession succession;
      for (auto const& event : each.mEvents) {
        if (event.mNumber == 0) {
          succession.RecordRelease(event.mVersion);
        } else {
          succession.RecordTerm(event.mNumber, event.mVersion, At(event.mAtMs));
        }
      }
      BOOST_TEST((succession.FormerHoldersStopBy() - At(0)).count() == each.mStopByMs);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace rattanpond::dispatch
