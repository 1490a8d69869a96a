#include "world.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iostream>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/beast/http.hpp>

namespace review {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

namespace {

std::mutex sRecordMutex;
std::ofstream sRecord;
std::mutex sProcessMutex;
std::set<pid_t> sProcesses;

constexpr std::uint16_t kCallersPort = 8521;
constexpr std::uint16_t kReadinessPort = 8523;
constexpr std::uint16_t kControlPort = 8526;
constexpr std::uint16_t kExecutorPort = 8529;
constexpr std::uint16_t kFirstStorePort = 8600;
/// Reserves a network for this run.
constexpr std::uint16_t kReservationPort = 8599;
/// Last numbers of the addresses.
constexpr std::size_t kFirstFront = 11;
constexpr std::size_t kFirstSide = 31;
constexpr std::int64_t kHeartbeatMs = 1500;
constexpr std::int64_t kStopMs = 100;
/// Time until the other members of a gang learn that one has ended.
constexpr std::int64_t kGangNoticeMs = 20;
constexpr std::size_t kListedEnds = 500;

/// Returns "127.A.B." for loopback addresses that no other run uses.
std::string FreeNetwork()
{
  static asio::io_context sContext;
  static tcp::acceptor sReservation{ sContext };
  for (int attempt = 0; attempt < 100; ++attempt) {
    auto const number = (getpid() + attempt * 7919) % 40'000;
    auto network =
      "127." + std::to_string(20 + number / 200) + "." + std::to_string(20 + number % 200) + ".";
    beast::error_code failure;
    sReservation.close(failure);
    sReservation.open(tcp::v4(), failure);
    sReservation.bind({ asio::ip::make_address(network + "7"), kReservationPort }, failure);
    if (!failure) {
      sReservation.listen(1, failure);
      return network;
    }
  }
  Record("no free addresses");
  Finish(2);
}

std::string EncodeBase64(std::string const& aText)
{
  std::string encoded(beast::detail::base64::encoded_size(aText.size()), '\0');
  encoded.resize(beast::detail::base64::encode(encoded.data(), aText.data(), aText.size()));
  return encoded;
}

std::string PercentDecode(std::string const& aText)
{
  std::string decoded;
  for (std::size_t index = 0; index < aText.size(); ++index) {
    if (aText[index] == '%' && index + 2 < aText.size()) {
      decoded += static_cast<char>(std::stoi(aText.substr(index + 1, 2), nullptr, 16));
      index += 2;
    } else {
      decoded += aText[index];
    }
  }
  return decoded;
}

std::map<std::string, std::string> Query(std::string const& aTarget)
{
  std::map<std::string, std::string> query;
  auto position = aTarget.find('?');
  while (position != std::string::npos) {
    auto const end = aTarget.find('&', position + 1);
    auto const part = aTarget.substr(position + 1, end == std::string::npos ? std::string::npos
                                                                            : end - position - 1);
    auto const equals = part.find('=');
    query[part.substr(0, equals)] =
      equals == std::string::npos ? "" : PercentDecode(part.substr(equals + 1));
    position = end;
  }
  return query;
}

void ServeConnection(tcp::socket aSocket, http_handler const& aHandler)
{
  beast::error_code failure;
  aSocket.set_option(tcp::no_delay{ true }, failure);
  beast::flat_buffer buffer;
  while (true) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(16 * 1024 * 1024);
    http::read(aSocket, buffer, parser, failure);
    if (failure) {
      return;
    }
    auto const& message = parser.get();
    http_call const call{ std::string{ message.method_string() }, std::string{ message.target() },
                          message.body(), std::string{ message["X-Expect-Instance"] } };
    auto reply = aHandler(call);
    if (!reply) {
      return;
    }
    http::response<http::string_body> response;
    response.version(11);
    response.result(static_cast<unsigned>(reply->mStatus));
    response.set(http::field::content_type, "application/json");
    response.keep_alive(message.keep_alive());
    response.body() = std::move(reply->mBody);
    response.prepare_payload();
    http::write(aSocket, response, failure);
    if (failure || !message.keep_alive()) {
      return;
    }
  }
}

std::map<std::string, executor::demand>& Demands()
{
  static std::map<std::string, executor::demand> sDemands;
  return sDemands;
}

std::mutex sDemandMutex;

executor::demand DemandOf(std::string const& aTask)
{
  std::lock_guard const lock{ sDemandMutex };
  return Demands()[aTask.substr(0, aTask.find('.'))];
}

} // namespace

std::int64_t NowMs()
{
  static auto const sStart = std::chrono::steady_clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() -
                                                               sStart)
    .count();
}

std::int64_t WallMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

void SleepMs(std::int64_t aTime)
{
  std::this_thread::sleep_for(std::chrono::milliseconds{ aTime });
}

