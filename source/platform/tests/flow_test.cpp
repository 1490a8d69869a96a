#include "dispatch/caller_api.h"
#include "dispatch/scheduler.h"
#include "dispatch/side_agent.h"
#include "platform/operator_rows.h"
#include "platform/tests/fake_advice.h"
#include "platform/tests/fake_row_store.h"
#include "platform/tests/fake_worker.h"

#include <thread>

#include <boost/asio/co_spawn.hpp>
#include <boost/test/unit_test.hpp>

namespace rattanpond::platform {

namespace {

namespace asio = boost::asio;
using base::milliseconds;

constexpr char const* kKey = "key-1";

std::string Configuration(std::uint64_t aVersion, std::string const& aKey = kKey)
{
  return base::json{
    { "version", aVersion },
    { "routes",
      { { { "name", "urgent" },
          { "host", "h" },
          { "prefix", "/u/" },
          { "service", "service" },
          { "priority", 0 },
          { "max_attempts", 3 } },
        { { "name", "advised" },
          { "host", "h" },
          { "prefix", "/a/" },
          { "service", "service" },
          { "priority", 1 },
          { "max_attempts", 3 },
          { "advice", { { "decide_ms", 20 }, { "period_ms", 5 }, { "valid_ms", 6000 } } } },
        { { "name", "bulk" },
          { "host", "h" },
          { "prefix", "/b/" },
          { "service", "service" },
          { "priority", 2 },
          { "max_attempts", 3 } } } },
    { "services", { { { "name", "service" }, { "rejects_overload", true } } } },
    { "tenants", { { { "name", "t" }, { "keys", { aKey } }, { "guaranteed", { { "gpu", 8 } } } } } }
  }.dump();
}

std::string JobBody(int aCount, int aAccelerators, bool aIsGang = false)
{
  return base::json{
    { "spec", "x" },
    { "steps",
      { { { "count", aCount },
          { "cpu", 1000 },
          { "mem_mb", 1000 },
          { "gpu", aAccelerators },
          { "gang", aIsGang } } } }
  }.dump();
}

std::string JobId(int aNumber)
{
  auto text = std::to_string(aNumber);
  return std::string(16 - text.size(), '0') + text;
}

/// Whether a front may pass a call on.
enum class via
{
  any,
  here
};

/// An entry with a context of its own, so that a test can freeze or end it alone.
struct test_front
{
  test_front(fake_row_store& aStore, std::string aName, net::tcp::endpoint const& aAdvice)
    : mDoor{ aStore.Open() }
    , mSettings{ .mNode = aName, .mAdvice = aAdvice }
    , mStore{ mContext, mDoor.mServer->Endpoint() }
    , mReplica{ { .mContext = mContext,
                  .mStore = mStore,
                  .mOnChange = [this] { mScheduler.ReplicaChanged(); },
                  .mIsWriter = [this] { return mScheduler.IsHolder(); } } }
    , mScheduler{ { .mContext = mContext,
                    .mStore = mStore,
                    .mReplica = mReplica,
                    .mSettings = mSettings,
                    .mMetrics = mMetrics,
                    .mIncarnation = aName } }
    , mCallers{ { .mContext = mContext,
                  .mStore = mStore,
                  .mReplica = mReplica,
                  .mSettings = mSettings,
                  .mMetrics = mMetrics } }
  {
    auto created = base::Capture([&] {
      return net::http_server::Create(mContext,
                                      { .mEndpoint = { asio::ip::address_v4::loopback(), 0 },
                                        .mHandler = [this](net::http_request aRequest) {
                                          return mCallers.HandleHere(std::move(aRequest));
                                        } });
    });
    BOOST_REQUIRE(base::Succeeded(created));
    mForwarded = std::move(std::get<0>(created));
    aStore.Put(dispatch::kTable, dispatch::kFrontPrefix + aName,
               base::json{ { "address", net::ToString(mForwarded->Endpoint()) } }.dump());
    mReplica.Start();
    mScheduler.Start();
  }

