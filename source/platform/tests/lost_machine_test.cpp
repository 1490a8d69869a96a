#include "platform/tests/test_cluster.h"

namespace rattanpond::platform {

using base::milliseconds;

namespace {

constexpr int kLosses = 4;
constexpr milliseconds kWithoutPower{ 1500 };

/// A job on the only worker, the machine of which loses power.
struct flapping_machine : test_cluster
{
  flapping_machine()
    : test_cluster{ 2, 1 }
  {
    mSides[0]->mWorker.mWork = milliseconds{ 60'000 };
    BOOST_REQUIRE(RunUntil([this] { return mSides[0]->Agent().Dump().at("state") == "ready"; }));
    RunFor(milliseconds{ 200 });
  }

  void Submit(std::string const& aBody)
  {
    BOOST_TEST(Call(Standby(), "POST", mPath, aBody) == 200U);
  }

  bool IsAtWork()
  {
    return RunUntil([this] { return mRecorder.ActiveRuns() == 1; });
  }

  /// The side and its worker are gone at the same moment.
  void CutPower()
  {
    auto& side = *mSides[0];
    side.mIsFrozen = true;
    side.mWorker.mFaults.mIsDown = true;
    side.mWorker.Crash();
  }

  void RestorePower()
  {
    auto& side = *mSides[0];
    side.mWorker.mFaults.mIsDown = false;
    side.mIsFrozen = false;
    side.StartAgent(mStore);
  }

  /// Loses power soon after each of the next starts.
  void LoseAtWork(int aLosses, std::function<void()> const& aMeanwhile = {})
  {
    for (int loss = 1; loss <= aLosses; ++loss) {
      BOOST_REQUIRE(IsAtWork());
      RunFor(milliseconds{ 300 });
      CutPower();
      if (aMeanwhile) {
        aMeanwhile();
      }
      RunFor(kWithoutPower);
      RestorePower();
    }
  }

  void CheckRunning()
  {
    BOOST_TEST(IsAtWork());
    BOOST_TEST(State(mPath) == "running");
    RequireNoFaults(*this);
  }

  std::string mPath = "/b/" + JobId(95);
};

std::string LastingBody()
{
  auto body = base::json::parse(JobBody(1, 8));
  body["steps"][0]["long_running"] = true;
  return body.dump();
}

} // namespace

BOOST_AUTO_TEST_SUITE(lost_machine_test)

// Guards against a job that is given up although none of its tasks has crashed a worker: its
// machine lost power soon after each start.
BOOST_AUTO_TEST_CASE(the_loss_of_a_machine_is_no_crash_of_its_worker)
{
  for (auto const& body : { JobBody(1, 8), LastingBody() }) {
    flapping_machine cluster;
    cluster.Submit(body);
    cluster.LoseAtWork(kLosses);
    cluster.CheckRunning();
  }
}

// Guards against the same where the holder is lost at the same moment, so that another one finds
// the run in the store.
BOOST_AUTO_TEST_CASE(the_next_holder_knows_that_a_machine_was_lost)
{
  flapping_machine cluster;
  cluster.Submit(JobBody(1, 8));
  cluster.LoseAtWork(
    kLosses, [&] { cluster.RestartFront(cluster.Holder() == cluster.mFronts[0].get() ? 0U : 1U); });
  cluster.CheckRunning();
}

// Guards against the same for a start that went to a machine without power, and never began.
BOOST_AUTO_TEST_CASE(a_start_that_never_began_is_no_crash_either)
{
  flapping_machine cluster;
  cluster.CutPower();
  cluster.Submit(JobBody(1, 8));
  cluster.RunFor(kWithoutPower);
  cluster.RestorePower();
  BOOST_TEST(cluster.mSides[0]->mWorker.mStarted == 0U);
  cluster.LoseAtWork(kLosses - 1);
  cluster.CheckRunning();
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace rattanpond::platform
