#pragma once

#include "dispatch/replica.h"
#include "dispatch/side_agent.h"
#include "platform/tests/fake_row_store.h"
#include "platform/tests/fake_worker.h"
#include "platform/tests/link_relay.h"

#include <memory>
#include <vector>

#include <boost/test/unit_test.hpp>

namespace rattanpond::platform {

/// How the scheduler reaches a side agent.
enum class link_path
{
  direct,
  /// Through a relay, so that a test can cut the link.
  relayed
};

/// A side agent and its worker; the agent has its own io_context, so that a test can freeze or
/// restart it.
struct test_side
{
  test_side(fake_row_store& aStore, boost::asio::io_context& aWorkers, run_recorder& aRecorder,
            std::string aName, std::string aDomain, link_path aLinkPath = link_path::direct,
            base::milliseconds aMaximumLease = deployment_settings{}.mMaximumLease)
    : mWorker{ aWorkers, aRecorder, "i-" + aName }
    , mDomain{ std::move(aDomain) }
    , mWorkers{ aWorkers }
    , mLinkPath{ aLinkPath }
  {
    mSettings.mMaximumLease = aMaximumLease;
    mSettings.mNode = aName;
    mSettings.mFailureDomain = mDomain;
    mSettings.mWorker = mWorker.Endpoint();
    StartAgent(aStore);
  }

  /// Starts the agent; an earlier one, and its context, stay as they are and are not run any more.
  /// The worker continues.
  void StartAgent(fake_row_store& aStore)
  {
    mProcesses.push_back(std::make_unique<process>());
    auto& agent = mProcesses.back()->mAgent;
    agent = std::make_unique<dispatch::side_agent>(dispatch::side_agent::options{
      .mContext = Context(), .mSettings = mSettings, .mMetrics = mMetrics });
    auto const started = base::Capture([&] {
      return agent->Start({ boost::asio::ip::address_v4::loopback(), 0 });
    });
    BOOST_REQUIRE(base::Succeeded(started));
    if (mLinkPath == link_path::relayed) {
      mProcesses.back()->mRelay = std::make_unique<link_relay>(mWorkers, agent->Links());
    }
    aStore.Put(dispatch::kDispatchTable, dispatch::kSidePrefix + mSettings.mNode,
               base::json{ { "address", net::ToString(Links()) } }.dump());
  }

  void SendHeartbeat(std::string const& aState = "ready")
  {
    Agent().Heartbeat(mWorker.Id(), mWorker.Heartbeat(mDomain, mRack, aState));
  }

  /// Null if the links are direct.
  link_relay* Relay() { return mProcesses.back()->mRelay.get(); }

  net::tcp::endpoint Links()
  {
    auto const* const relay = Relay();
    return relay == nullptr ? Agent().Links() : relay->Endpoint();
  }

  boost::asio::io_context& Context() { return mProcesses.back()->mContext; }
  dispatch::side_agent& Agent() { return *mProcesses.back()->mAgent; }

  fake_worker mWorker;
  std::string mDomain;
  std::string mRack = "r1";
  deployment_settings mSettings;
  base::metrics_registry mMetrics;
  std::string mWorkerState = "ready";
  /// Whether the worker sends heartbeats.
  bool mSendsHeartbeats = true;
  bool mIsFrozen = false;

private:
  struct process
  {
    boost::asio::io_context mContext{ 1 };
    std::unique_ptr<dispatch::side_agent> mAgent;
    std::unique_ptr<link_relay> mRelay;
  };

  boost::asio::io_context& mWorkers;
  link_path mLinkPath;
  std::vector<std::unique_ptr<process>> mProcesses;
};

} // namespace rattanpond::platform
