#pragma once

#include "membership/target_description.h"
#include "net/frame_dispatcher.h"
#include "net/link_dialer.h"
#include "requests/messages.h"
#include "requests/router.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

namespace rattanpond::requests {

/// Maintains the links of one traffic thread to the agents of the executors.
class agent_pool
{
public:
  /// Callbacks for events; the first argument is the target.
  struct observers
  {
    std::function<void(std::string const&, answer)> mOnAnswer;
    std::function<void(std::string const&, resolve_reply)> mOnResolveReply;
    std::function<void(std::string const&, load_report const&)> mOnReport;
    std::function<void(std::string const&, link_state)> mOnLink;
  };

  agent_pool(boost::asio::io_context& aContext, observers aObservers);
  ~agent_pool();
  agent_pool(agent_pool const&) = delete;
  agent_pool& operator=(agent_pool const&) = delete;

  void Update(std::vector<membership::target_description> const& aTargets);

  /// The open link to a target, or null.
  net::link_ptr Link(std::string const& aTarget) const;
  bool HasAgent(std::string const& aTarget) const { return mAgents.contains(aTarget); }
  /// The announced incarnation of the target's agent, empty if the target is unknown.
  std::string Incarnation(std::string const& aTarget) const;
  /// The agent's clock in its last load report, 0 before the first report.
  base::milliseconds AgentClock(std::string const& aTarget) const;

private:
  struct agent
  {
    membership::target_description mDescription;
    base::milliseconds mClock{ 0 };
    net::frame_dispatcher mDispatcher;
    std::unique_ptr<net::link_dialer> mDialer;
  };

  void Add(membership::target_description const& aDescription);
  void Connect(std::shared_ptr<agent> const& aAgent, net::tcp::endpoint const& aEndpoint);

  boost::asio::io_context& mContext;
  observers mObservers;
  std::map<std::string, std::shared_ptr<agent>> mAgents;
};

} // namespace rattanpond::requests
