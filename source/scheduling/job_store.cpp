#include "scheduling/job_store.h"

#include "base/identifiers.h"
#include "base/logging.h"
#include "scheduling/job_registry.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace rattanpond::scheduling {

namespace asio = boost::asio;
using base::reply;
using base::result_code;

namespace {

constexpr std::string_view kPrefix = "job/";
constexpr base::milliseconds kCommitTimeout{ 3000 };
constexpr base::milliseconds kInitialRetryDelay{ 200 };
constexpr base::milliseconds kMaximumRetryDelay{ 2000 };

reply<job> Parse(platform::table_row const& aRow)
{
  return base::Capture([&] { return base::Decode<job>(aRow.mValue); });
}

base::error NotFound(std::string const& aId)
{
  return { .mCode = result_code::not_found, .mMessage = "there is no job " + aId };
}

} // namespace

job_store::job_store(asio::io_context& aContext, platform::table_service& aTable,
                     end_observer aOnStoredEnd)
  : mContext{ aContext }
  , mTable{ aTable }
  , mOnStoredEnd{ std::move(aOnStoredEnd) }
{
}

job_store::~job_store()
{
  *mAlive = false;
}

std::string job_store::JobId(std::string const& aWorkspace, std::string const& aKey)
{
  return base::NameBasedIdentifier(aWorkspace, aKey);
}

asio::awaitable<reply<job>> job_store::Create(job aJob)
{
  auto const written = co_await WriteRow(aJob, platform::kAbsent);
  if (base::Succeeded(written)) {
    co_return aJob;
  }
  if (base::Error(written).mCode != result_code::condition_failed) {
    co_return base::Error(written);
  }
  auto const row = co_await ReadRow(aJob.mId);
  if (!base::Succeeded(row)) {
    co_return base::Error(row);
  }
  auto existing = Parse(std::get<0>(row));
  if (base::Succeeded(existing) && std::get<0>(existing).mSpecification != aJob.mSpecification) {
    co_return base::error{ result_code::key_reused,
                           "the idempotency key belongs to a job with another specification" };
  }
  co_return existing;
}

asio::awaitable<reply<std::optional<job>>> job_store::Read(std::string aId)
{
  auto const row = co_await ReadRow(aId);
  if (!base::Succeeded(row)) {
    if (base::Error(row).mCode == result_code::not_found) {
      co_return std::optional<job>{};
    }
    co_return base::Error(row);
  }
  auto parsed = Parse(std::get<0>(row));
  if (!base::Succeeded(parsed)) {
    co_return base::Error(parsed);
  }
  co_return std::optional<job>{ std::get<0>(std::move(parsed)) };
}

asio::awaitable<reply<std::vector<job>>> job_store::ReadAll()
{
  auto const rows = co_await platform::ScanAll(mTable, std::string{ kPrefix });
  if (!base::Succeeded(rows)) {
    co_return base::Error(rows);
  }
  std::vector<job> jobs;
  for (auto const& row : std::get<0>(rows)) {
    auto parsed = Parse(row);
    if (base::Succeeded(parsed)) {
      jobs.push_back(std::get<0>(std::move(parsed)));
    } else {
      base::Log("scheduling")
        ->error("Cannot decode row {} as a job: {}.", row.mKey, base::Error(parsed).mMessage);
    }
  }
  co_return jobs;
}

asio::awaitable<reply<job>> job_store::Cancel(std::string aId)
{
  // Another entry may write the row between the read and the write. Each such conflict means that
  // the other write succeeded.
  constexpr int kAttempts = 5;
  base::error last{ result_code::condition_failed,
                    "every attempt conflicted with another write of the job row" };
  for (int attempt = 0; attempt < kAttempts; ++attempt) {
    auto const row = co_await ReadRow(aId);
    if (!base::Succeeded(row)) {
      co_return base::Error(row);
    }
    auto parsed = Parse(std::get<0>(row));
    if (!base::Succeeded(parsed) || IsFinal(std::get<0>(parsed).mState)) {
      co_return parsed;
    }
    auto cancelled = std::get<0>(std::move(parsed));
    cancelled.mState = job_state::cancelled;
    cancelled.mHistory.push_back({ .mWallMilliseconds = base::WallClockMilliseconds(),
                                   .mState = job_state::cancelled,
                                   .mReason = "cancelled by the caller" });
    auto const written = co_await WriteRow(cancelled, std::get<0>(row).mRevision);
    if (base::Succeeded(written)) {
      co_return cancelled;
    }
    last = base::Error(written);
    if (last.mCode != result_code::condition_failed) {
      break;
    }
  }
  co_return last;
}