void OpenRecord(std::string const& aPath)
{
  sRecord.open(aPath, std::ios::trunc);
}

void Record(std::string const& aLine)
{
  std::lock_guard const lock{ sRecordMutex };
  auto const text = std::to_string(NowMs()) + " ms  " + aLine;
  sRecord << text << '\n' << std::flush;
  std::cout << text << '\n' << std::flush;
}

void Serve(std::string const& aAddress, std::uint16_t aPort, http_handler aHandler)
{
  auto const context = std::make_shared<asio::io_context>();
  auto const acceptor = std::make_shared<tcp::acceptor>(
    *context, tcp::endpoint{ asio::ip::make_address(aAddress), aPort });
  std::thread{
    [context, acceptor, handler = std::move(aHandler)] {
      while (true) {
        beast::error_code failure;
        tcp::socket socket{ *context };
        acceptor->accept(socket, failure);
        if (!failure) {
          std::thread{
            [context, handler, connection = std::move(socket)]() mutable {
              ServeConnection(std::move(connection), handler);
            }
          }.detach();
        }
      }
    }
  }.detach();
}

call_result Call(std::string const& aAddress, std::uint16_t aPort, std::string const& aMethod,
                 std::string const& aTarget, std::map<std::string, std::string> const& aHeaders,
                 std::string const& aBody, std::int64_t aTimeoutMs)
{
  asio::io_context context;
  beast::tcp_stream stream{ context };
  http::request<http::string_body> request;
  request.version(11);
  request.method_string(aMethod);
  request.target(aTarget);
  request.set(http::field::host, deployment::kHost);
  request.set(http::field::content_type, "application/json");
  request.keep_alive(false);
  for (auto const& [header, value] : aHeaders) {
    request.set(header, value);
  }
  request.body() = aBody;
  request.prepare_payload();
  beast::flat_buffer buffer;
  http::response<http::string_body> response;
  call_result result;
  stream.expires_after(std::chrono::milliseconds{ aTimeoutMs });
  stream.async_connect(
    tcp::endpoint{ asio::ip::make_address(aAddress), aPort }, [&](beast::error_code aFailure) {
      if (aFailure) {
        return;
      }
      http::async_write(stream, request, [&](beast::error_code aWriteFailure, std::size_t) {
        if (aWriteFailure) {
          return;
        }
        http::async_read(stream, buffer, response,
                         [&](beast::error_code aReadFailure, std::size_t) {
                           if (!aReadFailure) {
                             result = { static_cast<int>(response.result_int()), response.body() };
                           }
                         });
      });
    });
  context.run();
  return result;
}

store::endpoint& store::Open(std::string const& aName, std::uint16_t aPort)
{
  auto* const opened = new endpoint{};
  opened->mName = aName;
  Serve(mAddress, aPort, [this, opened](http_call const& aCall) { return Handle(*opened, aCall); });
  return *opened;
}

std::string store::Decode(std::string const& aBase64)
{
  std::string decoded(beast::detail::base64::decoded_size(aBase64.size()), '\0');
  decoded.resize(
    beast::detail::base64::decode(decoded.data(), aBase64.data(), aBase64.size()).first);
  return decoded;
}

json store::Entry(name const& aName, row const* aRow, std::uint64_t aVersion)
{
  json entry{ { "table", aName.first }, { "part", "" }, { "key", aName.second } };
  if (aRow == nullptr) {
    entry["deleted"] = true;
    entry["ver"] = aVersion;
  } else {
    entry["value"] = aRow->mValue;
    entry["ver"] = aRow->mVersion;
  }
  return entry;
}

void store::Put(std::string const& aTable, std::string const& aKey, std::string const& aText)
{
  std::lock_guard const lock{ mMutex };
  ++mVersion;
  mRows[{ aTable, aKey }] = { EncodeBase64(aText), mVersion };
  mHistory[mVersion].insert({ aTable, aKey });
  mChanged.notify_all();
}

void store::Remove(std::string const& aTable, std::string const& aKey)
{
  std::lock_guard const lock{ mMutex };
  ++mVersion;
  mRows.erase({ aTable, aKey });
  mHistory[mVersion].insert({ aTable, aKey });
  mChanged.notify_all();
}

void store::DiscardHistory()
{
  std::lock_guard const lock{ mMutex };
  mDiscarded = mVersion;
  mChanged.notify_all();
}

bool store::Has(std::string const& aTable, std::string const& aKey)
{
  std::lock_guard const lock{ mMutex };
  return mRows.contains({ aTable, aKey });
}

