#pragma once

#include "dispatch/caller_api.h"
#include "dispatch/scheduler.h"
#include "platform/operator_rows.h"
#include "platform/tests/fake_advice.h"
#include "platform/tests/test_side.h"

#include <thread>

#include <boost/asio/co_spawn.hpp>

namespace rattanpond::platform {

inline constexpr char const* kKey = "key-1";

inline std::string Configuration(std::uint64_t aVersion, std::string const& aKey = kKey)
{
  return base::json{
    { "version", aVersion },
    { "routes",
      { { { "name", "urgent" },
          { "host", "h" },
          { "prefix", "/u/" },
          { "service", "service" },
          { "priority", 0 },
          { "max_attempts", 3 } },
        { { "name", "advised" },
          { "host", "h" },
          { "prefix", "/a/" },
          { "service", "service" },
          { "priority", 1 },
          { "max_attempts", 3 },
          { "advice", { { "decide_ms", 20 }, { "period_ms", 5 }, { "valid_ms", 6000 } } } },
        { { "name", "bulk" },
          { "host", "h" },
          { "prefix", "/b/" },
          { "service", "service" },
          { "priority", 2 },
          { "max_attempts", 3 } } } },
    { "services", { { { "name", "service" }, { "rejects_overload", true } } } },
    { "tenants", { { { "name", "t" }, { "keys", { aKey } }, { "guaranteed", { { "gpu", 8 } } } } } }
  }.dump();
}

inline std::string JobBody(int aCount, int aAccelerators, bool aIsGang = false)
{
  return base::json{
    { "spec", "x" },
    { "steps",
      { { { "count", aCount },
          { "cpu", 1000 },
          { "mem_mb", 1000 },
          { "gpu", aAccelerators },
          { "gang", aIsGang } } } }
  }.dump();
}

inline std::string JobId(int aNumber)
{
  auto text = std::to_string(aNumber);
  return std::string(16 - text.size(), '0') + text;
}

/// Whether a front may forward a call to another front.
enum class forwarding
{
  allowed,
  disabled
};

/// A front with its own io_context, so that a test can freeze it separately.
struct test_front
{
  test_front(fake_row_store& aStore, std::string aName, net::tcp::endpoint const& aAdvice,
             std::string const& aIncarnation = "1",
             base::milliseconds aMaximumLease = deployment_settings{}.mMaximumLease)
    : mStoreEndpoint{ aStore.AddEndpoint() }
    , mSettings{ .mNode = aName, .mAdvice = aAdvice, .mMaximumLease = aMaximumLease }
    , mStore{ mContext, mStoreEndpoint.mServer->Endpoint() }
    , mReplica{ { .mContext = mContext,
                  .mStore = mStore,
                  .mOnChange = [this] { mScheduler.ReplicaChanged(); },
                  .mIsWriter = [this] { return mScheduler.IsHolder(); } } }
    , mScheduler{ { .mContext = mContext,
                    .mStore = mStore,
                    .mReplica = mReplica,
                    .mSettings = mSettings,
                    .mMetrics = mMetrics,
                    .mIncarnation = aName + "/" + aIncarnation } }
    , mCallers{ { .mContext = mContext,
                  .mStore = mStore,
                  .mReplica = mReplica,
                  .mSettings = mSettings,
                  .mMetrics = mMetrics } }
  {
    auto created = base::Capture([&] {
      return net::http_server::Create(mContext,
                                      { .mEndpoint = { boost::asio::ip::address_v4::loopback(), 0 },
                                        .mHandler = [this](net::http_request aRequest) {
                                          return mCallers.HandleForwarded(std::move(aRequest));
                                        } });
    });
    BOOST_REQUIRE(base::Succeeded(created));
    mForwarded = std::move(std::get<0>(created));
    aStore.Put(dispatch::kDispatchTable, dispatch::kFrontPrefix + aName,
               base::json{ { "address", net::ToString(mForwarded->Endpoint()) } }.dump());
    mReplica.Start();
    mScheduler.Start();
  }

