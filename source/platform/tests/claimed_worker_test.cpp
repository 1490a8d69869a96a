#include "platform/tests/test_cluster.h"

namespace rattanpond::platform {

using base::milliseconds;

namespace {

/// The users' site files give a worker this long until nothing more is started on it once it
/// drains.
constexpr milliseconds kDrainTime{ 2000 };

/// A cluster with one worker, to whose side another program sends heartbeats.
struct claimed_cluster : test_cluster
{
  explicit claimed_cluster(bool aIsRegistered = true)
    : test_cluster{ 2, 1 }
  {
    Side().mSendsHeartbeats = aIsRegistered;
    if (aIsRegistered) {
      BOOST_REQUIRE(RunUntil([&] { return StateOfWorker() == "ready"; }));
    }
  }

  test_side& Side() { return *mSides[0]; }
  std::string StateOfWorker() { return Side().Agent().Dump().at("state").get<std::string>(); }

  /// Sends the worker's next heartbeat with some members replaced.
  void Claim(std::string const& aWorker, base::json const& aReplaced)
  {
    auto claim = base::json::parse(Side().mWorker.Heartbeat(Side().mDomain, Side().mRack));
    claim.update(aReplaced);
    Side().Agent().Heartbeat(aWorker, claim.dump());
  }

  std::int64_t Born() { return Side().mWorker.IncarnationStart(); }
  std::string const& Worker() { return Side().mWorker.Id(); }

  void CheckJobIsDone(int aJob)
  {
    auto const path = "/u/" + JobId(aJob);
    BOOST_TEST(Call(Standby(), "POST", path, JobBody(2, 1)) == 200U);
    BOOST_TEST(ReachesState(path, "done", milliseconds{ 5000 }));
    BOOST_TEST(StateOfWorker() == "ready");
    RequireNoFaults(*this);
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(claimed_worker_test)

// Guards against a sound worker that is never used again after heartbeats of another program: they
// name another incarnation, with a wrong or the right service, or even the worker's identifier.
BOOST_AUTO_TEST_CASE(a_claim_does_not_replace_a_worker_that_answers)
{
  claimed_cluster cluster;
  auto const born = cluster.Born();
  auto job = 1;
  cluster.Claim("i-other", { { "service", "unknown" }, { "born", born + 5000 } });
  cluster.RunFor(milliseconds{ 200 });
  cluster.CheckJobIsDone(job++);
  cluster.Claim("i-other", { { "born", born + 5000 } });
  cluster.RunFor(milliseconds{ 200 });
  cluster.CheckJobIsDone(job++);
  cluster.Claim(cluster.Worker(), { { "born", born + 5000 }, { "seq", 1 } });
  cluster.RunFor(milliseconds{ 200 });
  cluster.CheckJobIsDone(job++);
  for (int claim = 0; claim < 20; ++claim) {
    cluster.Claim("i-" + std::to_string(claim), { { "born", born + claim } });
    cluster.RunFor(milliseconds{ 20 });
  }
  cluster.CheckJobIsDone(job++);
}

// Guards against the same at a side that has not heard of its worker yet.
BOOST_AUTO_TEST_CASE(a_claim_does_not_come_before_the_first_heartbeat)
{
  claimed_cluster cluster{ false };
  cluster.Claim("i-other", { { "born", cluster.Born() + 5000 } });
  cluster.RunFor(milliseconds{ 200 });
  cluster.Side().mSendsHeartbeats = true;
  cluster.CheckJobIsDone(1);
}

// Guards against a check that also keeps the true successors out.
BOOST_AUTO_TEST_CASE(a_successor_is_registered)
{
  claimed_cluster cluster;
  cluster.Side().mWorker.Crash("i-successor");
  cluster.CheckJobIsDone(1);
  cluster.Side().mWorker.Crash();
  cluster.CheckJobIsDone(2);
}

// Guards against starts on a worker that drains: a sequence number far ahead hid its next
// heartbeats.
BOOST_AUTO_TEST_CASE(a_high_sequence_number_does_not_hide_the_next_heartbeats)
{
  for (std::int64_t const ahead : { 15, 1'000'000'000 }) {
    claimed_cluster cluster;
    cluster.Claim(cluster.Worker(), { { "seq", ahead } });
    cluster.Side().mWorkerState = "draining";
    BOOST_TEST(cluster.RunUntil([&] { return cluster.StateOfWorker() == "draining"; }, kDrainTime));
  }
}

// Guards against a worker that is taken for gone while it works: another program said that it
// drains and leaves.
BOOST_AUTO_TEST_CASE(a_worker_that_answers_has_not_left)
{
  claimed_cluster cluster;
  cluster.Claim(cluster.Worker(), { { "state", "draining" } });
  cluster.Side().Agent().HandleDeparture(cluster.Worker());
  cluster.RunFor(milliseconds{ 2000 });
  cluster.CheckJobIsDone(1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace rattanpond::platform
