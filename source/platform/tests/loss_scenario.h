#pragma once

#include "platform/tests/loss_plan.h"
#include "platform/tests/test_cluster.h"

#include <functional>

#include <boost/asio/detached.hpp>

namespace rattanpond::platform {

/// Carries out the losses of a plan on a cluster. Losses may overlap, also on the same target; the
/// first one that ends then ends the effect of both.
class loss_scenario
{
public:
  loss_scenario(test_cluster& aCluster, std::vector<planned_loss> const& aLosses)
    : mCluster{ aCluster }
    , mIsLost(aCluster.mSides.size())
  {
    for (auto const& loss : aLosses) {
      auto const found = std::ranges::find(kHandlers, loss.mKind, &handler::mKind);
      At(loss.mAt, [this, loss, begin = found->mBegin] { (this->*begin)(loss); });
      if (found->mEnd != nullptr) {
        At(loss.mAt + loss.mFor, [this, loss, end = found->mEnd] { (this->*end)(loss); });
      }
      auto const isDelaying = loss.mKind == loss_kind::worker_delays_orders ||
                              loss.mKind == loss_kind::worker_delays_answers ||
                              loss.mKind == loss_kind::store_writes_late;
      mCalmAt = std::max(mCalmAt, loss.mAt + loss.mFor +
                                    (isDelaying ? loss.mDelay : base::milliseconds{ 0 }));
    }
  }

  /// Begins and ends what is due; aTime counts from the start of the plan.
  void Step(base::milliseconds aTime)
  {
    while (!mActions.empty() && mActions.begin()->first <= aTime) {
      auto const action = std::move(mActions.begin()->second);
      mActions.erase(mActions.begin());
      action();
    }
    if (aTime >= mCalmAt && !mIsCalm) {
      mIsCalm = true;
      EndAll();
    }
  }

  /// Whether the last loss, and the delays that it caused, have ended.
  bool IsCalm() const { return mIsCalm; }

private:
  struct handler
  {
    loss_kind mKind;
    void (loss_scenario::*mBegin)(planned_loss const&);
    /// Null if nothing has to be ended.
    void (loss_scenario::*mEnd)(planned_loss const&);
  };
  static std::vector<handler> const kHandlers;

  void At(base::milliseconds aTime, std::function<void()> aAction)
  {
    mActions.emplace(aTime, std::move(aAction));
  }

  test_side& Side(planned_loss const& aLoss) { return *mCluster.mSides[aLoss.mTarget]; }
  fake_worker::faults& Faults(planned_loss const& aLoss) { return Side(aLoss).mWorker.mFaults; }
  std::size_t FrontIndex(planned_loss const& aLoss) const
  {
    return aLoss.mTarget % mCluster.mFronts.size();
  }

  std::string NextWorkerId(planned_loss const& aLoss)
  {
    return "i-" + Side(aLoss).mSettings.mNode + "-" + std::to_string(++mWorkersNamed);
  }

  void PowerOff(planned_loss const& aLoss)
  {
    Side(aLoss).mWorker.Crash();
    Faults(aLoss).mIsDown = true;
    Side(aLoss).mSendsHeartbeats = false;
  }

  void PowerOn(planned_loss const& aLoss)
  {
    if (mIsLost[aLoss.mTarget]) {
      return;
    }
    auto& side = Side(aLoss);
    side.mWorker.mFaults = {};
    side.mWorker.mTimeLeft.reset();
    side.mWorkerState = "ready";
    side.mSendsHeartbeats = true;
  }

