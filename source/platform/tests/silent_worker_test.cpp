#include "platform/tests/test_cluster.h"

namespace rattanpond::platform {

using base::milliseconds;

namespace {

/// A worker with four runs of 9 s that have just begun.
struct silence_cluster : test_cluster
{
  silence_cluster()
    : test_cluster{ 2, 1 }
  {
    // The listed percentage is that of a run that takes 100 s, so it is 0 for the first second.
    mWorker.mProgressTime = milliseconds{ 100'000 };
    mWorker.mWork = milliseconds{ 9000 };
    auto body = base::json::parse(JobBody(4, 1));
    body["steps"][0]["estimate_ms"] = 9000;
    BOOST_TEST(Call(Standby(), "POST", mPath, body.dump()) == 200U);
    BOOST_REQUIRE(RunUntil([&] { return mRecorder.ActiveRuns() == 4U; }));
    RunFor(milliseconds{ 300 });
  }

  /// Checks that the runs that were at work before the silence have ended the job.
  void RequireFirstRunsAreDone()
  {
    BOOST_TEST(ReachesState(mPath, "done"));
    std::uint64_t stalls = 0;
    for (auto const& front : mFronts) {
      stalls += front->mMetrics.Counter("rattanpond_stalled_runs").Value();
    }
    BOOST_TEST(stalls == 0U);
    BOOST_TEST(mWorker.mStopCalls == 0U);
    BOOST_TEST(mWorker.mStarted == 4U);
    RequireNoFaults(*this);
  }

  std::string const mPath = "/u/" + JobId(1);
  fake_worker& mWorker = mSides[0]->mWorker;
};

constexpr milliseconds kSilence{ 4000 };

} // namespace

BOOST_AUTO_TEST_SUITE(silent_worker_test)

// Guards against work that is stopped because nobody has heard of its progress: the worker's run
// lists could not be read for a while, and the run is taken for one that stands still.
BOOST_AUTO_TEST_CASE(runs_of_a_worker_that_is_silent_for_a_while_go_on)
{
  silence_cluster cluster;
  cluster.mWorker.mFaults.mIsUnresponsive = true;
  cluster.RunFor(kSilence);
  cluster.mWorker.mFaults.mIsUnresponsive = false;
  cluster.RequireFirstRunsAreDone();
}

// Guards against the same where side and worker stand still together, and no report arrives.
BOOST_AUTO_TEST_CASE(runs_of_a_machine_that_stands_still_for_a_while_go_on)
{
  silence_cluster cluster;
  cluster.mSides[0]->mIsFrozen = true;
  cluster.mWorker.Suspend();
  cluster.RunFor(kSilence);
  cluster.mWorker.Resume();
  cluster.mSides[0]->mIsFrozen = false;
  cluster.RequireFirstRunsAreDone();
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace rattanpond::platform
