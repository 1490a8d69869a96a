#include "daemons/entry_process.h"

#include "base/identifiers.h"
#include "daemons/settings_checks.h"
#include "scheduling/worker_description.h"

#include <algorithm>
#include <random>

#include <boost/asio/co_spawn.hpp>

namespace rattanpond::daemons {

namespace asio = boost::asio;
using requests::admission_state;

namespace {

constexpr base::milliseconds kTargetExpiryInterval{ 500 };
constexpr base::milliseconds kDrainPollInterval{ 20 };

// One third of the freshness limit, so that the loss of one confirmation does not close a start
// gate.
constexpr base::milliseconds kConfirmPeriod{ 1000 };

membership::hello Hello(entry_settings const& aSettings, std::string const& aIncarnation)
{
  return { .mProcess = aSettings.mName,
           .mIncarnation = aIncarnation,
           .mRole = membership::process_role::entry,
           .mRegion = aSettings.mRegion,
           .mDomain = aSettings.mDomain };
}

platform::platform_client::options TableOptions(entry_settings const& aSettings)
{
  platform::platform_client::options options;
  for (auto const& address : aSettings.mTableAddresses) {
    options.mEndpoints.push_back(net::ParseEndpoint(address).value());
  }
  options.mClientName = aSettings.mName;
  return options;
}

} // namespace

base::result<std::unique_ptr<entry_process>> entry_process::Create(entry_settings aSettings)
{
  BOOST_LEAF_AUTO(token, ReadToken(aSettings.mOperatorTokenFile));
  BOOST_LEAF_AUTO(own, CheckAddress("control_address", aSettings.mControlAddress));
  BOOST_LEAF_AUTO(others, CheckAddresses("entries", aSettings.mEntries));
  std::erase(others, own);
  std::unique_ptr<entry_process> created{ new entry_process{ std::move(aSettings), token,
                                                             std::move(others) } };
  BOOST_LEAF_CHECK(created->Listen());
  BOOST_LEAF_CHECK(created->StartTraffic());
  created->StartControl();
  return created;
}

entry_process::entry_process(entry_settings aSettings, std::string const& aToken,
                             std::vector<net::tcp::endpoint> aOtherEntries)
  : mSettings{ std::move(aSettings) }
  , mIncarnation{ base::RandomIdentifier() }
  , mProcess{ { .mName = mSettings.mName,
                .mLogLevel = mSettings.mLogLevel,
                .mOperatorToken = aToken,
                .mShutdownLimit = mSettings.mShutdownLimit } }
  , mTable{ mProcess.Control(), TableOptions(mSettings) }
  , mTargets{ {} }
  , mEntryLinks{ mProcess.Control(),
                 { .mEntries = std::move(aOtherEntries), .mHello = Hello(mSettings, mIncarnation) },
                 mDispatcher }
  , mConfiguration{ mProcess.Control(),
                    mTable,
                    { .mDomainLoss = mSettings.mGuaranteesSurviveDomainLoss
                                       ? placement::domain_loss::survived
                                       : placement::domain_loss::ignored,
                      .mCheckGuarantees = &placement::CheckGuarantees,
                      .mWorkers = [this] { return KnownWorkers(); } } }
  , mFreshness{ mProcess.Control(),
                mConfiguration,
                mTargets,
                mEntryLinks,
                { .mProcess = mSettings.mName,
                  .mListedEntries = mSettings.mEntries.size(),
                  .mConfirmPeriod = kConfirmPeriod } }
  , mOperatorService{ mProcess.Control(), mConfiguration, mFreshness, mProcess.Access() }
  , mPolicy{ placement::CreatePolicy(mSettings.mPlacementPolicy, {}) }
  , mScheduler{ mProcess.Control(),
                mTable,
                mTargets,
                mEntryLinks,
                *mPolicy,
                mProcess.Access(),
                mProcess.Metrics(),
                { .mRegion = mSettings.mRegion,
                  .mSelf = mSettings.mName + "/" + mIncarnation,
                  .mSnapshot = [this] { return mConfiguration.Current(); },
                  .mRole = {},
                  .mRegistry = {} } }
  , mTargetExpiryTimer{ mProcess.Control() }
  , mShutdownTimer{ mProcess.Control() }
{
}

entry_process::~entry_process()
{
  for (auto const& thread : mTraffic) {
    thread->Stop();
  }
}

base::result<void> entry_process::Listen()
{
  BOOST_LEAF_AUTO(endpoint, CheckAddress("control_address", mSettings.mControlAddress));
  net::link_handlers handlers{
    .mOnFrame = [this](net::link_ptr const& aLink,
                       net::frame const& aFrame) { mDispatcher.Dispatch(aLink, aFrame); },
    .mOnClose = [this](net::link_ptr const& aLink,
                       base::error const&) { mTargets.LinkClosed(aLink); },
  };
  auto const sendHello = [this](net::link_ptr const& aLink) {
    aLink->Send(Hello(mSettings, mIncarnation));
  };
  BOOST_LEAF_ASSIGN(mControlServer, net::link_server::Create(mProcess.Control(), endpoint,
                                                             std::move(handlers), sendHello));
  return {};
}

base::result<void> entry_process::StartTraffic()
{
  BOOST_LEAF_AUTO(endpoint, CheckAddress("http_address", mSettings.mHttpAddress));
  std::random_device random;
  // A contract's limits apply to all entries together, so each thread enforces an equal share.
  auto const threads = static_cast<double>(mSettings.mTrafficThreads);
  auto const share = 1.0 / (threads * static_cast<double>(mSettings.mEntries.size()));
  for (std::uint32_t index = 0; index < mSettings.mTrafficThreads; ++index) {
    traffic_thread::options options{ .mHttpEndpoint = endpoint,
                                     .mRequests = { .mSeed = random(), .mLimitShare = share },
                                     .mTable = TableOptions(mSettings) };
    BOOST_LEAF_AUTO(thread, traffic_thread::Create(std::move(options), mProcess.Control(),
                                                   mProcess.Router(), mProcess.Access(),
                                                   mProcess.Metrics()));
    mTraffic.push_back(std::move(thread));
  }
  std::vector<requests::request_service*> services;
  for (auto const& thread : mTraffic) {
    services.push_back(&thread->Requests());
  }
  for (auto const& thread : mTraffic) {
    thread->Requests().SetPeers(services);
  }
  mProcess.StateDump().Register("requests", [this] {
    auto document = base::json::array();
    for (auto const& thread : mTraffic) {
      document.push_back(thread->Requests().StateDump());
    }
    return document;
  });
  return {};
}

void entry_process::StartControl()
{
  mTargets.Register(mDispatcher);
  mTargets.Register(mProcess.StateDump());
  mEntryLinks.Register(mProcess.StateDump());
  mConfiguration.Register(mProcess.StateDump());
  mFreshness.Register(mDispatcher);
  mFreshness.Register(mProcess.StateDump());
  mOperatorService.Register(mProcess.Router());
  mScheduler.Register(mDispatcher);
  mScheduler.Register(mProcess.Router());
  mScheduler.Register(mProcess.StateDump());
  mDispatcher.On<membership::hello>(
    [this](net::link_ptr const& aLink, membership::hello const& aHello) {
      mFreshness.HelloReceived(aLink, aHello);
    });
  mTargets.Observe(
    [this](membership::target_change, membership::known_target const&) { PublishTargets(); });
  mConfiguration.Observe([this](configuration::snapshot_ptr const& aSnapshot) {
    for (auto const& thread : mTraffic) {
      thread->Requests().UpdateConfiguration(aSnapshot);
    }
  });
  mFreshness.ObserveReadiness([this](bool) { UpdateAdmission(); });
  mProcess.SetReadiness([this] { return mFreshness.IsReady(); });
  mProcess.OnShutdown([this] { BeginShutdown(); });
  UpdateAdmission();
  mFreshness.Start();
  mConfiguration.Start();
  mScheduler.Start();
  mEntryLinks.Start();
  for (auto const& thread : mTraffic) {
    thread->Start();
  }
  ScheduleTargetExpiry();
  base::Log("process")->info("Entry {} serves HTTP on {}.", mSettings.mName,
                             mSettings.mHttpAddress);
}

void entry_process::ScheduleTargetExpiry()
{
  mTargetExpiryTimer.expires_after(kTargetExpiryInterval);
  mTargetExpiryTimer.async_wait([this](boost::system::error_code aFailure) {
    if (!aFailure) {
      mTargets.Expire(base::Now());
      ScheduleTargetExpiry();
    }
  });
}

void entry_process::PublishTargets()
{
  auto executors = std::make_shared<std::vector<membership::target_description>>();
  for (auto const& [name, target] : mTargets.Targets()) {
    if (target.mDescription.mKind == membership::target_kind::executor) {
      executors->push_back(target.mDescription);
    }
  }
  for (auto const& thread : mTraffic) {
    thread->Requests().UpdateTargets(executors);
  }
}

void entry_process::UpdateAdmission()
{
  auto const state = mFreshness.IsReady() ? admission_state::open : admission_state::not_ready;
  for (auto const& thread : mTraffic) {
    thread->Requests().SetAdmissionState(state);
  }
}

void entry_process::BeginShutdown()
{
  // Requests that arrive during the drain notice are still served; their responses disable
  // keep-alive, so that callers open a new connection.
  for (auto const& thread : mTraffic) {
    thread->DisableKeepAlive();
  }
  mShutdownTimer.expires_after(mSettings.mDrainNotice);
  mShutdownTimer.async_wait([this](boost::system::error_code aFailure) {
    if (aFailure) {
      return;
    }
    for (auto const& thread : mTraffic) {
      thread->Drain();
    }
    FinishWhenDrained();
  });
}

void entry_process::FinishWhenDrained()
{
  mShutdownTimer.expires_after(kDrainPollInterval);
  mShutdownTimer.async_wait([this](boost::system::error_code aFailure) {
    if (aFailure) {
      return;
    }
    if (!IsDrained()) {
      FinishWhenDrained();
      return;
    }
    asio::co_spawn(mProcess.Control(), mScheduler.ReleaseRole(),
                   [this](std::exception_ptr const&) { mProcess.Finish(); });
  });
}

bool entry_process::IsDrained() const
{
  return std::ranges::all_of(mTraffic, [](auto const& aThread) { return aThread->IsDrained(); });
}

std::map<std::string, placement::worker> entry_process::KnownWorkers() const
{
  std::map<std::string, placement::worker> workers;
  for (auto const& [name, target] : mTargets.Targets()) {
    if (target.mDescription.mKind == membership::target_kind::worker) {
      workers[name] = scheduling::WorkerOf(target.mDescription);
    }
  }
  return workers;
}

} // namespace rattanpond::daemons
