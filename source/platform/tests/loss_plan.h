#pragma once

#include "base/codec.h"
#include "base/enum_names.h"
#include "base/time.h"
#include "platform/tests/run_recorder.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace rattanpond::platform {

/// What can go wrong, or is changed by operators, in a run of a random_losses test.
enum class loss_kind
{
  worker_restarts,
  worker_returns_later,
  worker_returns_as_other,
  worker_lost,
  worker_leaves,
  worker_leaves_for_good,
  worker_fails_tasks,
  worker_drops_orders,
  worker_delays_orders,
  worker_delays_answers,
  worker_drops_stops,
  worker_suspended,
  side_restarts,
  side_returns_without_worker,
  side_returns_with_new_worker,
  side_frozen,
  link_reset,
  link_silent,
  holder_frozen,
  holder_released,
  holder_killed,
  fronts_frozen_in_turn,
  store_refuses_front,
  store_silent_to_front,
  store_silent,
  store_slow,
  store_loses_answers,
  store_writes_late,
  history_discarded,
  domain_evacuated,
  configuration_changed,
  all_machines_restart
};

struct planned_loss
{
  loss_kind mKind = loss_kind::worker_restarts;
  base::milliseconds mAt{ 0 };
  base::milliseconds mFor{ 0 };
  /// Worker with its side, domain or front, according to the kind.
  std::size_t mTarget = 0;
  /// Delay that the kind causes.
  base::milliseconds mDelay{ 0 };
};

struct planned_job
{
  std::string mId;
  std::string mPath;
  std::string mBody;
  std::vector<run_recorder::step> mSteps;
  base::milliseconds mAt{ 0 };
  std::size_t mFront = 0;
  /// Attempts after which the caller gives up.
  int mAttempts = 1;
  std::optional<base::milliseconds> mCancelAt{};
  /// Sent again after the acceptance.
  std::optional<base::milliseconds> mRepeatAt{};
  /// Times at which callers ask for the state.
  std::vector<base::milliseconds> mAskAt{};
};

/// The losses and jobs of one seed. All choices are drawn from one generator, in a fixed order.
class loss_plan
{
public:
  /// Last end of a loss.
  static constexpr base::milliseconds kLossTime{ 10'000 };

  loss_plan(std::uint32_t aSeed, std::size_t aWorkers, std::size_t aFronts)
    : mRandom{ aSeed }
    , mWorkers{ aWorkers }
    , mFronts{ aFronts }
  {
    DrawLosses();
    DrawJobs();
  }

  std::vector<planned_loss> const& Losses() const { return mLosses; }
  std::vector<planned_job> const& Jobs() const { return mJobs; }
  std::string Text() const;

private:
  static constexpr std::size_t kFewestLosses = 7;
  static constexpr std::size_t kLossesSpread = 8;
  static constexpr std::size_t kLossKinds =
    static_cast<std::size_t>(loss_kind::all_machines_restart) + 1;
  static constexpr std::size_t kFewestJobs = 10;
  static constexpr std::size_t kJobsSpread = 6;
  static constexpr std::size_t kJobTime = 9000;
  static constexpr std::size_t kMostAttempts = 5;
  /// The workers that stay have room for all jobs.
  static constexpr std::size_t kLostForGood = 2;

  /// A number below aLimit; the distributions of the standard library differ between platforms.
  std::size_t Below(std::size_t aLimit) { return mRandom() % aLimit; }
  base::milliseconds Time(std::size_t aFrom, std::size_t aTo)
  {
    return base::milliseconds{ static_cast<std::int64_t>(aFrom + Below(aTo - aFrom)) };
  }

  void DrawLosses()
  {
    std::set<std::size_t> lost;
    auto const count = kFewestLosses + Below(kLossesSpread);
    for (std::size_t index = 0; index < count; ++index) {
      planned_loss loss{ .mKind = static_cast<loss_kind>(Below(kLossKinds)) };
      loss.mAt = Time(0, 8000);
      loss.mFor = loss.mKind == loss_kind::holder_frozen ? Time(1000, 8000) : Time(300, 4000);
      loss.mFor = std::min(loss.mFor, kLossTime - loss.mAt);
      loss.mTarget = Below(mWorkers);
      loss.mDelay = Time(100, 3000);
      auto const isForGood =
        loss.mKind == loss_kind::worker_lost || loss.mKind == loss_kind::worker_leaves_for_good;
      if (isForGood) {
        lost.insert(loss.mTarget);
        if (lost.size() > kLostForGood) {
          lost.erase(loss.mTarget);
          loss.mKind = loss_kind::worker_returns_later;
        }
      }
      mLosses.push_back(loss);
    }
    std::ranges::stable_sort(mLosses, {}, &planned_loss::mAt);
  }

  run_recorder::step DrawStep(base::json& aWire)
  {
    run_recorder::step step;
    step.mCount = static_cast<std::uint32_t>(1 + Below(4));
    step.mIsGang = step.mCount > 1 && Below(3) == 0;
    step.mIsCheckpointable = Below(3) == 0;
    aWire = { { "count", step.mCount },
              { "cpu", 1000 },
              { "mem_mb", 1000 },
              { "gpu", Below(5) },
              { "estimate_ms", 300 + Below(1200) },
              { "gang", step.mIsGang },
              { "checkpointable", step.mIsCheckpointable } };
    if (Below(3) == 0) {
      aWire["data_rack"] = "r" + std::to_string(1 + Below(2));
    }
    if (Below(6) == 0) {
      aWire["max_per_server"] = 2;
    }
    return step;
  }

  void DrawJobs()
  {
    constexpr std::uint64_t kFirstId = 0x7000'0000'0000'0000;
    auto const count = kFewestJobs + Below(kJobsSpread);
    for (std::size_t index = 0; index < count; ++index) {
      planned_job job;
      auto id = kFirstId + (static_cast<std::uint64_t>(mRandom()) << 16U) + index;
      for (int digit = 0; digit < 16; ++digit, id >>= 4U) {
        job.mId.insert(job.mId.begin(), "0123456789abcdef"[id & 15U]);
      }
      job.mPath = (Below(2) == 0 ? "/u/" : "/b/") + job.mId;
      auto steps = base::json::array();
      auto const stepCount = 1 + (Below(3) == 0 ? 1 + Below(2) : 0);
      for (std::size_t position = 0; position < stepCount; ++position) {
        base::json wire;
        auto step = DrawStep(wire);
        if (position > 0) {
          wire["after"] = { position - 1 };
          step.mAfter = { job.mId + ".0." + std::to_string(position - 1) };
        }
        steps.push_back(std::move(wire));
        job.mSteps.push_back(std::move(step));
      }
      // The fake workers take a command that is a number as the run time in milliseconds.
      auto const command = std::to_string(300 + Below(1200));
      job.mBody = base::json{ { "spec", command }, { "steps", steps } }.dump();
      job.mAt = Time(0, kJobTime);
      job.mFront = Below(mFronts);
      job.mAttempts = static_cast<int>(1 + Below(kMostAttempts));
      if (Below(6) == 0) {
        job.mCancelAt = job.mAt + Time(100, 3000);
      }
      if (Below(4) == 0) {
        job.mRepeatAt = job.mAt + Time(200, 3000);
      }
      for (std::size_t question = 0; question < 3; ++question) {
        job.mAskAt.push_back(job.mAt + Time(100, 5000));
      }
      std::ranges::sort(job.mAskAt);
      mJobs.push_back(std::move(job));
    }
  }

  std::mt19937 mRandom;
  std::size_t mWorkers;
  std::size_t mFronts;
  std::vector<planned_loss> mLosses;
  std::vector<planned_job> mJobs;
};

} // namespace rattanpond::platform