  void RestartWorker(planned_loss const& aLoss)
  {
    if (!mIsLost[aLoss.mTarget]) {
      Side(aLoss).mWorker.Crash();
    }
  }
  void ReplaceWorker(planned_loss const& aLoss)
  {
    if (!mIsLost[aLoss.mTarget]) {
      Side(aLoss).mWorker.Crash(NextWorkerId(aLoss));
      PowerOn(aLoss);
    }
  }
  void LoseWorker(planned_loss const& aLoss)
  {
    PowerOff(aLoss);
    mIsLost[aLoss.mTarget] = true;
  }
  void DrainWorker(planned_loss const& aLoss)
  {
    if (!mIsLost[aLoss.mTarget]) {
      Side(aLoss).mWorkerState = "draining";
      Side(aLoss).mWorker.mTimeLeft = aLoss.mFor;
    }
  }
  void Depart(planned_loss const& aLoss)
  {
    auto& side = Side(aLoss);
    if (!side.mIsFrozen && side.mSendsHeartbeats) {
      side.Agent().HandleDeparture(side.mWorker.Id());
    }
    PowerOff(aLoss);
  }
  void DepartForGood(planned_loss const& aLoss)
  {
    if (!mIsLost[aLoss.mTarget]) {
      Depart(aLoss);
      mIsLost[aLoss.mTarget] = true;
    }
  }
  void DepartAndReplace(planned_loss const& aLoss)
  {
    if (!mIsLost[aLoss.mTarget]) {
      Depart(aLoss);
      ReplaceWorker(aLoss);
    }
  }

  void FailTasks(planned_loss const& aLoss) { Faults(aLoss).mFailsAll = true; }
  void DropOrders(planned_loss const& aLoss) { Faults(aLoss).mDropsOrders = true; }
  void DelayOrders(planned_loss const& aLoss) { Faults(aLoss).mOrderDelay = aLoss.mDelay; }
  void DropStops(planned_loss const& aLoss) { Faults(aLoss).mDropsStops = true; }
  void Suspend(planned_loss const& aLoss) { Faults(aLoss).mIsSuspended = true; }
  void DelayAnswers(planned_loss const& aLoss)
  {
    Faults(aLoss).mAnswersLate = true;
    Faults(aLoss).mAnswerDelay = aLoss.mDelay;
  }
  void HealWorker(planned_loss const& aLoss)
  {
    Faults(aLoss) = { .mIsDown = Faults(aLoss).mIsDown };
  }

  void RestartAgent(planned_loss const& aLoss)
  {
    Side(aLoss).StartAgent(mCluster.mStore);
    Side(aLoss).mIsFrozen = false;
  }
  /// The machine of side and worker loses its power; the side is back at once, the worker is not.
  void RestartMachine(planned_loss const& aLoss)
  {
    auto const id = Side(aLoss).mWorker.Id();
    Side(aLoss).mWorker.Crash();
    auto const born = Side(aLoss).mWorker.IncarnationStart();
    Side(aLoss).mWorker.mFaults.mIsDown = true;
    mCluster.RestartSide(aLoss.mTarget);
    Side(aLoss).mWorker.Crash(id);
    Side(aLoss).mWorker.SetIncarnationStart(born + 1);
    Side(aLoss).mWorker.mFaults.mIsDown = true;
  }
  void ReplaceMachine(planned_loss const& aLoss)
  {
    RestartMachine(aLoss);
    ReplaceWorker(aLoss);
  }
  /// The power returns at once; the workers start later, and lost ones never.
  void RestartAllMachines(planned_loss const& aLoss)
  {
    for (std::size_t index = 0; index < mCluster.mSides.size(); ++index) {
      RestartMachine({ .mTarget = index });
    }
    for (std::size_t index = 0; index < mCluster.mFronts.size(); ++index) {
      mCluster.RestartFront(index);
    }
    At(aLoss.mAt + aLoss.mFor, [this] {
      for (std::size_t index = 0; index < mCluster.mSides.size(); ++index) {
        PowerOn({ .mTarget = index });
      }
    });
  }
  void FreezeSide(planned_loss const& aLoss) { Side(aLoss).mIsFrozen = true; }
  void WakeSide(planned_loss const& aLoss) { Side(aLoss).mIsFrozen = false; }
  void ResetLink(planned_loss const& aLoss) { Side(aLoss).Relay()->Reset(); }
  void SilenceLink(planned_loss const& aLoss) { Side(aLoss).Relay()->SetSilent(true); }
  void RestoreLink(planned_loss const& aLoss) { Side(aLoss).Relay()->SetSilent(false); }

