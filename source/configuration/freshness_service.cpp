#include "configuration/freshness_service.h"

#include "base/logging.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace rattanpond::configuration {

namespace asio = boost::asio;

namespace {

std::vector<std::string> DomainsOut(configuration_snapshot const& aSnapshot)
{
  std::vector<std::string> domains;
  for (auto const& [name, service] : aSnapshot.mDomains) {
    if (service.mState == domain_state::out_of_service) {
      domains.push_back(name);
    }
  }
  return domains;
}

} // namespace

freshness_service::freshness_service(asio::io_context& aContext, configuration_store& aStore,
                                     membership::target_registry& aTargets,
                                     membership::entry_links& aEntries, options aOptions)
  : mContext{ aContext }
  , mStore{ aStore }
  , mTargets{ aTargets }
  , mEntries{ aEntries }
  , mOptions{ std::move(aOptions) }
  , mTimer{ aContext }
{
}

void freshness_service::Register(net::frame_dispatcher& aDispatcher)
{
  aDispatcher.On<confirm>([this](net::link_ptr const& aLink, confirm const& aMessage) {
    ConfirmReceived(aLink, aMessage);
  });
  aDispatcher.On<config_push>([this](net::link_ptr const& aLink, config_push const& aMessage) {
    PushReceived(aLink, aMessage);
  });
  aDispatcher.On<config_held>([this](net::link_ptr const& aLink, config_held const& aMessage) {
    HeldVersionReceived(aLink, aMessage);
  });
}

void freshness_service::Register(base::state_dump& aDump)
{
  aDump.Register("freshness", [this] {
    auto const now = base::Now();
    auto entries = base::json::object();
    for (auto const& [process, entry] : mOtherEntries) {
      entries[process] = { { "version", entry.mHeldVersion },
                           { "answered_ms_ago", (now - entry.mLastAnswerAt).count() } };
    }
    return base::json{ { "ready", mIsReady },
                       { "store_fresh", IsStoreFresh(now) },
                       { "majority", HasMajority(now) },
                       { "listed_entries", mOptions.mListedEntries },
                       { "entries", std::move(entries) } };
  });
}

void freshness_service::HelloReceived(net::link_ptr const& aLink, membership::hello aHello)
{
  mPeers[aLink].mHello = std::move(aHello);
}

void freshness_service::Start()
{
  mStore.Observe([this](snapshot_ptr const&) {
    mPushFrames.clear();
    SendAll();
    UpdateReadiness(base::Now());
  });
  // Cancelling the timer sends confirmations at once and restarts the period: a confirmation
  // reports the lowest read age right after a read.
  mStore.ObserveReads([this] { mTimer.cancel(); });
  mEntries.OnOpen([this](net::link_ptr const& aLink) { SendTo(aLink, recipient::entry); });
  mTargets.Observe(
    [this](membership::target_change aChange, membership::known_target const& aTarget) {
      if (aChange != membership::target_change::left) {
        SendTo(aTarget.mLink, recipient::agent);
      }
    });
  mLastConnectedAt = base::Now();
  asio::co_spawn(mContext, ConfirmLoop(), asio::detached);
}

asio::awaitable<void> freshness_service::ConfirmLoop()
{
  while (true) {
    RemoveClosedLinks();
    SendAll();
    UpdateReadiness(base::Now());
    mTimer.expires_after(mOptions.mConfirmPeriod);
    boost::system::error_code ignored;
    co_await mTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }
}

void freshness_service::SendAll()
{
  for (auto const& link : mEntries.OpenLinks()) {
    SendTo(link, recipient::entry);
  }
  for (auto const& [name, target] : mTargets.Targets()) {
    SendTo(target.mLink, recipient::agent);
  }
}

void freshness_service::SendTo(net::link_ptr const& aLink, recipient aRecipient)
{
  if (!aLink || !aLink->IsOpen()) {
    return;
  }
  auto& known = mPeers[aLink];
  if (mStore.IsSynchronized() && known.mPushedVersion != mStore.Version()) {
    known.mPushedVersion = mStore.Version();
    aLink->SendBytes(PushFrame(aRecipient));
  }
  auto message = Confirmation();
  message.mEcho = known.mStamp;
  aLink->Send(message);
}

base::bytes const& freshness_service::PushFrame(recipient aRecipient)
{
  auto& frame = mPushFrames[aRecipient];
  if (frame.empty()) {
    auto const snapshot = mStore.Current();
    config_push message{ .mVersion = snapshot->mVersion,
                         .mDomainsOut = DomainsOut(*snapshot),
                         .mSnapshot = {} };
    if (aRecipient == recipient::entry) {
      message.mSnapshot = base::Encode(*snapshot);
    }
    frame = net::EncodeFrame(message);
  }
  return frame;
}

confirm freshness_service::Confirmation() const
{
  confirm message{ .mVersion = mStore.Version(),
                   .mReadAge = {},
                   .mSynchronized = mStore.IsSynchronized(),
                   .mEcho = {} };
  if (auto const readStart = mStore.LastReadStart()) {
    message.mReadAge = base::Now() - *readStart;
  }
  return message;
}

void freshness_service::RemoveClosedLinks()
{
  std::erase_if(mPeers, [](auto const& aItem) { return !aItem.first->IsOpen(); });
}

bool freshness_service::IsStoreFresh(base::time_point aNow) const
{
  auto const readStart = mStore.LastReadStart();
  return readStart && aNow - *readStart <= mOptions.mFreshnessLimit;
}

