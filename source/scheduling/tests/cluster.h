#pragma once

#include "base/identifiers.h"
#include "membership/entry_links.h"
#include "membership/target_registry.h"
#include "net/link_server.h"
#include "placement/policy.h"
#include "platform/memory_object_store.h"
#include "platform/memory_table.h"
#include "platform/memory_task_runner.h"
#include "scheduling/scheduler_service.h"
#include "scheduling/worker_service.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

namespace rattanpond::scheduling {

inline net::tcp::endpoint AnyPort()
{
  return { boost::asio::ip::address_v4::loopback(), 0 };
}

/// Returns a currently free port, for processes whose address must be known before they start.
/// Another process may take the port before it is used.
inline net::tcp::endpoint FreePort(boost::asio::io_context& aContext)
{
  net::tcp::acceptor acceptor{ aContext, AnyPort() };
  return acceptor.local_endpoint();
}

/// I/O context of one simulated process. Destroying it discards the pending handlers without
/// calling them, and thereby closes the links of the process.
class test_process
{
public:
  void Poll()
  {
    mContext.restart();
    mContext.poll();
  }
  boost::asio::io_context& Context() { return mContext; }

protected:
  boost::asio::io_context mContext;
};

/// An entry, assembled as in the daemon.
class test_entry : public test_process
{
public:
  struct options
  {
    std::string mName;
    net::tcp::endpoint mEndpoint;
    std::vector<net::tcp::endpoint> mPeers;
  };

  test_entry(platform::table_service& aTable, options aOptions)
    : mTargets{ {} }
    , mPolicy{ placement::CreatePolicy("guaranteed", {}) }
    , mEntries{ mContext,
                { .mEntries = aOptions.mPeers,
                  .mHello = { .mProcess = aOptions.mName,
                              .mIncarnation = "1",
                              .mRegion = "r",
                              .mDomain = "d" } },
                mDispatcher }
  {
    auto snapshot = std::make_shared<configuration::configuration_snapshot>();
    snapshot->mVersion = 1;
    for (auto const* const workspace : { "blue", "green" }) {
      auto& contract = snapshot->mContracts[workspace];
      contract.mWorkspace = workspace;
      contract.mCallerTokenHash = base::NameBasedIdentifier("caller-token", workspace);
    }
    mSnapshot = snapshot;
    mTargets.Register(mDispatcher);
    mDispatcher.On<membership::hello>([](net::link_ptr const&, membership::hello const&) {});
    mServer = std::get<0>(base::Capture([&] {
      return net::link_server::Create(
        mContext, aOptions.mEndpoint,
        { .mOnFrame = [this](net::link_ptr const& aLink,
                             net::frame const& aFrame) { mDispatcher.Dispatch(aLink, aFrame); },
          .mOnClose = [this](net::link_ptr const& aLink,
                             base::error const&) { mTargets.LinkClosed(aLink); } },
        {});
    }));
    mService.emplace(mContext, aTable, mTargets, mEntries, *mPolicy, mAccess, mMetrics,
                     scheduler_service::options{ .mRegion = "r",
                                                 .mSelf = aOptions.mName,
                                                 .mSnapshot = [this] { return mSnapshot; },
                                                 .mRole = {},
                                                 .mRegistry = {} });
    mService->Register(mDispatcher);
    mService->Register(mRouter);
    mEntries.Start();
    mService->Start();
  }

