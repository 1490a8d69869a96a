#include "standin/executor_server.h"

#include "standin/fault_kind.h"
#include "standin/responses.h"

#include <algorithm>
#include <charconv>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace rattanpond::standin {

namespace asio = boost::asio;
using base::result;
using net::http_request;
using net::http_response;
using net::response_transfer;

namespace {

constexpr std::string_view kWorkHeader = "X-Standin-Work-Ms";
constexpr std::string_view kWorkParameter = "work_ms=";
constexpr std::uint32_t kMaximumWorkMilliseconds = 600'000;

/// Limits the memory that the counts per key take in long runs.
constexpr std::size_t kMaximumCountedKeys = 500'000;

base::milliseconds RequestedWork(http_request const& aRequest)
{
  auto text = aRequest.mHeaders.Value(kWorkHeader);
  std::string_view const target = aRequest.mTarget;
  if (auto const found = target.find(kWorkParameter);
      text.empty() && found != std::string_view::npos) {
    text = target.substr(found + kWorkParameter.size());
  }
  std::uint32_t milliseconds = 0;
  std::from_chars(text.data(), text.data() + text.size(), milliseconds);
  return base::milliseconds{ std::min(milliseconds, kMaximumWorkMilliseconds) };
}

} // namespace

struct executor_server::faults
{
  using target = executor_server;
  static constexpr fault_kind<target> kKinds[] = {
    { "down",
      [](target& aTarget, fault const* aFault) {
        using platform::availability;
        return aTarget.mServer.SetAvailability(aFault ? availability::down : availability::up);
      } },
    { "slow",
      [](target& aTarget, fault const* aFault) -> result<void> {
        aTarget.mMode.mDelay = base::milliseconds{ FaultValue(aFault) };
        return {};
      } },
    { "fail",
      [](target& aTarget, fault const* aFault) -> result<void> {
        aTarget.mMode.mFails = aFault != nullptr;
        return {};
      } },
    { "drain",
      [](target& aTarget, fault const* aFault) -> result<void> {
        aTarget.mMode.mIsDraining = aFault != nullptr;
        return {};
      } },
    { "truncate",
      [](target& aTarget, fault const* aFault) -> result<void> {
        aTarget.mMode.mTransfer =
          aFault ? response_transfer::truncated : response_transfer::complete;
        return {};
      } },
    { "lose_answers",
      [](target& aTarget, fault const* aFault) -> result<void> {
        aTarget.mMode.mTransfer = aFault ? response_transfer::none : response_transfer::complete;
        return {};
      } },
  };
};

executor_server::executor_server(asio::io_context& aContext, executor_settings aSettings)
  : mSettings{ std::move(aSettings) }
  , mServer{ aContext, [this](http_request aRequest) { return Handle(std::move(aRequest)); } }
{
}

result<void> executor_server::Begin(fault const& aFault)
{
  return BeginFault(faults::kKinds, *this, aFault);
}

result<void> executor_server::End(fault const& aFault)
{
  return EndFault(faults::kKinds, *this, aFault);
}

base::json executor_server::State() const
{
  return { { "availability", base::Name(mServer.Availability()) },
           { "delay_ms", mMode.mDelay.count() },
           { "fails", mMode.mFails },
           { "draining", mMode.mIsDraining },
           { "cuts_answers", mMode.mTransfer != response_transfer::complete } };
}

base::json executor_server::Executions() const
{
  return { { "executor", mSettings.mName },
           { "service", mSettings.mService },
           { "slots", mSettings.mSlots },
           { "total", mTotal },
           { "running", mRunning },
           { "peak_running", mPeakRunning },
           { "keys", mKeyCounts },
           { "uncounted_keys", mUncountedKeys },
           { "while_draining", mStartsWhileDraining } };
}

asio::awaitable<http_response> executor_server::Handle(http_request aRequest)
{
  if (aRequest.mMethod == "GET" && aRequest.mTarget == "/health") {
    co_return net::JsonResponse(200, { { "state", mMode.mIsDraining ? "draining" : "serving" } });
  }
  if (aRequest.mMethod == "GET" && aRequest.mTarget == "/standin/executions") {
    co_return net::JsonResponse(200, Executions());
  }
  co_return co_await Execute(std::move(aRequest));
}

asio::awaitable<http_response> executor_server::Execute(http_request aRequest)
{
  CountStart(aRequest);
  auto const work = RequestedWork(aRequest) + mMode.mDelay;
  if (work.count() > 0) {
    asio::steady_timer timer{ co_await asio::this_coro::executor, work };
    co_await timer.async_wait(asio::use_awaitable);
  }
  --mRunning;
  http_response response;
  if (mMode.mFails) {
    response.mStatus = 500;
  }
  response.mHeaders.Add("Content-Type", "application/octet-stream");
  response.mBody = mSettings.mName + "\n" + aRequest.mBody;
  response.mTransfer = mMode.mTransfer;
  co_return response;
}

void executor_server::CountStart(http_request const& aRequest)
{
  ++mTotal;
  ++mRunning;
  mPeakRunning = std::max(mPeakRunning, mRunning);
  mStartsWhileDraining += mMode.mIsDraining ? 1 : 0;
  std::string const key{ aRequest.mHeaders.Value("Idempotency-Key") };
  if (key.empty()) {
    return;
  }
  if (mKeyCounts.size() < kMaximumCountedKeys || mKeyCounts.contains(key)) {
    ++mKeyCounts[key];
  } else {
    ++mUncountedKeys;
  }
}

} // namespace rattanpond::standin