std::optional<http_reply> store::Handle(endpoint& aEndpoint, http_call const& aCall)
{
  if (aEndpoint.mRefuses) {
    return http_reply{ 503, "{}" };
  }
  auto const path = aCall.mTarget.substr(0, aCall.mTarget.find('?'));
  // An answer takes 4 ms, a transaction 3 ms more.
  if (path == "/api/rows-tx") {
    SleepMs(7);
    bool isAnswered = true;
    auto reply = Transact(aEndpoint, json::parse(aCall.mBody), isAnswered);
    return isAnswered ? std::optional{ reply } : std::nullopt;
  }
  SleepMs(4);
  if (path == "/api/rows-get") {
    return Get(Query(aCall.mTarget));
  }
  if (path == "/api/rows-feed") {
    return Feed(Query(aCall.mTarget));
  }
  return http_reply{ 404, "{}" };
}

http_reply store::Transact(endpoint& aEndpoint, json const& aBody, bool& aIsAnswered)
{
  std::size_t entries = 0;
  for (auto const* const list : { "expect_rev", "puts", "remove" }) {
    entries += aBody.contains(list) ? aBody[list].size() : 0;
  }
  if (entries > 100 || aBody.dump().size() > 1'000'000) {
    return { 400, "{}" };
  }
  {
    std::lock_guard const lock{ mMutex };
    auto const nameOf = [](json const& aEntry) {
      return name{ aEntry.at("table").get<std::string>(), aEntry.at("key").get<std::string>() };
    };
    bool holds = true;
    json current = json::array();
    for (auto const& condition : aBody.value("expect_rev", json::array())) {
      auto const found = mRows.find(nameOf(condition));
      auto const version = found == mRows.end() ? 0 : found->second.mVersion;
      holds = holds && version == condition.at("ver").get<std::uint64_t>();
      if (found != mRows.end()) {
        current.push_back(Entry(found->first, &found->second, 0));
      }
    }
    if (!holds) {
      return { 412,
               json{ { "rows", current }, { "ver", mVersion }, { "now_ms", NowMs() } }.dump() };
    }
    for (auto const& put : aBody.value("puts", json::array())) {
      if (Decode(put.at("value").get<std::string>()).size() > 65'536) {
        return { 400, "{}" };
      }
    }
    ++mVersion;
    for (auto const& put : aBody.value("puts", json::array())) {
      mRows[nameOf(put)] = { put.at("value").get<std::string>(), mVersion };
      mHistory[mVersion].insert(nameOf(put));
    }
    for (auto const& removed : aBody.value("remove", json::array())) {
      mRows.erase(nameOf(removed));
      mHistory[mVersion].insert(nameOf(removed));
    }
    mChanged.notify_all();
  }
  auto const fault =
    aEndpoint.mOnCommitted ? aEndpoint.mOnCommitted(aBody) : transaction_fault::none;
  aIsAnswered = fault == transaction_fault::none;
  std::lock_guard const lock{ mMutex };
  return { 200, json{ { "ver", mVersion }, { "now_ms", NowMs() } }.dump() };
}

http_reply store::Get(std::map<std::string, std::string> const& aQuery)
{
  constexpr std::size_t kLargestPage = 1'000'000;
  std::lock_guard const lock{ mMutex };
  auto const value = [&](char const* aName) {
    auto const found = aQuery.find(aName);
    return found == aQuery.end() ? std::string{} : found->second;
  };
  auto const limit = value("limit").empty() ? 500UL : std::min(500UL, std::stoul(value("limit")));
  json rows = json::array();
  bool hasMore = false;
  std::size_t bytes = 0;
  for (auto row = mRows.lower_bound({ value("table"), value("from") });
       row != mRows.end() && row->first.first == value("table"); ++row) {
    if (rows.size() == limit || bytes > kLargestPage) {
      hasMore = true;
      break;
    }
    bytes += row->second.mValue.size();
    rows.push_back(Entry(row->first, &row->second, 0));
  }
  return { 200,
           json{
             { "rows", rows }, { "has_more", hasMore }, { "ver", mVersion }, { "now_ms", NowMs() } }
             .dump() };
}

http_reply store::Feed(std::map<std::string, std::string> const& aQuery)
{
  std::unique_lock lock{ mMutex };
  auto const table = aQuery.at("table");
  auto const after = std::stoull(aQuery.at("after"));
  auto const until = std::chrono::steady_clock::now() +
                     std::chrono::milliseconds{ std::stoll(aQuery.at("wait_ms")) };
  while (true) {
    if (after < mDiscarded) {
      return { 410, "{}" };
    }
    json rows = json::array();
    std::map<name, std::uint64_t> newest;
    for (auto change = mHistory.upper_bound(after); change != mHistory.end(); ++change) {
      for (auto const& changed : change->second) {
        if (changed.first == table) {
          newest[changed] = change->first;
        }
      }
    }
    std::multimap<std::uint64_t, name> ordered;
    for (auto const& [changed, version] : newest) {
      ordered.emplace(version, changed);
    }
    for (auto const& [version, changed] : ordered) {
      auto const found = mRows.find(changed);
      rows.push_back(Entry(changed, found == mRows.end() ? nullptr : &found->second, version));
    }
    if (!rows.empty() || mChanged.wait_until(lock, until) == std::cv_status::timeout) {
      return { 200, json{ { "rows", rows }, { "ver", mVersion }, { "now_ms", NowMs() } }.dump() };
    }
  }
}

