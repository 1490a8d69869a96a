#include "placement/guaranteed_decision.h"

#include <algorithm>
#include <tuple>

namespace rattanpond::placement {

namespace {

/// Urgent work starts within 6.8 s even if one gang does not stop: twice this notice, the waits for
/// the next decision and the messages.
constexpr base::milliseconds kUrgentNotice{ 2'000 };
/// Left of the reclaim bound for the stop to be reported and the new gang to be committed.
constexpr base::milliseconds kReclaimMargin{ 2'000 };
/// Borrowing an accelerator that is promised to a workspace is likely to end in a preemption.
constexpr double kPromisedWeight = 100;
/// Breaking a larger shape of the workspace itself costs this much per accelerator of the rack.
constexpr double kOwnShapeWeight = 200;
/// A job from this size on gets a reservation.
constexpr std::int64_t kLargeJob = 8;
/// Each reservation keeps accelerators idle, so only the job that waited longest for its length has
/// one.
constexpr std::size_t kReservations = 1;
/// Shortest first is best for the mean until a job has waited for this many of its run times.
constexpr double kLongestWaitingRatio = 10;
/// Estimates change as gangs end, but a place that changes all the time never becomes free.
constexpr base::milliseconds kReplanAfter{ 60'000 };
/// A workspace that waits this long is put before one that borrows everything.
constexpr double kAgeingMilliseconds = 3'600'000;

std::vector<resources> UsableCapacity(policy_memory const& aMemory)
{
  std::vector<resources> usable(aMemory.mTopology.size());
  for (std::size_t index = 0; index < usable.size(); ++index) {
    auto const& worker = aMemory.mTopology.Worker(index);
    if (worker.mAvailability == worker_availability::available &&
        aMemory.mHealth.Verdict(worker.mName) == worker_health::verdict::healthy) {
      usable[index] = Capacity(worker);
    }
  }
  return usable;
}

/// Waiting time over run time; jobs with a high ratio have waited too long for their length.
double WaitingRatio(waiting_job const& aJob, run_time_estimator const& aEstimator,
                    base::time_point aNow)
{
  auto const run = aEstimator.Expected(aJob.mWorkspace, aJob.mDeclaredLeft);
  return static_cast<double>((aNow - aJob.mSubmitted).count()) /
         static_cast<double>(std::max<std::int64_t>(run.count(), 1));
}

double TotalLoss(cluster_view const& aView, std::vector<std::uint32_t> const& aVictims,
                 base::time_point aNow)
{
  double loss = 0;
  for (auto const victim : aVictims) {
    loss += LostWork(aView.Gangs()[victim], aNow);
  }
  return loss;
}

void MergeParts(placed_parts& aParts)
{
  placed_parts merged;
  for (auto const& part : aParts) {
    if (!merged.empty() && merged.back().mWorker == part.mWorker) {
      merged.back().mTasks += part.mTasks;
    } else {
      merged.push_back(part);
    }
  }
  aParts = std::move(merged);
}

} // namespace

guaranteed_decision::guaranteed_decision(policy_memory& aMemory, cluster_state const& aState,
                                         base::time_point aNow)
  : mMemory(aMemory)
  , mState(aState)
  , mNow(aNow)
  , mView(aMemory.mTopology, UsableCapacity(aMemory), aState, aNow)
  , mKept(KeptShapes(aState.mContracts))
  , mScore(aMemory.mTopology, mView.Sums(), mKept)
  , mPhysical(mView.Free().begin(), mView.Free().end())
{
  for (auto const& usable : mView.Usable()) {
    mAll += usable;
  }
}

decisions guaranteed_decision::Run()
{
  BindGuarantees();
  OpenLedgers();
  MarkProtected();
  QueueJobs();
  LeaveUnusableWorkers();
  RenewClaims(tenure::guaranteed);
  ClaimGuarantees();
  RenewClaims(tenure::borrowed);
  StartUrgent();
  ProbeWorkers();
  Reserve();
  Borrow();
  StartReadyClaims();
  mMemory.mClaims = std::move(mClaims);
  mMemory.mReservations = std::move(mReservations);
  return std::move(mDecisions);
}

void guaranteed_decision::BindGuarantees()
{
  std::vector<resources> bindable{ mView.Usable().begin(), mView.Usable().end() };
  auto const stuck = mView.StuckUse();
  for (std::size_t index = 0; index < bindable.size(); ++index) {
    bindable[index] -= Minimum(bindable[index], stuck[index]);
  }
  std::vector<guaranteed_use> uses;
  for (auto const& gang : mView.Gangs()) {
    if (gang.mGang->mTenure == tenure::guaranteed) {
      uses.push_back({ &gang.mGang->mWorkspace, &gang.mParts, gang.mTask });
    }
  }
  mMemory.mBinding.Update(mMemory.mTopology, bindable, mState.mContracts, uses);
}

workspace_ledger& guaranteed_decision::Ledger(std::string const& aWorkspace)
{
  auto const [entry, isNew] = mLedgers.try_emplace(aWorkspace);
  auto& ledger = entry->second;
  if (isNew) {
    ledger.mName = aWorkspace;
    auto const contract = mState.mContracts.find(aWorkspace);
    ledger.mContract = contract == mState.mContracts.end() ? nullptr : &contract->second;
    ledger.mUnused = mMemory.mBinding.Bound(aWorkspace);
    for (auto const& [worker, amount] : ledger.mUnused) {
      ledger.mUnusedAccelerators += amount.mAccelerators;
    }
  }
  return ledger;
}

void guaranteed_decision::OpenLedgers()
{
  for (auto const& gang : mView.Gangs()) {
    auto& ledger = Ledger(gang.mGang->mWorkspace);
    ledger.mAccelerators += gang.Accelerators();
  }
}

void guaranteed_decision::MarkProtected()
{
  mPromised.assign(mMemory.mTopology.size(), 0);
  for (auto const& shape : mMemory.mBinding.Shapes()) {
    for (auto const& part : shape.mParts) {
      mPromised[part.mWorker] += part.mTasks;
    }
  }
  std::vector<gang_view*> guaranteed;
  for (auto& gang : mView.Gangs()) {
    if (gang.mGang->mTenure == tenure::guaranteed) {
      guaranteed.push_back(&gang);
    }
  }
  std::stable_sort(guaranteed.begin(), guaranteed.end(), [](auto const* aLeft, auto const* aRight) {
    return aLeft->mGang->mStarted < aRight->mGang->mStarted;
  });
  for (auto* const gang : guaranteed) {
    // Nothing is bound on unusable workers; parts there need no cover.
    auto parts = gang->mParts;
    std::erase_if(parts, [&](placed_part const& aPart) {
      return mView.Usable()[aPart.mWorker] == resources{};
    });
    auto& ledger = Ledger(gang->mGang->mWorkspace);
    if (ledger.CoversUnused(parts, gang->mTask)) {
      ledger.UseGuarantee(parts, gang->mTask);
      gang->mIsProtected = true;
      for (auto const& part : parts) {
        mPromised[part.mWorker] -= gang->mTask.mAccelerators * part.mTasks;
      }
    }
  }
  for (auto const& gang : mView.Gangs()) {
    if (!gang.mIsProtected) {
      auto& borrowed = Ledger(gang.mGang->mWorkspace).mBorrowed;
      for (auto const& part : gang.mParts) {
        borrowed += gang.mTask * part.mTasks;
      }
    }
  }
}

bool guaranteed_decision::ParkIfHopeless(waiting_job const& aJob, std::uint32_t aShape)
{
  auto const& ledger = Ledger(aJob.mWorkspace);
  auto const quota = ledger.mContract ? ledger.mContract->mAcceleratorQuota : 0;
  std::string reason;
  if (quota > 0 && Accelerators(aJob.mShape) > quota) {
    reason = "needs " + std::to_string(Accelerators(aJob.mShape)) +
             " accelerators, the contract's quota is " + std::to_string(quota);
  } else if (mMemory.mHealth.IsFaulty(aJob.mJob)) {
    reason = "failed on several workers that run other jobs well";
  } else if (!mState.mWorkers.empty() && !mMemory.mShapes.CanEverRun(mMemory.mTopology, aShape)) {
    reason = "no group of workers is large enough for the gang even when empty";
  }
  if (reason.empty()) {
    return false;
  }
  mDecisions.mParks.push_back({ aJob.mJob, std::move(reason) });
  return true;
}

void guaranteed_decision::QueueJobs()
{
  for (auto const& [name, job] : mState.mWaiting) {
    auto const shape = mMemory.mShapes.Number(job.mShape);
    if (!ParkIfHopeless(job, shape)) {
      Ledger(job.mWorkspace).mJobs.push_back(&job);
      mShapeOfJob.emplace_hint(mShapeOfJob.end(), name, shape);
    }
  }
  for (auto& [name, ledger] : mLedgers) {
    OrderJobs(ledger);
  }
}

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
        isOverdue ? job->mSubmitted.time_since_epoch().count()
                  : mMemory.mEstimator.Expected(job->mWorkspace, job->mDeclaredLeft).count() });
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
  return mNow - aJob.mSubmitted >= mMemory.mOptions.mReservationAfter &&
         WaitingRatio(aJob, mMemory.mEstimator, mNow) >= kLongestWaitingRatio;
}

void guaranteed_decision::LeaveUnusableWorkers()
{
  struct leaving
  {
    gang_view* mGang;
    stop_reason mReason;
    base::milliseconds mNotice;
  };
  std::vector<leaving> gangs;
  for (auto& gang : mView.Gangs()) {
    leaving entry{ &gang, stop_reason::domain_out, base::milliseconds::max() };
    for (auto const& part : gang.mParts) {
      auto const& worker = mMemory.mTopology.Worker(part.mWorker);
      if (worker.mAvailability == worker_availability::lost) {
        entry = { &gang, stop_reason::worker_lost, base::milliseconds{ 0 } };
        break;
      }
      if (worker.mAvailability == worker_availability::closed) {
        entry.mNotice = std::min(entry.mNotice, worker.mNotice);
      }
    }
    if (entry.mNotice != base::milliseconds::max()) {
      gangs.push_back(entry);
    }
  }
  std::stable_sort(gangs.begin(), gangs.end(), [](auto const& aLeft, auto const& aRight) {
    return aLeft.mGang->mGang->mUrgency < aRight.mGang->mGang->mUrgency;
  });
  for (auto const& entry : gangs) {
    Stop(*entry.mGang, entry.mReason, entry.mNotice);
  }
}

void guaranteed_decision::Stop(gang_view& aGang, stop_reason aReason, base::milliseconds aNotice)
{
  if (!aGang.mIsStopping || mNow + aNotice < aGang.mGang->mStopsBy) {
    mDecisions.mStops.push_back({ aGang.mGang->mJob, aReason, aNotice });
  }
  mView.Stop(aGang);
}

base::milliseconds guaranteed_decision::Notice(waiting_job const& aJob,
                                               workspace_ledger const& aLedger) const
{
  auto const bound =
    aLedger.mContract ? aLedger.mContract->mReclaimBound : configuration::contract{}.mReclaimBound;
  // Half of the bound is kept for other gangs, in case one does not stop.
  auto const notice = std::max((bound - kReclaimMargin) / 2, base::milliseconds{ 0 });
  return aJob.mUrgency == urgency::urgent ? std::min(notice, kUrgentNotice) : notice;
}

bool guaranteed_decision::IsClaimed(std::string const& aJob) const
{
  return std::any_of(mClaims.begin(), mClaims.end(),
                     [&](claim const& aClaim) { return aClaim.mJob == aJob; });
}

void guaranteed_decision::RenewClaims(tenure aTenure)
{
  for (auto const& entry : mMemory.mClaims) {
    auto const waiting = mState.mWaiting.find(entry.mJob);
    if (entry.mTenure == aTenure && waiting != mState.mWaiting.end() &&
        mShapeOfJob.contains(entry.mJob) && !IsClaimed(entry.mJob)) {
      RenewClaim(entry, waiting->second);
    }
  }
}

bool guaranteed_decision::RenewClaim(claim const& aClaim, waiting_job const& aJob)
{
  auto const task = Need(aJob.mShape.mTask);
  auto& ledger = Ledger(aJob.mWorkspace);
  if (!CoversAll(mView.Usable(), aClaim.mParts, task) ||
      !ledger.IsWithinQuota(Accelerators(aJob.mShape)) ||
      (aClaim.mTenure == tenure::guaranteed && !ledger.CoversUnused(aClaim.mParts, task))) {
    return false;
  }
  auto const rule =
    aClaim.mTenure == tenure::guaranteed ? victim_rule::any_borrowed : victim_rule::not_urgent;
  auto victims = ChooseVictims(mView, aClaim.mParts, task, rule, mNow);
  if (!victims) {
    return false;
  }
  AddClaim(aJob, ledger, { aClaim.mParts, std::move(*victims) }, aClaim.mTenure);
  return true;
}

void guaranteed_decision::AddClaim(waiting_job const& aJob, workspace_ledger& aLedger, plan aPlan,
                                   tenure aTenure)
{
  auto const task = Need(aJob.mShape.mTask);
  StopForClaim(aPlan.mVictims, aPlan.mParts, aJob, Notice(aJob, aLedger));
  mView.Take(aPlan.mParts, task);
  aLedger.mAccelerators += Accelerators(aJob.mShape);
  if (aTenure == tenure::guaranteed) {
    aLedger.UseGuarantee(aPlan.mParts, task);
    for (auto const& part : aPlan.mParts) {
      mPromised[part.mWorker] -= task.mAccelerators * part.mTasks;
    }
  } else {
    aLedger.mBorrowed += task * aJob.mShape.mTasks;
  }
  mClaims.push_back({ aJob.mJob, std::move(aPlan.mParts), aTenure });
}

void guaranteed_decision::StopForClaim(std::vector<std::uint32_t> const& aVictims,
                                       placed_parts const& aParts, waiting_job const& aJob,
                                       base::milliseconds aNotice)
{
  auto const isUrgent = aJob.mUrgency == urgency::urgent;
  auto const reason = isUrgent ? stop_reason::urgent : stop_reason::reclaim;
  for (auto const victim : aVictims) {
    Stop(mView.Gangs()[victim], reason, aNotice);
  }
  if (!isUrgent || CoversAll(mView.Free(), aParts, Need(aJob.mShape.mTask))) {
    return;
  }
  // Gangs that already stop in their own time must hurry for urgent work.
  for (auto const& part : aParts) {
    for (auto const gang : mView.GangsOn(part.mWorker)) {
      auto& view = mView.Gangs()[gang];
      if (view.mGang->mIsStopping && !view.mIsStuck) {
        Stop(view, reason, aNotice);
      }
    }
  }
}

void guaranteed_decision::ClaimGuarantees()
{
  for (auto& [name, ledger] : mLedgers) {
    for (auto const* const job : ledger.mJobs) {
      if (ledger.mUnusedAccelerators <= 0) {
        break;
      }
      ClaimGuarantee(*job, ledger);
    }
  }
}

bool guaranteed_decision::ClaimGuarantee(waiting_job const& aJob, workspace_ledger& aLedger)
{
  auto const accelerators = Accelerators(aJob.mShape);
  if (accelerators == 0 || accelerators > aLedger.mUnusedAccelerators ||
      !aLedger.IsWithinQuota(accelerators) || IsClaimed(aJob.mJob)) {
    return false;
  }
  auto chosen = PlanGuaranteed(aJob, aLedger);
  if (!chosen) {
    return false;
  }
  AddClaim(aJob, aLedger, std::move(*chosen), tenure::guaranteed);
  return true;
}

double guaranteed_decision::BorrowScore(placed_parts const& aParts,
                                        std::int64_t aAcceleratorsPerTask) const
{
  double promised = 0;
  for (auto const& part : aParts) {
    auto const left = mView.Free()[part.mWorker].mAccelerators - aAcceleratorsPerTask * part.mTasks;
    promised += static_cast<double>(std::max<std::int64_t>(mPromised[part.mWorker] - left, 0));
  }
  return kPromisedWeight * promised + mScore(aParts, aAcceleratorsPerTask);
}

double guaranteed_decision::GuaranteeScore(placed_parts const& aParts,
                                           workspace_ledger const& aLedger) const
{
  auto const& topology = mMemory.mTopology;
  std::int64_t unused = 0;
  for (auto const& [worker, amount] : aLedger.mUnused) {
    if (topology.Group(adjacency::same_rack, worker) ==
        topology.Group(adjacency::same_rack, aParts.front().mWorker)) {
      unused += amount.mAccelerators;
    }
  }
  return kOwnShapeWeight * static_cast<double>(unused);
}

std::optional<guaranteed_decision::plan> guaranteed_decision::PlanGuaranteed(
  waiting_job const& aJob, workspace_ledger const& aLedger) const
{
  std::vector<resources> reach(mMemory.mTopology.size());
  std::vector<std::uint32_t> workers;
  for (auto const& [worker, amount] : aLedger.mUnused) {
    reach[worker] = amount;
    workers.push_back(worker);
  }
  return CheapestPlan(aJob, reach, workers, victim_rule::any_borrowed,
                      [&](placed_parts const& aParts) { return GuaranteeScore(aParts, aLedger); });
}

std::optional<guaranteed_decision::plan> guaranteed_decision::PlanUrgent(
  waiting_job const& aJob) const
{
  std::vector<resources> reach{ mView.Soon().begin(), mView.Soon().end() };
  for (auto const& gang : mView.Gangs()) {
    if (MayStop(gang, victim_rule::not_urgent)) {
      for (auto const& part : gang.mParts) {
        reach[part.mWorker] += gang.mTask * part.mTasks;
      }
    }
  }
  std::vector<std::uint32_t> workers;
  for (std::uint32_t index = 0; index < reach.size(); ++index) {
    if (mView.Usable()[index] != resources{}) {
      workers.push_back(index);
    }
  }
  auto const accelerators = static_cast<std::int64_t>(aJob.mShape.mTask.mAccelerators);
  return CheapestPlan(
    aJob, reach, workers, victim_rule::not_urgent,
    [&](placed_parts const& aParts) { return BorrowScore(aParts, accelerators); });
}

std::optional<guaranteed_decision::plan> guaranteed_decision::CheapestPlan(
  waiting_job const& aJob, std::span<resources const> aReach,
  std::vector<std::uint32_t> const& aWorkers, victim_rule aRule, fit_score const& aScore) const
{
  auto const task = Need(aJob.mShape.mTask);
  std::vector<fit_candidate> candidates;
  for (auto const worker : aWorkers) {
    if (!Admits(mMemory.mTopology.Worker(worker), aJob.mShape)) {
      continue;
    }
    auto const reach = Copies(aReach[worker], task, aJob.mShape.mTasks);
    auto const free =
      std::min(reach, Copies(Minimum(aReach[worker], mView.Free()[worker]), task, reach));
    if (free > 0) {
      candidates.push_back({ worker, free, 0 });
    }
    if (reach > free) {
      candidates.push_back({ worker, reach - free, 1 });
    }
  }
  std::optional<plan> best;
  double bestLoss = 0;
  auto const score = [&](placed_parts const& aFound) {
    auto parts = aFound;
    MergeParts(parts);
    auto victims = ChooseVictims(mView, parts, task, aRule, mNow);
    if (!victims) {
      return std::numeric_limits<double>::max();
    }
    auto const waits = CoversAll(mView.Free(), parts, task) ? 0.0 : 1e4;
    auto const loss = TotalLoss(mView, *victims, mNow) + waits + aScore(parts);
    if (!best || loss < bestLoss) {
      best = plan{ std::move(parts), std::move(*victims) };
      bestLoss = loss;
    }
    return loss;
  };
  FitGang(mMemory.mTopology, candidates, aJob.mShape, score);
  return best;
}

void guaranteed_decision::StartUrgent()
{
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
  if (!aLedger.IsWithinQuota(Accelerators(aJob.mShape))) {
    return false;
  }
  auto chosen = PlanUrgent(aJob);
  if (!chosen) {
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
  auto const end = mNow + mMemory.mEstimator.Cautious(aJob.mWorkspace, aJob.mDeclaredLeft);
  auto const isUrgent = aJob.mUrgency == urgency::urgent;
  auto const free = isUrgent || mReservations.empty()
                      ? std::vector<resources>{ mView.Free().begin(), mView.Free().end() }
                      : FreeBeside(mView.Free(), mReservations, end);
  auto const candidates = Candidates(mMemory.mTopology, free, aJob.mShape);
  auto const accelerators = static_cast<std::int64_t>(aJob.mShape.mTask.mAccelerators);
  auto parts = FitGang(mMemory.mTopology, candidates, aJob.mShape, [&](placed_parts const& aFound) {
    return BorrowScore(aFound, accelerators);
  });
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
  for (auto const& entry : mMemory.mReservations) {
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
      if (Accelerators(job->mShape) >= kLargeJob && IsOverdue(*job) &&
          ledger.IsWithinQuota(Accelerators(job->mShape))) {
        large.push_back(job);
      }
    }
  }
  std::stable_sort(large.begin(), large.end(), [&](auto const* aLeft, auto const* aRight) {
    return WaitingRatio(*aLeft, mMemory.mEstimator, mNow) >
           WaitingRatio(*aRight, mMemory.mEstimator, mNow);
  });
  for (auto const* const job : large) {
    if (mReservations.size() >= kReservations) {
      return;
    }
    auto const isHeld = std::any_of(mReservations.begin(), mReservations.end(),
                                    [&](auto const& aEntry) { return aEntry.mJob == job->mJob; });
    if (isHeld || IsClaimed(job->mJob) || BorrowFree(*job, Ledger(job->mWorkspace))) {
      continue;
    }
    auto planned =
      PlanReservation(mMemory.mTopology, mView, mMemory.mEstimator, *job,
                      FreeBeside(mView.Free(), mReservations, base::time_point::max()), mNow);
    if (planned) {
      mReservations.push_back(std::move(*planned));
    }
  }
}

void guaranteed_decision::Borrow()
{
  std::vector<bool> hasFailed(mMemory.mShapes.size(), false);
  auto const standing = [&](workspace_ledger const& aLedger) {
    auto const& job = *aLedger.mJobs[aLedger.mNext];
    auto const waited = static_cast<double>((mNow - job.mWaitingSince).count());
    return aLedger.DominantShare(mAll) - waited / kAgeingMilliseconds;
  };
  while (true) {
    workspace_ledger* next = nullptr;
    double lowest = 0;
    for (auto& [name, ledger] : mLedgers) {
      if (ledger.mNext < ledger.mJobs.size()) {
        auto const value = standing(ledger);
        if (!next || value < lowest) {
          next = &ledger;
          lowest = value;
        }
      }
    }
    if (!next) {
      return;
    }
    auto const& job = *next->mJobs[next->mNext++];
    auto const shape = mShapeOfJob.at(job.mJob);
    if (!hasFailed[shape] && !IsClaimed(job.mJob) && !BorrowFree(job, *next)) {
      // With reservations, a shorter job of the same shape may still fit.
      hasFailed[shape] = mReservations.empty() && next->IsWithinQuota(Accelerators(job.mShape));
    }
  }
}

void guaranteed_decision::ProbeWorkers()
{
  for (std::uint32_t index = 0; index < mMemory.mTopology.size(); ++index) {
    auto const& worker = mMemory.mTopology.Worker(index);
    if (worker.mAvailability != worker_availability::available ||
        mMemory.mHealth.Verdict(worker.mName) != worker_health::verdict::probing ||
        !mView.GangsOn(index).empty()) {
      continue;
    }
    // The smallest job has least to lose.
    waiting_job const* probe = nullptr;
    for (auto const& [name, job] : mState.mWaiting) {
      if (MayProbe(job, worker) &&
          (!probe || Accelerators(job.mShape) < Accelerators(probe->mShape))) {
        probe = &job;
      }
    }
    if (probe) {
      mPhysical[index] = Capacity(worker);
      AddClaim(*probe, Ledger(probe->mWorkspace), { { { index, 1 } }, {} }, tenure::borrowed);
    }
  }
}

bool guaranteed_decision::MayProbe(waiting_job const& aJob, worker const& aWorker)
{
  return aJob.mShape.mTasks == 1 && aJob.mUrgency != urgency::urgent && !IsClaimed(aJob.mJob) &&
         mShapeOfJob.contains(aJob.mJob) && Admits(aWorker, aJob.mShape) &&
         Capacity(aWorker).Covers(Need(aJob.mShape.mTask)) &&
         Ledger(aJob.mWorkspace).IsWithinQuota(Accelerators(aJob.mShape));
}

void guaranteed_decision::StartReadyClaims()
{
  std::vector<claim> waiting;
  for (auto& entry : mClaims) {
    auto const& job = mState.mWaiting.at(entry.mJob);
    auto const task = Need(job.mShape.mTask);
    if (CoversAll(mPhysical, entry.mParts, task)) {
      mDecisions.mStarts.push_back(
        { entry.mJob, NamedParts(mMemory.mTopology, entry.mParts), entry.mTenure });
    }
    for (auto const& part : entry.mParts) {
      mPhysical[part.mWorker] -= task * part.mTasks;
    }
    if (mDecisions.mStarts.empty() || mDecisions.mStarts.back().mJob != entry.mJob) {
      waiting.push_back(std::move(entry));
    }
  }
  mClaims = std::move(waiting);
}

} // namespace rattanpond::placement