asio::awaitable<std::vector<std::string>> job_store::RemoveEnded(std::vector<job> aJobs,
                                                                 std::int64_t aBeforeMilliseconds)
{
  // Limits the reads and writes that the removal adds to one reload.
  constexpr std::size_t kMaximumAttempts = 100;
  std::erase_if(aJobs, [&](job const& aJob) {
    return !IsFinal(aJob.mState) || aJob.mHistory.empty() ||
           aJob.mHistory.back().mWallMilliseconds >= aBeforeMilliseconds;
  });
  aJobs.resize(std::min(aJobs.size(), kMaximumAttempts));
  auto const aliveFlag = mAlive;
  std::vector<std::string> removed;
  for (auto const& each : aJobs) {
    auto const row = co_await ReadRow(each.mId);
    if (!*aliveFlag || !base::Succeeded(row)) {
      break;
    }
    platform::table_transaction removal;
    removal.mAttempt = base::RandomIdentifier();
    removal.mWrites.emplace_back();
    removal.mWrites.back().mKey = std::get<0>(row).mKey;
    removal.mWrites.back().mExpectedRevision = std::get<0>(row).mRevision;
    // An unknown outcome need not be resolved: the next reload either finds the row again or does
    // not.
    auto const committed = co_await mTable.CommitOnce(std::move(removal));
    if (!*aliveFlag) {
      break;
    }
    if (base::Succeeded(committed)) {
      removed.push_back(each.mId);
    }
  }
  co_return removed;
}

void job_store::Update(job aJob)
{
  auto id = aJob.mId;
  mPending.insert_or_assign(std::move(id), std::move(aJob));
  if (!mIsWriting) {
    mIsWriting = true;
    co_spawn(mContext, WritePending(mAlive), asio::detached);
  }
}

asio::awaitable<reply<platform::table_row>> job_store::ReadRow(std::string aId)
{
  auto const read = co_await mTable.Read(std::string{ kPrefix } + aId);
  if (!base::Succeeded(read)) {
    co_return base::Error(read);
  }
  auto const& row = std::get<0>(read);
  if (!row) {
    co_return NotFound(aId);
  }
  co_return *row;
}

asio::awaitable<reply<base::done>> job_store::WriteRow(job aJob, std::uint64_t aRevision)
{
  platform::table_write write{ .mKey = std::string{ kPrefix } + aJob.mId,
                               .mValue = base::Encode(aJob),
                               .mExpectedRevision = aRevision };
  platform::table_transaction transaction{ .mAttempt = base::RandomIdentifier(), .mWrites = {} };
  transaction.mWrites.push_back(std::move(write));
  co_return co_await platform::Commit(mTable, std::move(transaction), kCommitTimeout);
}

asio::awaitable<void> job_store::WritePending(alive aAlive)
{
  auto delay = kInitialRetryDelay;
  while (*aAlive && !mPending.empty()) {
    auto node = mPending.extract(mPending.begin());
    auto const update = std::move(node.mapped());
    auto const isDone = co_await WriteUpdate(update, aAlive);
    if (!*aAlive) {
      co_return;
    }
    if (isDone) {
      delay = kInitialRetryDelay;
      continue;
    }
    // Keeps a newer update that was queued during the write.
    mPending.try_emplace(update.mId, update);
    asio::steady_timer timer{ mContext, delay };
    co_await timer.async_wait(asio::use_awaitable);
    delay = std::min(delay * 2, kMaximumRetryDelay);
  }
  if (*aAlive) {
    mIsWriting = false;
  }
}

asio::awaitable<bool> job_store::WriteUpdate(job aJob, alive aAlive)
{
  auto const row = co_await ReadRow(aJob.mId);
  if (!*aAlive) {
    co_return true;
  }
  std::uint64_t revision = platform::kAbsent;
  if (base::Succeeded(row)) {
    revision = std::get<0>(row).mRevision;
    auto const parsed = Parse(std::get<0>(row));
    if (base::Succeeded(parsed)) {
      auto const& existing = std::get<0>(parsed);
      if (IsFinal(existing.mState)) {
        if (existing.mState != aJob.mState) {
          mOnStoredEnd(existing);
        }
        co_return true;
      }
      if (existing.mAttempt > aJob.mAttempt && !IsFinal(aJob.mState)) {
        // A scheduler with a higher term has already started a later attempt of the job.
        co_return true;
      }
    }
  } else if (base::Error(row).mCode != result_code::not_found) {
    co_return false;
  }
  auto const written = co_await WriteRow(std::move(aJob), revision);
  co_return base::Succeeded(written);
}

} // namespace rattanpond::scheduling
