#include "configuration/agent_configuration.h"

#include "base/logging.h"

#include <algorithm>

namespace rattanpond::configuration {

agent_configuration::agent_configuration(membership::entry_links& aEntries, options aOptions)
  : mEntries{ aEntries }
  , mGate{ { .mListedEntries = aEntries.ConfiguredCount(),
             .mFreshnessLimit = aOptions.mFreshnessLimit } }
{
  mEntries.OnClose([this](net::link_ptr const& aLink) { mPeers.erase(aLink); });
}

void agent_configuration::Register(net::frame_dispatcher& aDispatcher)
{
  aDispatcher.On<confirm>([this](net::link_ptr const& aLink, confirm const& aMessage) {
    ConfirmReceived(aLink, aMessage, base::Now());
  });
  aDispatcher.On<config_push>([this](net::link_ptr const& aLink, config_push const& aMessage) {
    PushReceived(aLink, aMessage);
  });
}

void agent_configuration::Register(base::state_dump& aDump)
{
  aDump.Register("start_gate", [this] {
    auto const now = base::Now();
    return base::json{ { "version", mGate.Version() },
                       { "domains_out", mGate.DomainsOut() },
                       { "store_fresh_entry", mGate.HasStoreFreshEntry(now) },
                       { "confirming_entries", mGate.ConfirmingEntries(now) },
                       { "listed_entries", mEntries.ConfiguredCount() } };
  });
}

void agent_configuration::HelloReceived(net::link_ptr const& aLink, membership::hello aHello)
{
  auto const links = mEntries.OpenLinks();
  auto const isListed = std::ranges::find(links, aLink) != links.end();
  if (isListed && aHello.mRole == membership::process_role::entry) {
    mPeers.insert_or_assign(
      aLink, entry_peer{ .mHello = std::move(aHello), .mHelloReceivedAt = base::Now() });
    // The agent sends the first stamp at once, so that the entry can echo it in its next
    // confirmation. Confirmations without an echo do not count.
    SendHeldVersion(aLink);
  }
}

bool agent_configuration::MayStart(std::string const& aDomain) const
{
  return State(aDomain, base::Now()) == gate_state::open;
}

gate_state agent_configuration::State(std::string const& aDomain, base::time_point aNow) const
{
  return mGate.State(aDomain, aNow);
}

void agent_configuration::ConfirmReceived(net::link_ptr const& aLink, confirm const& aMessage,
                                          base::time_point aNow)
{
  auto const found = mPeers.find(aLink);
  if (found == mPeers.end()) {
    return;
  }
  auto const& [hello, helloReceivedAt] = found->second;
  // Without an echo nothing bounds the time that the confirmation was in transit, and it would
  // count as fresh after any delay. Its version is still recorded.
  auto const echo = base::time_point{ base::milliseconds{ aMessage.mEcho.value_or(0) } };
  auto const isDelayBounded = aMessage.mEcho && echo >= helloReceivedAt && echo <= aNow;
  gate_confirmation confirmation{ .mEntry = hello.mProcess,
                                  .mIncarnation = hello.mIncarnation,
                                  .mVersion = aMessage.mVersion,
                                  .mSynchronized = aMessage.mSynchronized && isDelayBounded,
                                  .mSentAfter = echo,
                                  .mReadAfter = {} };
  if (aMessage.mReadAge) {
    confirmation.mReadAfter = echo - std::max(*aMessage.mReadAge, base::milliseconds{ 0 });
  }
  mGate.RecordConfirmation(confirmation);
  SendHeldVersion(aLink);
}

void agent_configuration::PushReceived(net::link_ptr const& aLink, config_push const& aMessage)
{
  auto const links = mEntries.OpenLinks();
  if (std::ranges::find(links, aLink) == links.end()) {
    return;
  }
  std::set<std::string> domainsOut{ aMessage.mDomainsOut.begin(), aMessage.mDomainsOut.end() };
  if (mGate.ApplyVersion(aMessage.mVersion, std::move(domainsOut))) {
    base::Log("configuration")
      ->info("The start gate applies configuration version {}; failure domains out of service: {}.",
             mGate.Version(), mGate.DomainsOut().size());
    for (auto const& observer : mObservers) {
      observer(mGate.Version(), mGate.DomainsOut());
    }
  }
  SendHeldVersion(aLink);
}

void agent_configuration::SendHeldVersion(net::link_ptr const& aLink) const
{
  aLink->Send(
    config_held{ .mVersion = mGate.Version(), .mStamp = base::Now().time_since_epoch().count() });
}

} // namespace rattanpond::configuration
