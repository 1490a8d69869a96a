#include "requests/tests/loopback.h"
#include "requests/tests/raw_peers.h"

#include <boost/test/unit_test.hpp>

namespace rattanpond::requests {

namespace asio = boost::asio;

namespace {

struct cut_world
{
  net::http_response Call(test_call const& aCall)
  {
    return started_call{ mContext, mEntry.Client(), MakeCall(aCall) }.Finish();
  }

  void Use(membership::target_description const& aDescription)
  {
    mEntry.Service().UpdateTargets(
      std::make_shared<std::vector<membership::target_description>>(1, aDescription));
    Serve(mContext, base::milliseconds{ 50 });
  }

  asio::io_context mContext;
  platform::memory_table mTable;
  test_target mTarget{ mContext, "executor-1" };
  test_entry mEntry{ mContext, mTable, {} };
};

} // namespace

BOOST_AUTO_TEST_SUITE(cut_test)

// Guards I4: a link that is cut in the middle of an answer must not lose the answer, pass a part of
// it, or run the request again.
BOOST_FIXTURE_TEST_CASE(LinkCutInsideAnAnswerIsSettled, cut_world)
{
  std::string const large(1024 * 1024, 'x');
  mTarget.mHandler = [&](net::http_request) {
    return [](std::string aBody) -> asio::awaitable<net::http_response> {
      net::http_response response;
      response.mBody = std::move(aBody);
      co_return response;
    }(large);
  };
  cutting_proxy const proxy{ mContext, mTarget.Agent().Endpoint(), 300 * 1024 };
  auto description = mTarget.Description();
  description.mTrafficAddress = net::ToString(proxy.Endpoint());
  Use(description);
  auto const response = Call({ .mKey = "k", .mIdempotent = "false", .mDeadline = "5000" });
  BOOST_TEST(proxy.HasCut());
  BOOST_TEST(OutcomeOf(response) == "done");
  BOOST_TEST((response.mBody == large));
  BOOST_TEST(mTarget.mExecutedBodies.size() == 1U);
}

// Guards I4 against an executor whose answer is cut: it is never passed on as whole.
BOOST_FIXTURE_TEST_CASE(TruncatedExecutorAnswersAreNotPassedOn, cut_world)
{
  char const* const kAnswers[] = {
    "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf",
    "HTTP/1.1 200 OK\r\n\r\nhalf",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n64\r\nhalf",
    "HTTP/1.1 200 OK\r\nContent-Le",
    "",
  };
  for (std::size_t index = 0; index < std::size(kAnswers); ++index) {
    raw_executor const executor{ mContext, kAnswers[index] };
    base::metrics_registry metrics;
    auto created = base::Capture([&] {
      return executor_service::Create(
        mContext,
        { .mTrafficEndpoint = { asio::ip::make_address("127.0.0.1"), 0 },
          .mExecutorEndpoint = executor.Endpoint(),
          .mIncarnation = "raw",
          .mService = "permits" },
        metrics);
    });
    BOOST_REQUIRE(base::Succeeded(created));
    auto const agent = std::get<0>(std::move(created));
    auto description = mTarget.Description();
    description.mTarget = "raw-" + std::to_string(index);
    description.mIncarnation = "raw";
    description.mTrafficAddress = net::ToString(agent->Endpoint());
    Use(description);
    BOOST_TEST(OutcomeOf(Call({})) == "failed_by_target");
    auto const once = Call({ .mKey = "k" + std::to_string(index), .mIdempotent = "false" });
    BOOST_TEST(OutcomeOf(once) == "timed_out_may_have_run");
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace rattanpond::requests
