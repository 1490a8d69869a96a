#include "dispatch/change_queue.h"
#include "dispatch/run_end_ledger.h"

#include <boost/test/unit_test.hpp>

namespace rattanpond::dispatch {

BOOST_AUTO_TEST_SUITE(change_queue_test)

// Guards against a job that is not stored while jobs with smaller ids keep changing.
BOOST_AUTO_TEST_CASE(a_job_keeps_its_place)
{
  change_queue queue;
  for (auto const* const job : { "9", "1", "9", "5" }) {
    queue.Insert(job);
  }
  BOOST_TEST(queue.size() == 3U);
  BOOST_TEST(queue.TakeOldest() == "9");
  queue.Insert("9");
  BOOST_TEST(queue.TakeOldest() == "1");
  BOOST_TEST(!queue.Contains("1"));
  BOOST_TEST(queue.TakeOldest() == "5");
  BOOST_TEST(queue.TakeOldest() == "9");
  BOOST_TEST(queue.empty());
}

// Guards against an acknowledged end that no store has, and against ends that are not acknowledged
// while other jobs change.
BOOST_AUTO_TEST_CASE(an_end_is_stored_with_its_job)
{
  run_end_ledger ledger;
  auto const is = [](std::string aStored) {
    return [stored = std::move(aStored)](std::string const& aJob) { return aJob == stored; };
  };
  ledger.Record(1, "a");
  ledger.Record(2, "b");
  ledger.Record(3, "");
  ledger.Record(4, "a");
  BOOST_TEST(ledger.Recorded() == 4);
  BOOST_TEST(ledger.Stored() == 0);
  // Committed with the ends up to 3; the second end of the job came later.
  ledger.MarkStored(3, is("a"));
  BOOST_TEST(ledger.Stored() == 1);
  ledger.Record(5, "c");
  ledger.MarkStored(5, is("a"));
  BOOST_TEST(ledger.Stored() == 1);
  // Job a changes again; its earlier ends stay stored.
  ledger.Record(6, "a");
  ledger.MarkStored(5, is("b"));
  BOOST_TEST(ledger.Stored() == 4);
  ledger.MarkStored(6, is("c"));
  BOOST_TEST(ledger.Stored() == 5);
  ledger.MarkStored(6, is("a"));
  BOOST_TEST(ledger.Stored() == 6);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace rattanpond::dispatch