  asio::io_context mContext{ 1 };
  fake_row_store::door& mDoor;
  deployment_settings mSettings;
  base::metrics_registry mMetrics;
  row_store mStore;
  dispatch::replica mReplica;
  dispatch::scheduler mScheduler;
  dispatch::caller_api mCallers;
  std::unique_ptr<net::http_server> mForwarded;
  bool mIsFrozen = false;
};

struct test_side
{
  test_side(fake_row_store& aStore, asio::io_context& aWorkers, run_journal& aJournal,
            std::string aName, std::string aDomain)
    : mWorker{ aWorkers, aJournal, "i-" + aName }
    , mDomain{ std::move(aDomain) }
  {
    mSettings.mNode = aName;
    mSettings.mFailureDomain = mDomain;
    mSettings.mWorker = mWorker.Endpoint();
    mAgent = std::make_unique<dispatch::side_agent>(dispatch::side_agent::options{
      .mContext = mContext, .mSettings = mSettings, .mMetrics = mMetrics });
    auto const started = base::Capture([&] {
      return mAgent->Start({ asio::ip::address_v4::loopback(), 0 });
    });
    BOOST_REQUIRE(base::Succeeded(started));
    aStore.Put(dispatch::kTable, dispatch::kSidePrefix + aName,
               base::json{ { "address", net::ToString(mAgent->Links()) } }.dump());
  }

  void Beat(std::string const& aState = "ready")
  {
    mAgent->Heartbeat(mWorker.Id(), mWorker.Heartbeat(mDomain, "r1", aState));
  }

  asio::io_context mContext{ 1 };
  fake_worker mWorker;
  std::string mDomain;
  deployment_settings mSettings;
  base::metrics_registry mMetrics;
  std::unique_ptr<dispatch::side_agent> mAgent;
  std::string mWorkerState = "ready";
  bool mIsFrozen = false;
};

/// The whole path against a store and workers in memory.
struct test_cluster
{
  explicit test_cluster(int aFronts = 2, int aSides = 3)
  {
    mStore.Put(kOperatorTable, kConfigurationKey, Configuration(1));
    for (int index = 0; index < aSides; ++index) {
      mSides.push_back(std::make_unique<test_side>(mStore, mOutside, mJournal,
                                                   "side-" + std::to_string(index),
                                                   "zone-" + std::to_string(index % 2)));
    }
    for (int index = 0; index < aFronts; ++index) {
      mFronts.push_back(
        std::make_unique<test_front>(mStore, "front-" + std::to_string(index), mAdvice.Endpoint()));
    }
    BOOST_REQUIRE(Until([this] { return Holder() != nullptr; }));
  }

  void Step()
  {
    auto const now = base::Now();
    if (now - mBeatAt > milliseconds{ 500 }) {
      mBeatAt = now;
      for (auto const& side : mSides) {
        side->Beat(side->mWorkerState);
      }
    }
    mOutside.restart();
    mOutside.poll();
    for (auto const& front : mFronts) {
      if (!front->mIsFrozen) {
        front->mContext.restart();
        front->mContext.poll();
      }
    }
    for (auto const& side : mSides) {
      if (!side->mIsFrozen) {
        side->mContext.restart();
        side->mContext.poll();
      }
    }
    std::this_thread::sleep_for(milliseconds{ 1 });
  }

