#include "platform/tests/pending_call.h"

namespace rattanpond::platform {

using base::milliseconds;

namespace {

/// Why the submission takes effect, or would, after the cancellation.
enum class delay
{
  front_frozen,
  transaction_held
};

/// Time for which a cancelled job is watched; the users allow starts for 3 s.
constexpr milliseconds kWatchTime{ 1500 };

struct cancel_race_cluster : test_cluster
{
  cancel_race_cluster()
    : test_cluster{ 3, 2 }
  {
  }

  /// Submits the job at a front that does not get it into the store, cancels it at another one, and
  /// lets the first one go on. Returns the status of the submission.
  unsigned CancelBeforeAcceptance(test_front& aSubmitting, test_front& aCancelling, delay aDelay)
  {
    bool isHeld = true;
    if (aDelay == delay::front_frozen) {
      aSubmitting.mIsFrozen = true;
    } else {
      aSubmitting.mStoreEndpoint.mOnTransaction =
        [&](fake_row_store::client_transaction const& aTransaction) {
          return isHeld && aTransaction.Writes(dispatch::kJobPrefix)
                   ? fake_row_store::transaction_fault::held
                   : fake_row_store::transaction_fault::none;
        };
    }
    pending_call submission{ aSubmitting, "POST", mPath, JobBody(1, 1) };
    RunFor(milliseconds{ 400 });
    BOOST_TEST(Call(aCancelling, "DELETE", mPath) == 410U);
    RunFor(milliseconds{ 200 });
    aSubmitting.mIsFrozen = false;
    isHeld = false;
    BOOST_REQUIRE(RunUntil([&] { return submission.Status() != 0; }));
    aSubmitting.mStoreEndpoint.mOnTransaction = {};
    return submission.Status();
  }

  std::string const mId = JobId(1);
  std::string const mPath = "/u/" + mId;
};

} // namespace

BOOST_AUTO_TEST_SUITE(cancel_race_test)

// Guards against a job that runs after its cancelling was acknowledged: its submission waits at a
// front that stands still, or in the store, until after the caller has cancelled it elsewhere.
BOOST_AUTO_TEST_CASE(a_job_that_was_cancelled_before_its_acceptance_never_runs)
{
  for (auto const why : { delay::front_frozen, delay::transaction_held }) {
    for (auto const isHolderCancelling : { false, true }) {
      BOOST_TEST_CONTEXT("delay " << static_cast<int>(why)
                                  << ", cancelled at the holder: " << isHolderCancelling)
      {
        cancel_race_cluster cluster;
        auto& holder = *cluster.Holder();
        auto& standby = cluster.Standby();
        auto& other = **std::ranges::find_if(cluster.mFronts, [&](auto const& aFront) {
          return aFront.get() != &holder && aFront.get() != &standby;
        });
        auto const status =
          cluster.CancelBeforeAcceptance(standby, isHolderCancelling ? holder : other, why);
        // A refusal is true: the job was not accepted and never runs.
        BOOST_TEST(status == 503U);
        cluster.RunFor(kWatchTime);
        BOOST_TEST(cluster.mRecorder.Starts(cluster.mId + ".0.0.0") == 0U);
        BOOST_TEST(cluster.Call(holder, "GET", cluster.mPath) == 410U);
        BOOST_TEST(cluster.Call(holder, "DELETE", cluster.mPath) == 410U);
        RequireNoFaults(cluster);
      }
    }
  }
}

// Guards against the same if the front that stands still holds the term.
BOOST_AUTO_TEST_CASE(a_submission_at_a_frozen_holder_is_cancelled_elsewhere)
{
  cancel_race_cluster cluster;
  auto& holder = *cluster.Holder();
  auto const status =
    cluster.CancelBeforeAcceptance(holder, cluster.Standby(), delay::front_frozen);
  BOOST_TEST(status == 503U);
  cluster.RunFor(kWatchTime);
  BOOST_TEST(cluster.mRecorder.Starts(cluster.mId + ".0.0.0") == 0U);
}

// Guards against a cancellation of an unknown job that stays in the store for good, and against a
// job that is removed with it.
BOOST_AUTO_TEST_CASE(a_cancellation_without_a_job_is_removed)
{
  test_cluster cluster{ 2, 2 };
  for (auto const& front : cluster.mFronts) {
    front->mSettings.mStatusRetention = milliseconds{ 500 };
  }
  auto const marks = [&] {
    return cluster.mStore.Keys(dispatch::kDispatchTable, dispatch::kCancellationPrefix).size();
  };
  auto const path = "/u/" + JobId(1);
  BOOST_TEST(cluster.Call(cluster.Standby(), "DELETE", path) == 410U);
  BOOST_TEST(marks() == 1U);
  BOOST_TEST(cluster.Call(cluster.Standby(), "POST", path, JobBody(1, 1)) == 503U);
  BOOST_TEST(cluster.RunUntil([&] { return marks() == 0; }, milliseconds{ 5000 }));
  for (auto const& side : cluster.mSides) {
    side->mWorker.mWork = milliseconds{ 3000 };
  }
  BOOST_TEST(cluster.Call(cluster.Standby(), "POST", path, JobBody(1, 1)) == 200U);
  cluster.RunFor(milliseconds{ 2500 });
  BOOST_TEST(cluster.State(path) == "running");
  RequireNoFaults(cluster);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace rattanpond::platform
