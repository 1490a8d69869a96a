#define BOOST_TEST_MODULE requests
#include "requests/tests/loopback.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/test/unit_test.hpp>

namespace rattanpond::requests {

namespace asio = boost::asio;

namespace {

net::tcp::endpoint AnyPort()
{
  return { asio::ip::make_address("127.0.0.1"), 0 };
}

template<class T>
T Require(base::reply<T> aReply)
{
  BOOST_REQUIRE(base::Succeeded(aReply));
  return std::get<0>(std::move(aReply));
}

} // namespace

test_target::test_target(asio::io_context& aContext, std::string aName)
  : mName{ std::move(aName) }
  , mContext{ aContext }
{
  mExecutor = Require(base::Capture([&] {
    return net::http_server::Create(
      mContext, { .mEndpoint = AnyPort(),
                  .mHandler = [this](net::http_request aRequest) { return Handle(aRequest); } });
  }));
  StartAgent();
}

asio::awaitable<net::http_response> test_target::Handle(net::http_request aRequest)
{
  if (aRequest.mMethod == "GET") {
    co_return net::JsonResponse(200, { { "state", mState } });
  }
  mExecutedBodies.push_back(aRequest.mBody);
  if (mHandler) {
    co_return co_await mHandler(std::move(aRequest));
  }
  net::http_response response;
  response.mHeaders.Add("Content-Type", "text/plain");
  response.mBody = mName + " did " + aRequest.mBody;
  co_return response;
}

void test_target::StartAgent()
{
  mIncarnation = base::RandomIdentifier();
  mAgent = Require(base::Capture([&] {
    return executor_service::Create(mContext,
                                    { .mTrafficEndpoint = AnyPort(),
                                      .mExecutorEndpoint = mExecutor->Endpoint(),
                                      .mIncarnation = mIncarnation,
                                      .mService = "permits",
                                      .mSlots = 2,
                                      .mMaximumQueued = 4,
                                      .mHealthPeriod = base::milliseconds{ 20 } },
                                    mMetrics);
  }));
}

std::size_t test_target::Links() const
{
  return mAgent->StateDump().at("links").get<std::size_t>();
}

void test_target::RestartAgent()
{
  mAgent.reset();
  StartAgent();
}

membership::target_description test_target::Description() const
{
  membership::target_description description;
  description.mTarget = mName;
  description.mIncarnation = mIncarnation;
  description.mKind = membership::target_kind::executor;
  description.mTrafficAddress = net::ToString(mAgent->Endpoint());
  description.mService = "permits";
  description.mSlots = 2;
  return description;
}

test_entry::test_entry(asio::io_context& aContext, platform::table_service& aTable,
                       std::vector<test_target*> const& aTargets)
  : mService{ std::make_unique<request_service>(aContext, request_service::options{}, aTable,
                                                mAccess, mMetrics) }
  , mServer{ Require(base::Capture([&] {
    return net::http_server::Create(
      aContext, { .mEndpoint = AnyPort(), .mHandler = [this](net::http_request aRequest) {
                   return mRouter.Handle(std::move(aRequest));
                 } });
  })) }
  , mClient{ aContext, { .mEndpoint = mServer->Endpoint() } }
{
  mService->Register(mRouter);
  auto snapshot = std::make_shared<configuration::configuration_snapshot>();
  snapshot->mVersion = 1;
  snapshot->mContracts["harbour"].mWorkspace = "harbour";
  mService->UpdateConfiguration(snapshot);
  mService->SetAdmissionState(admission_state::open);
  Update(aTargets);
  RunFor(aContext, base::milliseconds{ 50 });
}

void test_entry::Update(std::vector<test_target*> const& aTargets)
{
  auto descriptions = std::make_shared<std::vector<membership::target_description>>();
  for (auto const* const target : aTargets) {
    descriptions->push_back(target->Description());
  }
  mService->UpdateTargets(descriptions);
}

void test_entry::Crash()
{
  mServer.reset();
  mService.reset();
}

net::http_request MakeCall(test_call const& aCall)
{
  net::http_request request;
  request.mMethod = "POST";
  request.mTarget = "/v1/services/permits/requests";
  request.mHeaders.Add("X-Rattanpond-Workspace", "harbour");
  request.mHeaders.Add("X-Rattanpond-Deadline-Ms", aCall.mDeadline);
  request.mHeaders.Add("X-Rattanpond-Idempotent", aCall.mIdempotent);
  if (!aCall.mKey.empty()) {
    request.mHeaders.Add("Idempotency-Key", aCall.mKey);
  }
  request.mHeaders.Add("Authorization", "Bearer " + aCall.mToken);
  request.mBody = aCall.mBody;
  return request;
}

std::string OutcomeOf(net::http_response const& aResponse)
{
  return std::string{ aResponse.mHeaders.Value("X-Rattanpond-Outcome") };
}

void RunFor(asio::io_context& aContext, base::milliseconds aTime)
{
  aContext.restart();
  aContext.run_for(aTime);
}

bool RunUntil(asio::io_context& aContext, std::function<bool()> const& aCondition)
{
  auto const limit = base::Now() + base::milliseconds{ 10'000 };
  aContext.restart();
  while (!aCondition() && base::Now() < limit) {
    aContext.run_one_for(base::milliseconds{ 5 });
  }
  return aCondition();
}

started_call::started_call(asio::io_context& aContext, net::http_client& aClient,
                           net::http_request aRequest)
  : mContext{ aContext }
  , mReply{ std::make_shared<std::optional<base::reply<net::http_response>>>() }
{
  asio::co_spawn(aContext, aClient.Send(std::move(aRequest), base::milliseconds{ 10'000 }),
                 [reply = mReply](std::exception_ptr, base::reply<net::http_response> aReply) {
                   reply->emplace(std::move(aReply));
                 });
}

net::http_response started_call::Finish()
{
  BOOST_REQUIRE(RunUntil(mContext, [&] { return IsDone(); }));
  return Require(std::move(**mReply));
}

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

// Guards the whole request path: caller, entry, link, agent, executor, and back.
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
