#include "placement/guaranteed_decision.h"

#include <algorithm>
#include <queue>
#include <tuple>

// The part of the decision that concerns work outside the guarantees: job order, urgent work,
// reservations, defragmentation, borrowing and probes.

namespace rattanpond::placement {

namespace {

/// A gang that borrows an accelerator bound to a guarantee is likely to be preempted.
constexpr double kBoundUnusedWeight = 100;
/// Jobs of at least this many accelerators may get a reservation or have other gangs moved for
/// them.
constexpr std::int64_t kLargeJobAccelerators = 8;
/// Each reservation keeps accelerators idle, so only the job that has waited longest in relation to
/// its run time gets one.
constexpr std::size_t kMaximumReservations = 1;
/// Shortest job first gives the best mean, but a job that has waited for this many of its run times
/// precedes shorter jobs.
constexpr double kOverdueWaitingRatio = 10;
/// In the order of borrowing, a wait of this length offsets a borrowed share of everything, so that
/// a workspace that waits this long precedes one that borrows everything.
constexpr double kAgeingMilliseconds = 3'600'000;
/// A move must gain this many times what it loses, because run times are off by a factor of up to
/// five either way on both sides of the comparison.
constexpr double kMinimumMoveGain = 20;
/// Gangs with more accelerators are not moved, because they would become large jobs that wait.
constexpr std::int64_t kMaximumMovableGang = 4;
/// Number of large jobs that are considered for moves in one decision.
constexpr int kMoveAttempts = 3;
/// A gain further in the future than this is too uncertain to be counted.
constexpr base::milliseconds kMoveHorizon{ 1'200'000 };
/// A reservation keeps its place for this long: estimates change as gangs end, but a place that
/// changed with each of them would never become free.
constexpr base::milliseconds kReplanAfter{ 60'000 };

/// Waiting time divided by the expected run time. Jobs with a high ratio have waited too long for
/// their length.
double WaitingRatio(waiting_job const& aJob, run_time_estimator const& aEstimator,
                    base::time_point aNow)
{
  auto const run = aEstimator.Expected(aJob.mWorkspace, aJob.mDeclaredRemaining);
  return static_cast<double>((aNow - aJob.mSubmitted).count()) /
         static_cast<double>(std::max<std::int64_t>(run.count(), 1));
}

} // namespace

void guaranteed_decision::OrderJobs(workspace_ledger& aLedger) const
{
  struct entry
  {
    waiting_job const* mJob;
    bool mIsOverdue;
    std::int64_t mKey;
  };
  std::vector<entry> order;
  for (auto const* const job : aLedger.mJobs) {
    auto const isOverdue = IsOverdue(*job);
    order.push_back(
      { job, isOverdue,
        isOverdue
          ? job->mSubmitted.time_since_epoch().count()
          : mPolicyState.mEstimator.Expected(job->mWorkspace, job->mDeclaredRemaining).count() });
  }
  std::stable_sort(order.begin(), order.end(), [](entry const& aLeft, entry const& aRight) {
    return std::tuple{ aLeft.mJob->mUrgency, !aLeft.mIsOverdue, aLeft.mKey } <
           std::tuple{ aRight.mJob->mUrgency, !aRight.mIsOverdue, aRight.mKey };
  });
  std::transform(order.begin(), order.end(), aLedger.mJobs.begin(),
                 [](entry const& aEntry) { return aEntry.mJob; });
}

bool guaranteed_decision::IsOverdue(waiting_job const& aJob) const
{
  return mNow - aJob.mSubmitted >= mPolicyState.mOptions.mReservationAfter &&
         WaitingRatio(aJob, mPolicyState.mEstimator, mNow) >= kOverdueWaitingRatio;
}

double guaranteed_decision::BorrowScore(placed_parts const& aParts,
                                        std::int64_t aAcceleratorsPerTask) const
{
  double displaced = 0;
  for (auto const& part : aParts) {
    auto const left = mView.Free()[part.mWorker].mAccelerators - aAcceleratorsPerTask * part.mTasks;
    displaced += static_cast<double>(std::max<std::int64_t>(mBoundUnused[part.mWorker] - left, 0));
  }
  return kBoundUnusedWeight * displaced + mScore(aParts, aAcceleratorsPerTask);
}

std::optional<guaranteed_decision::plan> guaranteed_decision::PlanUrgent(
  waiting_job const& aJob) const
{
  std::vector<resources> reach{ mView.FreeAfterStops().begin(), mView.FreeAfterStops().end() };
  for (auto const& gang : mView.Gangs()) {
    if (MayStop(gang, preemption_rule::not_urgent)) {
      for (auto const& part : gang.mParts) {
        reach[part.mWorker] += gang.mTask * part.mTasks;
      }
    }
  }
  auto const task = Demand(aJob.mShape.mTask);
  std::vector<reachable> workers;
  for (std::uint32_t index = 0; index < reach.size(); ++index) {
    if (reach[index].Covers(task) && mView.Usable()[index] != resources{}) {
      workers.emplace_back(index, reach[index]);
    }
  }
  auto const accelerators = static_cast<std::int64_t>(aJob.mShape.mTask.mAccelerators);
  return CheapestPlan(aJob, workers, preemption_rule::not_urgent, [&](placed_parts const& aParts) {
    return BorrowScore(aParts, accelerators);
  });
}

void guaranteed_decision::StartUrgent()
{
  mHasNoUrgentPlan.assign(mPolicyState.mShapes.size(), false);
  std::vector<waiting_job const*> urgent;
  for (auto const& [name, ledger] : mLedgers) {
    std::copy_if(ledger.mJobs.begin(), ledger.mJobs.end(), std::back_inserter(urgent),
                 [](auto const* aJob) { return aJob->mUrgency == urgency::urgent; });
  }
  std::stable_sort(urgent.begin(), urgent.end(), [](auto const* aLeft, auto const* aRight) {
    return aLeft->mSubmitted < aRight->mSubmitted;
  });
  for (auto const* const job : urgent) {
    auto& ledger = Ledger(job->mWorkspace);
    if (!IsClaimed(job->mJob) && !BorrowFree(*job, ledger)) {
      PreemptForUrgent(*job, ledger);
    }
  }
}

bool guaranteed_decision::PreemptForUrgent(waiting_job const& aJob, workspace_ledger& aLedger)
{
  auto const shape = mShapeOfJob.at(aJob.mJob);
  if (mHasNoUrgentPlan[shape] || !aLedger.IsWithinQuota(Accelerators(aJob.mShape))) {
    return false;
  }
  auto chosen = PlanUrgent(aJob);
  if (!chosen) {
    mHasNoUrgentPlan[shape] = true;
    return false;
  }
  AddClaim(aJob, aLedger, std::move(*chosen), tenure::borrowed);
  return true;
}

bool guaranteed_decision::BorrowFree(waiting_job const& aJob, workspace_ledger& aLedger)
{
  if (!aLedger.IsWithinQuota(Accelerators(aJob.mShape))) {
    return false;
  }
  auto const end =
    mNow + mPolicyState.mEstimator.Conservative(aJob.mWorkspace, aJob.mDeclaredRemaining);
  auto const isUrgent = aJob.mUrgency == urgency::urgent;
  auto const free = isUrgent || mReservations.empty()
                      ? std::vector<resources>{ mView.Free().begin(), mView.Free().end() }
                      : FreeOutsideReservations(mView.Free(), mReservations, end);
  auto const candidates = Candidates(mPolicyState.mTopology, free, aJob.mShape);
  auto const accelerators = static_cast<std::int64_t>(aJob.mShape.mTask.mAccelerators);
  auto parts =
    FitGang(mPolicyState.mTopology, candidates, aJob.mShape,
            [&](placed_parts const& aFound) { return BorrowScore(aFound, accelerators); });
  if (!parts) {
    return false;
  }
  AddClaim(aJob, aLedger, { std::move(*parts), {} }, tenure::borrowed);
  return true;
}

void guaranteed_decision::Reserve()
{
  RenewReservations();
  AddReservations();
}

void guaranteed_decision::RenewReservations()
{
  for (auto const& entry : mPolicyState.mReservations) {
    auto const waiting = mState.mWaiting.find(entry.mJob);
    if (waiting == mState.mWaiting.end() || !mShapeOfJob.contains(entry.mJob) ||
        IsClaimed(entry.mJob)) {
      continue;
    }
    auto const& job = waiting->second;
    if (BorrowFree(job, Ledger(job.mWorkspace))) {
      continue;
    }
    if (mNow < entry.mPlanned + kReplanAfter &&
        CoversAll(mView.Usable(), entry.mParts, entry.mTask)) {
      mReservations.push_back(entry);
    }
  }
}

void guaranteed_decision::AddReservations()
{
  std::vector<waiting_job const*> large;
  for (auto const& [name, ledger] : mLedgers) {
    for (auto const* const job : ledger.mJobs) {
      if (Accelerators(job->mShape) >= kLargeJobAccelerators && IsOverdue(*job) &&
          ledger.IsWithinQuota(Accelerators(job->mShape))) {
        large.push_back(job);
      }
    }
  }
  std::stable_sort(large.begin(), large.end(), [&](auto const* aLeft, auto const* aRight) {
    return WaitingRatio(*aLeft, mPolicyState.mEstimator, mNow) >
           WaitingRatio(*aRight, mPolicyState.mEstimator, mNow);
  });
  for (auto const* const job : large) {
    if (mReservations.size() >= kMaximumReservations) {
      return;
    }
    auto const isHeld = std::any_of(mReservations.begin(), mReservations.end(),
                                    [&](auto const& aEntry) { return aEntry.mJob == job->mJob; });
    if (isHeld || IsClaimed(job->mJob) || BorrowFree(*job, Ledger(job->mWorkspace))) {
      continue;
    }
    auto planned = PlanReservation(
      mPolicyState.mTopology, mView, mPolicyState.mEstimator, *job,
      FreeOutsideReservations(mView.Free(), mReservations, base::time_point::max()), mNow);
    if (planned) {
      mReservations.push_back(std::move(*planned));
    }
  }
}

void guaranteed_decision::Defragment()
{
  std::vector<waiting_job const*> large;
  for (auto const& [name, ledger] : mLedgers) {
    for (auto const* const job : ledger.mJobs) {
      if (Accelerators(job->mShape) >= kLargeJobAccelerators && !IsClaimed(job->mJob) &&
          mNow - job->mWaitingSince >= mPolicyState.mOptions.mReservationAfter) {
        large.push_back(job);
      }
    }
  }
  auto attempts = kMoveAttempts;
  for (auto const* const job : large) {
    if (attempts-- == 0) {
      return;
    }
    DefragmentFor(*job, Ledger(job->mWorkspace));
  }
}

bool guaranteed_decision::DefragmentFor(waiting_job const& aJob, workspace_ledger& aLedger)
{
  auto const needed = Accelerators(aJob.mShape);
  std::int64_t free = 0;
  for (auto const& amount : mView.Free()) {
    free += std::max<std::int64_t>(amount.mAccelerators, 0);
  }
  // With fewer free accelerators in total, the moved gangs could not start elsewhere.
  if (free < needed || !aLedger.IsWithinQuota(needed)) {
    return false;
  }
  auto const later =
    PlanReservation(mPolicyState.mTopology, mView, mPolicyState.mEstimator, aJob,
                    std::vector<resources>{ mView.Free().begin(), mView.Free().end() }, mNow);
  auto chosen = later ? PlanUrgent(aJob) : std::nullopt;
  if (!chosen) {
    return false;
  }
  auto const sooner = std::min(later->mFrom - mNow, kMoveHorizon);
  auto const gain = static_cast<double>(sooner.count() * needed);
  double loss = 0;
  for (auto const preemptedIndex : chosen->mPreempted) {
    auto const& gang = mView.Gangs()[preemptedIndex];
    if (gang.Accelerators() > kMaximumMovableGang) {
      return false;
    }
    loss += LostWork(gang, mNow);
  }
  if (gain < kMinimumMoveGain * loss) {
    return false;
  }
  AddClaim(aJob, aLedger, std::move(*chosen), tenure::borrowed);
  return true;
}

double guaranteed_decision::BorrowOrder(workspace_ledger const& aLedger) const
{
  auto const& job = *aLedger.mJobs[aLedger.mNext];
  auto const waited = static_cast<double>((mNow - job.mWaitingSince).count());
  return aLedger.DominantShare(mUsableTotal) - waited / kAgeingMilliseconds;
}

void guaranteed_decision::Borrow()
{
  using entry = std::pair<double, workspace_ledger*>;
  std::priority_queue<entry, std::vector<entry>, std::greater<>> queue;
  auto const enqueue = [&](workspace_ledger& aLedger) {
    if (aLedger.mNext < aLedger.mJobs.size()) {
      queue.emplace(BorrowOrder(aLedger), &aLedger);
    }
  };
  for (auto& [name, ledger] : mLedgers) {
    enqueue(ledger);
  }
  // Jobs that end before a reservation begins may use its accelerators, so their failures to fit
  // are recorded apart from those of other jobs of the same shape.
  std::vector<bool> hasFailed(2 * mPolicyState.mShapes.size(), false);
  while (!queue.empty()) {
    auto& ledger = *queue.top().second;
    queue.pop();
    auto const& job = *ledger.mJobs[ledger.mNext++];
    auto const key = 2 * mShapeOfJob.at(job.mJob) + (IsBackfill(job) ? 1 : 0);
    if (!hasFailed[key] && !IsClaimed(job.mJob) && !BorrowFree(job, ledger)) {
      hasFailed[key] = ledger.IsWithinQuota(Accelerators(job.mShape));
    }
    enqueue(ledger);
  }
}

bool guaranteed_decision::IsBackfill(waiting_job const& aJob) const
{
  auto const end =
    mNow + mPolicyState.mEstimator.Conservative(aJob.mWorkspace, aJob.mDeclaredRemaining);
  return std::any_of(mReservations.begin(), mReservations.end(),
                     [&](reservation const& aEntry) { return end <= aEntry.mFrom; });
}

void guaranteed_decision::ProbeWorkers()
{
  for (std::uint32_t index = 0; index < mPolicyState.mTopology.size(); ++index) {
    auto const& worker = mPolicyState.mTopology.Worker(index);
    if (worker.mAvailability != worker_availability::available ||
        mPolicyState.mHealth.Verdict(worker.mName) != worker_health::verdict::probing ||
        !mView.GangsOn(index).empty()) {
      continue;
    }
    // The smallest job loses the least work if the worker is still faulty.
    waiting_job const* probe = nullptr;
    for (auto const& [name, job] : mState.mWaiting) {
      if (MayProbe(job, worker) &&
          (!probe || Accelerators(job.mShape) < Accelerators(probe->mShape))) {
        probe = &job;
      }
    }
    if (probe) {
      mFreeBeforeClaims[index] = Capacity(worker);
      AddClaim(*probe, Ledger(probe->mWorkspace), { { { index, 1 } }, {} }, tenure::borrowed);
    }
  }
}

bool guaranteed_decision::MayProbe(waiting_job const& aJob, worker const& aWorker)
{
  return aJob.mShape.mTasks == 1 && aJob.mUrgency != urgency::urgent && !IsClaimed(aJob.mJob) &&
         mShapeOfJob.contains(aJob.mJob) && Admits(aWorker, aJob.mShape) &&
         Capacity(aWorker).Covers(Demand(aJob.mShape.mTask)) &&
         Ledger(aJob.mWorkspace).IsWithinQuota(Accelerators(aJob.mShape));
}

} // namespace rattanpond::placement
