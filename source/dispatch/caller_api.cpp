#include "dispatch/caller_api.h"

#include "base/logging.h"
#include "dispatch/retry_advice.h"
#include "net/sleep.h"
#include "platform/job_wire.h"
#include "platform/operator_rows.h"

#include <algorithm>
#include <charconv>

namespace rattanpond::dispatch {

namespace asio = boost::asio;
using asio::awaitable;
using base::milliseconds;
using net::http_request;
using net::http_response;
using platform::commit_outcome;

namespace {

/// Ages of the configuration, as shares of the revocation limit: beyond the first one the front
/// admits no key, beyond the second one it reports that it is not ready for new connections.
constexpr double kAdmissionShare = 0.8;
constexpr double kReadinessShare = 0.4;
constexpr milliseconds kAttemptTimeout{ 700 };
constexpr milliseconds kRetryDelay{ 80 };
/// Part of the caller's deadline that is reserved for the transfer of the answer.
constexpr milliseconds kAnswerMargin{ 250 };
constexpr milliseconds kDefaultDeadline{ 3000 };
http_response Plain(unsigned aStatus, std::string aReason)
{
  return net::JsonResponse(aStatus, { { "error", std::move(aReason) } });
}

http_response Json(std::string aBody)
{
  http_response response;
  response.mHeaders.Add("Content-Type", "application/json");
  response.mBody = std::move(aBody);
  return response;
}

base::time_point Deadline(http_request const& aRequest, base::time_point aNow)
{
  auto const text = aRequest.mHeaders.Value(platform::kDeadlineHeader);
  std::int64_t value = kDefaultDeadline.count();
  std::from_chars(text.data(), text.data() + text.size(), value);
  return aNow + std::max(milliseconds{ value } - kAnswerMargin, milliseconds{ 100 });
}

/// Commits only if the store has no such job, if nobody has cancelled it before, and if the
/// configuration that admitted the job is still the current one. aQueue: the change that stores the
/// definition of the job's queue, if the store lacks it.
platform::row_transaction AcceptTransaction(std::string const& aId, job_description const& aJob,
                                            std::uint64_t aConfigurationRow,
                                            std::optional<platform::row_change> aQueue)
{
  platform::row_transaction transaction;
  transaction.mConditions.push_back({ kDispatchTable, kJobPrefix + aId, 0 });
  transaction.mConditions.push_back({ kDispatchTable, kCancellationPrefix + aId, 0 });
  transaction.mConditions.push_back(
    { platform::kOperatorTable, platform::kConfigurationKey, aConfigurationRow });
  transaction.mChanges.push_back({ kDispatchTable, kJobPrefix + aId, EncodeDescription(aJob) });
  if (aQueue) {
    transaction.mChanges.push_back(std::move(*aQueue));
  }
  return transaction;
}

platform::row_transaction CancelTransaction(std::string const& aId)
{
  platform::row_transaction transaction;
  transaction.mConditions.push_back({ kDispatchTable, kCancellationPrefix + aId, 0 });
  transaction.mChanges.push_back(
    { kDispatchTable, kCancellationPrefix + aId, std::to_string(base::WallClockMilliseconds()) });
  return transaction;
}

/// Summary of a job's steps for the log.
std::string Summary(job_description const& aJob)
{
  std::string text = "occurrences=" + std::to_string(aJob.mOccurrences) + " steps=";
  for (auto const& step : aJob.mSteps) {
    text += std::to_string(step.mCount) + "x" + std::to_string(step.mDemand.mAccelerators) +
            "acc/" + std::to_string(step.mDemand.mMillicores) + "mc/" +
            std::to_string(step.mEstimate.count()) + "ms" + (step.mIsGang ? "/gang" : "") +
            (step.mIsSameRack ? "/rack" : "") + (step.mIsCheckpointable ? "/checkpoint" : "") +
            (step.mIsLongRunning ? "/long" : "") + (step.mIsBestEffort ? "/fills" : "") + ";";
  }
  return text;
}

/// Whether the caller may conclude from the response that its call has changed nothing.
bool IsRefusal(http_request const& aRequest, http_response const& aResponse)
{
  // A cancellation of a job that does not exist is acknowledged with 410.
  auto const isAcknowledged = aRequest.mMethod == "DELETE" && aResponse.mStatus == 410;
  return aRequest.mMethod != "GET" && aResponse.mStatus >= 400 && aResponse.mStatus != 504 &&
         !isAcknowledged;
}

bool Contains(std::vector<platform::store_row> const& aRows, std::string const& aKey)
{
  return std::ranges::any_of(aRows, [&](platform::store_row const& aRow) {
    return aRow.mTable == kDispatchTable && aRow.mKey == aKey && !aRow.mIsDeleted;
  });
}

} // namespace

caller_api::caller_api(options const& aOptions)
  : mOptions{ aOptions }
  , mForwarder{ { .mContext = mOptions.mContext,
                  .mReplica = mOptions.mReplica,
                  .mNode = mOptions.mSettings.mNode } }
{
}

milliseconds caller_api::ConfirmationLimit(double aShare) const
{
  return milliseconds{ static_cast<std::int64_t>(
    static_cast<double>(mOptions.mSettings.mRevocationLimit.count()) * aShare) };
}

http_response caller_api::Refusal(unsigned aStatus, std::string aReason) const
{
  auto response = Plain(aStatus, std::move(aReason));
  auto const wait = RetryAfter(base::Now() - mOptions.mReplica.JobsConfirmedAt());
  response.mHeaders.Add("Retry-After", std::to_string(wait.count()));
  return response;
}

milliseconds caller_api::ConfigurationAge() const
{
  return base::Now() - mOptions.mReplica.ConfigurationConfirmedAt();
}

std::uint64_t caller_api::ConfigurationVersion() const
{
  auto const& configuration = mOptions.mReplica.Configuration();
  return configuration ? configuration->mVersion : 0;
}

bool caller_api::IsConfigurationBehind(http_request const& aRequest) const
{
  return ConfigurationVersion() <
         std::max(mForwardedVersion, ConfigurationVersionOf(aRequest.mHeaders));
}

bool caller_api::IsReady() const
{
  return !mIsShuttingDown && mOptions.mReplica.IsLoaded() &&
         ConfigurationAge() < ConfirmationLimit(kReadinessShare);
}

std::variant<caller_api::admitted_call, http_response> caller_api::Admit(
  http_request const& aRequest) const
{
  auto const& configuration = mOptions.mReplica.Configuration();
  if (!configuration || !mOptions.mReplica.IsLoaded()) {
    return Refusal(503, "no configuration has been loaded");
  }
  auto host = aRequest.mHeaders.Value("Host");
  std::string_view path = aRequest.mTarget;
  path = path.substr(0, path.find('?'));
  auto const* queue = configuration->Route(host, path);
  if (queue == nullptr) {
    queue = configuration->Route(host.substr(0, host.rfind(':')), path);
  }
  auto const age = ConfigurationAge();
  auto const isBehind = IsConfigurationBehind(aRequest);
  auto const isStale = isBehind || age > ConfirmationLimit(kAdmissionShare);
  // A denial is final for the caller, and a queue or key may have been added since.
  auto const mayDeny = !isBehind && age <= mOptions.mSettings.mConfigurationDelay;
  if (queue == nullptr) {
    return mayDeny ? Plain(404, "no queue matches this host and path")
                   : Refusal(503, "the configuration may be outdated");
  }
  auto const* const workspace =
    configuration->WorkspaceOfKey(std::string{ aRequest.mHeaders.Value(platform::kKeyHeader) });
  // A submission may go on with a stale configuration: its transaction commits only if the
  // configuration is still the current one.
  if (isStale && aRequest.mMethod != "POST") {
    return Refusal(503, "the configuration may be outdated");
  }
  if (workspace == nullptr && !queue->mIsPublic) {
    return mayDeny ? Plain(401, "the API key is unknown")
                   : Refusal(503, "the configuration may be outdated");
  }
  return admitted_call{ .mConfiguration = configuration,
                        .mConfigurationRow = mOptions.mReplica.ConfigurationRowVersion(),
                        .mIsStale = isStale,
                        .mQueue = queue,
                        .mWorkspace = workspace,
                        .mPathRemainder = std::string{ path.substr(queue->mPrefix.size()) } };
}

awaitable<http_response> caller_api::Handle(http_request aRequest)
{
  auto const deadline = Deadline(aRequest, base::Now());
  // Only fronts set this header.
  aRequest.mHeaders.Set(kConfigurationVersionHeader, "0");
  auto const mustForward = !mOptions.mReplica.IsStoreAvailable() ||
                           ConfigurationAge() > ConfirmationLimit(kReadinessShare) ||
                           IsConfigurationBehind(aRequest);
  std::optional<http_response> ownResponse;
  if (!mustForward) {
    auto copy = aRequest;
    ownResponse = co_await HandleLocally(std::move(copy));
    if (ownResponse->mStatus != 503) {
      co_return std::move(*ownResponse);
    }
  }
  auto copy = aRequest;
  auto forwarded = co_await mForwarder.Forward(std::move(copy), deadline,
                                               std::max(mForwardedVersion, ConfigurationVersion()));
  if (forwarded.mAnswer) {
    mForwardedVersion = std::max(mForwardedVersion, forwarded.mConfigurationVersion);
  } else if (!ownResponse) {
    auto copy = aRequest;
    ownResponse = co_await HandleLocally(std::move(copy));
  }
  auto response = std::move(forwarded.mAnswer ? *forwarded.mAnswer : *ownResponse);
  // A refusal holds only for the front that gives it, and another one may have carried out the
  // call.
  if (forwarded.mIsOutcomeUnknown && IsRefusal(aRequest, response)) {
    base::Log("caller")->info("outcome-open method={} path={} status={} said=504", aRequest.mMethod,
                              aRequest.mTarget, response.mStatus);
    co_return Refusal(504, "the outcome is unknown");
  }
  co_return response;
}

awaitable<http_response> caller_api::HandleForwarded(http_request aRequest)
{
  auto response = co_await HandleLocally(std::move(aRequest));
  // The version may have changed since the decision. A newer one makes the other front only
  // stricter.
  response.mHeaders.Add(kConfigurationVersionHeader, std::to_string(ConfigurationVersion()));
  co_return response;
}

awaitable<http_response> caller_api::HandleLocally(http_request aRequest)
{
  auto admitted = Admit(aRequest);
  if (auto* const refusal = std::get_if<http_response>(&admitted)) {
    base::Log("caller")->info(
      "refused method={} path={} status={} configuration={} configuration_age_ms={}",
      aRequest.mMethod, aRequest.mTarget, refusal->mStatus, ConfigurationVersion(),
      ConfigurationAge().count());
    mOptions.mMetrics.Counter("rattanpond_calls_refused").Add();
    co_return std::move(*refusal);
  }
  auto& call = std::get<admitted_call>(admitted);
  auto const& method = aRequest.mMethod;
  if (call.mPathRemainder.empty() && method == "GET") {
    co_return Pending(call);
  }
  if (!platform::IsJobId(call.mPathRemainder)) {
    co_return Plain(400, "the path does not end with a job identifier");
  }
  if (method == "POST") {
    co_return co_await Submit(std::move(aRequest), std::move(call));
  }
  if (method != "GET" && method != "DELETE") {
    co_return Plain(405, "the method must be GET, POST or DELETE");
  }
  std::optional<http_response> unknown;
  if (mOptions.mReplica.FindJob(call.mPathRemainder) == nullptr) {
    unknown = co_await LookUpJob(call.mPathRemainder, Deadline(aRequest, base::Now()));
  }
  if (method == "GET") {
    co_return unknown ? std::move(*unknown) : Status(call);
  }
  if (unknown && unknown->mStatus != 410) {
    co_return std::move(*unknown);
  }
  // A submission of the job may still wait in another front or in the store, so that the absence of
  // the job proves nothing. Once the cancellation is stored, the job is not accepted any more.
  auto cancelled = co_await Cancel(std::move(aRequest), std::move(call));
  co_return unknown&& cancelled.mStatus == 200 ? std::move(*unknown) : std::move(cancelled);
}

http_response caller_api::TooLarge(std::string const& aJob, std::size_t aBytes) const
{
  base::Log("caller")->info("submit job={} status=400 reason=\"larger than a row of the store\" "
                            "bytes={} limit={}",
                            aJob, aBytes, mOptions.mSettings.mMaximumRowBytes);
  return Plain(400, "the job takes " + std::to_string(aBytes) + " bytes, more than the " +
                      std::to_string(mOptions.mSettings.mMaximumRowBytes) +
                      " that the store takes for one job");
}

http_response caller_api::CancelledBefore() const
{
  auto response = Plain(503, "the job was cancelled before it was accepted");
  auto const wait =
    std::chrono::ceil<std::chrono::seconds>(RowRetention(mOptions.mSettings.mStatusRetention));
  response.mHeaders.Add("Retry-After", std::to_string(wait.count()));
  return response;
}

awaitable<http_response> caller_api::Submit(http_request aRequest, admitted_call aCall)
{
  auto const id = aCall.mPathRemainder;
  auto parsed = base::Capture([&] { return platform::ParseSubmission(aRequest.mBody); });
  if (!base::Succeeded(parsed)) {
    base::Log("caller")->info("submit job={} status=400 reason=\"{}\"", id,
                              base::Error(parsed).mMessage);
    co_return Plain(400, base::Error(parsed).mMessage);
  }
  auto const isKnown = mOptions.mReplica.FindJob(id) != nullptr;
  if (isKnown && !aCall.mIsStale) {
    co_return Plain(200, "known");
  }
  auto const started = base::Now();
  auto const deadline = Deadline(aRequest, started);
  if (!mOptions.mReplica.IsStoreAvailable()) {
    // No transaction has been sent, so a new job is certainly not accepted; waiting would only cost
    // the caller time.
    if (isKnown) {
      co_return Refusal(504, "the job is known, but the configuration may be outdated");
    }
    co_return Refusal(503, "the store is unavailable");
  }
  auto job = std::get<0>(std::move(parsed));
  bool isOutcomeUnknown = false;
  while (true) {
    job.mQueue = aCall.mQueue->mName;
    job.mService = aCall.mQueue->mService;
    job.mWorkspace = aCall.mWorkspace == nullptr ? "" : aCall.mWorkspace->mName;
    job.mAcceptedWallMs = base::WallClockMilliseconds();
    auto transaction = AcceptTransaction(id, job, aCall.mConfigurationRow,
                                         mOptions.mReplica.QueueChange(job.mQueue));
    auto const bytes = transaction.mChanges.front().mValue->size();
    if (bytes > mOptions.mSettings.mMaximumRowBytes) {
      co_return isOutcomeUnknown ? Refusal(504, "the outcome is unknown") : TooLarge(id, bytes);
    }
    auto const timeout = std::clamp(deadline - base::Now(), milliseconds{ 50 }, kAttemptTimeout);
    auto const sentAt = base::Now();
    auto const result = co_await mOptions.mStore.Commit(std::move(transaction), timeout);
    auto const took = base::Now() - started;
    if (result.mOutcome == commit_outcome::conflict) {
      // The job is known or the configuration has changed: check queue and key against the present
      // configuration, which the conflict shows.
      mOptions.mReplica.ApplyConflict(result.mCurrent, sentAt);
      auto readmitted = Admit(aRequest);
      if (auto* const refusal = std::get_if<http_response>(&readmitted)) {
        // 503 states that the job never runs.
        auto const isUntrue = refusal->mStatus == 503 && mOptions.mReplica.FindJob(id) != nullptr;
        auto answer = isOutcomeUnknown || isUntrue ? Refusal(504, "the outcome is unknown")
                                                   : std::move(*refusal);
        base::Log("caller")->info("submit job={} configuration={} status={} outcome=conflict", id,
                                  ConfigurationVersion(), answer.mStatus);
        co_return answer;
      }
      aCall = std::get<admitted_call>(std::move(readmitted));
    }
    if (result.mOutcome == commit_outcome::committed ||
        Contains(result.mCurrent, kJobPrefix + id)) {
      base::Log("caller")->info(
        "submit job={} queue={} priority={} workspace={} configuration={} status=200 {} took_ms={}",
        id, job.mQueue, aCall.mQueue->mPriority, job.mWorkspace, aCall.mConfiguration->mVersion,
        Summary(job), took.count());
      mOptions.mMetrics.Histogram("rattanpond_accept_seconds")
        .Record(std::chrono::duration<double>(took).count());
      co_return Plain(200, "accepted");
    }
    if (Contains(result.mCurrent, kCancellationPrefix + id)) {
      // No attempt can take effect any more: all expect that the job has not been cancelled.
      base::Log("caller")->info("submit job={} status=503 outcome=cancelled took_ms={}", id,
                                took.count());
      co_return CancelledBefore();
    }
    if (result.mOutcome == commit_outcome::rejected) {
      // An earlier attempt may have been smaller, under another configuration.
      co_return isOutcomeUnknown ? Refusal(504, "the outcome is unknown") : TooLarge(id, bytes);
    }
    isOutcomeUnknown = isOutcomeUnknown || result.mOutcome == commit_outcome::unknown;
    auto const isLastAttempt =
      base::Now() + kRetryDelay >= deadline || !mOptions.mReplica.IsStoreAvailable();
    if (isLastAttempt || (result.mOutcome == commit_outcome::refused && !isOutcomeUnknown)) {
      // An attempt without an answer may still take effect, so the response must not claim that the
      // job was not accepted.
      auto const status = isOutcomeUnknown ? 504U : 503U;
      base::Log("caller")->info("submit job={} status={} outcome={} took_ms={}", id, status,
                                static_cast<int>(result.mOutcome), took.count());
      if (isOutcomeUnknown) {
        co_return Refusal(504, "the outcome is unknown");
      }
      co_return Refusal(503, "the store is unavailable");
    }
    if (result.mOutcome != commit_outcome::conflict) {
      co_await net::Sleep(kRetryDelay);
    }
  }
}

awaitable<http_response> caller_api::Cancel(http_request aRequest, admitted_call aCall)
{
  auto const id = aCall.mPathRemainder;
  auto const started = base::Now();
  auto const deadline = Deadline(aRequest, started);
  while (true) {
    if (mOptions.mReplica.CancellationVersion(id) != 0) {
      co_return Plain(200, "cancelled");
    }
    auto transaction = CancelTransaction(id);
    auto const timeout = std::clamp(deadline - base::Now(), milliseconds{ 50 }, kAttemptTimeout);
    auto const result = co_await mOptions.mStore.Commit(std::move(transaction), timeout);
    if (result.mOutcome == commit_outcome::committed ||
        result.mOutcome == commit_outcome::conflict) {
      mOptions.mReplica.Apply(result.mCurrent);
      if (result.mOutcome == commit_outcome::committed) {
        // This front shows the job as cancelled from its answer on.
        mOptions.mReplica.Apply({ { .mTable = kDispatchTable,
                                    .mKey = std::string{ kCancellationPrefix } + id,
                                    .mVersion = result.mVersion } });
      }
      base::Log("caller")->info("cancel job={} status=200 took_ms={}", id,
                                (base::Now() - started).count());
      co_return Plain(200, "cancelled");
    }
    if (base::Now() + kRetryDelay >= deadline || !mOptions.mReplica.IsStoreAvailable()) {
      base::Log("caller")->info("cancel job={} status=504 took_ms={}", id,
                                (base::Now() - started).count());
      co_return Refusal(504, "the outcome is unknown");
    }
    co_await net::Sleep(kRetryDelay);
  }
}

awaitable<std::optional<http_response>> caller_api::LookUpJob(std::string aId,
                                                              base::time_point aDeadline)
{
  // Another front may have accepted the job since the last read of this one. Only a later read of
  // the store shows that the job does not exist.
  if (mOptions.mReplica.IsStoreAvailable()) {
    auto const timeout = std::clamp(aDeadline - base::Now(), milliseconds{ 50 }, kAttemptTimeout);
    auto const read =
      co_await mOptions.mStore.ReadRow(kDispatchTable, std::string{ kJobPrefix } + aId, timeout);
    if (read.mOutcome == platform::read_outcome::answered) {
      mOptions.mReplica.Apply(read.mRows);
      if (mOptions.mReplica.FindJob(aId) == nullptr) {
        co_return Plain(410, "no such job");
      }
      co_return std::nullopt;
    }
  }
  co_return Refusal(503, "the store is unavailable");
}

http_response caller_api::Status(admitted_call const& aCall) const
{
  auto const& id = aCall.mPathRemainder;
  auto phase = mOptions.mReplica.FindJob(id)->StoredPhase();
  if (!IsFinal(phase) && mOptions.mReplica.CancellationVersion(id) != 0) {
    phase = job_phase::cancelled;
  }
  return Json(platform::EncodeJobState(phase));
}

http_response caller_api::Pending(admitted_call const& aCall) const
{
  std::size_t count = 0;
  for (auto const& [id, job] : mOptions.mReplica.Jobs()) {
    if (job->Description().mQueue == aCall.mQueue->mName && !IsFinal(job->Phase()) &&
        !job->HasStarted() && mOptions.mReplica.CancellationVersion(id) == 0) {
      ++count;
    }
  }
  return Json(platform::EncodePending(count));
}

} // namespace rattanpond::dispatch
