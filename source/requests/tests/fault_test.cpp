#include "requests/tests/loopback.h"

#include <boost/asio/post.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <map>

namespace rattanpond::requests {

namespace asio = boost::asio;
using base::milliseconds;

namespace {

/// Delays every execution, so that faults occur while it is running.
net::http_handler DelayedHandler(asio::io_context& aContext, milliseconds aDelay)
{
  return [&aContext, aDelay](net::http_request aRequest) {
    return [](asio::io_context& aInner, milliseconds aWait,
              net::http_request aCall) -> asio::awaitable<net::http_response> {
      asio::steady_timer timer{ aInner, aWait };
      co_await timer.async_wait(asio::use_awaitable);
      net::http_response response;
      response.mBody = "did " + aCall.mBody;
      co_return response;
    }(aContext, aDelay, std::move(aRequest));
  };
}

struct two_entries
{
  asio::io_context mContext;
  platform::memory_table mTable;
  test_target mTarget{ mContext, "executor-1" };
  test_target mOther{ mContext, "executor-2" };
  std::unique_ptr<test_entry> mFirst = MakeEntry();
  std::unique_ptr<test_entry> mSecond = MakeEntry();

  std::unique_ptr<test_entry> MakeEntry()
  {
    return std::make_unique<test_entry>(mContext, mTable, std::vector{ &mTarget, &mOther });
  }

  started_call Start(test_entry& aEntry, test_call const& aCall)
  {
    return { mContext, aEntry.Client(), MakeCall(aCall) };
  }

  std::size_t Executions(std::string const& aBody) const
  {
    auto const& first = mTarget.mExecutedBodies;
    auto const& second = mOther.mExecutedBodies;
    return static_cast<std::size_t>(std::ranges::count(first, aBody) +
                                    std::ranges::count(second, aBody));
  }

  /// Number of accepted calls, without those that are on their way to an executor.
  std::size_t BegunOrQueued()
  {
    return mTarget.mExecutedBodies.size() + mTarget.Agent().Queued() +
           mOther.mExecutedBodies.size() + mOther.Agent().Queued();
  }

