#include "scheduling/scheduler_service.h"

#include "base/logging.h"

#include <boost/asio/use_awaitable.hpp>

// HTTP handlers for jobs, and the forwarding of submissions and cancellations between entries.

// NOTE: GCC 12 inlines the allocation of a coroutine frame but not its deallocation, and then
// reports the pair as mismatched (GCC bug 109224). For a variant that is returned from a coroutine
// it reports the inactive member as uninitialized.
#pragma GCC diagnostic ignored "-Wmismatched-new-delete"
#pragma GCC diagnostic ignored "-Wmaybe-uninitialized"

namespace rattanpond::scheduling {

namespace asio = boost::asio;
using base::result_code;
using net::http_response;

namespace {

constexpr base::milliseconds kForwardInterval{ 500 };
constexpr base::milliseconds kPollInterval{ 20 };
constexpr base::milliseconds kForwardTimeout{ 60'000 };
constexpr base::milliseconds kCancelForwardTimeout{ 2000 };

// gang_record allows 2 s for the reservation and 2 s for the commit; the rest is margin.
constexpr base::milliseconds kGangCommitTimeout{ 4500 };

base::reply<job> Refused(result_code aCode, std::string aMessage)
{
  return base::error{ aCode, std::move(aMessage) };
}

http_response JobResponse(unsigned aStatus, job const& aJob)
{
  return net::JsonResponse(aStatus, base::Encode(aJob));
}

http_response NoSuchJob(std::string const& aId)
{
  return net::ErrorResponse(
    { .mCode = result_code::not_found, .mMessage = "there is no job " + aId });
}

asio::awaitable<void> Wait(asio::io_context& aContext, base::milliseconds aTime)
{
  asio::steady_timer timer{ aContext, aTime };
  co_await timer.async_wait(asio::use_awaitable);
}

} // namespace

void scheduler_service::Register(net::http_router& aRouter)
{
  aRouter.Add("POST", "/v1/jobs",
              [this](net::routed_request aRequest) { return HandleSubmit(std::move(aRequest)); });
  aRouter.Add("GET", "/v1/jobs",
              [this](net::routed_request aRequest) { return HandleList(std::move(aRequest)); });
  aRouter.Add("GET", "/v1/jobs/{id}",
              [this](net::routed_request aRequest) { return HandleRead(std::move(aRequest)); });
  aRouter.Add("DELETE", "/v1/jobs/{id}",
              [this](net::routed_request aRequest) { return HandleCancel(std::move(aRequest)); });
}

void scheduler_service::Register(base::state_dump& aDump)
{
  aDump.Register("scheduler", [this] {
    auto gangs = base::json::array();
    for (auto const& [id, known] : mRegistry.Entries()) {
      if (known.mGang) {
        auto const& gang = *known.mGang;
        gangs.push_back({ { "job", id },
                          { "attempt", known.mJob.mAttempt },
                          { "phase", base::Name(gang.Phase()) },
                          { "roster", base::Encode(gang.Description().mRoster) } });
      }
    }
    return base::json{ { "role", base::Name(mRole.State()) },
                       { "term", base::Encode(mRole.Term()) },
                       { "highest_term", base::Encode(mRole.HighestTerm()) },
                       { "recovered", mIsRecovered },
                       { "jobs", mRegistry.Entries().size() },
                       { "rows_to_write", mStore.PendingUpdates() },
                       { "gangs", std::move(gangs) } };
  });
}

base::result<void> scheduler_service::CheckCaller(std::string_view aAuthorization,
                                                  std::string const& aWorkspace) const
{
  auto const snapshot = mOptions.mSnapshot();
  if (!snapshot) {
    return base::Fail(result_code::not_synchronized, "the configuration is not loaded yet");
  }
  auto const found = snapshot->mContracts.find(aWorkspace);
  if (found == snapshot->mContracts.end()) {
    // Only operators learn that a workspace does not exist, and only they may access the jobs of a
    // removed workspace.
    return mAccess.CheckOperator(aAuthorization);
  }
  return mAccess.CheckCaller(aAuthorization, found->second);
}

base::result<job> scheduler_service::ParseSubmission(net::routed_request const& aRequest) const
{
  auto const& headers = aRequest.mRequest.mHeaders;
  auto const key = std::string{ headers.Value("Idempotency-Key") };
  if (key.empty()) {
    return base::Fail(result_code::missing_idempotency_key,
                      "a job submission requires the header Idempotency-Key");
  }
  BOOST_LEAF_AUTO(specification, base::DecodeText<job_specification>(
                                   aRequest.mRequest.mBody, result_code::invalid_argument));
  BOOST_LEAF_CHECK(CheckCaller(headers.Value("Authorization"), specification.mWorkspace));
  if (!mOptions.mSnapshot()->mContracts.contains(specification.mWorkspace)) {
    return base::Fail(result_code::unknown_workspace,
                      "there is no contract for workspace " + specification.mWorkspace);
  }
  if (specification.mRegion.empty()) {
    specification.mRegion = mOptions.mRegion;
  }
  job submitted;
  submitted.mId = job_store::JobId(specification.mWorkspace, key);
  submitted.mKey = key;
  submitted.mSpecification = std::move(specification);
  submitted.mSubmittedWallMilliseconds = base::WallClockMilliseconds();
  submitted.mHistory.push_back({ .mWallMilliseconds = submitted.mSubmittedWallMilliseconds,
                                 .mState = job_state::queued,
                                 .mReason = "submitted" });
  return submitted;
}

asio::awaitable<http_response> scheduler_service::HandleSubmit(net::routed_request aRequest)
{
  auto const parsed = base::Capture([&] { return ParseSubmission(aRequest); });
  if (!base::Succeeded(parsed)) {
    co_return net::ErrorResponse(base::Error(parsed));
  }
  auto const submitted = std::get<0>(parsed);
  auto const created = co_await mStore.Create(submitted);
  if (!base::Succeeded(created)) {
    auto const& failure = base::Error(created);
    if (failure.mCode == result_code::store_unavailable) {
      co_return co_await SubmitWithoutStore(submitted);
    }
    co_return net::ErrorResponse(failure);
  }
  auto const& accepted = std::get<0>(created);
  mMetrics.Counter("scheduling_jobs_submitted").Add();
  if (mRole.Holds() && IsOwn(accepted)) {
    mRegistry.Put(accepted, base::Now());
    Flush();
  } else if (!IsFinal(accepted.mState)) {
    ForwardInBackground(net::EncodeFrame(job_submit{ accepted }), accepted.mId);
  }
  co_return JobResponse(201, accepted);
}

base::milliseconds scheduler_service::UnrecordedCommitTimeout(job const& aJob) const
{
  // The job of a workspace with a guarantee may have to wait until gangs that borrow the guaranteed
  // capacity are preempted.
  auto const snapshot = mOptions.mSnapshot();
  auto const found = snapshot->mContracts.find(aJob.mSpecification.mWorkspace);
  if (found == snapshot->mContracts.end() || found->second.mGuarantee.empty()) {
    return kGangCommitTimeout;
  }
  return kGangCommitTimeout + found->second.mReclaimBound;
}

asio::awaitable<base::reply<job>> scheduler_service::CommitUnrecorded(job aJob)
{
  auto const aliveFlag = mAlive;
  auto const id = aJob.mId;
  auto const deadline = base::Now() + UnrecordedCommitTimeout(aJob);
  auto const* known = mRegistry.Find(id);
  if (known != nullptr && known->mJob.mSpecification != aJob.mSpecification) {
    co_return Refused(result_code::key_reused,
                      "the idempotency key belongs to a job with another specification");
  }
  // A repeated submission waits for the outcome of the first one.
  auto const isFirst = known == nullptr && mUnrecordedCommits.insert(id).second;
  if (isFirst) {
    mRegistry.PutTentative(aJob, base::Now());
    mIsDecisionDue = true;
  }
  while (true) {
    known = mRegistry.Find(id);
    if (known != nullptr &&
        (!known->mIsTentative || (known->mGang && known->mGang->IsCommitted()))) {
      auto const accepted = known->mJob;
      mUnrecordedCommits.erase(id);
      mRegistry.Confirm(id);
      Flush();
      co_return accepted;
    }
    if (known == nullptr || base::Now() >= deadline) {
      break;
    }
    co_await Wait(mContext, kPollInterval);
    if (!*aliveFlag) {
      co_return Refused(result_code::shutting_down, "not accepted: this entry is shutting down");
    }
  }
  if (isFirst) {
    mUnrecordedCommits.erase(id);
    mRegistry.Withdraw(id, base::Now());
    Flush();
  }
  co_return Refused(result_code::store_unavailable,
                    "not accepted: the store is unavailable and the job cannot start");
}

asio::awaitable<void> scheduler_service::AnswerUnrecorded(net::link_ptr aLink, job aJob)
{
  auto const id = aJob.mId;
  auto const committed = co_await CommitUnrecorded(std::move(aJob));
  job_reply reply;
  reply.mJob = id;
  reply.mCode = base::Succeeded(committed) ? result_code::ok : base::Error(committed).mCode;
  aLink->Send(reply);
}

asio::awaitable<http_response> scheduler_service::SubmitWithoutStore(job aJob)
{
  if (mRole.Holds() && IsOwn(aJob)) {
    auto const committed = co_await CommitUnrecorded(std::move(aJob));
    if (!base::Succeeded(committed)) {
      co_return net::ErrorResponse(base::Error(committed));
    }
    co_return JobResponse(201, std::get<job>(committed));
  }
  auto const limit = UnrecordedCommitTimeout(aJob) + kForwardInterval;
  job_submit message;
  message.mJob = aJob;
  message.mRecord = job_record::missing;
  auto const isCommitted = co_await Forward(net::EncodeFrame(message), aJob.mId, limit);
  if (!isCommitted) {
    co_return net::ErrorResponse(
      { .mCode = result_code::store_unavailable,
        .mMessage = "not accepted: the store is unavailable and the job cannot start" });
  }
  co_return JobResponse(201, aJob);
}

asio::awaitable<base::reply<job>> scheduler_service::ReadJob(std::string aId)
{
  if (mRole.Holds() && mRegistry.Find(aId) != nullptr) {
    co_return mRegistry.Find(aId)->mJob;
  }
  auto const read = co_await mStore.Read(aId);
  if (!base::Succeeded(read)) {
    co_return base::Error(read);
  }
  auto const& found = std::get<0>(read);
  if (!found) {
    co_return base::error{ result_code::not_found, "there is no job " + aId };
  }
  co_return *found;
}

asio::awaitable<http_response> scheduler_service::HandleRead(net::routed_request aRequest)
{
  auto const found = co_await ReadJob(aRequest.mPath["id"]);
  if (!base::Succeeded(found)) {
    co_return net::ErrorResponse(base::Error(found));
  }
  auto const& read = std::get<0>(found);
  auto const admitted = base::Capture([&] {
    return CheckCaller(aRequest.mRequest.mHeaders.Value("Authorization"),
                       read.mSpecification.mWorkspace);
  });
  if (!base::Succeeded(admitted)) {
    co_return net::ErrorResponse(base::Error(admitted));
  }
  co_return JobResponse(200, read);
}

asio::awaitable<http_response> scheduler_service::HandleList(net::routed_request aRequest)
{
  auto const workspace = aRequest.mQuery["workspace"];
  auto const authorization = std::string{ aRequest.mRequest.mHeaders.Value("Authorization") };
  auto const admitted = base::Capture([&] {
    return workspace.empty() ? mAccess.CheckOperator(authorization)
                             : CheckCaller(authorization, workspace);
  });
  if (!base::Succeeded(admitted)) {
    co_return net::ErrorResponse(base::Error(admitted));
  }
  auto const rows = co_await mStore.ReadAll();
  if (!base::Succeeded(rows) && !mRole.Holds()) {
    co_return net::ErrorResponse(base::Error(rows));
  }
  std::map<std::string, job> jobs;
  if (base::Succeeded(rows)) {
    for (auto const& each : std::get<0>(rows)) {
      jobs[each.mId] = each;
    }
  }
  if (mRole.Holds()) {
    for (auto const& [id, known] : mRegistry.Entries()) {
      jobs[id] = known.mJob;
    }
  }
  auto document = base::json::array();
  for (auto const& [id, each] : jobs) {
    if (workspace.empty() || each.mSpecification.mWorkspace == workspace) {
      document.push_back(base::Encode(each));
    }
  }
  co_return net::JsonResponse(200, { { "jobs", std::move(document) } });
}

asio::awaitable<http_response> scheduler_service::HandleCancel(net::routed_request aRequest)
{
  auto const id = aRequest.mPath["id"];
  auto const authorization = std::string{ aRequest.mRequest.mHeaders.Value("Authorization") };
  auto const found = co_await ReadJob(id);
  auto const isKnown = base::Succeeded(found);
  if (!isKnown && base::Error(found).mCode == result_code::not_found) {
    co_return NoSuchJob(id);
  }
  // If the store is unavailable, this entry cannot read the workspace of the job. It authorizes the
  // caller for the workspace that the request names; the scheduler checks that the job belongs to
  // it.
  auto const workspace =
    isKnown ? std::get<0>(found).mSpecification.mWorkspace : aRequest.mQuery["workspace"];
  auto const admitted = base::Capture([&] { return CheckCaller(authorization, workspace); });
  if (!base::Succeeded(admitted)) {
    co_return net::ErrorResponse(base::Error(admitted));
  }
  auto const isHeld = mRole.Holds() && mRegistry.Cancel(id, base::Now());
  // The stop orders are sent first; the row is written afterwards.
  Flush();
  auto const written = co_await mStore.Cancel(id);
  if (base::Succeeded(written)) {
    if (!isHeld) {
      ForwardInBackground(net::EncodeFrame(job_cancel{ id, workspace }), id);
    }
    co_return JobResponse(200, std::get<0>(written));
  }
  if (isHeld) {
    auto const* const known = mRegistry.Find(id);
    co_return known != nullptr ? JobResponse(202, known->mJob) : NoSuchJob(id);
  }
  auto const isAcknowledged =
    co_await Forward(net::EncodeFrame(job_cancel{ id, workspace }), id, kCancelForwardTimeout);
  if (isAcknowledged) {
    co_return net::JsonResponse(202, { { "id", id }, { "state", "cancelled" } });
  }
  co_return net::ErrorResponse(base::Error(written));
}

asio::awaitable<bool> scheduler_service::Forward(base::bytes aFrame, std::string aJob,
                                                 base::milliseconds aTimeout)
{
  auto const aliveFlag = mAlive;
  auto const deadline = base::Now() + aTimeout;
  auto nextSend = base::Now();
  mReplies.insert_or_assign(aJob, result_code::timed_out);
  while (base::Now() < deadline) {
    if (base::Now() >= nextSend) {
      for (auto const& link : mEntries.OpenLinks()) {
        link->SendBytes(aFrame);
      }
      nextSend = base::Now() + kForwardInterval;
    }
    co_await Wait(mContext, kPollInterval);
    if (!*aliveFlag) {
      co_return false;
    }
    auto const reply = mReplies.find(aJob);
    if (reply == mReplies.end() || reply->second == result_code::ok) {
      mReplies.erase(aJob);
      co_return true;
    }
    if (reply->second != result_code::timed_out) {
      // The scheduler refused the request.
      break;
    }
    if (mRole.Holds()) {
      // This entry became the scheduler. It reads all rows itself, so the request needs no
      // forwarding.
      break;
    }
  }
  mReplies.erase(aJob);
  co_return false;
}

asio::awaitable<void> scheduler_service::ForwardUntilAcknowledged(base::bytes aFrame,
                                                                  std::string aJob, alive aAlive)
{
  auto const isAcknowledged = co_await Forward(std::move(aFrame), aJob, kForwardTimeout);
  if (*aAlive && !isAcknowledged && !mRole.Holds()) {
    base::Log("scheduling")->warn("No scheduler acknowledged the request for job {}.", aJob);
  }
}

} // namespace rattanpond::scheduling
