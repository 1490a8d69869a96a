#include "membership/target_registry.h"

#include "base/logging.h"

namespace rattanpond::membership {

using base::error;
using base::result_code;

target_registry::target_registry(options aOptions)
  : mOptions{ aOptions }
{
}

void target_registry::Register(net::frame_dispatcher& aDispatcher)
{
  aDispatcher.On<announce>([this](net::link_ptr const& aLink, announce aMessage) {
    HandleAnnouncement(aLink, std::move(aMessage.mTarget), base::Now());
  });
  aDispatcher.On<target_heartbeat>(
    [this](net::link_ptr const& aLink, target_heartbeat const& aMessage) {
      HandleHeartbeat(aLink, aMessage, base::Now());
    });
}

void target_registry::Register(base::state_dump& aDump)
{
  aDump.Register("targets", [this] {
    auto document = base::json::array();
    for (auto const& [name, target] : mTargets) {
      auto entry = base::Encode(target.mDescription);
      entry["queued"] = target.mQueued;
      entry["running"] = target.mRunning;
      entry["bytes_sent"] = target.mLink->BytesSent();
      entry["bytes_received"] = target.mLink->BytesReceived();
      entry["last_beat_ms_ago"] = (base::Now() - target.mLastHeartbeatAt).count();
      document.push_back(std::move(entry));
    }
    return document;
  });
}

void target_registry::HandleAnnouncement(net::link_ptr const& aLink,
                                         target_description aDescription, base::time_point aNow)
{
  auto const name = aDescription.mTarget;
  auto const [found, isNew] = mTargets.try_emplace(name);
  auto& target = found->second;
  if (!isNew && target.mLink != aLink && target.mLink) {
    // The newest link replaces the old one, which is half open or belongs to a replaced process.
    mByLink.erase(target.mLink.get());
    target.mLink->Close(
      error{ result_code::stale_incarnation, "the target was announced on a newer link" });
  }
  target.mDescription = std::move(aDescription);
  target.mLink = aLink;
  target.mLastHeartbeatAt = aNow;
  mByLink[aLink.get()] = name;
  if (isNew) {
    base::Log("membership")
      ->info("Target {} in failure domain {} registered.", name, target.mDescription.mDomain);
  }
  Notify(isNew ? target_change::joined : target_change::updated, target);
}

void target_registry::HandleHeartbeat(net::link_ptr const& aLink,
                                      target_heartbeat const& aHeartbeat, base::time_point aNow)
{
  auto const found = mByLink.find(aLink.get());
  if (found == mByLink.end()) {
    // The target was removed while its process was paused. Closing the link makes the agent open a
    // new one and announce the target again.
    aLink->Close(
      error{ result_code::stale_incarnation, "heartbeat from a target that is not registered" });
    return;
  }
  auto& target = mTargets.at(found->second);
  target.mLastHeartbeatAt = aNow;
  target.mQueued = aHeartbeat.mQueued;
  target.mRunning = aHeartbeat.mRunning;
}

void target_registry::LinkClosed(net::link_ptr const& aLink)
{
  if (auto const found = mByLink.find(aLink.get()); found != mByLink.end()) {
    Remove(std::string{ found->second });
  }
}

void target_registry::Expire(base::time_point aNow)
{
  std::vector<std::string> expired;
  for (auto const& [name, target] : mTargets) {
    if (aNow - target.mLastHeartbeatAt > mOptions.mHeartbeatTimeout) {
      expired.push_back(name);
    }
  }
  for (auto const& name : expired) {
    Remove(name);
  }
}

known_target const* target_registry::Find(std::string const& aTarget) const
{
  auto const found = mTargets.find(aTarget);
  return found == mTargets.end() ? nullptr : &found->second;
}

known_target const* target_registry::FindByLink(net::link_ptr const& aLink) const
{
  auto const found = mByLink.find(aLink.get());
  return found == mByLink.end() ? nullptr : Find(found->second);
}

void target_registry::Remove(std::string const& aTarget)
{
  auto node = mTargets.extract(aTarget);
  if (node.empty()) {
    return;
  }
  auto const& removed = node.mapped();
  mByLink.erase(removed.mLink.get());
  base::Log("membership")->info("Target {} removed.", aTarget);
  Notify(target_change::left, removed);
}

void target_registry::Notify(target_change aChange, known_target const& aTarget) const
{
  for (auto const& observer : mObservers) {
    observer(aChange, aTarget);
  }
}

} // namespace rattanpond::membership
