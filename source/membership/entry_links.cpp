#include "membership/entry_links.h"

#include "base/logging.h"

namespace rattanpond::membership {

entry_links::entry_links(boost::asio::io_context& aContext, options aOptions,
                         net::frame_dispatcher const& aDispatcher)
  : mContext{ aContext }
  , mOptions{ std::move(aOptions) }
  , mDispatcher{ aDispatcher }
{
}

void entry_links::Register(base::state_dump& aDump)
{
  aDump.Register("entry_links", [this] {
    auto document = base::json::array();
    for (auto const& dialer : mDialers) {
      auto const link = dialer->Current();
      document.push_back({
        { "entry", net::ToString(dialer->Endpoint()) },
        { "open", link != nullptr },
        { "bytes_sent", link ? link->BytesSent() : 0 },
        { "bytes_received", link ? link->BytesReceived() : 0 },
      });
    }
    return document;
  });
}

void entry_links::Start()
{
  for (auto const& endpoint : mOptions.mEntries) {
    net::link_dialer::options dialerOptions;
    dialerOptions.mEndpoint = endpoint;
    dialerOptions.mHandlers.mOnFrame = [this](net::link_ptr const& aLink,
                                              net::frame const& aFrame) {
      mDispatcher.Dispatch(aLink, aFrame);
    };
    dialerOptions.mHandlers.mOnClose = [this](net::link_ptr const& aLink,
                                              base::error const& aReason) {
      base::Log("membership")
        ->info("Control link to entry {} closed: {}.", aLink->Peer(), aReason.mMessage);
      for (auto const& observer : mCloseObservers) {
        observer(aLink);
      }
    };
    dialerOptions.mOnOpen = [this](net::link_ptr const& aLink) {
      aLink->Send(mOptions.mHello);
      for (auto const& observer : mOpenObservers) {
        observer(aLink);
      }
    };
    mDialers.push_back(std::make_unique<net::link_dialer>(mContext, std::move(dialerOptions)));
  }
}

std::vector<net::link_ptr> entry_links::OpenLinks() const
{
  std::vector<net::link_ptr> links;
  for (auto const& dialer : mDialers) {
    if (auto link = dialer->Current()) {
      links.push_back(std::move(link));
    }
  }
  return links;
}

} // namespace rattanpond::membership
