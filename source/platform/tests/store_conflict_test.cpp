#include "platform/tests/test_cluster.h"

namespace rattanpond::platform {

using base::milliseconds;
using client_transaction = fake_row_store::client_transaction;
using transaction_fault = fake_row_store::transaction_fault;

namespace {

/// Time of a transaction in a slow store.
constexpr milliseconds kSlowTransaction{ 200 };

/// A job with one step of many tasks that fit onto few workers.
std::string SmallTasksBody(int aCount)
{
  base::json const step{ { "count", aCount }, { "cpu", 100 }, { "mem_mb", 100 } };
  return base::json{ { "spec", "x" }, { "steps", { step } } }.dump();
}

std::string StateKey(std::string const& aJob)
{
  return std::string{ dispatch::kStatePrefix } + aJob;
}

std::string StoredState(test_cluster const& aCluster, std::string const& aJob)
{
  return aCluster.mStore.Text(dispatch::kDispatchTable, StateKey(aJob)).value_or("");
}

/// Number of jobs whose changes wait for a transaction.
std::size_t WaitingJobs(test_front const& aFront)
{
  return aFront.mScheduler.Dump().at("dirty_jobs").get<std::size_t>();
}

std::string FirstTask(std::string const& aJob)
{
  return aJob + ".0.0.0";
}

bool Reaches(test_cluster& aCluster, test_front& aFront, std::string const& aJob,
             std::string const& aState, milliseconds aLimit)
{
  return aCluster.RunUntil(
    [&] {
      return aCluster.Call(aFront, "GET", "/u/" + aJob) == 200 &&
             base::json::parse(aCluster.mLastBody).at("state") == aState;
    },
    aLimit);
}

} // namespace

BOOST_AUTO_TEST_SUITE(store_conflict_test)

// Guards against a refused transaction that counts as committed: the first job's state was the
// stored one (its worker listed an older checkpoint again), the cancellation of another job refused
// the transaction, and the end of a third job's run was acknowledged that no store had.
BOOST_AUTO_TEST_CASE(a_transaction_that_changes_nothing_in_its_first_row_can_be_refused)
{
  test_cluster cluster{ 1, 2 };
  for (auto const& side : cluster.mSides) {
    side->mWorker.mWork = milliseconds{ 60'000 };
    side->mWorker.mProgressTime = milliseconds{ 60'000 };
    side->mWorker.mCheckpoint = "first";
  }
  auto const unchanged = JobId(1);
  auto const ended = JobId(2);
  auto const cancelled = JobId(3);
  auto const held = JobId(4);
  auto& front = *cluster.mFronts[0];
  BOOST_TEST(cluster.Call(front, "POST", "/u/" + unchanged, JobBody(1, 8)) == 200U);
  BOOST_REQUIRE(cluster.RunUntil([&] { return cluster.mRecorder.ActiveRuns() == 1; }));
  auto const busy = cluster.mSides[0]->mWorker.mStarted > 0 ? 0U : 1U;
  cluster.mSides[1 - busy]->mWorker.mWork = milliseconds{ 9000 };
  for (auto const& id : { ended, cancelled }) {
    BOOST_TEST(cluster.Call(front, "POST", "/u/" + id, JobBody(1, 2)) == 200U);
  }
  BOOST_REQUIRE(cluster.RunUntil([&] { return cluster.mRecorder.ActiveRuns() == 3; }));
  auto const isStored = [&](std::string const& aText) {
    return StoredState(cluster, unchanged).find(aText) != std::string::npos;
  };
  BOOST_REQUIRE(cluster.RunUntil([&] { return isStored("first"); }));

  // While a transaction is under way, the checkpoint changes and changes back, and two runs end.
  auto isFirstHeld = true;
  auto isSecondHeld = true;
  std::size_t secondAttempts = 0;
  front.mStoreEndpoint.mOnTransaction = [&](client_transaction const& aTransaction) {
    auto const isSecond = aTransaction.Writes(StateKey(unchanged));
    secondAttempts += isSecond ? 1 : 0;
    auto const isFirst = aTransaction.Writes(StateKey(held));
    return (isFirst && isFirstHeld) || (isSecond && isSecondHeld) ? transaction_fault::held
                                                                  : transaction_fault::none;
  };
  BOOST_TEST(cluster.Call(front, "POST", "/u/" + held, JobBody(1, 2)) == 200U);
  cluster.mSides[busy]->mWorker.mCheckpoint = "second";
  BOOST_REQUIRE(cluster.RunUntil([&] { return WaitingJobs(front) == 3; }));
  cluster.mSides[busy]->mWorker.mCheckpoint = "first";
  constexpr milliseconds kReportInterval{ 1500 };
  cluster.RunFor(kReportInterval);
  isFirstHeld = false;
  BOOST_REQUIRE(cluster.RunUntil([&] { return secondAttempts > 0; }));
  cluster.mStore.Put(dispatch::kDispatchTable,
                     std::string{ dispatch::kCancellationPrefix } + cancelled, "");
  auto const before = StoredState(cluster, ended);
  isSecondHeld = false;

  auto const& worker = cluster.mSides[1 - busy]->mWorker;
  BOOST_TEST(
    cluster.RunUntil([&] { return !worker.ListsEnd(FirstTask(ended)); }, milliseconds{ 3000 }));
  BOOST_TEST(StoredState(cluster, ended) != before);
  BOOST_TEST(Reaches(cluster, front, ended, "done", milliseconds{ 3000 }));
  BOOST_TEST(!isStored("second"));
  RequireNoFaults(cluster);
}

// Guards against a new holder that lacks rows of the former one: the answer about its term was
// lost, the refusal of its second attempt showed the term before the rows written earlier arrived,
// and it acknowledged the end of a run that it did not know. The work was done a second time.
BOOST_AUTO_TEST_CASE(a_new_holder_begins_with_all_rows_of_the_former_one)
{
  test_cluster cluster{ 2, 1 };
  cluster.mSides[0]->mWorker.mWork = milliseconds{ 100 };
  auto& former = *cluster.Holder();
  auto& next = cluster.Standby();
  auto const id = JobId(1);

  // The former holder orders a start just before the standby takes over, and records no end.
  auto isTakeoverSent = false;
  former.mStoreEndpoint.mOnTransaction = [&](client_transaction const& aTransaction) {
    if (aTransaction.Writes(dispatch::kTermHeartbeatKey)) {
      return transaction_fault::refused;
    }
    return aTransaction.Writes(StateKey(id)) && !isTakeoverSent ? transaction_fault::held
                                                                : transaction_fault::none;
  };
  auto isTermTaken = false;
  std::size_t laterAttempts = 0;
  next.mStoreEndpoint.mOnTransaction = [&](client_transaction const& aTransaction) {
    if (!aTransaction.Writes(dispatch::kTermKey)) {
      return transaction_fault::none;
    }
    if (isTermTaken) {
      ++laterAttempts;
      return transaction_fault::none;
    }
    isTakeoverSent = true;
    next.mStoreEndpoint.mDelaysDispatchAnswers = true;
    auto const hasStarted = cluster.mRecorder.Starts(FirstTask(id)) == 1;
    former.mIsFrozen = hasStarted;
    if (!hasStarted || cluster.mRecorder.ActiveRuns() > 0 ||
        next.mStoreEndpoint.mDelayedAnswers == 0) {
      return transaction_fault::held;
    }
    isTermTaken = true;
    return transaction_fault::answer_lost;
  };
  BOOST_TEST(cluster.Call(next, "POST", "/u/" + id, JobBody(1, 1)) == 200U);
  BOOST_REQUIRE(cluster.RunUntil([&] { return laterAttempts > 0; }));
  cluster.RunFor(milliseconds{ 20 });
  cluster.mStore.Put(kOperatorTable, "unrelated", "changed");
  cluster.RunFor(milliseconds{ 100 });
  BOOST_TEST(!next.mScheduler.IsHolder());
  next.mStoreEndpoint.mDelaysDispatchAnswers = false;

  BOOST_TEST(cluster.RunUntil([&] { return next.mScheduler.IsHolder(); }, milliseconds{ 2000 }));
  BOOST_TEST(Reaches(cluster, next, id, "done", milliseconds{ 3000 }));
  BOOST_TEST(cluster.mRecorder.Starts(FirstTask(id)) == 1U);
  RequireNoFaults(cluster);
}

// Guards against a holder that steps down and begins again with the same outdated states: an own
// transaction that had been given up took effect late. It begins a new term, as orders of the
// former one may still be under way and leases that it renewed there may not have expired.
BOOST_AUTO_TEST_CASE(a_holder_reads_the_states_again_before_it_begins_again)
{
  test_cluster cluster{ 1, 2 };
  auto& front = *cluster.mFronts[0];
  auto const id = JobId(1);
  auto const setEvacuations = [&](bool aAreInForce) {
    for (auto const* const domain : { "zone-0", "zone-1" }) {
      auto const key = std::string{ kEvacuationPrefix } + domain;
      if (aAreInForce) {
        cluster.mStore.Put(kOperatorTable, key, "{}");
      } else {
        cluster.mStore.Remove(kOperatorTable, key);
      }
    }
  };
  // The first transaction is on its way for long. Its repetition is refused because of an
  // evacuation. The next transaction arrives after the first one has taken effect.
  base::json first;
  std::size_t firstNumber = 0;
  auto isFirstHeld = true;
  auto isNextHeld = true;
  std::set<std::size_t> nextNumbers;
  front.mStoreEndpoint.mOnTransaction = [&](client_transaction const& aTransaction) {
    if (!aTransaction.Writes(StateKey(id))) {
      return transaction_fault::none;
    }
    if (firstNumber == 0) {
      first = aTransaction.mBody;
      firstNumber = aTransaction.mNumber;
      setEvacuations(true);
    }
    auto const isNext = aTransaction.mBody != first;
    if (isNext && isNextHeld) {
      nextNumbers.insert(aTransaction.mNumber);
    }
    return (isNext && isNextHeld) || (aTransaction.mNumber == firstNumber && isFirstHeld)
             ? transaction_fault::held
             : transaction_fault::none;
  };
  BOOST_TEST(cluster.Call(front, "POST", "/u/" + id, JobBody(1, 1)) == 200U);
  BOOST_REQUIRE(cluster.RunUntil([&] { return !nextNumbers.empty(); }));
  setEvacuations(false);
  isFirstHeld = false;
  BOOST_REQUIRE(cluster.RunUntil([&] { return !StoredState(cluster, id).empty(); }));
  isNextHeld = false;
  front.mStoreEndpoint.mConflicts = 0;
  auto const formerTerm = front.mScheduler.Dump().at("term").get<std::uint64_t>();
  // Each change of the operators' rows could make it the holder again.
  auto const limit = base::Now() + milliseconds{ 10'000 };
  while (cluster.mRecorder.Starts(FirstTask(id)) == 0 && base::Now() < limit) {
    cluster.mStore.Put(kOperatorTable, "unrelated", "changed");
    cluster.RunFor(milliseconds{ 5 });
  }
  BOOST_TEST(front.mScheduler.Dump().at("term").get<std::uint64_t>() == formerTerm + 1);
  // Only the attempts that were on their way are refused.
  BOOST_TEST(front.mStoreEndpoint.mConflicts <= nextNumbers.size());
  BOOST_TEST(Reaches(cluster, front, id, "done", milliseconds{ 5000 }));
  BOOST_TEST(cluster.mRecorder.Starts(FirstTask(id)) == 1U);
  RequireNoFaults(cluster);
}

// Guards against the acknowledgement of an end that is recorded but not stored: a new side process
// lists it again, and it matches no active run any more.
BOOST_AUTO_TEST_CASE(an_end_is_acknowledged_only_once_it_is_stored)
{
  test_cluster cluster{ 1, 1 };
  auto& front = *cluster.mFronts[0];
  auto& side = *cluster.mSides[0];
  auto const id = JobId(1);
  auto isHeld = true;
  front.mStoreEndpoint.mOnTransaction = [&](client_transaction const& aTransaction) {
    auto const isEnd =
      cluster.mRecorder.HasEndedDone(FirstTask(id)) && aTransaction.Writes(StateKey(id));
    return isEnd && isHeld ? transaction_fault::held : transaction_fault::none;
  };
  BOOST_TEST(cluster.Call(front, "POST", "/u/" + id, JobBody(1, 1)) == 200U);
  BOOST_REQUIRE(cluster.RunUntil([&] { return cluster.mRecorder.HasEndedDone(FirstTask(id)); }));
  cluster.RunFor(milliseconds{ 300 });
  side.StartAgent(cluster.mStore);
  cluster.RunFor(milliseconds{ 3000 });
  BOOST_TEST(side.mWorker.ListsEnd(FirstTask(id)));
  isHeld = false;
  BOOST_TEST(Reaches(cluster, front, id, "done", milliseconds{ 3000 }));
  BOOST_TEST(
    cluster.RunUntil([&] { return !side.mWorker.ListsEnd(FirstTask(id)); }, milliseconds{ 3000 }));
  BOOST_TEST(cluster.mRecorder.Starts(FirstTask(id)) == 1U);
  RequireNoFaults(cluster);
}

// Guards against planning that waits for a moment without changes to store: with a slow store and
// runs that end all the time, an accepted job waited seconds for idle workers.
BOOST_AUTO_TEST_CASE(a_job_is_planned_while_other_jobs_change)
{
  test_cluster cluster{ 1, 2 };
  auto& front = *cluster.mFronts[0];
  constexpr int kOthers = 40;
  constexpr milliseconds kFirstEnd{ 3000 };
  constexpr milliseconds kBetweenEnds{ 100 };
  for (auto const& side : cluster.mSides) {
    side->mWorker.mProgressTime = milliseconds{ 10'000 };
    side->mWorker.mWorkOf = [&](std::string const& aTask) {
      auto const index = std::stoi(aTask.substr(aTask.rfind('.') + 1));
      return kFirstEnd + index * kBetweenEnds;
    };
  }
  BOOST_TEST(cluster.Call(front, "POST", "/b/" + JobId(1), JobBody(kOthers, 0)) == 200U);
  BOOST_REQUIRE(cluster.RunUntil([&] { return cluster.mRecorder.ActiveRuns() == kOthers; }));
  BOOST_REQUIRE(cluster.RunUntil([&] { return cluster.mRecorder.ActiveRuns() == kOthers - 1; }));
  front.mStoreEndpoint.mTransactionTime = kSlowTransaction;
  auto const id = JobId(2);
  BOOST_TEST(cluster.Call(front, "POST", "/u/" + id, JobBody(1, 1)) == 200U);
  // The transaction that is under way, its own, and as much for everything else.
  BOOST_TEST(cluster.RunUntil([&] { return cluster.mRecorder.Starts(FirstTask(id)) == 1; },
                              4 * kSlowTransaction));
  BOOST_TEST(cluster.mRecorder.ActiveRuns() > 1U);
  RequireNoFaults(cluster);
}

// Guards against a job whose changes are not stored, and whose worker's ends are not acknowledged,
// while more jobs than fit into a transaction change all the time.
BOOST_AUTO_TEST_CASE(changes_are_stored_in_their_order)
{
  test_cluster cluster{ 1, 3 };
  auto& front = *cluster.mFronts[0];
  // A transaction holds 18 jobs.
  constexpr int kOthers = 30;
  constexpr int kTasks = 16;
  auto const last = JobId(99);
  for (auto const& side : cluster.mSides) {
    side->mWorker.mWork = milliseconds{ 60'000 };
    side->mWorker.mProgressTime = milliseconds{ 20'000 };
  }
  for (int job = 1; job <= kOthers; ++job) {
    BOOST_TEST(cluster.Call(front, "POST", "/b/" + JobId(job), SmallTasksBody(kTasks)) == 200U);
  }
  BOOST_TEST(cluster.Call(front, "POST", "/b/" + last, SmallTasksBody(1)) == 200U);
  BOOST_REQUIRE(
    cluster.RunUntil([&] { return cluster.mRecorder.ActiveRuns() == kOthers * kTasks + 1; }));
  for (auto const& side : cluster.mSides) {
    side->mWorker.EndRunsIn([&](std::string const& aTask) {
      auto const index = std::stoi(aTask.substr(aTask.rfind('.') + 1));
      // The last job ends when all others have begun to end.
      return aTask.starts_with(last) ? 3 * kSlowTransaction : index * kSlowTransaction;
    });
  }
  front.mStoreEndpoint.mTransactionTime = kSlowTransaction;
  BOOST_REQUIRE(cluster.RunUntil([&] { return cluster.mRecorder.HasEndedDone(FirstTask(last)); }));
  // All jobs fit into two transactions; one more is under way, and reports take their time.
  BOOST_TEST(Reaches(cluster, front, last, "done", 5 * kSlowTransaction));
  BOOST_TEST(cluster.RunUntil(
    [&] {
      return std::ranges::none_of(cluster.mSides, [&](auto const& aSide) {
        return aSide->mWorker.ListsEnd(FirstTask(last));
      });
    },
    3 * kSlowTransaction));
  BOOST_TEST(cluster.mRecorder.ActiveRuns() > kOthers);
  RequireNoFaults(cluster);
}

// Guards against run-time observations that are lost with a refused transaction.
BOOST_AUTO_TEST_CASE(run_times_are_stored_after_a_conflict)
{
  test_cluster cluster{ 1, 1 };
  auto& front = *cluster.mFronts[0];
  auto const id = JobId(1);
  auto isRefused = false;
  front.mStoreEndpoint.mOnTransaction = [&](client_transaction const& aTransaction) {
    if (aTransaction.Writes(dispatch::kRunTimesKey) && !isRefused) {
      isRefused = true;
      cluster.mStore.Put(dispatch::kDispatchTable,
                         std::string{ dispatch::kCancellationPrefix } + id, "");
    }
    return transaction_fault::none;
  };
  BOOST_TEST(cluster.Call(front, "POST", "/u/" + id, JobBody(1, 1)) == 200U);
  BOOST_REQUIRE(cluster.RunUntil([&] { return front.mStoreEndpoint.mConflicts > 0; }));
  BOOST_TEST(cluster.RunUntil(
    [&] {
      return cluster.mStore.Text(dispatch::kDispatchTable, dispatch::kRunTimesKey).has_value();
    },
    milliseconds{ 2000 }));
}

// Guards against rows of ended jobs that stay in the store for good after a refused removal.
BOOST_AUTO_TEST_CASE(ended_jobs_are_removed_after_a_refusal)
{
  test_cluster cluster{ 1, 1 };
  auto& front = *cluster.mFronts[0];
  front.mSettings.mStatusRetention = milliseconds{ 100 };
  auto const id = JobId(1);
  std::size_t refusals = 0;
  front.mStoreEndpoint.mOnTransaction = [&](client_transaction const& aTransaction) {
    if (aTransaction.mBody["remove"].empty() || refusals > 0) {
      return transaction_fault::none;
    }
    ++refusals;
    return transaction_fault::refused;
  };
  BOOST_TEST(cluster.Call(front, "POST", "/u/" + id, JobBody(1, 1)) == 200U);
  BOOST_REQUIRE(cluster.RunUntil([&] { return refusals > 0; }));
  BOOST_TEST(
    cluster.RunUntil([&] { return StoredState(cluster, id).empty(); }, milliseconds{ 5000 }));
}

// Guards against a takeover because of one term heartbeat without an answer.
BOOST_AUTO_TEST_CASE(one_unanswered_term_heartbeat_does_not_vacate_the_term)
{
  test_cluster cluster{ 2, 1 };
  auto const& holder = *cluster.Holder();
  std::size_t lost = 0;
  cluster.Holder()->mStoreEndpoint.mOnTransaction = [&](client_transaction const& aTransaction) {
    if (lost == 0 && aTransaction.Writes(dispatch::kTermHeartbeatKey)) {
      lost = aTransaction.mNumber;
    }
    return aTransaction.mNumber == lost ? transaction_fault::held : transaction_fault::none;
  };
  BOOST_REQUIRE(cluster.RunUntil([&] { return lost > 0; }));
  cluster.RunFor(2 * dispatch::kTermHeartbeatTimeout);
  BOOST_TEST(holder.mScheduler.IsHolder());
  BOOST_TEST(holder.mReplica.Term().mNumber == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace rattanpond::platform
