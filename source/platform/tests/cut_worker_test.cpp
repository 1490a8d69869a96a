#include "platform/tests/test_cluster.h"

namespace rattanpond::platform {

using base::milliseconds;

namespace {

/// Processes that are replaced while the workers are cut off for the second time.
enum class loss
{
  none,
  holder,
  all_fronts,
  sides
};

constexpr milliseconds kLease{ 3000 };
/// From the end of a lease on the worker until the scheduler has stored what follows from it.
constexpr milliseconds kStored{ 800 };
constexpr int kCuts = 3;

/// Three jobs, each on workers of its own: one that lasts, one that ends, and a gang.
struct cut_cluster : test_cluster
{
  cut_cluster()
    : test_cluster{ cluster_options{ .mSides = 4, .mMaximumLease = kLease } }
  {
    for (auto const& side : mSides) {
      side->mWorker.mWork = milliseconds{ 60'000 };
      side->mWorker.mProgressTime = milliseconds{ 60'000 };
    }
    auto lasting = base::json::parse(JobBody(1, 8));
    lasting["steps"][0]["long_running"] = true;
    Submit(81, lasting.dump());
    Submit(82, JobBody(1, 8));
    Submit(83, JobBody(2, 8, true));
  }

  void Submit(int aJob, std::string const& aBody)
  {
    mPaths.push_back("/b/" + JobId(aJob));
    BOOST_TEST(Call(Standby(), "POST", mPaths.back(), aBody) == 200U);
  }

  bool AreAllAtWork() const { return mRecorder.ActiveRuns() == mSides.size(); }

  /// Cuts all workers off from their sides right after the starts, for longer than their leases.
  /// The workers run on.
  void Cut(loss aLost)
  {
    BOOST_REQUIRE(RunUntil([this] { return AreAllAtWork(); }));
    RunFor(milliseconds{ 300 });
    SetCut(true);
    BOOST_REQUIRE(RunUntil([this] { return mRecorder.ActiveRuns() == 0; }));
    RunFor(kStored);
    Replace(aLost);
    SetCut(false);
  }

  std::vector<std::string> mPaths;

private:
  void SetCut(bool aIsCut)
  {
    for (auto const& side : mSides) {
      side->mWorker.mFaults.mIsDown = aIsCut;
      side->mSendsHeartbeats = !aIsCut;
    }
  }

  void Replace(loss aLost)
  {
    auto const holder = Holder() == mFronts[0].get() ? 0U : 1U;
    if (aLost == loss::holder || aLost == loss::all_fronts) {
      RestartFront(holder);
    }
    if (aLost == loss::all_fronts) {
      RestartFront(1U - holder);
    }
    if (aLost == loss::sides) {
      for (auto const& side : mSides) {
        side->StartAgent(mStore);
      }
    }
    BOOST_REQUIRE(RunUntil([this] { return Holder() != nullptr; }));
  }
};

void CheckCuts(loss aLost)
{
  cut_cluster cluster;
  for (int cut = 1; cut <= kCuts; ++cut) {
    cluster.Cut(cut == 2 ? aLost : loss::none);
  }
  BOOST_TEST(cluster.RunUntil([&] { return cluster.AreAllAtWork(); }));
  for (auto const& path : cluster.mPaths) {
    BOOST_TEST(cluster.State(path) == "running");
  }
  RequireNoFaults(cluster);
}

} // namespace

BOOST_AUTO_TEST_SUITE(cut_worker_test)

// Guards against jobs that are given up for crashes although their workers never crashed: they were
// cut off soon after each start, and ran on.
BOOST_AUTO_TEST_CASE(cuts_of_a_worker_are_no_crashes)
{
  CheckCuts(loss::none);
}

// Guards against the same where the scheduler that counted the first cuts is lost before the
// workers are back.
BOOST_AUTO_TEST_CASE(the_next_holder_knows_which_crashes_are_only_suspected)
{
  CheckCuts(loss::holder);
}

// Guards against the same where only the store can tell.
BOOST_AUTO_TEST_CASE(suspected_crashes_outlive_all_fronts)
{
  CheckCuts(loss::all_fronts);
}

// Guards against the same where the sides that reported the cuts are lost.
BOOST_AUTO_TEST_CASE(the_next_side_shows_that_its_worker_has_not_crashed)
{
  CheckCuts(loss::sides);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace rattanpond::platform
