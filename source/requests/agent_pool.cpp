#include "requests/agent_pool.h"

#include "base/logging.h"

namespace rattanpond::requests {

agent_pool::agent_pool(boost::asio::io_context& aContext, observers aObservers)
  : mContext{ aContext }
  , mObservers{ std::move(aObservers) }
{
}

agent_pool::~agent_pool() = default;

void agent_pool::Update(std::vector<membership::target_description> const& aTargets)
{
  std::map<std::string, membership::target_description const*> wanted;
  for (auto const& description : aTargets) {
    if (description.mKind == membership::target_kind::executor) {
      wanted[description.mTarget] = &description;
    }
  }
  std::erase_if(mAgents, [&](auto const& aEntry) {
    auto const found = wanted.find(aEntry.first);
    auto const& known = aEntry.second->mDescription;
    if (found != wanted.end() && found->second->mIncarnation == known.mIncarnation &&
        found->second->mTrafficAddress == known.mTrafficAddress) {
      return false;
    }
    // Removing the agent closes its link, which ends the attempts on it. The observer is called
    // here because the dialer of a removed agent reports no events.
    mObservers.mOnLink(aEntry.first, link_state::down);
    return true;
  });
  for (auto const& [target, description] : wanted) {
    if (auto const found = mAgents.find(target); found != mAgents.end()) {
      found->second->mDescription = *description;
    } else {
      Add(*description);
    }
  }
}

void agent_pool::Add(membership::target_description const& aDescription)
{
  auto const endpoint =
    base::Capture([&] { return net::ParseEndpoint(aDescription.mTrafficAddress); });
  if (!base::Succeeded(endpoint)) {
    base::Log("requests")
      ->warn("Target {} announced an invalid traffic address: {}.", aDescription.mTarget,
             base::Error(endpoint).mMessage);
    return;
  }
  auto added = std::make_shared<agent>();
  added->mDescription = aDescription;
  mAgents[aDescription.mTarget] = added;
  Connect(added, std::get<0>(endpoint));
}

void agent_pool::Connect(std::shared_ptr<agent> const& aAgent, net::tcp::endpoint const& aEndpoint)
{
  auto const target = aAgent->mDescription.mTarget;
  auto& dispatcher = aAgent->mDispatcher;
  dispatcher.On<answer>([this, target](net::link_ptr const&, answer aMessage) {
    mObservers.mOnAnswer(target, std::move(aMessage));
  });
  dispatcher.On<resolve_reply>([this, target](net::link_ptr const&, resolve_reply aMessage) {
    mObservers.mOnResolveReply(target, std::move(aMessage));
  });
  std::weak_ptr<agent> const weak = aAgent;
  dispatcher.On<load_report>([this, target, weak](net::link_ptr const&, load_report aMessage) {
    auto const live = weak.lock();
    if (live && live->mDescription.mIncarnation == aMessage.mIncarnation) {
      live->mClock = std::max(live->mClock, aMessage.mAgentClock);
    }
    mObservers.mOnReport(target, aMessage);
  });
  // The last events of a removed agent's dialer are not reported: the weak pointer has expired.
  net::link_handlers handlers{
    .mOnFrame =
      [weak](net::link_ptr const& aLink, net::frame const& aFrame) {
        if (auto const live = weak.lock()) {
          live->mDispatcher.Dispatch(aLink, aFrame);
        }
      },
    .mOnClose =
      [this, weak, target](net::link_ptr const&, base::error const&) {
        if (weak.lock()) {
          mObservers.mOnLink(target, link_state::down);
        }
      },
  };
  aAgent->mDialer = std::make_unique<net::link_dialer>(
    mContext, net::link_dialer::options{ .mEndpoint = aEndpoint,
                                         .mHandlers = std::move(handlers),
                                         .mOnOpen = [this, weak, target](net::link_ptr const&) {
                                           if (weak.lock()) {
                                             mObservers.mOnLink(target, link_state::up);
                                           }
                                         } });
}

net::link_ptr agent_pool::Link(std::string const& aTarget) const
{
  auto const found = mAgents.find(aTarget);
  if (found == mAgents.end()) {
    return nullptr;
  }
  auto current = found->second->mDialer->Current();
  return current && current->IsOpen() ? current : nullptr;
}

std::string agent_pool::Incarnation(std::string const& aTarget) const
{
  auto const found = mAgents.find(aTarget);
  return found == mAgents.end() ? std::string{} : found->second->mDescription.mIncarnation;
}

base::milliseconds agent_pool::AgentClock(std::string const& aTarget) const
{
  auto const found = mAgents.find(aTarget);
  return found == mAgents.end() ? base::milliseconds{ 0 } : found->second->mClock;
}

} // namespace rattanpond::requests