  scheduler_service& Service() { return *mService; }
  net::http_router const& Router() const { return mRouter; }

private:
  net::frame_dispatcher mDispatcher;
  membership::target_registry mTargets;
  std::unique_ptr<placement::policy> mPolicy;
  configuration::access_control mAccess{ "operator" };
  base::metrics_registry mMetrics;
  net::http_router mRouter;
  std::shared_ptr<configuration::configuration_snapshot const> mSnapshot;
  membership::entry_links mEntries;
  std::unique_ptr<net::link_server> mServer;
  std::optional<scheduler_service> mService;
};

/// The agent of a worker, assembled as in the daemon. As on a real platform, the task runner
/// outlives the agent.
class test_agent : public test_process
{
public:
  test_agent(platform::task_runner& aRunner, membership::target_description aTarget,
             std::vector<net::tcp::endpoint> aEntries)
    : mEntries{ mContext,
                { .mEntries = std::move(aEntries),
                  .mHello = { .mProcess = aTarget.mTarget,
                              .mIncarnation = aTarget.mIncarnation,
                              .mRole = membership::process_role::agent,
                              .mRegion = "r",
                              .mDomain = "d" } },
                mDispatcher }
    , mTimer{ mContext }
    , mTarget{ aTarget }
  {
    auto const endpoint =
      base::Capture([&] { return net::ParseEndpoint(aTarget.mControlAddress); });
    mServer = std::get<0>(base::Capture([&] {
      return net::link_server::Create(
        mContext, std::get<0>(endpoint),
        { .mOnFrame = [this](net::link_ptr const& aLink,
                             net::frame const& aFrame) { mDispatcher.Dispatch(aLink, aFrame); },
          .mOnClose = {} },
        {});
    }));
    mService.emplace(mContext, aRunner,
                     worker_service::options{ .mTarget = aTarget, .mTimings = {}, .mMayStart = [] {
                                               return base::result<void>{};
                                             } });
    mService->Register(mDispatcher);
    mEntries.OnOpen(
      [this](net::link_ptr const& aLink) { aLink->Send(membership::announce{ mTarget }); });
    mService->Attach(mEntries);
    mEntries.Start();
    mService->Start();
    SendHeartbeats();
  }

private:
  void SendHeartbeats()
  {
    mEntries.Broadcast(membership::target_heartbeat{});
    mTimer.expires_after(base::milliseconds{ 500 });
    mTimer.async_wait([this](boost::system::error_code aFailure) {
      if (!aFailure) {
        SendHeartbeats();
      }
    });
  }

  net::frame_dispatcher mDispatcher;
  membership::entry_links mEntries;
  boost::asio::steady_timer mTimer;
  membership::target_description mTarget;
  std::unique_ptr<net::link_server> mServer;
  std::optional<worker_service> mService;
};

/// One region on the loopback interface: a table, entries, and workers with four accelerators each.
class test_cluster
{
public:
  struct machine
  {
    membership::target_description mTarget;
    std::unique_ptr<platform::memory_task_runner> mRunner;
    std::unique_ptr<test_agent> mAgent;
  };