  boost::asio::io_context mContext{ 1 };
  fake_row_store::client_endpoint& mStoreEndpoint;
  deployment_settings mSettings;
  base::metrics_registry mMetrics;
  row_store mStore;
  dispatch::replica mReplica;
  dispatch::scheduler mScheduler;
  dispatch::caller_api mCallers;
  std::unique_ptr<net::http_server> mForwarded;
  bool mIsFrozen = false;
};

/// Size and settings of a test_cluster.
struct cluster_options
{
  int mFronts = 2;
  int mSides = 3;
  int mRacks = 1;
  link_path mLinkPath = link_path::direct;
  base::milliseconds mMaximumLease = deployment_settings{}.mMaximumLease;
  run_recorder::success mSuccess = run_recorder::success::ended;
  /// Whether the constructor waits until a front holds the term.
  bool mWaitsForHolder = true;
};

/// Fronts and side agents with an in-memory store, advice service and workers.
struct test_cluster
{
  explicit test_cluster(int aFronts = 2, int aSides = 3)
    : test_cluster{ cluster_options{ .mFronts = aFronts, .mSides = aSides } }
  {
  }

  explicit test_cluster(cluster_options const& aOptions)
    : mOptions{ aOptions }
    , mRecorder{ aOptions.mSuccess }
  {
    mStore.Put(kOperatorTable, kConfigurationKey, Configuration(1));
    for (int index = 0; index < mOptions.mSides; ++index) {
      mSides.push_back(std::make_unique<test_side>(
        mStore, mSharedContext, mRecorder, "side-" + std::to_string(index),
        "zone-" + std::to_string(index % 2), mOptions.mLinkPath, mOptions.mMaximumLease));
      mSides.back()->mRack = "r" + std::to_string(1 + index % mOptions.mRacks);
    }
    for (int index = 0; index < mOptions.mFronts; ++index) {
      mFronts.push_back(std::make_unique<test_front>(
        mStore, "front-" + std::to_string(index), mAdvice.Endpoint(), "1", mOptions.mMaximumLease));
    }
    if (mOptions.mWaitsForHolder) {
      BOOST_REQUIRE(RunUntil([this] { return Holder() != nullptr; }));
    }
  }

  void Step()
  {
    auto const now = base::Now();
    if (now - mHeartbeatAt > base::milliseconds{ 500 }) {
      mHeartbeatAt = now;
      for (auto const& side : mSides) {
        if (side->mSendsHeartbeats && !side->mIsFrozen) {
          side->SendHeartbeat(side->mWorkerState);
        }
      }
    }
    mSharedContext.restart();
    mSharedContext.poll();
    for (auto const& front : mFronts) {
      if (!front->mIsFrozen) {
        front->mContext.restart();
        front->mContext.poll();
      }
    }
    for (auto const& side : mSides) {
      if (!side->mIsFrozen) {
        side->Context().restart();
        side->Context().poll();
      }
    }
    std::this_thread::sleep_for(base::milliseconds{ 1 });
  }