  void DelayExecutions(milliseconds aDelay)
  {
    mTarget.mHandler = DelayedHandler(mContext, aDelay);
    mOther.mHandler = DelayedHandler(mContext, aDelay);
  }
};

test_call NonIdempotentCall(std::string const& aKey, std::string aDeadline = "2000")
{
  return { .mBody = "body of " + aKey,
           .mKey = aKey,
           .mIdempotent = "false",
           .mDeadline = std::move(aDeadline) };
}

} // namespace

BOOST_AUTO_TEST_SUITE(fault_test)

// Guards I6 when two callers send the same key to two entries: the request runs once, and both
// receive its answer.
BOOST_FIXTURE_TEST_CASE(SameKeyAtTwoEntriesRunsOnce, two_entries)
{
  DelayExecutions(milliseconds{ 100 });
  auto first = Start(*mFirst, NonIdempotentCall("k"));
  RunFor(mContext, milliseconds{ 30 });
  auto second = Start(*mSecond, NonIdempotentCall("k"));
  auto const one = first.Finish();
  auto const two = second.Finish();
  BOOST_TEST(one.mBody == "did body of k");
  BOOST_TEST(two.mBody == "did body of k");
  BOOST_TEST(Executions("body of k") == 1U);
}

// Guards against an entry crash that loses or repeats a request: a repeated call with the same key
// at another entry receives the answer of the first execution.
BOOST_FIXTURE_TEST_CASE(AnotherEntryResolvesAfterAnEntryCrash, two_entries)
{
  DelayExecutions(milliseconds{ 100 });
  auto lost = Start(*mFirst, NonIdempotentCall("k"));
  RunFor(mContext, milliseconds{ 30 });
  mFirst->Crash();
  auto const response = Start(*mSecond, NonIdempotentCall("k")).Finish();
  BOOST_TEST(OutcomeOf(response) == "done");
  BOOST_TEST(response.mBody == "did body of k");
  BOOST_TEST(Executions("body of k") == 1U);
}

// Guards against a request that runs again after its agent was replaced. The new agent cannot know
// whether it ran, so the caller must get timed_out_may_have_run.
BOOST_FIXTURE_TEST_CASE(AgentRestartIsReportedAsMayHaveRun, two_entries)
{
  DelayExecutions(milliseconds{ 200 });
  auto call = Start(*mFirst, NonIdempotentCall("k", "1500"));
  RunFor(mContext, milliseconds{ 50 });
  mTarget.RestartAgent();
  mOther.RestartAgent();
  mFirst->Update({ &mTarget, &mOther });
  BOOST_TEST(OutcomeOf(call.Finish()) == "timed_out_may_have_run");
  mSecond->Update({ &mTarget, &mOther });
  auto const again = Start(*mSecond, NonIdempotentCall("k", "500")).Finish();
  BOOST_TEST(OutcomeOf(again) == "timed_out_may_have_run");
  BOOST_TEST(Executions("body of k") == 1U);
}

// Guards against non-idempotent requests that run without a claim, and against idempotent ones that
// depend on the store.
BOOST_FIXTURE_TEST_CASE(StoreOutageRefusesOnlyNonIdempotent, two_entries)
{
  mTable.Inject({ .mAvailability = platform::availability::down });
  auto const refused = Start(*mFirst, NonIdempotentCall("k")).Finish();
  BOOST_TEST(refused.mStatus == 503U);
  BOOST_TEST(refused.mHeaders.Value("X-Rattanpond-Code") == "300");
  BOOST_TEST(OutcomeOf(refused) == "refused_not_run");
  BOOST_TEST(OutcomeOf(Start(*mFirst, {}).Finish()) == "done");
  BOOST_TEST(Executions("body of k") == 0U);
}

// Guards against a lost answer of the store that makes a successful claim look like a failure or
// like another entry's claim.
BOOST_FIXTURE_TEST_CASE(LostTableAnswersAreResolved, two_entries)
{
  mTable.Inject({ .mLostAnswers = 3 });
  auto const response = Start(*mFirst, NonIdempotentCall("k")).Finish();
  BOOST_TEST(OutcomeOf(response) == "done");
  BOOST_TEST(Executions("body of k") == 1U);
}

// Guards against a frozen executor that blocks its callers beyond the deadline, and against an
// outcome that says the request has not run.
BOOST_FIXTURE_TEST_CASE(FrozenExecutorTimesOutAsMayHaveRun, two_entries)
{
  DelayExecutions(milliseconds{ 5000 });
  auto const begin = base::Now();
  auto const response = Start(*mFirst, NonIdempotentCall("k", "300")).Finish();
  BOOST_TEST(OutcomeOf(response) == "timed_out_may_have_run");
  BOOST_TEST((base::Now() - begin).count() < 600);
}

// Guards against queued requests that are reported as possibly run, and against requests that stay
// in a queue after their deadline.
BOOST_FIXTURE_TEST_CASE(QueuedRequestsTimeOutAsNotRun, two_entries)
{
  DelayExecutions(milliseconds{ 1000 });
  std::vector<started_call> calls;
  for (int count = 0; count < 8; ++count) {
    // The first four occupy all slots beyond the deadlines of the others.
    calls.push_back(Start(*mFirst, { .mDeadline = count < 4 ? "600" : "300" }));
    RunFor(mContext, milliseconds{ 5 });
  }
  std::map<std::string, int> outcomes;
  for (auto& call : calls) {
    ++outcomes[OutcomeOf(call.Finish())];
  }
  BOOST_TEST(outcomes["timed_out_may_have_run"] == 4);
  BOOST_TEST(outcomes["timed_out_not_run"] == 4);
}

// Guards I7 and I8: a draining agent accepts no new requests and completes those it has accepted,
// and every call succeeds.
BOOST_FIXTURE_TEST_CASE(DrainInterruptsNothing, two_entries)
{
  DelayExecutions(milliseconds{ 100 });
  std::vector<started_call> calls;
  calls.reserve(8);
  // Each target takes six calls, so that all eight need both of them.
  BOOST_REQUIRE(RunUntil(mContext, [&] { return mTarget.Links() == 2 && mOther.Links() == 2; }));
  for (int count = 0; count < 6; ++count) {
    calls.push_back(Start(*mFirst, {}));
  }
  // A call that arrives after the drain has begun takes a place at the other target, too.
  BOOST_REQUIRE(RunUntil(mContext, [&] { return BegunOrQueued() == 6; }));
  bool isDrained = false;
  mTarget.Agent().Drain([&] { isDrained = true; });
  auto const before = mTarget.mExecutedBodies.size();
  // Both queues together have enough free places for these.
  for (int count = 0; count < 2; ++count) {
    calls.push_back(Start(*mFirst, {}));
  }
  for (auto& call : calls) {
    BOOST_TEST(OutcomeOf(call.Finish()) == "done");
  }
  RunFor(mContext, milliseconds{ 50 });
  BOOST_TEST(isDrained);
  BOOST_TEST(mTarget.Agent().Running() == 0U);
  BOOST_TEST(mTarget.mExecutedBodies.size() <= before + 1);
}

// Guards against a cancellation without effect, and against one that reports a running request as
// not run.
BOOST_FIXTURE_TEST_CASE(CancelsByKey, two_entries)
{
  DelayExecutions(milliseconds{ 300 });
  auto call = Start(*mFirst, NonIdempotentCall("k"));
  RunFor(mContext, milliseconds{ 50 });
  net::http_request request;
  request.mMethod = "DELETE";
  request.mTarget = "/v1/services/permits/requests/k";
  request.mHeaders.Add("X-Rattanpond-Workspace", "harbour");
  request.mHeaders.Add("Authorization", "Bearer operators");
  started_call cancelled{ mContext, mFirst->Client(), request };
  BOOST_TEST(cancelled.Finish().mStatus == 200U);
  auto const response = call.Finish();
  BOOST_TEST(response.mStatus == 499U);
  BOOST_TEST(OutcomeOf(response) == "cancelled");
  started_call unknown{ mContext, mFirst->Client(), request };
  BOOST_TEST(unknown.Finish().mStatus == 404U);
}

// Guards against invalid, unauthorized and refused calls that reach an executor.
BOOST_FIXTURE_TEST_CASE(InvalidCallsAreRefusedWithTheirStatus, two_entries)
{
  struct invalid_call
  {
    test_call mCall;
    unsigned mStatus;
  };
  invalid_call const kCalls[] = {
    { { .mIdempotent = "false" }, 400 }, { { .mIdempotent = "maybe" }, 400 },
    { { .mDeadline = "soon" }, 400 },    { { .mDeadline = "0" }, 400 },
    { { .mToken = "wrong" }, 403 },      { { .mToken = "" }, 401 },
  };
  for (auto const& invalid : kCalls) {
    BOOST_TEST(Start(*mFirst, invalid.mCall).Finish().mStatus == invalid.mStatus);
  }
  mFirst->Service().SetAdmissionState(admission_state::draining);
  auto const refused = Start(*mFirst, {}).Finish();
  BOOST_TEST(refused.mStatus == 503U);
  BOOST_TEST(OutcomeOf(refused) == "refused_not_run");
  BOOST_TEST(mTarget.mExecutedBodies.empty());
}

// Guards I5 and I6 under random faults at random times: a key runs at most once, a caller receives
// the answer to its own request, and a request that ran is never reported as not run.
BOOST_AUTO_TEST_CASE(RandomFaultsGiveNoFalseOutcome)
{
  BOOST_TEST(rc::check([] {
    two_entries fixture;
    fixture.DelayExecutions(milliseconds{ *rc::gen::inRange(0, 40) });
    std::vector<std::unique_ptr<test_entry>> crashed;
    std::vector<std::pair<std::string, started_call>> calls;
    auto const steps = *rc::gen::inRange(4, 10);
    for (int step = 0; step < steps; ++step) {
      auto const key = "k" + std::to_string(*rc::gen::inRange(0, 8));
      auto& entry = *rc::gen::inRange(0, 2) == 0 ? fixture.mFirst : fixture.mSecond;
      switch (*rc::gen::inRange(0, 8)) {
        case 0:
          entry->Crash();
          crashed.push_back(std::exchange(entry, fixture.MakeEntry()));
          break;
        case 1:
          fixture.mTarget.RestartAgent();
          fixture.mFirst->Update({ &fixture.mTarget, &fixture.mOther });
          break;
        case 2:
          fixture.mTable.Inject(
            { .mLostAnswers = static_cast<std::uint32_t>(*rc::gen::inRange(0, 3)) });
          break;
        case 3:
          fixture.mTable.Inject({ .mDelay = milliseconds{ *rc::gen::inRange(0, 30) } });
          break;
        default:
          calls.emplace_back(key, fixture.Start(*entry, NonIdempotentCall(key, "150")));
          break;
      }
      RunFor(fixture.mContext, milliseconds{ *rc::gen::inRange(0, 15) });
    }
    RunFor(fixture.mContext, milliseconds{ 20 });
    for (auto& [key, call] : calls) {
      auto const limit = base::Now() + milliseconds{ 1000 };
      while (!call.IsDone() && base::Now() < limit) {
        RunFor(fixture.mContext, milliseconds{ 5 });
      }
      auto const executions = fixture.Executions("body of " + key);
      RC_ASSERT(executions <= 1U);
      if (!call.HasAnswer()) {
        continue;
      }
      auto const callsOfKey =
        std::ranges::count(calls, key, &std::pair<std::string, started_call>::first);
      auto const response = call.Finish();
      if (OutcomeOf(response) == "done") {
        RC_ASSERT(response.mBody == "did body of " + key);
        RC_ASSERT(executions == 1U);
      } else if (OutcomeOf(response).ends_with("_not_run") && callsOfKey == 1) {
        RC_ASSERT(executions == 0U);
      }
    }
  }));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace rattanpond::requests