std::optional<std::int64_t> gangs::Join(std::string const& aGang, std::size_t aMembers,
                                        std::string const& aTask)
{
  std::lock_guard const lock{ mMutex };
  auto& gang = mGangs[aGang];
  gang.mPresent.insert(aTask);
  if (!gang.mWorksSince && gang.mPresent.size() == aMembers) {
    gang.mWorksSince = NowMs();
  }
  return gang.mWorksSince;
}

std::optional<std::int64_t> gangs::WorksSince(std::string const& aGang)
{
  std::lock_guard const lock{ mMutex };
  return mGangs[aGang].mWorksSince;
}

void gangs::Ended(std::string const& aGang, std::int64_t aNoticeAt)
{
  std::lock_guard const lock{ mMutex };
  auto& gang = mGangs[aGang];
  gang.mBrokenAt = std::min(gang.mBrokenAt.value_or(aNoticeAt), aNoticeAt);
}

std::optional<std::int64_t> gangs::BrokenAt(std::string const& aGang)
{
  std::lock_guard const lock{ mMutex };
  return mGangs[aGang].mBrokenAt;
}

void event_log::Add(run_event aEvent)
{
  if (!mIsQuiet) {
    Record(aEvent.mExecutor + " " + aEvent.mWhat + " task=" + aEvent.mTask +
           " run=" + std::to_string(aEvent.mRun));
  }
  std::lock_guard const lock{ mMutex };
  mEvents.push_back(std::move(aEvent));
}

std::vector<run_event> event_log::All()
{
  std::lock_guard const lock{ mMutex };
  return mEvents;
}

std::size_t event_log::Count(std::string const& aJob, std::string const& aWhat)
{
  std::lock_guard const lock{ mMutex };
  return static_cast<std::size_t>(std::ranges::count_if(mEvents, [&](run_event const& aEvent) {
    return aEvent.mTask.starts_with(aJob + '.') && aEvent.mWhat == aWhat;
  }));
}

void executor::SetDemand(std::string const& aJob, demand aDemand)
{
  std::lock_guard const lock{ sDemandMutex };
  Demands()[aJob] = aDemand;
}

executor::executor(executor_options aOptions, event_log& aLog, gangs& aGangs,
                   std::function<run_plan(std::string const&, std::uint32_t)> aPlan)
  : mOptions{ std::move(aOptions) }
  , mLog{ aLog }
  , mGangs{ aGangs }
  , mPlan{ std::move(aPlan) }
  , mBorn{ WallMs() }
{
  Serve(mOptions.mAddress, mOptions.mPort,
        [this](http_call const& aCall) { return Handle(aCall); });
  std::thread{ [this] { Work(); } }.detach();
  std::thread{ [this] { Beat(); } }.detach();
}

void executor::Beat()
{
  while (!mIsLost) {
    SleepMs(10);
    if (mIsDown || NowMs() < mNextBeatAt) {
      continue;
    }
    mNextBeatAt = NowMs() + kHeartbeatMs;
    json const body{ { "service", mOptions.mService },
                     { "address", mOptions.mAddress + ":" + std::to_string(mOptions.mPort) },
                     { "zone", mOptions.mZone },
                     { "version", "v1" },
                     { "slots", 8 },
                     { "state", "ready" },
                     { "cold_left_ms", 0 },
                     { "capacity",
                       { { "cpu", mOptions.mMillicores },
                         { "mem_mb", mOptions.mMemory },
                         { "gpu", mOptions.mAccelerators } } },
                     { "labels", mOptions.mLabels },
                     { "clock_ms", Clock() },
                     { "born", mBorn },
                     { "seq", ++mSequence } };
    Call(mOptions.mAddress, mOptions.mControlPort, "PUT", "/api/instances/" + mOptions.mId, {},
         body.dump(), 1000);
  }
}

void executor::Crash()
{
  std::lock_guard const lock{ mMutex };
  mIsDown = true;
  for (auto const& active : mRuns) {
    mLog.Add({ NowMs(), mOptions.mId, active.mTask, active.mRun, "crashed" });
  }
  mRuns.clear();
  mEnds.clear();
  mOver.clear();
  mFence = 0;
  mLeaseEnd = 0;
  mNumber = 0;
  mAcknowledged = 0;
  Record(mOptions.mId + " crashes");
}