bool freshness_service::HasMajority(base::time_point aNow) const
{
  auto const answeringEntries = std::ranges::count_if(mOtherEntries, [&](auto const& aItem) {
    return !mOptions.mOtherRegions.contains(aItem.second.mRegion) &&
           aNow - aItem.second.mLastAnswerAt <= mOptions.mFreshnessLimit;
  });
  return (static_cast<std::size_t>(answeringEntries) + 1) * 2 > mOptions.mListedEntries;
}

void freshness_service::UpdateReadiness(base::time_point aNow)
{
  if (IsStoreFresh(aNow) || HasMajority(aNow)) {
    mLastConnectedAt = aNow;
  }
  auto const isReady =
    mStore.IsSynchronized() && aNow - mLastConnectedAt <= mOptions.mNotReadyAfter;
  if (isReady == mIsReady) {
    return;
  }
  mIsReady = isReady;
  base::Log("configuration")
    ->info("This entry is {}ready: version {}, table read {}fresh, majority {}connected.",
           isReady ? "" : "not ", mStore.Version(), IsStoreFresh(aNow) ? "" : "not ",
           HasMajority(aNow) ? "" : "not ");
  for (auto const& observer : mReadinessObservers) {
    observer(isReady);
  }
}

bool freshness_service::IsEntry(net::link_ptr const& aLink) const
{
  auto const found = mPeers.find(aLink);
  return found != mPeers.end() && found->second.mHello &&
         found->second.mHello->mRole == membership::process_role::entry;
}

bool freshness_service::IsListed(net::link_ptr const& aLink) const
{
  // Only links that this entry opened itself are certain to lead to entries from its settings.
  auto const links = mEntries.OpenLinks();
  return IsEntry(aLink) && std::ranges::find(links, aLink) != links.end() &&
         mPeers.at(aLink).mHello->mProcess != mOptions.mProcess;
}

bool freshness_service::IsInForce(std::uint64_t aVersion) const
{
  std::size_t localHolders = mStore.IsSynchronized() && mStore.Version() >= aVersion ? 1 : 0;
  std::map<std::string, std::size_t> otherRegionHolders;
  for (auto const& [process, entry] : mOtherEntries) {
    auto const isInOtherRegion = mOptions.mOtherRegions.contains(entry.mRegion);
    if (entry.mHeldVersion >= aVersion) {
      ++(isInOtherRegion ? otherRegionHolders[entry.mRegion] : localHolders);
    }
  }
  return localHolders * 2 > mOptions.mListedEntries &&
         std::ranges::all_of(mOptions.mOtherRegions, [&](auto const& aRegion) {
           return otherRegionHolders[aRegion.first] * 2 > aRegion.second;
         });
}

void freshness_service::ConfirmReceived(net::link_ptr const& aLink, confirm const& aMessage)
{
  if (IsEntry(aLink)) {
    mStore.RecordKnownVersion(aMessage.mVersion);
    SendHeldVersion(aLink);
  }
}

void freshness_service::PushReceived(net::link_ptr const& aLink, config_push const& aMessage)
{
  if (!IsEntry(aLink)) {
    return;
  }
  mStore.RecordKnownVersion(aMessage.mVersion);
  auto decoded = base::TryDecode<configuration_snapshot>(aMessage.mSnapshot);
  if (auto const* const failure = std::get_if<base::decode_failure>(&decoded)) {
    // RecordKnownVersion above has recorded the version; the store reads its content from the
    // table.
    base::Log("configuration")
      ->warn("Cannot decode the snapshot of configuration version {} from {}: {}: {}.",
             aMessage.mVersion, aLink->Peer(), failure->mPath, failure->mReason);
  } else {
    mStore.Adopt(std::get<0>(std::move(decoded)));
  }
  SendHeldVersion(aLink);
}

void freshness_service::HeldVersionReceived(net::link_ptr const& aLink, config_held const& aMessage)
{
  mPeers[aLink].mStamp = aMessage.mStamp;
  mStore.RecordKnownVersion(aMessage.mVersion);
  if (!IsListed(aLink)) {
    return;
  }
  auto const& hello = *mPeers.at(aLink).mHello;
  auto& entry = mOtherEntries[hello.mProcess];
  entry.mRegion = hello.mRegion;
  entry.mHeldVersion = std::max(entry.mHeldVersion, aMessage.mVersion);
  entry.mLastAnswerAt = base::Now();
  for (auto* const wait : mInForceTimers) {
    wait->cancel();
  }
}

void freshness_service::SendHeldVersion(net::link_ptr const& aLink)
{
  aLink->Send(
    config_held{ .mVersion = mStore.Version(), .mStamp = base::Now().time_since_epoch().count() });
}

asio::awaitable<force_state> freshness_service::AwaitInForce(std::uint64_t aVersion)
{
  auto const deadline = base::Now() + mOptions.mInForceTimeout;
  asio::steady_timer wait{ mContext };
  mInForceTimers.insert(&wait);
  while (!IsInForce(aVersion) && base::Now() < deadline) {
    wait.expires_after(deadline - base::Now());
    boost::system::error_code ignored;
    co_await wait.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }
  mInForceTimers.erase(&wait);
  co_return IsInForce(aVersion) ? force_state::in_force : force_state::committed;
}

} // namespace rattanpond::configuration