  /// Index of the front that holds the term; any other one if none does.
  std::size_t HolderIndex(planned_loss const& aLoss)
  {
    auto* const holder = mCluster.Holder();
    auto const found = std::ranges::find_if(
      mCluster.mFronts, [&](auto const& aFront) { return aFront.get() == holder; });
    return found == mCluster.mFronts.end()
             ? FrontIndex(aLoss)
             : static_cast<std::size_t>(found - mCluster.mFronts.begin());
  }
  void FreezeFront(std::size_t aIndex, base::milliseconds aUntil)
  {
    auto* const front = mCluster.mFronts[aIndex].get();
    front->mIsFrozen = true;
    At(aUntil, [this, front, aIndex] {
      if (mCluster.mFronts[aIndex].get() == front) {
        front->mIsFrozen = false;
      }
    });
  }
  void FreezeHolder(planned_loss const& aLoss)
  {
    FreezeFront(HolderIndex(aLoss), aLoss.mAt + aLoss.mFor);
  }
  void ReleaseHolder(planned_loss const& aLoss)
  {
    auto const index = HolderIndex(aLoss);
    auto& front = *mCluster.mFronts[index];
    boost::asio::co_spawn(front.mContext, front.mScheduler.Release(), boost::asio::detached);
    At(aLoss.mAt + aLoss.mFor, [this, index] { mCluster.RestartFront(index); });
  }
  void KillHolder(planned_loss const& aLoss)
  {
    auto const index = HolderIndex(aLoss);
    mCluster.mFronts[index]->mIsFrozen = true;
    At(aLoss.mAt + aLoss.mFor, [this, index] { mCluster.RestartFront(index); });
  }
  void FreezeFrontsInTurn(planned_loss const& aLoss)
  {
    auto const share = aLoss.mFor / static_cast<int>(mCluster.mFronts.size());
    for (std::size_t turn = 0; turn < mCluster.mFronts.size(); ++turn) {
      auto const from = aLoss.mAt + share * static_cast<int>(turn);
      auto const index = (aLoss.mTarget + turn) % mCluster.mFronts.size();
      At(from, [this, index, until = from + share] { FreezeFront(index, until); });
    }
  }

  void SetStore(test_front& aFront, fake_row_store::behavior aBehavior,
                base::milliseconds aDelay = {})
  {
    aFront.mStoreEndpoint.mBehavior = aBehavior;
    aFront.mStoreEndpoint.mDelay = aDelay;
  }
  void SetStoreOfAll(fake_row_store::behavior aBehavior, base::milliseconds aDelay = {})
  {
    for (auto const& front : mCluster.mFronts) {
      SetStore(*front, aBehavior, aDelay);
    }
  }
  void RefuseFront(planned_loss const& aLoss)
  {
    SetStore(*mCluster.mFronts[FrontIndex(aLoss)], fake_row_store::behavior::refuses);
  }
  void IgnoreFront(planned_loss const& aLoss)
  {
    SetStore(*mCluster.mFronts[FrontIndex(aLoss)], fake_row_store::behavior::silent);
  }
  void SilenceStore(planned_loss const&) { SetStoreOfAll(fake_row_store::behavior::silent); }
  void SlowStore(planned_loss const& aLoss)
  {
    constexpr int kShare = 5;
    SetStoreOfAll(fake_row_store::behavior::slow, aLoss.mDelay / kShare);
  }
  void LoseAnswers(planned_loss const&) { SetStoreOfAll(fake_row_store::behavior::loses_answers); }
  void WriteLate(planned_loss const& aLoss)
  {
    SetStoreOfAll(fake_row_store::behavior::late, aLoss.mDelay);
  }
  void RestoreStore(planned_loss const&) { SetStoreOfAll(fake_row_store::behavior::serves); }
  void DiscardHistory(planned_loss const&) { mCluster.mStore.DiscardHistory(); }

  static std::string EvacuationKey(planned_loss const& aLoss)
  {
    return std::string{ kEvacuationPrefix } + "zone-" + std::to_string(aLoss.mTarget % 2);
  }
  void Evacuate(planned_loss const& aLoss)
  {
    mCluster.mStore.Put(kOperatorTable, EvacuationKey(aLoss), "{}");
  }
  void TakeBackEvacuation(planned_loss const& aLoss)
  {
    mCluster.mStore.Remove(kOperatorTable, EvacuationKey(aLoss));
  }
  void ChangeConfiguration(planned_loss const&)
  {
    mCluster.mStore.Put(kOperatorTable, kConfigurationKey, Configuration(++mConfiguration));
  }

