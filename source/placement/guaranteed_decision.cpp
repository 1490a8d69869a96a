#include "placement/guaranteed_decision.h"

#include <algorithm>

namespace rattanpond::placement {

namespace {

/// Lets urgent work start within 6.8 s even if one gang does not stop: twice this notice plus the
/// waits for the next decision and the messages.
constexpr base::milliseconds kUrgentNotice{ 2'000 };
/// Part of the reclaim bound that remains for the report of the stop and the commit of the new
/// gang.
constexpr base::milliseconds kReclaimMargin{ 2'000 };
/// Cost per unused bound accelerator of the workspace in the rack, so that a gang does not break a
/// larger shape of its own workspace.
constexpr double kOwnShapeWeight = 200;

std::vector<resources> UsableCapacity(policy_state const& aPolicyState)
{
  std::vector<resources> usable(aPolicyState.mTopology.size());
  for (std::size_t index = 0; index < usable.size(); ++index) {
    auto const& worker = aPolicyState.mTopology.Worker(index);
    if (worker.mAvailability == worker_availability::available &&
        aPolicyState.mHealth.Verdict(worker.mName) == worker_health::verdict::healthy) {
      usable[index] = Capacity(worker);
    }
  }
  return usable;
}

double TotalLoss(cluster_view const& aView, std::vector<std::uint32_t> const& aPreempted,
                 base::time_point aNow)
{
  double loss = 0;
  for (auto const preemptedIndex : aPreempted) {
    loss += LostWork(aView.Gangs()[preemptedIndex], aNow);
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

guaranteed_decision::guaranteed_decision(policy_state& aPolicyState, cluster_state const& aState,
                                         base::time_point aNow)
  : mPolicyState(aPolicyState)
  , mState(aState)
  , mNow(aNow)
  , mView(aPolicyState.mTopology, UsableCapacity(aPolicyState), aState, aNow)
  , mPreservedShapes(PreservedShapes(aState.mContracts))
  , mScore(aPolicyState.mTopology, mView.Sums(), mPreservedShapes)
  , mFreeBeforeClaims(mView.Free().begin(), mView.Free().end())
{
  for (auto const& usable : mView.Usable()) {
    mUsableTotal += usable;
  }
}

decisions guaranteed_decision::Run()
{
  BindGuarantees();
  CountAcceleratorsInUse();
  MarkProtected();
  QueueJobs();
  EvacuateUnusableWorkers();
  RenewClaims(tenure::guaranteed);
  ClaimGuarantees();
  RenewClaims(tenure::borrowed);
  StartUrgent();
  ProbeWorkers();
  Reserve();
  Borrow();
  Defragment();
  StartReadyClaims();
  mPolicyState.mClaims = std::move(mClaims);
  mPolicyState.mReservations = std::move(mReservations);
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
  mPolicyState.mBinding.Update(mPolicyState.mTopology, bindable, mState.mContracts, uses);
}

workspace_ledger& guaranteed_decision::Ledger(std::string const& aWorkspace)
{
  auto const [entry, isNew] = mLedgers.try_emplace(aWorkspace);
  auto& ledger = entry->second;
  if (isNew) {
    ledger.mName = aWorkspace;
    auto const contract = mState.mContracts.find(aWorkspace);
    ledger.mContract = contract == mState.mContracts.end() ? nullptr : &contract->second;
    ledger.mUnused = mPolicyState.mBinding.Bound(aWorkspace);
    for (auto const& [worker, amount] : ledger.mUnused) {
      ledger.mUnusedAccelerators += amount.mAccelerators;
    }
  }
  return ledger;
}

void guaranteed_decision::CountAcceleratorsInUse()
{
  for (auto const& gang : mView.Gangs()) {
    auto& ledger = Ledger(gang.mGang->mWorkspace);
    ledger.mAccelerators += gang.Accelerators();
  }
}

void guaranteed_decision::MarkProtected()
{
  mBoundUnused.assign(mPolicyState.mTopology.size(), 0);
  for (auto const& shape : mPolicyState.mBinding.Shapes()) {
    for (auto const& part : shape.mParts) {
      mBoundUnused[part.mWorker] += part.mTasks;
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
    // Nothing is bound on unusable workers, so parts there need not be covered.
    auto parts = gang->mParts;
    std::erase_if(parts, [&](placed_part const& aPart) {
      return mView.Usable()[aPart.mWorker] == resources{};
    });
    auto& ledger = Ledger(gang->mGang->mWorkspace);
    if (ledger.CoversUnused(parts, gang->mTask)) {
      ledger.UseGuarantee(parts, gang->mTask);
      gang->mIsProtected = true;
      for (auto const& part : parts) {
        mBoundUnused[part.mWorker] -= gang->mTask.mAccelerators * part.mTasks;
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

bool guaranteed_decision::ParkIfUnrunnable(waiting_job const& aJob, std::uint32_t aShape)
{
  auto const& ledger = Ledger(aJob.mWorkspace);
  auto const quota = ledger.mContract ? ledger.mContract->mAcceleratorQuota : 0;
  std::string reason;
  if (quota > 0 && Accelerators(aJob.mShape) > quota) {
    reason = "requires " + std::to_string(Accelerators(aJob.mShape)) +
             " accelerators, but the contract's quota is " + std::to_string(quota);
  } else if (mPolicyState.mHealth.IsFaulty(aJob.mJob)) {
    reason = "failed on several workers that run other jobs well";
  } else if (!mState.mWorkers.empty() &&
             !mPolicyState.mShapes.CanEverRun(mPolicyState.mTopology, aShape)) {
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
    auto const shape = mPolicyState.mShapes.Number(job.mShape);
    if (!ParkIfUnrunnable(job, shape)) {
      Ledger(job.mWorkspace).mJobs.push_back(&job);
      mShapeOfJob.emplace_hint(mShapeOfJob.end(), name, shape);
    }
  }
  for (auto& [name, ledger] : mLedgers) {
    OrderJobs(ledger);
  }
}

void guaranteed_decision::EvacuateUnusableWorkers()
{
  struct evacuation
  {
    gang_view* mGang;
    stop_reason mReason;
    base::milliseconds mNotice;
  };
  std::vector<evacuation> gangs;
  for (auto& gang : mView.Gangs()) {
    evacuation entry{ &gang, stop_reason::domain_out, base::milliseconds::max() };
    for (auto const& part : gang.mParts) {
      auto const& worker = mPolicyState.mTopology.Worker(part.mWorker);
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
  // Half of the bound remains for stopping other gangs in case one does not stop.
  auto const notice = std::max((bound - kReclaimMargin) / 2, base::milliseconds{ 0 });
  return aJob.mUrgency == urgency::urgent ? std::min(notice, kUrgentNotice) : notice;
}

bool guaranteed_decision::IsClaimed(std::string const& aJob) const
{
  return mClaimed.contains(aJob);
}

void guaranteed_decision::RenewClaims(tenure aTenure)
{
  for (auto const& entry : mPolicyState.mClaims) {
    auto const waiting = mState.mWaiting.find(entry.mJob);
    if (entry.mTenure == aTenure && waiting != mState.mWaiting.end() &&
        mShapeOfJob.contains(entry.mJob) && !IsClaimed(entry.mJob)) {
      RenewClaim(entry, waiting->second);
    }
  }
}

bool guaranteed_decision::RenewClaim(claim const& aClaim, waiting_job const& aJob)
{
  auto const task = Demand(aJob.mShape.mTask);
  auto& ledger = Ledger(aJob.mWorkspace);
  if (!CoversAll(mView.Usable(), aClaim.mParts, task) ||
      !ledger.IsWithinQuota(Accelerators(aJob.mShape)) ||
      (aClaim.mTenure == tenure::guaranteed && !ledger.CoversUnused(aClaim.mParts, task))) {
    return false;
  }
  auto const rule = aClaim.mTenure == tenure::guaranteed ? preemption_rule::any_borrowed
                                                         : preemption_rule::not_urgent;
  auto preempted = ChoosePreemptions(mView, aClaim.mParts, task, rule, mNow);
  auto const mayStopMore = aClaim.mTenure == tenure::guaranteed || aJob.mUrgency == urgency::urgent;
  if (!preempted || (!mayStopMore && !preempted->empty())) {
    return false;
  }
  AddClaim(aJob, ledger, { aClaim.mParts, std::move(*preempted) }, aClaim.mTenure);
  return true;
}

void guaranteed_decision::AddClaim(waiting_job const& aJob, workspace_ledger& aLedger, plan aPlan,
                                   tenure aTenure)
{
  auto const task = Demand(aJob.mShape.mTask);
  StopForClaim(aPlan.mPreempted, aPlan.mParts, aJob, aTenure, Notice(aJob, aLedger));
  mView.Take(aPlan.mParts, task);
  aLedger.mAccelerators += Accelerators(aJob.mShape);
  if (aTenure == tenure::guaranteed) {
    aLedger.UseGuarantee(aPlan.mParts, task);
    for (auto const& part : aPlan.mParts) {
      mBoundUnused[part.mWorker] -= task.mAccelerators * part.mTasks;
    }
  } else {
    aLedger.mBorrowed += task * aJob.mShape.mTasks;
  }
  mClaimed.insert(aJob.mJob);
  mClaims.push_back({ aJob.mJob, std::move(aPlan.mParts), aTenure });
}

void guaranteed_decision::StopForClaim(std::vector<std::uint32_t> const& aPreempted,
                                       placed_parts const& aParts, waiting_job const& aJob,
                                       tenure aTenure, base::milliseconds aNotice)
{
  auto const isUrgent = aJob.mUrgency == urgency::urgent;
  auto const reason = isUrgent                        ? stop_reason::urgent
                      : aTenure == tenure::guaranteed ? stop_reason::reclaim
                                                      : stop_reason::defragment;
  for (auto const preemptedIndex : aPreempted) {
    Stop(mView.Gangs()[preemptedIndex], reason, aNotice);
  }
  if (!isUrgent || CoversAll(mView.Free(), aParts, Demand(aJob.mShape.mTask))) {
    return;
  }
  // Gangs that are already stopping with a longer notice must stop sooner for urgent work.
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

double guaranteed_decision::GuaranteeScore(placed_parts const& aParts,
                                           workspace_ledger const& aLedger) const
{
  auto const& topology = mPolicyState.mTopology;
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
  std::vector<reachable> const reach{ aLedger.mUnused.begin(), aLedger.mUnused.end() };
  return CheapestPlan(aJob, reach, preemption_rule::any_borrowed,
                      [&](placed_parts const& aParts) { return GuaranteeScore(aParts, aLedger); });
}

std::optional<guaranteed_decision::plan> guaranteed_decision::CheapestPlan(
  waiting_job const& aJob, std::vector<reachable> const& aReach, preemption_rule aRule,
  fit_score const& aScore) const
{
  auto const task = Demand(aJob.mShape.mTask);
  std::vector<fit_candidate> candidates;
  for (auto const& [worker, amount] : aReach) {
    if (!Admits(mPolicyState.mTopology.Worker(worker), aJob.mShape)) {
      continue;
    }
    auto const reach = Copies(amount, task, aJob.mShape.mTasks);
    auto const free = std::min(reach, Copies(Minimum(amount, mView.Free()[worker]), task, reach));
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
    auto preempted = ChoosePreemptions(mView, parts, task, aRule, mNow);
    if (!preempted) {
      return std::numeric_limits<double>::max();
    }
    auto const waits = CoversAll(mView.Free(), parts, task) ? 0.0 : 1e4;
    auto const loss = TotalLoss(mView, *preempted, mNow) + waits + aScore(parts);
    if (!best || loss < bestLoss) {
      best = plan{ std::move(parts), std::move(*preempted) };
      bestLoss = loss;
    }
    return loss;
  };
  FitGang(mPolicyState.mTopology, candidates, aJob.mShape, score);
  return best;
}

void guaranteed_decision::StartReadyClaims()
{
  std::vector<claim> waiting;
  for (auto& entry : mClaims) {
    auto const& job = mState.mWaiting.at(entry.mJob);
    auto const task = Demand(job.mShape.mTask);
    if (CoversAll(mFreeBeforeClaims, entry.mParts, task)) {
      mDecisions.mStarts.push_back(
        { entry.mJob, NamedParts(mPolicyState.mTopology, entry.mParts), entry.mTenure });
    }
    for (auto const& part : entry.mParts) {
      mFreeBeforeClaims[part.mWorker] -= task * part.mTasks;
    }
    if (mDecisions.mStarts.empty() || mDecisions.mStarts.back().mJob != entry.mJob) {
      waiting.push_back(std::move(entry));
    }
  }
  mClaims = std::move(waiting);
}

} // namespace rattanpond::placement
