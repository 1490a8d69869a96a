#pragma once

#include "dispatch/replica.h"
#include "dispatch/side_agent.h"
#include "platform/tests/fake_row_store.h"
#include "platform/tests/fake_worker.h"

#include <memory>
#include <vector>

#include <boost/test/unit_test.hpp>

namespace rattanpond::platform {

/// A side agent and its worker; the agent has its own io_context, so that a test can freeze or
/// restart it.
struct test_side
{
  test_side(fake_row_store& aStore, boost::asio::io_context& aWorkers, run_recorder& aRecorder,
            std::string aName, std::string aDomain)
    : mWorker{ aWorkers, aRecorder, "i-" + aName }
    , mDomain{ std::move(aDomain) }
  {
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
    aStore.Put(dispatch::kDispatchTable, dispatch::kSidePrefix + mSettings.mNode,
               base::json{ { "address", net::ToString(agent->Links()) } }.dump());
  }

  void SendHeartbeat(std::string const& aState = "ready")
  {
    Agent().Heartbeat(mWorker.Id(), mWorker.Heartbeat(mDomain, mRack, aState));
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
  };
  std::vector<std::unique_ptr<process>> mProcesses;
};

} // namespace rattanpond::platform
