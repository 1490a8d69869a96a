#include "platform/store_clock.h"

#include <boost/test/unit_test.hpp>

namespace rattanpond::platform {

using base::milliseconds;
using base::time_point;

namespace {

time_point At(int aMs)
{
  return time_point{ milliseconds{ 100'000 + aMs } };
}

} // namespace

BOOST_AUTO_TEST_SUITE(store_clock_test)

// Guards against a time that is taken to be earlier than it was, on the way from one holder's clock
// to the store's and from there to the next holder's, wherever in a call the store read its clock.
BOOST_AUTO_TEST_CASE(a_time_never_gets_earlier_on_its_way_through_the_store)
{
  constexpr int kRoundTrip = 40;
  // Store clock at At(0) of the writer; the reader's clock is ahead of the writer's by 5 s.
  constexpr int kStoreAhead = 900'000;
  constexpr int kReaderAhead = 5000;
  for (int writerRead = 0; writerRead <= kRoundTrip; writerRead += 10) {
    for (int readerRead = 0; readerRead <= kRoundTrip; readerRead += 10) {
      store_clock writer;
      writer.RecordAnswer({ At(1000), At(1000 + kRoundTrip), kStoreAhead + 1000 + writerRead });
      store_clock reader;
      reader.RecordAnswer({ At(9000 + kReaderAhead), At(9000 + kReaderAhead + kRoundTrip),
                            kStoreAhead + 9000 + readerRead });
      for (int const time : { -3000, 500, 1020, 4000 }) {
        auto const read = *reader.LatestOwnTime(*writer.LatestStoreTime(At(time)));
        BOOST_TEST((read >= At(time + kReaderAhead)));
        BOOST_TEST((read <= At(time + kReaderAhead + 2 * kRoundTrip + 4)));
      }
    }
  }
}

// Guards against a conversion with nothing to convert by, and against the loose bounds of an answer
// that was waited for.
BOOST_AUTO_TEST_CASE(the_fastest_recent_answer_counts)
{
  store_clock clock;
  BOOST_TEST(!clock.LatestStoreTime(At(0)));
  BOOST_TEST(!clock.LatestOwnTime(7));
  clock.RecordAnswer({ At(0), At(10), 500 });
  auto const close = *clock.LatestStoreTime(At(0));
  clock.RecordAnswer({ At(1000), At(1500), 1990 });
  BOOST_TEST(*clock.LatestStoreTime(At(0)) == close);
  clock.RecordAnswer({ At(11'000), At(11'500), 11'990 });
  BOOST_TEST(*clock.LatestStoreTime(At(0)) > close);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace rattanpond::platform