  void EndAll()
  {
    RestoreStore({});
    for (auto const& front : mCluster.mFronts) {
      front->mIsFrozen = false;
    }
    for (std::size_t index = 0; index < mCluster.mSides.size(); ++index) {
      planned_loss const target{ .mTarget = index };
      WakeSide(target);
      RestoreLink(target);
      if (!mIsLost[index]) {
        PowerOn(target);
      }
    }
  }

  test_cluster& mCluster;
  std::vector<bool> mIsLost;
  std::multimap<base::milliseconds, std::function<void()>> mActions;
  base::milliseconds mCalmAt{ 0 };
  bool mIsCalm = false;
  std::uint64_t mConfiguration = 1;
  int mWorkersNamed = 0;
};

inline std::vector<loss_scenario::handler> const loss_scenario::kHandlers = {
  { loss_kind::worker_restarts, &loss_scenario::RestartWorker, nullptr },
  { loss_kind::worker_returns_later, &loss_scenario::PowerOff, &loss_scenario::PowerOn },
  { loss_kind::worker_returns_as_other, &loss_scenario::PowerOff, &loss_scenario::ReplaceWorker },
  { loss_kind::worker_lost, &loss_scenario::LoseWorker, nullptr },
  { loss_kind::worker_leaves, &loss_scenario::DrainWorker, &loss_scenario::DepartAndReplace },
  { loss_kind::worker_leaves_for_good, &loss_scenario::DrainWorker, &loss_scenario::DepartForGood },
  { loss_kind::worker_fails_tasks, &loss_scenario::FailTasks, &loss_scenario::HealWorker },
  { loss_kind::worker_drops_orders, &loss_scenario::DropOrders, &loss_scenario::HealWorker },
  { loss_kind::worker_delays_orders, &loss_scenario::DelayOrders, &loss_scenario::HealWorker },
  { loss_kind::worker_delays_answers, &loss_scenario::DelayAnswers, &loss_scenario::HealWorker },
  { loss_kind::worker_drops_stops, &loss_scenario::DropStops, &loss_scenario::HealWorker },
  { loss_kind::worker_suspended, &loss_scenario::Suspend, &loss_scenario::HealWorker },
  { loss_kind::side_restarts, &loss_scenario::RestartAgent, nullptr },
  { loss_kind::side_returns_without_worker, &loss_scenario::RestartMachine,
    &loss_scenario::PowerOn },
  { loss_kind::side_returns_with_new_worker, &loss_scenario::ReplaceMachine, nullptr },
  { loss_kind::side_frozen, &loss_scenario::FreezeSide, &loss_scenario::WakeSide },
  { loss_kind::link_reset, &loss_scenario::ResetLink, nullptr },
  { loss_kind::link_silent, &loss_scenario::SilenceLink, &loss_scenario::RestoreLink },
  { loss_kind::holder_frozen, &loss_scenario::FreezeHolder, nullptr },
  { loss_kind::holder_released, &loss_scenario::ReleaseHolder, nullptr },
  { loss_kind::holder_killed, &loss_scenario::KillHolder, nullptr },
  { loss_kind::fronts_frozen_in_turn, &loss_scenario::FreezeFrontsInTurn, nullptr },
  { loss_kind::store_refuses_front, &loss_scenario::RefuseFront, &loss_scenario::RestoreStore },
  { loss_kind::store_silent_to_front, &loss_scenario::IgnoreFront, &loss_scenario::RestoreStore },
  { loss_kind::store_silent, &loss_scenario::SilenceStore, &loss_scenario::RestoreStore },
  { loss_kind::store_slow, &loss_scenario::SlowStore, &loss_scenario::RestoreStore },
  { loss_kind::store_loses_answers, &loss_scenario::LoseAnswers, &loss_scenario::RestoreStore },
  { loss_kind::store_writes_late, &loss_scenario::WriteLate, &loss_scenario::RestoreStore },
  { loss_kind::history_discarded, &loss_scenario::DiscardHistory, nullptr },
  { loss_kind::domain_evacuated, &loss_scenario::Evacuate, &loss_scenario::TakeBackEvacuation },
  { loss_kind::configuration_changed, &loss_scenario::ChangeConfiguration, nullptr },
  { loss_kind::all_machines_restart, &loss_scenario::RestartAllMachines, nullptr }
};

} // namespace rattanpond::platform