void executor::Restart(std::int64_t aFirstBeatMs, std::int64_t aClockStepMs)
{
  std::lock_guard const lock{ mMutex };
  mBorn = WallMs() + aClockStepMs;
  mClockZero = NowMs() - 1000;
  mSequence = 0;
  mNextBeatAt = NowMs() + aFirstBeatMs;
  mIsDown = false;
  Record(mOptions.mId + " is up again, born=" + std::to_string(mBorn));
}

void executor::CarryOutLateStart()
{
  json body;
  {
    std::lock_guard const lock{ mMutex };
    if (!mLateStart) {
      return;
    }
    body = *mLateStart;
  }
  auto const reply = Start(body);
  Record(mOptions.mId + " carries the late start out: " + std::to_string(reply.mStatus) + " " +
         reply.mBody);
}

std::optional<http_reply> executor::Handle(http_call const& aCall)
{
  if (mIsLost) {
    // A silent machine: the caller's own timeout ends the call.
    SleepMs(600'000);
  }
  if (!aCall.mInstance.empty() && aCall.mInstance != mOptions.mId) {
    return http_reply{ 421, "{}" };
  }
  if (mIsDown) {
    return std::nullopt;
  }
  auto const body = json::parse(aCall.mBody, nullptr, false);
  if (!body.is_object()) {
    return http_reply{ 400, "{}" };
  }
  if (aCall.mTarget == "/api/run-start" && mHoldsNextStart.exchange(false)) {
    Record(mOptions.mId + " leaves a start unanswered, task=" + body.value("task", "") +
           " run=" + std::to_string(body.value("run", 0)));
    std::lock_guard const lock{ mMutex };
    mLateStart = body;
    return std::nullopt;
  }
  if (aCall.mTarget == "/api/run-start") {
    return Start(body);
  }
  if (aCall.mTarget == "/api/run-stop") {
    return Stop(body);
  }
  if (aCall.mTarget == "/api/hold") {
    return Hold(body);
  }
  return aCall.mTarget == "/api/pace" ? Answer(200, "") : http_reply{ 404, "{}" };
}

http_reply executor::Answer(int aStatus, std::string const& aReason)
{
  json body{ { "clock_ms", Clock() } };
  if (!aReason.empty()) {
    body["reason"] = aReason;
  }
  return { aStatus, body.dump() };
}

http_reply executor::Start(json const& aBody)
{
  std::lock_guard const lock{ mMutex };
  auto const fence = aBody.value("fence", std::uint64_t{ 0 });
  if (fence < mFence) {
    return Answer(409, "fence");
  }
  mFence = fence;
  auto const task = aBody.at("task").get<std::string>();
  auto const number = aBody.at("run").get<std::uint32_t>();
  auto const deadline = aBody.at("deadline_ms").get<std::int64_t>();
  if (deadline <= Clock()) {
    return Answer(409, "late");
  }
  mLeaseEnd = std::max(mLeaseEnd, std::min(deadline, Clock() + mOptions.mHoldMaxMs));
  if (std::ranges::any_of(
        mRuns, [&](run const& aRun) { return aRun.mTask == task && aRun.mRun == number; })) {
    return Answer(200, "");
  }
  if (auto const over = mOver.find(task); over != mOver.end() && number <= over->second) {
    return Answer(409, "old");
  }
  auto needed = DemandOf(task);
  for (auto const& other : mRuns) {
    auto const used = DemandOf(other.mTask);
    needed.mMillicores += used.mMillicores;
    needed.mMemory += used.mMemory;
    needed.mAccelerators += used.mAccelerators;
  }
  if (needed.mMillicores > mOptions.mMillicores || needed.mMemory > mOptions.mMemory ||
      needed.mAccelerators > mOptions.mAccelerators) {
    return Answer(409, "room");
  }
  run started{ .mTask = task, .mRun = number, .mPlan = mPlan(task, number) };
  if (needed.mGangMembers > 0) {
    started.mGang = task.substr(0, task.rfind('.')) + "/" + std::to_string(number);
    mGangs.Join(started.mGang, needed.mGangMembers, task);
  } else {
    started.mWorksSince = NowMs();
  }
  mRuns.push_back(std::move(started));
  mLog.Add({ NowMs(), mOptions.mId, task, number, "start" });
  return Answer(200, "");
}

http_reply executor::Stop(json const& aBody)
{
  std::lock_guard const lock{ mMutex };
  auto const fence = aBody.value("fence", std::uint64_t{ 0 });
  if (fence < mFence) {
    return Answer(409, "fence");
  }
  mFence = fence;
  auto const task = aBody.at("task").get<std::string>();
  auto const number = aBody.at("run").get<std::uint32_t>();
  mOver[task] = std::max(mOver[task], number);
  for (auto& active : mRuns) {
    if (active.mTask == task && active.mRun == number && !active.mStopAt) {
      active.mStopAt = NowMs() + kStopMs;
    }
  }
  return Answer(200, "");
}

http_reply executor::Hold(json const& aBody)
{
  std::unique_lock lock{ mMutex };
  auto const fence = aBody.value("fence", std::uint64_t{ 0 });
  if (fence < mFence) {
    return Answer(409, "fence");
  }
  mFence = fence;
  mAcknowledged = std::max(mAcknowledged, aBody.value("ack_cursor", std::int64_t{ 0 }));
  std::erase_if(mEnds, [&](ended const& aEnd) { return aEnd.mNumber <= mAcknowledged; });
  auto const deadline = aBody.value("deadline_ms", std::int64_t{ 0 });
  if (deadline > 0) {
    mLeaseEnd = std::max(mLeaseEnd, std::min(deadline, Clock() + mOptions.mHoldMaxMs));
  }
  mChanged.wait_for(lock, std::chrono::milliseconds{ aBody.value("wait_ms", std::int64_t{ 0 }) },
                    [&] { return !mEnds.empty(); });
  json running = json::array();
  for (auto const& active : mRuns) {
    std::int64_t percent = 0;
    if (active.mWorksSince && active.mPlan.mWorkMs > 0) {
      percent =
        std::min<std::int64_t>(99, 100 * (NowMs() - *active.mWorksSince) / active.mPlan.mWorkMs);
    }
    running.push_back({ active.mTask, active.mRun, "", percent });
  }
  json finished = json::array();
  for (auto const& end : mEnds) {
    if (finished.size() < kListedEnds) {
      finished.push_back({ end.mNumber, end.mTask, end.mRun, end.mHow, "" });
    }
  }
  return { 200, json{ { "clock_ms", Clock() },
                      { "born", mBorn },
                      { "running", running },
                      { "finished", finished } }
                  .dump() };
}

void executor::End(std::size_t aIndex, std::string const& aHow)
{
  auto const over = mRuns[aIndex];
  mRuns.erase(mRuns.begin() + static_cast<std::ptrdiff_t>(aIndex));
  mOver[over.mTask] = std::max(mOver[over.mTask], over.mRun);
  mEnds.push_back({ ++mNumber, over.mTask, over.mRun, aHow });
  mLog.Add({ NowMs(), mOptions.mId, over.mTask, over.mRun, aHow });
  if (!over.mGang.empty() && aHow != "done") {
    mGangs.Ended(over.mGang, NowMs() + kGangNoticeMs);
  }
  mChanged.notify_all();
}

void executor::Work()
{
  while (true) {
    SleepMs(5);
    std::lock_guard const lock{ mMutex };
    auto const now = NowMs();
    for (std::size_t index = mRuns.size(); index-- > 0;) {
      auto& active = mRuns[index];
      if (!active.mGang.empty() && !active.mWorksSince) {
        active.mWorksSince = mGangs.WorksSince(active.mGang);
      }
      auto const brokenAt = active.mGang.empty() ? std::nullopt : mGangs.BrokenAt(active.mGang);
      if (Clock() >= mLeaseEnd) {
        End(index, "lapsed");
      } else if (active.mStopAt && now >= *active.mStopAt) {
        End(index, "stopped");
      } else if (active.mWorksSince && now >= *active.mWorksSince + active.mPlan.mWorkMs) {
        End(index, active.mPlan.mHow);
      } else if (brokenAt && now >= *brokenAt) {
        End(index, "broken");
      }
    }
  }
}

deployment::deployment(options aOptions)
  : mOptions{ std::move(aOptions) }
  , mNetwork{ FreeNetwork() }
  , mStore{ mNetwork + "7" }
{
  std::filesystem::create_directories(mOptions.mFolder);
}

std::string deployment::FrontAddress(std::size_t aFront) const
{
  return mNetwork + std::to_string(kFirstFront + aFront);
}

std::string deployment::SideAddress(std::size_t aSide) const
{
  return mNetwork + std::to_string(kFirstSide + aSide);
}

json deployment::Settings(std::string const& aNode, std::string const& aClass,
                          std::string const& aAddress, std::uint16_t aStorePort) const
{
  json settings{ { "node", aNode },
                 { "role", aClass },
                 { "machine_class", aClass },
                 { "serves", { aClass } },
                 { "ip", aAddress },
                 { "zone", "zone-a" },
                 { "region", "region-a" },
                 { "zones", { { "zone-a", "region-a" } } },
                 { "internal_ports", { 7000, 7015 } },
                 { "seeds", json::array() },
                 { "bootstrap", true },
                 { "count_toward_loss", false },
                 { "data_dir", nullptr },
                 { "discovery", "local" },
                 { "entry", "vip" },
                 { "heartbeat_ms", kHeartbeatMs },
                 { "fault_tolerance", { { "machines", 1 }, { "zones", 1 }, { "regions", 0 } } },
                 { "bounds",
                   { { "stable_ms", 3000 },
                     { "ack_timeout_ms", 4000 },
                     { "drain_ms", 2000 },
                     { "grace_s", 6 },
                     { "config_apply_ms", 2000 },
                     { "strict_revoke", true },
                     { "revoke_ms", 5000 },
                     { "evacuate_ms", 5000 },
                     { "hold_max_ms", 10000 },
                     { "stop_grace_ms", 400 },
                     { "gang_timeout_ms", 3000 },
                     { "cancel_ms", 3000 },
                     { "visible_ms", 3000 },
                     { "early_ms", 250 },
                     { "finish_s", 14 },
                     { "status_s", 120 } } },
                 { "orders", "call" },
                 { "platform",
                   { { "address", mStore.Address() + ":" + std::to_string(aStorePort) },
                     { "form", "table" },
                     { "writes_per_s", 800 },
                     { "reads_per_s", 2000 },
                     { "tx_ms", 3.0 },
                     { "part_writes_s", 300 },
                     { "row_bytes", 65536 },
                     { "across", true },
                     { "history_s", 20 } } } };
  auto const at = [&](std::uint16_t aPort) { return aAddress + ":" + std::to_string(aPort); };
  if (aClass == "front") {
    settings["listen"] = { { "frontend", at(kCallersPort) }, { "readiness", at(kReadinessPort) } };
  } else {
    settings["listen"] = { { "control", at(kControlPort) } };
    settings["app"] = at(kExecutorPort);
    settings["service"] = kService;
  }
  return settings;
}

pid_t deployment::Spawn(std::string const& aRole, std::string const& aNode, json const& aSettings)
{
  auto const settings = mOptions.mFolder + "/" + aNode + ".json";
  auto const log = mOptions.mFolder + "/" + aNode + ".log";
  std::ofstream{ settings } << aSettings.dump(1);
  auto const variable = "RATTANPOND_CONFIG=" + settings;
  auto const output = open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
  auto const process = fork();
  if (process == 0) {
    // The project's processes never outlive this one.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    char const* const arguments[] = { "target/rattanpond-node", aRole.c_str(), nullptr };
    char const* const environment[] = { variable.c_str(), nullptr };
    execve(arguments[0], const_cast<char* const*>(arguments),
           const_cast<char* const*>(environment));
    _exit(127);
  }
  close(output);
  std::lock_guard const lock{ sProcessMutex };
  sProcesses.insert(process);
  return process;
}

void deployment::StartFront(std::size_t aFront)
{
  auto const node = "front-" + std::to_string(aFront + 1);
  mFrontProcesses[aFront] = Spawn("front", node,
                                  Settings(node, "front", FrontAddress(aFront),
                                           static_cast<std::uint16_t>(kFirstStorePort + aFront)));
}

void deployment::SignalFront(std::size_t aFront, int aSignal)
{
  kill(mFrontProcesses[aFront], aSignal);
}

void deployment::AwaitFront(std::size_t aFront)
{
  waitpid(mFrontProcesses[aFront], nullptr, 0);
  std::lock_guard const lock{ sProcessMutex };
  sProcesses.erase(mFrontProcesses[aFront]);
}

void deployment::Start()
{
  try {
    for (std::size_t front = 0; front < mOptions.mFronts; ++front) {
      mFrontStores.push_back(&mStore.Open("front-" + std::to_string(front + 1),
                                          static_cast<std::uint16_t>(kFirstStorePort + front)));
    }
    mStore.Open("sides", kFirstStorePort + 50);
    mFrontProcesses.resize(mOptions.mFronts);
    for (std::size_t side = 0; side < mOptions.mSides; ++side) {
      auto const node = "side-" + std::to_string(side + 1);
      Spawn("side", node, Settings(node, "side", SideAddress(side), kFirstStorePort + 50));
      mExecutors.push_back(std::make_unique<executor>(
        executor_options{ .mId = "i-" + std::to_string(side + 1),
                          .mAddress = SideAddress(side),
                          .mPort = kExecutorPort,
                          .mControlPort = kControlPort,
                          .mZone = "zone-a",
                          .mService = kService,
                          .mLabels = mOptions.mLabels ? mOptions.mLabels(side)
                                                      : std::vector<std::string>{ "a", "r1-1" },
                          .mAccelerators = mOptions.mAccelerators },
        mLog, mGangs, mOptions.mPlan));
    }
    for (std::size_t front = 0; front < mOptions.mFronts; ++front) {
      StartFront(front);
    }
  } catch (std::exception const& failure) {
    Record(std::string{ "cannot start: " } + failure.what());
    Finish(2);
  }
  auto const until = NowMs() + 20'000;
  for (std::size_t front = 0; front < mOptions.mFronts; ++front) {
    while (Call(FrontAddress(front), kReadinessPort, "GET", "/api/ready", {}, "", 500).mStatus !=
           200) {
      if (NowMs() > until) {
        Record("front-" + std::to_string(front + 1) + " does not become ready");
        Finish(2);
      }
      SleepMs(100);
    }
  }
  // The traffic starts 10 s after the machines; by then all executors are known.
  SleepMs(5000);
  Record("all fronts are ready; holder: front-" + std::to_string(Holder().value_or(99) + 1));
}

void deployment::WriteConfiguration(std::vector<route> const& aRoutes,
                                    std::vector<std::string> const& aKeys)
{
  mVersion += 3;
  json routes = json::array();
  std::string names;
  for (auto const& route : aRoutes) {
    names += " " + route.mName;
    routes.push_back({ { "name", route.mName },
                       { "host", kHost },
                       { "prefix", route.mPrefix },
                       { "kind", "non_idempotent" },
                       { "timeout_ms", 3000 },
                       { "target_duration_ms", 1000 },
                       { "priority", route.mPriority },
                       { "service", kService },
                       { "max_attempts", route.mMaximumAttempts },
                       { "stretch", 3.0 },
                       { "public", false } });
  }
  json const configuration{
    { "version", mVersion },
    { "routes", routes },
    { "services", { { { "name", kService }, { "rejects_overload", true } } } },
    { "limits", { { "max_header_bytes", 16384 }, { "max_body_bytes", 262144 } } },
    { "tenants",
      { { { "name", "tenant-a" }, { "keys", aKeys }, { "guaranteed", { { "gpu", 8 } } } } } }
  };
  mStore.Put("op", "config", configuration.dump());
  Record("operator: version " + std::to_string(mVersion) + " is acknowledged; routes:" + names +
         "; keys: " + std::to_string(aKeys.size()));
}

std::optional<std::size_t> deployment::Holder()
{
  auto const rows = Call(mStore.Address(), kFirstStorePort + 50, "GET",
                         "/api/rows-get?table=rattanpond&part=&limit=1&from=term", {}, "", 1000);
  auto const document = json::parse(rows.mBody, nullptr, false);
  if (!document.is_object() || document["rows"].empty()) {
    return std::nullopt;
  }
  auto const term =
    json::parse(store::Decode(document["rows"][0].value("value", "")), nullptr, false);
  if (!term.is_object()) {
    return std::nullopt;
  }
  auto const node = term.value("node", "front-1");
  return std::stoul(node.substr(node.rfind('-') + 1)) - 1;
}

call_result deployment::CallFront(std::size_t aFront, std::string const& aMethod,
                                  std::string const& aPath, std::string const& aBody,
                                  std::int64_t aTimeoutMs)
{
  auto const result = Call(FrontAddress(aFront), kCallersPort, aMethod, aPath,
                           { { "Api-Key", kKey }, { "X-Deadline-Ms", "3000" } }, aBody, aTimeoutMs);
  Record("client: " + aMethod + " " + aPath + " at front-" + std::to_string(aFront + 1) + " -> " +
         (result.mStatus == 0 ? std::string{ "no answer" } : std::to_string(result.mStatus)) + " " +
         result.mBody);
  return result;
}

call_result deployment::Submit(std::size_t aFront, std::string const& aPrefix,
                               std::string const& aJob, json const& aSteps, std::int64_t aTimeoutMs)
{
  return CallFront(aFront, "POST", aPrefix + aJob,
                   json{ { "spec", "spec of " + aJob }, { "steps", aSteps } }.dump(), aTimeoutMs);
}

call_result deployment::Get(std::size_t aFront, std::string const& aPath, std::int64_t aTimeoutMs)
{
  return CallFront(aFront, "GET", aPath, "", aTimeoutMs);
}

call_result deployment::Cancel(std::size_t aFront, std::string const& aPath,
                               std::int64_t aTimeoutMs)
{
  return CallFront(aFront, "DELETE", aPath, "", aTimeoutMs);
}

void Finish(int aStatus)
{
  Record(aStatus == 0 ? "result: the rule held"
                      : (aStatus == 1 ? "result: the rule was broken" : "result: could not run"));
  std::lock_guard const lock{ sProcessMutex };
  for (auto const process : sProcesses) {
    kill(process, SIGCONT);
    kill(process, SIGKILL);
  }
  for (auto const process : sProcesses) {
    waitpid(process, nullptr, 0);
  }
  _exit(aStatus);
}

} // namespace review
