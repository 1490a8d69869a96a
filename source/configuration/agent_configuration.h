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

/// An agent's knowledge of the configuration: feeds the start gate from the links to the listed
/// entries. Used on the control thread.
class agent_configuration
{
public:
  struct options
  {
    base::milliseconds mFreshnessLimit{ 3000 };
  };

  /// Called after a new version was learned.
  using change_observer = std::function<void(std::uint64_t, std::set<std::string> const&)>;

  agent_configuration(membership::entry_links& aEntries, options aOptions);

  /// Handles confirm and config_push. Messages on links other than those of the entry_links are
  /// ignored.
  void Register(net::frame_dispatcher& aDispatcher);
  void Register(base::state_dump& aDump);
  void Observe(change_observer aObserver) { mObservers.push_back(std::move(aObserver)); }

  /// To be called with the hello that an entry sends on a link; confirmations count from then on.
  void HelloReceived(net::link_ptr const& aLink, membership::hello aHello);

  /// Whether a task may start in the failure domain now.
  bool MayStart(std::string const& aDomain) const;
  gate_state State(std::string const& aDomain, base::time_point aNow) const;
  std::uint64_t Version() const { return mGate.Version(); }

private:
  /// An entry behind an open link.
  struct entry_peer
  {
    membership::hello mHello;
    /// Stamps sent on this link are not older.
    base::time_point mSince{};
  };

  void ConfirmReceived(net::link_ptr const& aLink, confirm const& aMessage, base::time_point aNow);
  void PushReceived(net::link_ptr const& aLink, config_push const& aMessage);
  void SendHeld(net::link_ptr const& aLink) const;

  membership::entry_links& mEntries;
  start_gate mGate;
  std::map<net::link_ptr, entry_peer> mPeers;
  std::vector<change_observer> mObservers;
};

} // namespace rattanpond::configuration