template<>
struct rattanpond::base::enum_names<rattanpond::platform::loss_kind>
{
  using kind = rattanpond::platform::loss_kind;
  static constexpr enum_name<kind> kTable[] = {
    { kind::worker_restarts, "worker restarts" },
    { kind::worker_returns_later, "worker returns later" },
    { kind::worker_returns_as_other, "worker returns as another instance" },
    { kind::worker_lost, "worker lost" },
    { kind::worker_leaves, "worker leaves and another one comes" },
    { kind::worker_leaves_for_good, "worker leaves" },
    { kind::worker_fails_tasks, "worker fails tasks" },
    { kind::worker_drops_orders, "worker drops orders" },
    { kind::worker_delays_orders, "worker carries out orders late" },
    { kind::worker_delays_answers, "worker answers orders late" },
    { kind::worker_drops_stops, "worker drops stops" },
    { kind::worker_suspended, "worker suspended" },
    { kind::side_restarts, "side restarts" },
    { kind::side_returns_without_worker, "side returns without its worker" },
    { kind::side_returns_with_new_worker, "side returns with a new worker" },
    { kind::side_frozen, "side frozen" },
    { kind::link_reset, "link reset" },
    { kind::link_silent, "link silent" },
    { kind::holder_frozen, "holder frozen" },
    { kind::holder_released, "holder shuts down and restarts" },
    { kind::holder_killed, "holder without power, restarts" },
    { kind::fronts_frozen_in_turn, "fronts frozen in turn" },
    { kind::store_refuses_front, "store refuses a front" },
    { kind::store_silent_to_front, "store silent to a front" },
    { kind::store_silent, "store silent" },
    { kind::store_slow, "store slow" },
    { kind::store_loses_answers, "store loses answers" },
    { kind::store_writes_late, "store writes late and loses answers" },
    { kind::history_discarded, "store discards its history" },
    { kind::domain_evacuated, "domain evacuated" },
    { kind::configuration_changed, "configuration changed" },
    { kind::all_machines_restart, "all machines without power, workers return later" }
  };
};

namespace rattanpond::platform {

inline std::string loss_plan::Text() const
{
  std::string text;
  for (auto const& loss : mLosses) {
    text += "  " + std::to_string(loss.mAt.count()) + " ms, for " +
            std::to_string(loss.mFor.count()) + " ms: " + std::string{ base::Name(loss.mKind) } +
            ", target " + std::to_string(loss.mTarget) + ", delay " +
            std::to_string(loss.mDelay.count()) + " ms\n";
  }
  for (auto const& job : mJobs) {
    text += "  " + std::to_string(job.mAt.count()) + " ms: POST " + job.mPath + " at front-" +
            std::to_string(job.mFront) + ", at most " + std::to_string(job.mAttempts) + " times, " +
            job.mBody;
    if (job.mCancelAt) {
      text += ", DELETE at " + std::to_string(job.mCancelAt->count()) + " ms";
    }
    text += "\n";
  }
  return text;
}

} // namespace rattanpond::platform
