#pragma once

#include "base/state_dump.h"
#include "configuration/messages.h"
#include "configuration/start_gate.h"
#include "membership/entry_links.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace rattanpond::configuration {

/// The configuration as an agent receives it: passes the messages of the configured entries to the
/// start gate. Used on the control thread.
class agent_configuration
{
public:
  struct options
  {
    base::milliseconds mFreshnessLimit{ 3000 };
  };

  /// Called with the new version and the failure domains that are out of service, after a new
  /// version was received.
  using change_observer = std::function<void(std::uint64_t, std::set<std::string> const&)>;

  agent_configuration(membership::entry_links& aEntries, options aOptions);

  /// Handles confirm and config_push. Messages on links that are not in the entry_links are
  /// ignored.
  void Register(net::frame_dispatcher& aDispatcher);
  void Register(base::state_dump& aDump);
  void Observe(change_observer aObserver) { mObservers.push_back(std::move(aObserver)); }

  /// Must be called with the hello that an entry sends on a link. Confirmations on the link are
  /// ignored before that.
  void HelloReceived(net::link_ptr const& aLink, membership::hello aHello);

  /// Whether a task may start in the failure domain now.
  bool MayStart(std::string const& aDomain) const;
  gate_state State(std::string const& aDomain, base::time_point aNow) const;
  std::uint64_t Version() const { return mGate.Version(); }

private:
  /// The entry at the other end of an open link.
  struct entry_peer
  {
    membership::hello mHello;
    /// No stamp was sent on this link before this time.
    base::time_point mHelloReceivedAt{};
  };

  void ConfirmReceived(net::link_ptr const& aLink, confirm const& aMessage, base::time_point aNow);
  void PushReceived(net::link_ptr const& aLink, config_push const& aMessage);
  void SendHeldVersion(net::link_ptr const& aLink) const;

  membership::entry_links& mEntries;
  start_gate mGate;
  std::map<net::link_ptr, entry_peer> mPeers;
  std::vector<change_observer> mObservers;
};

} // namespace rattanpond::configuration
