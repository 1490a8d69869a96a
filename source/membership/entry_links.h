#pragma once

#include "base/state_dump.h"
#include "membership/messages.h"
#include "net/frame_dispatcher.h"
#include "net/link_dialer.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

namespace rattanpond::membership {

/// Maintains a control link to each entry that the settings list. An agent uses it to announce its
/// target and to send to entries; an entry uses it to send to the other entries. Used on the
/// control thread.
class entry_links
{
public:
  struct options
  {
    std::vector<net::tcp::endpoint> mEntries;
    hello mHello;
  };

  using open_observer = std::function<void(net::link_ptr const&)>;
  using close_observer = std::function<void(net::link_ptr const&)>;

  /// Frames that are received on the links are passed to aDispatcher.
  entry_links(boost::asio::io_context& aContext, options aOptions,
              net::frame_dispatcher const& aDispatcher);

  /// Called after hello was sent on a new link.
  void OnOpen(open_observer aObserver) { mOpenObservers.push_back(std::move(aObserver)); }
  void OnClose(close_observer aObserver) { mCloseObservers.push_back(std::move(aObserver)); }

  void Register(base::state_dump& aDump);

  /// Connects to the entries. Must be called once, after the observers are registered.
  void Start();

  /// Sends to every open link. The frame is encoded once.
  template<net::message T>
  void Broadcast(T const& aMessage)
  {
    auto const frame = net::EncodeFrame(aMessage);
    for (auto const& link : OpenLinks()) {
      link->SendBytes(frame);
    }
  }

  std::vector<net::link_ptr> OpenLinks() const;
  std::size_t ConfiguredCount() const { return mOptions.mEntries.size(); }

private:
  boost::asio::io_context& mContext;
  options mOptions;
  net::frame_dispatcher const& mDispatcher;
  std::vector<open_observer> mOpenObservers;
  std::vector<close_observer> mCloseObservers;
  std::vector<std::unique_ptr<net::link_dialer>> mDialers;
};

} // namespace rattanpond::membership
