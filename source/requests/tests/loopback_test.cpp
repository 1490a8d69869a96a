#define BOOST_TEST_MODULE requests
#include "requests/tests/loopback.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/test/unit_test.hpp>

namespace rattanpond::requests {

namespace asio = boost::asio;

namespace {

struct one_target
{
  net::http_response Call(test_call const& aCall)
  {
    return started_call{ mContext, mEntry.Client(), MakeCall(aCall) }.Finish();
  }

  asio::io_context mContext;
  platform::memory_table mTable;
  test_target mTarget{ mContext, "executor-1" };
  test_entry mEntry{ mContext, mTable, { &mTarget } };
};

} // namespace

BOOST_AUTO_TEST_SUITE(loopback_test)

// Guards the whole path: caller, entry, link, agent, executor and back.
BOOST_FIXTURE_TEST_CASE(CarriesARequestEndToEnd, one_target)
{
  auto const response = Call({});
  BOOST_TEST(response.mStatus == 200U);
  BOOST_TEST(OutcomeOf(response) == "done");
  BOOST_TEST(response.mHeaders.Value("X-Rattanpond-Code") == "0");
  BOOST_TEST(response.mHeaders.Value("Content-Type") == "text/plain");
  BOOST_TEST(response.mBody == "executor-1 did work");
}

// Guards against a non-idempotent request that runs once per call instead of once per key.
BOOST_FIXTURE_TEST_CASE(RepeatsTheAnswerOfAKey, one_target)
{
  test_call const call{ .mKey = "key-1", .mIdempotent = "false" };
  auto const first = Call(call);
  auto const second = Call(call);
  BOOST_TEST(first.mBody == "executor-1 did work");
  BOOST_TEST(second.mBody == first.mBody);
  BOOST_TEST(mTarget.mExecutedBodies.size() == 1U);
  auto const other = Call({ .mBody = "other", .mKey = "key-1", .mIdempotent = "false" });
  BOOST_TEST(other.mStatus == 422U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace rattanpond::requests