  test_cluster(std::size_t aEntries, std::size_t aWorkers)
    : mTimer{ mContext }
  {
    for (std::size_t index = 0; index < aEntries; ++index) {
      mEndpoints.push_back(FreePort(mContext));
      mEntries.emplace_back();
    }
    for (std::size_t index = 0; index < aEntries; ++index) {
      StartEntry(index);
    }
    for (std::size_t index = 0; index < aWorkers; ++index) {
      machine added;
      auto const name = "w" + std::to_string(index);
      added.mTarget = { .mTarget = name,
                        .mIncarnation = "1",
                        .mRegion = "r",
                        .mDomain = "d",
                        .mRack = "k",
                        .mControlAddress = net::ToString(FreePort(mContext)),
                        .mTrafficAddress = "",
                        .mCapacity = { .mKind = "gpu",
                                       .mAccelerators = 4,
                                       .mCores = 64,
                                       .mMemoryMebibytes = 65'536 },
                        .mService = "" };
      added.mRunner = std::make_unique<platform::memory_task_runner>(
        mObjects, platform::memory_task_runner::options{ .mAccelerators = 4 }, base::Now());
      mMachines.push_back(std::move(added));
      StartAgent(index);
    }
    Advance();
  }

  void StartEntry(std::size_t aIndex)
  {
    std::vector<net::tcp::endpoint> peers;
    for (std::size_t index = 0; index < mEndpoints.size(); ++index) {
      if (index != aIndex) {
        peers.push_back(mEndpoints[index]);
      }
    }
    mEntries[aIndex] = std::make_unique<test_entry>(
      mTable,
      test_entry::options{ .mName = "e" + std::to_string(aIndex) + "-" + std::to_string(++mStarts),
                           .mEndpoint = mEndpoints[aIndex],
                           .mPeers = std::move(peers) });
  }

  void StartAgent(std::size_t aIndex)
  {
    auto& started = mMachines[aIndex];
    started.mTarget.mIncarnation = std::to_string(++mStarts);
    started.mAgent = std::make_unique<test_agent>(*started.mRunner, started.mTarget, mEndpoints);
  }

  /// Runs until the condition holds; returns the elapsed time, or nothing if the limit is exceeded.
  template<class Condition>
  std::optional<base::milliseconds> RunUntil(Condition aCondition, base::milliseconds aLimit)
  {
    auto const began = base::Now();
    while (!aCondition()) {
      if (base::Now() - began > aLimit) {
        return std::nullopt;
      }
      Poll();
    }
    return base::Now() - began;
  }

  net::http_response Call(std::size_t aEntry, net::http_request aRequest)
  {
    std::optional<net::http_response> response;
    co_spawn(mEntries[aEntry]->Context(), mEntries[aEntry]->Router().Handle(std::move(aRequest)),
             [&](std::exception_ptr aFailure, net::http_response aResponse) {
               BOOST_REQUIRE(!aFailure);
               response = std::move(aResponse);
             });
    BOOST_REQUIRE(RunUntil([&] { return response.has_value(); }, base::milliseconds{ 10'000 }));
    return *response;
  }

  net::http_response Submit(std::size_t aEntry, std::string const& aKey, base::json const& aBody,
                            std::string const& aToken = "blue")
  {
    net::http_request request{
      .mMethod = "POST", .mTarget = "/v1/jobs", .mHeaders = {}, .mBody = aBody.dump()
    };
    request.mHeaders.Add("Idempotency-Key", aKey);
    request.mHeaders.Add("Authorization", "Bearer " + aToken);
    return Call(aEntry, std::move(request));
  }

  net::http_response CallJob(std::size_t aEntry, std::string const& aMethod, std::string const& aId,
                             std::string const& aToken = "blue")
  {
    net::http_request request{
      .mMethod = aMethod, .mTarget = "/v1/jobs/" + aId, .mHeaders = {}, .mBody = {}
    };
    request.mHeaders.Add("Authorization", "Bearer " + aToken);
    return Call(aEntry, std::move(request));
  }

  std::string JobState(std::string const& aId) const
  {
    auto const row = mTable.Rows().find("job/" + aId);
    return row == mTable.Rows().end() ? "" : row->second.mValue["state"].get<std::string>();
  }

  /// Returns the number of tasks that currently run on a worker.
  std::size_t Running(std::size_t aWorker)
  {
    // Shared with the handler, which may run after this function has given up on the answer.
    auto const answer = std::make_shared<std::optional<std::size_t>>();
    co_spawn(mContext, mMachines[aWorker].mRunner->List(),
             [answer](std::exception_ptr, base::reply<std::vector<platform::runner_task>> aTasks) {
               *answer = std::ranges::count(std::get<0>(aTasks), platform::task_phase::running,
                                            &platform::runner_task::mPhase);
             });
    BOOST_REQUIRE(RunUntil([&] { return answer->has_value(); }, base::milliseconds{ 1000 }));
    return **answer;
  }

  std::size_t Holder() const
  {
    for (std::size_t index = 0; index < mEntries.size(); ++index) {
      if (mEntries[index] && mEntries[index]->Service().HoldsRole()) {
        return index;
      }
    }
    return mEntries.size();
  }

  platform::memory_table& Table() { return mTable; }
  std::vector<machine>& Machines() { return mMachines; }
  std::vector<std::unique_ptr<test_entry>>& Entries() { return mEntries; }

private:
  void Poll()
  {
    for (auto const& entry : mEntries) {
      if (entry) {
        entry->Poll();
      }
    }
    for (auto const& each : mMachines) {
      if (each.mAgent) {
        each.mAgent->Poll();
      }
    }
    mContext.restart();
    mContext.run_for(base::milliseconds{ 2 });
  }

  void Advance()
  {
    for (auto& each : mMachines) {
      each.mRunner->Advance(base::Now());
    }
    mTimer.expires_after(base::milliseconds{ 20 });
    mTimer.async_wait([this](boost::system::error_code aFailure) {
      if (!aFailure) {
        Advance();
      }
    });
  }

  boost::asio::io_context mContext;
  platform::memory_table mTable;
  platform::memory_object_store mObjects;
  std::vector<net::tcp::endpoint> mEndpoints;
  std::vector<machine> mMachines;
  std::vector<std::unique_ptr<test_entry>> mEntries;
  boost::asio::steady_timer mTimer;
  int mStarts = 0;
};

} // namespace rattanpond::scheduling
