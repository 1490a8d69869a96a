#include "platform/worker_client.h"

#include "platform/json_reader.h"

namespace rattanpond::platform {

using base::milliseconds;
using boost::asio::awaitable;
using dispatch::order_outcome;

namespace {

/// The worker is on the same instance and answers within milliseconds when it is healthy.
constexpr base::milliseconds kOrderTimeout{ 400 };
constexpr base::milliseconds kPollTimeoutMargin{ 600 };
constexpr base::milliseconds kConnectTimeout{ 400 };
constexpr std::size_t kMaximumConnections = 12;
constexpr std::size_t kMaximumLabels = 64;
/// No two clocks of the platform differ by more. An incarnation that starts later than now would
/// hide all heartbeats of the true one.
constexpr base::milliseconds kClockMargin{ std::chrono::hours{ 1 } };
/// A longer notice is taken for an error.
constexpr base::milliseconds kLongestTimeLeft{ std::chrono::hours{ 24 } };

net::http_request WorkerRequest(std::string aTarget, std::string const& aWorker,
                                base::json const& aBody)
{
  auto request = net::JsonRequest("POST", std::move(aTarget), aBody);
  request.mHeaders.Add("X-Expect-Instance", aWorker);
  return request;
}

dispatch::resources DecodeResources(base::json const& aObject, json_reader& aOuter)
{
  json_reader reader{ aObject };
  dispatch::resources decoded{ .mMillicores = reader.Integer("cpu"),
                               .mMemoryMebibytes = reader.Integer("mem_mb"),
                               .mAccelerators = reader.Integer("gpu") };
  if (!decoded.Covers({})) {
    reader.Reject("a value is negative");
  }
  if (!reader.IsValid()) {
    aOuter.Reject("capacity: " + reader.Failure());
  }
  return decoded;
}

/// Only the announced departure depends on the time left, so an unusable value does not invalidate
/// the heartbeat.
std::optional<base::milliseconds> DecodeTimeLeft(base::json const& aValue)
{
  if (!aValue.is_number()) {
    return std::nullopt;
  }
  auto const timeLeft = aValue.get<double>();
  if (!(timeLeft >= 0) || timeLeft > static_cast<double>(kLongestTimeLeft.count())) {
    return std::nullopt;
  }
  return base::milliseconds{ static_cast<std::int64_t>(timeLeft) };
}

} // namespace

base::result<worker_heartbeat> ParseHeartbeat(std::string const& aWorker, std::string const& aBody)
{
  auto const document = base::json::parse(aBody, nullptr, false);
  json_reader reader{ document };
  worker_heartbeat heartbeat{ .mWorker = aWorker,
                              .mIncarnationStart = reader.RequiredInteger("born"),
                              .mSequence = reader.RequiredInteger("seq"),
                              .mService = reader.RequiredText("service"),
                              .mDomain = reader.RequiredText("zone"),
                              .mClockMs = reader.Integer("clock_ms") };
  auto const state = reader.RequiredText("state");
  if (state == "draining") {
    heartbeat.mState = dispatch::worker_state::draining;
    heartbeat.mTimeLeft = DecodeTimeLeft(reader.Member("remaining_ms"));
  } else if (state != "ready") {
    reader.Reject("state is neither ready nor draining");
  }
  if (milliseconds{ heartbeat.mIncarnationStart - base::WallClockMilliseconds() } > kClockMargin) {
    reader.Reject("born lies in the future");
  }
  auto const endpoint =
    base::Capture([&] { return net::ParseEndpoint(reader.RequiredText("address")); });
  if (!base::Succeeded(endpoint)) {
    reader.Reject("address: " + base::Error(endpoint).mMessage);
  }
  heartbeat.mCapacity = DecodeResources(reader.Member("capacity"), reader);
  auto const& labels = reader.Member("labels");
  if (labels.is_array() && labels.size() <= kMaximumLabels) {
    for (auto const& label : labels) {
      if (!label.is_string()) {
        reader.Reject("labels is not a list of at most 64 strings");
        break;
      }
      heartbeat.mLabels.push_back(label.get<std::string>());
    }
  } else if (!labels.is_null()) {
    reader.Reject("labels is not a list of at most 64 strings");
  }
  if (!reader.IsValid()) {
    return base::Fail(base::result_code::malformed_message, reader.Failure());
  }
  return heartbeat;
}

worker_client::worker_client(boost::asio::io_context& aContext, net::tcp::endpoint aEndpoint)
  : mClient{ aContext,
             { .mEndpoint = aEndpoint,
               .mMaximumConnections = kMaximumConnections,
               .mConnectTimeout = kConnectTimeout } }
{
}

awaitable<order_answer> worker_client::SendOrder(std::string aTarget, std::string aWorker,
                                                 base::json aBody)
{
  auto const answer =
    co_await mClient.Send(WorkerRequest(std::move(aTarget), aWorker, aBody), kOrderTimeout);
  order_answer result;
  if (!base::Succeeded(answer)) {
    result.mDetail = base::Error(answer).mMessage;
    // The order cannot have reached the worker if no connection was established.
    if (base::Error(answer).mCode == base::result_code::connect_failed) {
      result.mOutcome = order_outcome::not_started;
    }
    co_return result;
  }
  auto const& response = std::get<0>(answer);
  auto const document = base::json::parse(response.mBody, nullptr, false);
  json_reader reader{ document };
  result.mClockMs = reader.Integer("clock_ms");
  result.mDetail = reader.Text("reason");
  switch (response.mStatus) {
    case 200:
      result.mOutcome = order_outcome::started;
      break;
    case 421:
      result.mIsOtherIncarnation = true;
      result.mOutcome = order_outcome::not_started;
      break;
    case 400:
    case 409:
    case 429:
    case 503:
      result.mOutcome =
        result.mDetail == "room" ? order_outcome::no_room : order_outcome::not_started;
      break;
    default:
      result.mOutcome = order_outcome::unknown;
      break;
  }
  if (result.mDetail.empty() && response.mStatus != 200) {
    result.mDetail = std::to_string(response.mStatus);
  }
  co_return result;
}

awaitable<order_answer> worker_client::Start(std::string aWorker, dispatch::start_order aOrder,
                                             start_values aValues)
{
  base::json body{ { "task", aOrder.mTask },
                   { "run", aOrder.mRun },
                   { "spec", aOrder.mCommand },
                   { "deadline_ms", aValues.mDeadlineMs },
                   { "fence", aValues.mFence } };
  if (!aOrder.mCheckpoint.empty()) {
    body["last_checkpoint"] = aOrder.mCheckpoint;
  }
  if (!aOrder.mTicket.empty()) {
    body["ticket"] = aOrder.mTicket;
  }
  co_return co_await SendOrder("/api/run-start", std::move(aWorker), std::move(body));
}

awaitable<order_answer> worker_client::Stop(std::string aWorker, dispatch::stop_order aOrder,
                                            std::uint64_t aFence)
{
  base::json body{ { "task", aOrder.mTask }, { "run", aOrder.mRun }, { "fence", aFence } };
  auto answer = co_await SendOrder("/api/run-stop", std::move(aWorker), std::move(body));
  if (answer.mOutcome == order_outcome::started) {
    answer.mOutcome = order_outcome::stopped;
  } else if (!answer.mIsOtherIncarnation) {
    answer.mOutcome = order_outcome::unknown;
  }
  co_return answer;
}

awaitable<order_answer> worker_client::Pace(std::string aWorker, dispatch::pace_order aOrder,
                                            std::uint64_t aFence)
{
  base::json body{ { "task", aOrder.mTask },
                   { "run", aOrder.mRun },
                   { "percent", aOrder.mPercent },
                   { "fence", aFence } };
  co_return co_await SendOrder("/api/pace", std::move(aWorker), std::move(body));
}

awaitable<worker_client::poll_answer> worker_client::PollRuns(std::string aWorker,
                                                              poll_request aRequest)
{
  base::json body{ { "fence", aRequest.mFence }, { "ack_cursor", aRequest.mAcknowledged } };
  if (aRequest.mDeadlineMs > 0) {
    body["deadline_ms"] = aRequest.mDeadlineMs;
  }
  if (aRequest.mWait.count() > 0) {
    body["wait_ms"] = aRequest.mWait.count();
  }
  run_list_reader reader{ aRequest.mFirstCheckpoint };
  auto const answer = co_await mClient.SendAndStream(
    WorkerRequest("/api/hold", aWorker, body), aRequest.mWait + kPollTimeoutMargin,
    [&reader](std::string_view aPiece) { reader.Append(aPiece); });
  poll_answer result;
  if (!base::Succeeded(answer)) {
    result.mFailure = base::Error(answer).mMessage;
    co_return result;
  }
  auto const status = std::get<0>(answer).mStatus;
  result.mIsOtherIncarnation = status == 421;
  if (status != 200) {
    result.mFailure = "status " + std::to_string(status);
    co_return result;
  }
  auto lists = base::Capture([&] { return reader.Finish(); });
  if (base::Succeeded(lists)) {
    result.mLists = std::get<0>(std::move(lists));
  } else {
    result.mIsUnreadable = true;
    result.mFailure = base::Error(lists).mMessage;
  }
  co_return result;
}

} // namespace rattanpond::platform