  /// Runs until a condition holds; false after the limit.
  bool Until(std::function<bool()> const& aCondition, milliseconds aLimit = milliseconds{ 15'000 })
  {
    auto const limit = base::Now() + aLimit;
    while (!aCondition()) {
      if (base::Now() > limit) {
        return false;
      }
      Step();
    }
    return true;
  }

  void For(milliseconds aTime)
  {
    auto const until = base::Now() + aTime;
    while (base::Now() < until) {
      Step();
    }
  }

  test_front* Holder()
  {
    for (auto const& front : mFronts) {
      if (!front->mIsFrozen && front->mScheduler.IsHolder()) {
        return front.get();
      }
    }
    return nullptr;
  }

  test_front& Standby()
  {
    auto* const holder = Holder();
    return mFronts[0].get() == holder ? *mFronts[1] : *mFronts[0];
  }

  unsigned Call(test_front& aFront, std::string aMethod, std::string aPath, std::string aBody = {},
                std::string const& aKey = kKey, via aVia = via::any)
  {
    net::http_request request{ .mMethod = std::move(aMethod), .mTarget = std::move(aPath) };
    request.mHeaders.Add("Host", "h");
    request.mHeaders.Add("Api-Key", aKey);
    request.mBody = std::move(aBody);
    std::optional<net::http_response> response;
    auto& callers = aFront.mCallers;
    asio::co_spawn(
      aFront.mContext,
      aVia == via::any ? callers.Handle(std::move(request))
                       : callers.HandleHere(std::move(request)),
      [&](std::exception_ptr, net::http_response aResponse) { response = std::move(aResponse); });
    BOOST_REQUIRE(Until([&] { return response.has_value(); }));
    mLastBody = response->mBody;
    return response->mStatus;
  }

  std::string State(std::string const& aPath)
  {
    auto const status = Call(Standby(), "GET", aPath);
    if (status != 200) {
      return std::to_string(status);
    }
    return base::json::parse(mLastBody).at("state").get<std::string>();
  }

  bool Ends(std::string const& aPath, std::string const& aState,
            milliseconds aLimit = milliseconds{ 20'000 })
  {
    return Until([&] { return State(aPath) == aState; }, aLimit);
  }

  asio::io_context mOutside{ 1 };
  fake_row_store mStore{ mOutside };
  fake_advice mAdvice{ mOutside };
  run_journal mJournal;
  std::vector<std::unique_ptr<test_side>> mSides;
  std::vector<std::unique_ptr<test_front>> mFronts;
  base::time_point mBeatAt{};
  std::string mLastBody;
};

void RequireNoFaults(test_cluster const& aCluster)
{
  for (auto const& fault : aCluster.mJournal.Faults()) {
    BOOST_ERROR(fault);
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(flow_test)

BOOST_AUTO_TEST_CASE(a_job_runs_from_submission_to_done)
{
  test_cluster cluster;
  auto const path = "/u/" + JobId(1);
  BOOST_TEST(cluster.Call(cluster.Standby(), "POST", path, JobBody(3, 1)) == 200U);
  // A repeat at another front is the same job.
  BOOST_TEST(cluster.Call(*cluster.Holder(), "POST", path, JobBody(3, 1)) == 200U);
  BOOST_TEST(cluster.Ends(path, "done"));
  BOOST_TEST(cluster.mJournal.Starts(JobId(1) + ".0.0.0") == 1U);
  BOOST_TEST(cluster.mJournal.TasksStarted() == 3U);
  BOOST_TEST(cluster.Call(cluster.Standby(), "GET", "/u/" + JobId(9)) == 410U);
  BOOST_TEST(cluster.Call(cluster.Standby(), "GET", "/none/" + JobId(9)) == 404U);
  BOOST_TEST(cluster.Call(cluster.Standby(), "GET", path, "", "other") == 401U);
  RequireNoFaults(cluster);
}

// Guards against a second run while an order without an answer is still on its way.
BOOST_AUTO_TEST_CASE(late_orders_never_run_a_task_twice)
{
  test_cluster cluster{ 2, 2 };
  cluster.mSides[0]->mWorker.mFaults.mLateOrders = milliseconds{ 1500 };
  auto const path = "/u/" + JobId(2);
  BOOST_TEST(cluster.Call(cluster.Standby(), "POST", path, JobBody(8, 2)) == 200U);
  cluster.For(milliseconds{ 2500 });
  cluster.mSides[0]->mWorker.mFaults.mLateOrders = milliseconds{ 0 };
  BOOST_TEST(cluster.Ends(path, "done"));
  RequireNoFaults(cluster);
}

// Guards against starts without the ticket that the queue's policy asks for, and against a job that
// waits for ever when the service turns a question away.
BOOST_AUTO_TEST_CASE(an_advised_queue_starts_only_where_it_may)
{
  test_cluster cluster{ 2, 3 };
  cluster.mAdvice.mGood = { "i-side-2" };
  cluster.mAdvice.mRefusals = 1;
  for (auto const& side : cluster.mSides) {
    side->mWorker.mFaults.mTicket = "ticket-" + side->mWorker.Id();
  }
  auto const path = "/a/" + JobId(18);
  BOOST_TEST(cluster.Call(cluster.Standby(), "POST", path, JobBody(3, 4)) == 200U);
  BOOST_TEST(cluster.Ends(path, "done"));
  BOOST_TEST(cluster.mSides[0]->mWorker.mStarted == 0U);
  BOOST_TEST(cluster.mSides[1]->mWorker.mStarted == 0U);
  BOOST_TEST(cluster.mSides[2]->mWorker.mStarted == 3U);
  for (auto const& side : cluster.mSides) {
    BOOST_TEST(side->mWorker.mTicketRefusals == 0U);
  }
  // One refused question, and one that names all three workers.
  BOOST_TEST(cluster.mAdvice.mQuestions == 2U);
  RequireNoFaults(cluster);
}

// Found in an incident (tkp-permits, inc-57ae): all machines lost power, and work of 12 s on whole
// workers began again from nothing, though the workers had listed checkpoints all the while.
BOOST_AUTO_TEST_CASE(listed_checkpoints_outlive_the_scheduler_and_the_worker)
{
  test_cluster cluster{ 2, 1 };
  auto& worker = cluster.mSides[0]->mWorker;
  worker.mWork = milliseconds{ 60'000 };
  worker.mCheckpoint = "half-way";
  base::json const step{ { "count", 1 }, { "cpu", 60'000 },         { "mem_mb", 1000 },
                         { "gpu", 8 },   { "estimate_ms", 60'000 }, { "checkpointable", true } };
  auto const body = base::json{ { "spec", "x" }, { "steps", { step } } }.dump();
  BOOST_TEST(cluster.Call(cluster.Standby(), "POST", "/u/" + JobId(19), body) == 200U);
  BOOST_REQUIRE(cluster.Until([&] { return cluster.mJournal.Live() == 1; }));
  BOOST_TEST(worker.mResumedFrom.empty());
  cluster.For(milliseconds{ 4500 });
  auto const started = worker.mStarted;
  cluster.Holder()->mIsFrozen = true;
  worker.Crash();
  BOOST_REQUIRE(cluster.Until([&] { return worker.mStarted > started; }));
  BOOST_TEST(worker.mResumedFrom == "half-way");
  RequireNoFaults(cluster);
}

// A worker that refuses connections answers each stop within a millisecond; one scheduler sent
// 7,000 stops in a few seconds and logged as many lines.
BOOST_AUTO_TEST_CASE(stops_to_a_worker_that_is_gone_are_spaced)
{
  test_cluster cluster{ 1, 1 };
  auto& worker = cluster.mSides[0]->mWorker;
  worker.mWork = milliseconds{ 20'000 };
  auto const path = "/u/" + JobId(17);
  BOOST_TEST(cluster.Call(*cluster.Holder(), "POST", path, JobBody(1, 1)) == 200U);
  BOOST_REQUIRE(cluster.Until([&] { return cluster.mJournal.Live() == 1; }));
  worker.StopListening();
  BOOST_TEST(cluster.Call(*cluster.Holder(), "DELETE", path) == 200U);
  cluster.For(milliseconds{ 4000 });
  auto const stops = cluster.Holder()->mMetrics.Counter("rattanpond_stops").Value();
  BOOST_TEST(stops >= 2U);
  BOOST_TEST(stops <= 6U);
}

// Guards against work that is lost or doubled when the scheduler ends, and against a takeover that
// takes longer than stated.
BOOST_AUTO_TEST_CASE(a_standby_adopts_running_work)
{
  test_cluster cluster;
  for (auto const& side : cluster.mSides) {
    side->mWorker.mWork = milliseconds{ 4000 };
  }
  auto const path = "/u/" + JobId(3);
  BOOST_TEST(cluster.Call(cluster.Standby(), "POST", path, JobBody(3, 2)) == 200U);
  BOOST_REQUIRE(cluster.Until([&] { return cluster.mJournal.Live() == 3; }));
  auto* const former = cluster.Holder();
  former->mIsFrozen = true;
  auto const frozenAt = base::Now();
  BOOST_REQUIRE(cluster.Until([&] { return cluster.Holder() != nullptr; }));
  BOOST_TEST((base::Now() - frozenAt).count() < 3000);
  cluster.For(milliseconds{ 500 });
  // The frozen holder wakes with its old beliefs.
  former->mIsFrozen = false;
  BOOST_TEST(cluster.Until([&] { return !former->mScheduler.IsHolder(); }));
  BOOST_TEST(cluster.Ends(path, "done"));
  BOOST_TEST(cluster.mJournal.Starts(JobId(3) + ".0.0.0") == 1U);
  RequireNoFaults(cluster);
}

// Guards against a scheduler that goes on without the store, and against standbys that wait while
// the store turns only the holder away.
BOOST_AUTO_TEST_CASE(a_holder_that_the_store_turns_away_is_replaced)
{
  test_cluster cluster;
  auto* const former = cluster.Holder();
  former->mDoor.mBehaviour = fake_row_store::behaviour::refuses;
  BOOST_REQUIRE(cluster.Until([&] {
    return cluster.mFronts[0].get() == former ? cluster.mFronts[1]->mScheduler.IsHolder()
                                              : cluster.mFronts[0]->mScheduler.IsHolder();
  }));
  auto& next = cluster.mFronts[0].get() == former ? *cluster.mFronts[1] : *cluster.mFronts[0];
  BOOST_TEST(cluster.Call(next, "POST", "/u/" + JobId(4), JobBody(2, 1)) == 200U);
  BOOST_TEST(cluster.Until([&] { return cluster.mJournal.TasksStarted() == 2; }));
  // The one that is turned away admits no key once its configuration is too old; what it passes on
  // is served by the other.
  BOOST_TEST(cluster.Until(
    [&] { return cluster.Call(*former, "GET", "/u/" + JobId(4), "", kKey, via::here) == 503U; }));
  BOOST_TEST(!former->mCallers.IsReady());
  BOOST_TEST(cluster.Call(*former, "GET", "/u/" + JobId(4)) == 200U);
  BOOST_TEST(cluster.Call(*former, "POST", "/u/" + JobId(20), JobBody(1, 1)) == 200U);
  BOOST_TEST(cluster.Call(*former, "POST", "/u/" + JobId(21), JobBody(1, 1), "other") == 401U);
  former->mDoor.mBehaviour = fake_row_store::behaviour::serves;
  BOOST_TEST(cluster.Until([&] { return !former->mScheduler.IsHolder(); }));
  BOOST_TEST(cluster.Until([&] { return former->mCallers.IsReady(); }));
  RequireNoFaults(cluster);
}

// Guards against a refusal of a job that is accepted after all, and against a double start when
// answers of the store are lost.
BOOST_AUTO_TEST_CASE(lost_answers_of_the_store_change_nothing)
{
  test_cluster cluster;
  auto& standby = cluster.Standby();
  standby.mDoor.mBehaviour = fake_row_store::behaviour::loses_answers;
  auto const path = "/u/" + JobId(5);
  auto const status = cluster.Call(standby, "POST", path, JobBody(2, 1), kKey, via::here);
  BOOST_TEST(status == 504U);
  standby.mDoor.mBehaviour = fake_row_store::behaviour::serves;
  auto* const holder = cluster.Holder();
  BOOST_REQUIRE(holder != nullptr);
  holder->mDoor.mBehaviour = fake_row_store::behaviour::loses_answers;
  cluster.For(milliseconds{ 700 });
  holder->mDoor.mBehaviour = fake_row_store::behaviour::serves;
  BOOST_TEST(cluster.Call(*cluster.mFronts[0], "POST", path, JobBody(2, 1)) == 200U);
  BOOST_TEST(cluster.Until([&] { return cluster.mJournal.TasksStarted() == 2; }));
  BOOST_TEST(cluster.Until([&] { return cluster.mJournal.Live() == 0; }));
  RequireNoFaults(cluster);
}

// A refusal is true: a store that refuses has done nothing, and nothing of the job runs later.
BOOST_AUTO_TEST_CASE(a_refused_job_never_runs)
{
  test_cluster cluster;
  auto& standby = cluster.Standby();
  standby.mDoor.mBehaviour = fake_row_store::behaviour::refuses;
  auto const path = "/u/" + JobId(6);
  BOOST_TEST(cluster.Call(standby, "POST", path, JobBody(1, 1), kKey, via::here) == 503U);
  cluster.For(milliseconds{ 500 });
  BOOST_TEST(cluster.mJournal.TasksStarted() == 0U);
}

// Guards against a key that hands in work after it was taken away, at a front that does not hear of
// it: the acceptance itself is conditional on the configuration.
BOOST_AUTO_TEST_CASE(a_revoked_key_is_refused_by_the_store)
{
  test_cluster cluster;
  // Not a step in between: the front still holds the first version.
  cluster.mStore.Put(kOperatorTable, kConfigurationKey, Configuration(2, "key-2"));
  BOOST_TEST(cluster.Call(cluster.Standby(), "POST", "/u/" + JobId(7), JobBody(1, 1)) == 401U);
  BOOST_TEST(cluster.Call(cluster.Standby(), "POST", "/u/" + JobId(7), JobBody(1, 1), "key-2") ==
             200U);
  // An older version never comes back.
  cluster.mStore.Put(kOperatorTable, kConfigurationKey, Configuration(1));
  cluster.For(milliseconds{ 200 });
  BOOST_TEST(cluster.Call(cluster.Standby(), "GET", "/u/" + JobId(7)) == 401U);
}

BOOST_AUTO_TEST_CASE(lost_history_is_read_again)
{
  test_cluster cluster;
  cluster.mStore.ForgetHistory();
  cluster.mStore.Put(kOperatorTable, kConfigurationKey, Configuration(3, "key-3"));
  cluster.mStore.ForgetHistory();
  BOOST_TEST(cluster.Until([&] {
    return cluster.Call(cluster.Standby(), "POST", "/u/" + JobId(8), JobBody(1, 1), "key-3") ==
           200U;
  }));
  BOOST_TEST(cluster.Until([&] { return cluster.mJournal.TasksStarted() == 1; }));
}

// Guards against starts in a domain that the operators have taken out, also when the order to take
// it out and the start race.
BOOST_AUTO_TEST_CASE(nothing_starts_in_an_evacuated_domain)
{
  test_cluster cluster{ 2, 2 };
  cluster.For(milliseconds{ 300 });
  cluster.mStore.Put(kOperatorTable, std::string{ kEvacuationPrefix } + "zone-0", "{}");
  BOOST_TEST(cluster.Call(cluster.Standby(), "POST", "/u/" + JobId(10), JobBody(2, 8)) == 200U);
  cluster.For(milliseconds{ 1500 });
  BOOST_TEST(cluster.mJournal.TasksStarted() == 2U);
  BOOST_TEST(cluster.mSides[0]->mWorker.mStarted == 0U);
  cluster.mStore.Remove(kOperatorTable, std::string{ kEvacuationPrefix } + "zone-0");
  BOOST_TEST(cluster.Call(cluster.Standby(), "POST", "/u/" + JobId(11), JobBody(2, 8)) == 200U);
  BOOST_TEST(cluster.Until([&] { return cluster.mSides[0]->mWorker.mStarted > 0; }));
}

BOOST_AUTO_TEST_CASE(a_cancelled_job_stops_and_never_starts_again)
{
  test_cluster cluster;
  for (auto const& side : cluster.mSides) {
    side->mWorker.mWork = milliseconds{ 5000 };
  }
  auto const path = "/b/" + JobId(12);
  BOOST_TEST(cluster.Call(cluster.Standby(), "POST", path, JobBody(6, 8)) == 200U);
  BOOST_REQUIRE(cluster.Until([&] { return cluster.mJournal.Live() == 3; }));
  BOOST_TEST(cluster.Call(cluster.Standby(), "DELETE", path) == 200U);
  BOOST_TEST(cluster.Call(*cluster.Holder(), "DELETE", path) == 200U);
  BOOST_TEST(cluster.Until([&] { return cluster.mJournal.Live() == 0; }, milliseconds{ 2000 }));
  cluster.For(milliseconds{ 500 });
  BOOST_TEST(cluster.mJournal.TasksStarted() == 3U);
  BOOST_TEST(cluster.State(path) == "cancelled");
}

// Guards against a guarantee that waits behind borrowed work for longer than the reclaim bound.
BOOST_AUTO_TEST_CASE(a_guarantee_is_reclaimed_from_borrowed_work)
{
  test_cluster cluster{ 2, 2 };
  for (auto const& side : cluster.mSides) {
    side->mWorker.mWork = milliseconds{ 6000 };
  }
  BOOST_TEST(cluster.Call(cluster.Standby(), "POST", "/b/" + JobId(13), JobBody(2, 8)) == 200U);
  BOOST_REQUIRE(cluster.Until([&] { return cluster.mJournal.Live() == 2; }));
  cluster.For(milliseconds{ 300 });
  auto const asked = base::Now();
  BOOST_TEST(cluster.Call(cluster.Standby(), "POST", "/u/" + JobId(14), JobBody(1, 8, true)) ==
             200U);
  BOOST_TEST(cluster.Until([&] { return cluster.mJournal.Starts(JobId(14) + ".0.0.0") == 1; }));
  BOOST_TEST((base::Now() - asked).count() < 2900);
  RequireNoFaults(cluster);
}

// Guards against tasks of a crashed worker that wait for a lease although its next life is known,
// and against ends of the former life that are taken for those of the new one.
BOOST_AUTO_TEST_CASE(work_of_a_reborn_worker_starts_again)
{
  test_cluster cluster{ 2, 1 };
  cluster.mSides[0]->mWorker.mWork = milliseconds{ 1500 };
  auto const path = "/u/" + JobId(15);
  BOOST_TEST(cluster.Call(cluster.Standby(), "POST", path, JobBody(2, 1)) == 200U);
  BOOST_REQUIRE(cluster.Until([&] { return cluster.mJournal.Live() == 2; }));
  cluster.mSides[0]->mWorker.Crash();
  BOOST_TEST(cluster.Ends(path, "done"));
  BOOST_TEST(cluster.mJournal.Starts(JobId(15) + ".0.0.0") == 2U);
  RequireNoFaults(cluster);
}

// Guards against starts on a worker that has said that it drains.
BOOST_AUTO_TEST_CASE(a_draining_worker_gets_no_new_work)
{
  test_cluster cluster{ 2, 2 };
  cluster.For(milliseconds{ 300 });
  cluster.mSides[1]->mWorkerState = "draining";
  cluster.mSides[1]->Beat("draining");
  auto const before = cluster.mSides[1]->mWorker.mStarted;
  BOOST_TEST(cluster.Call(cluster.Standby(), "POST", "/b/" + JobId(16), JobBody(4, 4)) == 200U);
  cluster.For(milliseconds{ 800 });
  BOOST_TEST(cluster.mSides[1]->mWorker.mStarted == before);
}

// A job that always fails is shown as failed after its attempts, and does not take the workers with
// it.
BOOST_AUTO_TEST_CASE(a_job_that_always_fails_ends_after_its_attempts)
{
  test_cluster cluster{ 2, 3 };
  for (auto const& side : cluster.mSides) {
    side->mWorker.mFaults.mFailsAll = true;
  }
  auto const path = "/u/" + JobId(17);
  BOOST_TEST(cluster.Call(cluster.Standby(), "POST", path, JobBody(1, 1)) == 200U);
  BOOST_TEST(cluster.Ends(path, "failed"));
  BOOST_TEST(cluster.mJournal.Starts(JobId(17) + ".0.0.0") == 3U);
  for (auto const& side : cluster.mSides) {
    side->mWorker.mFaults.mFailsAll = false;
  }
  BOOST_TEST(cluster.Call(cluster.Standby(), "POST", "/u/" + JobId(18), JobBody(1, 1)) == 200U);
  BOOST_TEST(cluster.Ends("/u/" + JobId(18), "done"));
}

// Guards against leases that lapse while the scheduler is away for less than stated.
BOOST_AUTO_TEST_CASE(work_outlives_the_loss_of_all_fronts)
{
  test_cluster cluster{ 2, 2 };
  for (auto const& side : cluster.mSides) {
    side->mWorker.mWork = milliseconds{ 9000 };
  }
  auto const path = "/u/" + JobId(19);
  BOOST_TEST(cluster.Call(cluster.Standby(), "POST", path, JobBody(2, 4)) == 200U);
  BOOST_REQUIRE(cluster.Until([&] { return cluster.mJournal.Live() == 2; }));
  for (auto const& front : cluster.mFronts) {
    front->mIsFrozen = true;
  }
  cluster.For(milliseconds{ 7000 });
  BOOST_TEST(cluster.mJournal.Live() == 2U);
  for (auto const& front : cluster.mFronts) {
    front->mIsFrozen = false;
  }
  BOOST_TEST(cluster.Ends(path, "done"));
  BOOST_TEST(cluster.mJournal.Starts(JobId(19) + ".0.0.0") == 1U);
  RequireNoFaults(cluster);
}

// Guards against a task that starts again while its run lives on under a lease that the former life
// of the side has renewed: the new life has read no clock yet and must not call the lease lapsed.
BOOST_AUTO_TEST_CASE(a_new_side_does_not_know_a_lease_to_have_lapsed)
{
  asio::io_context workers{ 1 };
  fake_row_store store{ workers };
  run_journal journal;
  test_side side{ store, workers, journal, "side", "zone" };
  side.mWorker.mFaults.mIsMute = true;
  asio::io_context scheduler{ 1 };
  std::vector<dispatch::side_report> reports;
  net::link_dialer dialer{ scheduler,
                           { .mEndpoint = side.mAgent->Links(),
                             .mHandlers = { .mOnFrame =
                                              [&](net::link_ptr const&, net::frame aFrame) {
                                                auto decoded = base::Capture([&] {
                                                  return net::DecodeMessage<dispatch::side_report>(
                                                    aFrame);
                                                });
                                                BOOST_REQUIRE(base::Succeeded(decoded));
                                                reports.push_back(std::get<0>(std::move(decoded)));
                                              },
                                            .mOnClose = {} },
                             .mOnOpen = [&](net::link_ptr const& aLink) {
                               aLink->Send(dispatch::side_orders{ .mTerm = 1 });
                             } } };
  side.Beat();
  auto const limit = base::Now() + milliseconds{ 2500 };
  while (base::Now() < limit) {
    for (auto* const context : { &workers, &scheduler, &side.mContext }) {
      context->restart();
      context->poll();
    }
    std::this_thread::sleep_for(milliseconds{ 1 });
  }
  BOOST_REQUIRE(!reports.empty());
  BOOST_TEST(reports.back().mBorn != 0);
  BOOST_TEST((reports.back().mState == dispatch::worker_state::absent));
  BOOST_TEST((reports.back().mLeaseLeft > milliseconds{ 4000 }));
}

// Guards against leases that a holder goes on renewing after it may have been replaced: the next
// holder would start their tasks a second time.
BOOST_AUTO_TEST_CASE(a_holder_without_the_store_renews_no_leases_for_ever)
{
  test_cluster cluster{ 2, 1 };
  cluster.mSides[0]->mWorker.mWork = milliseconds{ 60'000 };
  BOOST_TEST(cluster.Call(cluster.Standby(), "POST", "/u/" + JobId(30), JobBody(1, 1)) == 200U);
  BOOST_REQUIRE(cluster.Until([&] { return cluster.mJournal.Live() == 1; }));
  for (auto const& front : cluster.mFronts) {
    front->mDoor.mBehaviour = fake_row_store::behaviour::refuses;
  }
  cluster.For(milliseconds{ 9000 });
  // Work outlives an outage of the store.
  BOOST_TEST(cluster.mSides[0]->mWorker.mLapses == 0U);
  BOOST_TEST(
    cluster.Until([&] { return cluster.mSides[0]->mWorker.mLapses == 1; }, milliseconds{ 12'000 }));
}

// Found by a hunt (arla-sched, mix, seed 1053276559579): a task ran twice at once, because a report
// said that its run was stopped beside lists that were older than its start.
BOOST_AUTO_TEST_CASE(a_stop_is_reported_with_lists_that_are_newer)
{
  asio::io_context workers{ 1 };
  fake_row_store store{ workers };
  run_journal journal;
  test_side side{ store, workers, journal, "side", "zone" };
  side.mWorker.mWork = milliseconds{ 60'000 };
  side.mWorker.mFaults.mSlowTask = "0000.0.0.1";
  side.mWorker.mFaults.mSlowAnswer = milliseconds{ 350 };
  side.mWorker.mFaults.mStopGrace = milliseconds{ 400 };

  asio::io_context scheduler{ 1 };
  std::vector<dispatch::side_report> reports;
  net::link_ptr link;
  net::link_dialer dialer{ scheduler,
                           { .mEndpoint = side.mAgent->Links(),
                             .mHandlers = { .mOnFrame =
                                              [&](net::link_ptr const&, net::frame aFrame) {
                                                auto decoded = base::Capture([&] {
                                                  return net::DecodeMessage<dispatch::side_report>(
                                                    aFrame);
                                                });
                                                BOOST_REQUIRE(base::Succeeded(decoded));
                                                reports.push_back(std::get<0>(std::move(decoded)));
                                              },
                                            .mOnClose = {} },
                             .mOnOpen = [&](net::link_ptr const& aLink) {
                               link = aLink;
                               link->Send(dispatch::side_orders{ .mTerm = 1 });
                             } } };
  auto const until = [&](std::function<bool()> const& aCondition) {
    auto const limit = base::Now() + milliseconds{ 5000 };
    while (!aCondition() && base::Now() < limit) {
      for (auto* const context : { &workers, &scheduler, &side.mContext }) {
        context->restart();
        context->poll();
      }
      std::this_thread::sleep_for(milliseconds{ 1 });
    }
    return aCondition();
  };
  auto const order = [&] {
    return dispatch::side_orders{ .mTerm = 1,
                                  .mAnswers = reports.back().mSequence,
                                  .mWorker = reports.back().mWorker,
                                  .mBorn = reports.back().mBorn };
  };
  side.Beat();
  BOOST_REQUIRE(until([&] { return !reports.empty() && reports.back().mHasLists; }));
  std::string const stopped = "0000.0.0.0";
  auto starts = order();
  starts.mStarts.push_back({ .mTask = stopped, .mRun = 1 });
  starts.mStarts.push_back({ .mTask = "0000.0.0.1", .mRun = 1 });
  link->Send(starts);
  BOOST_REQUIRE(until([&] { return journal.Live() == 2; }));
  auto stop = order();
  stop.mStops.push_back({ .mTask = stopped, .mRun = 1 });
  link->Send(stop);
  auto const sentAt = base::Now();
  BOOST_REQUIRE(until([&] { return base::Now() - sentAt > milliseconds{ 100 }; }));
  // Any news makes the side report.
  side.Beat("draining");
  auto const saysStopped = [&](dispatch::side_report const& aReport) {
    return std::ranges::any_of(aReport.mResults, [&](dispatch::order_result const& aResult) {
      return aResult.mTask == stopped && aResult.mOutcome == dispatch::order_outcome::stopped;
    });
  };
  BOOST_REQUIRE(until([&] { return std::ranges::any_of(reports, saysStopped); }));
  for (auto const& report : reports) {
    if (saysStopped(report)) {
      auto const isListed =
        std::ranges::any_of(report.mRunning,
                            [&](auto const& aRun) { return aRun.mTask == stopped; }) ||
        std::ranges::any_of(report.mEnded, [&](auto const& aRun) { return aRun.mTask == stopped; });
      BOOST_TEST(isListed);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace rattanpond::platform