  /// Runs until a condition holds; returns false when the limit passes first.
  bool RunUntil(std::function<bool()> const& aCondition,
                base::milliseconds aLimit = base::milliseconds{ 15'000 })
  {
    auto const limit = base::Now() + aLimit;
    while (!aCondition()) {
      if (base::Now() > limit) {
        return false;
      }
      Step();
    }
    return true;
  }

  void RunFor(base::milliseconds aTime)
  {
    auto const until = base::Now() + aTime;
    while (base::Now() < until) {
      Step();
    }
  }

  test_front* Holder()
  {
    for (auto const& front : mFronts) {
      if (!front->mIsFrozen && front->mScheduler.IsHolder()) {
        return front.get();
      }
    }
    return nullptr;
  }

  test_front& Standby()
  {
    auto* const holder = Holder();
    return mFronts[0].get() == holder ? *mFronts[1] : *mFronts[0];
  }

  /// Replaces the side by another process, without its worker and without any earlier state.
  test_side& RestartSide(std::size_t aIndex)
  {
    auto& side = mSides[aIndex];
    auto const name = side->mSettings.mNode;
    auto const domain = side->mDomain;
    auto const rack = side->mRack;
    // Handlers of the former worker are pending in the shared context.
    mFormerSides.push_back(std::move(side));
    side = std::make_unique<test_side>(mStore, mSharedContext, mRecorder, name, domain,
                                       mOptions.mLinkPath, mOptions.mMaximumLease);
    side->mRack = rack;
    side->mSendsHeartbeats = false;
    return *side;
  }

  /// Replaces the front by another process; the former one does nothing any more, and its
  /// connections stay open.
  test_front& RestartFront(std::size_t aIndex)
  {
    auto& front = mFronts[aIndex];
    auto const name = front->mSettings.mNode;
    front->mIsFrozen = true;
    mFormerFronts.push_back(std::move(front));
    front = std::make_unique<test_front>(mStore, name, mAdvice.Endpoint(),
                                         std::to_string(mFormerFronts.size() + 1),
                                         mOptions.mMaximumLease);
    return *front;
  }

  unsigned Call(test_front& aFront, std::string aMethod, std::string aPath, std::string aBody = {},
                std::string const& aKey = kKey, forwarding aForwarding = forwarding::allowed)
  {
    net::http_request request{ .mMethod = std::move(aMethod), .mTarget = std::move(aPath) };
    request.mHeaders.Add("Host", "h");
    request.mHeaders.Add("Api-Key", aKey);
    request.mBody = std::move(aBody);
    std::optional<net::http_response> response;
    auto& callers = aFront.mCallers;
    boost::asio::co_spawn(
      aFront.mContext,
      aForwarding == forwarding::allowed ? callers.Handle(std::move(request))
                                         : callers.HandleForwarded(std::move(request)),
      [&](std::exception_ptr, net::http_response aResponse) { response = std::move(aResponse); });
    BOOST_REQUIRE(RunUntil([&] { return response.has_value(); }));
    mLastBody = response->mBody;
    return response->mStatus;
  }

  std::string State(std::string const& aPath)
  {
    auto const status = Call(Standby(), "GET", aPath);
    if (status != 200) {
      return std::to_string(status);
    }
    return base::json::parse(mLastBody).at("state").get<std::string>();
  }

  /// Asks at intervals, so that the calls take no processor time from the processes under test.
  bool ReachesState(std::string const& aPath, std::string const& aState,
                    base::milliseconds aLimit = base::milliseconds{ 20'000 })
  {
    constexpr base::milliseconds kBetweenCalls{ 20 };
    base::time_point askedAt{};
    return RunUntil(
      [&] {
        if (base::Now() - askedAt < kBetweenCalls) {
          return false;
        }
        auto const isReached = State(aPath) == aState;
        askedAt = base::Now();
        return isReached;
      },
      aLimit);
  }

  cluster_options mOptions;
  boost::asio::io_context mSharedContext{ 1 };
  fake_row_store mStore{ mSharedContext };
  fake_advice mAdvice{ mSharedContext };
  run_recorder mRecorder;
  std::vector<std::unique_ptr<test_side>> mSides;
  std::vector<std::unique_ptr<test_side>> mFormerSides;
  std::vector<std::unique_ptr<test_front>> mFronts;
  std::vector<std::unique_ptr<test_front>> mFormerFronts;
  base::time_point mHeartbeatAt{};
  std::string mLastBody;
};

inline void RequireNoFaults(test_cluster const& aCluster)
{
  for (auto const& fault : aCluster.mRecorder.Faults()) {
    BOOST_ERROR(fault);
  }
}

} // namespace rattanpond::platform
