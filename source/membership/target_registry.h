#pragma once

#include "base/state_dump.h"
#include "membership/messages.h"
#include "net/frame_dispatcher.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace rattanpond::membership {

/// A target that is registered with an entry.
struct known_target
{
  target_description mDescription;
  /// The control link that the agent opened to this entry.
  net::link_ptr mLink;
  base::time_point mLastHeartbeatAt{};
  std::uint32_t mQueued = 0;
  std::uint32_t mRunning = 0;
};

enum class target_change
{
  joined,
  updated,
  left
};

/// The targets that announced themselves to this entry. Used on the control thread.
class target_registry
{
public:
  struct options
  {
    /// A target without a heartbeat for longer than this is removed.
    base::milliseconds mHeartbeatTimeout{ 3000 };
  };

  using observer = std::function<void(target_change, known_target const&)>;

  explicit target_registry(options aOptions);

  /// Handles announce and target_heartbeat.
  void Register(net::frame_dispatcher& aDispatcher);
  void Register(base::state_dump& aDump);

  /// Registers an observer that is called after each change of the registry.
  void Observe(observer aObserver) { mObservers.push_back(std::move(aObserver)); }

  void HandleAnnouncement(net::link_ptr const& aLink, target_description aDescription,
                          base::time_point aNow);
  void HandleHeartbeat(net::link_ptr const& aLink, target_heartbeat const& aHeartbeat,
                       base::time_point aNow);
  void LinkClosed(net::link_ptr const& aLink);
  /// Removes targets whose heartbeat has timed out. Must be called at least once a second.
  void Expire(base::time_point aNow);

  known_target const* Find(std::string const& aTarget) const;
  /// Returns the target that announced itself over the link, or null.
  known_target const* FindByLink(net::link_ptr const& aLink) const;
  std::map<std::string, known_target> const& Targets() const { return mTargets; }

private:
  void Remove(std::string const& aTarget);
  void Notify(target_change aChange, known_target const& aTarget) const;

  options mOptions;
  std::map<std::string, known_target> mTargets;
  std::map<net::link*, std::string> mByLink;
  std::vector<observer> mObservers;
};

} // namespace rattanpond::membership
