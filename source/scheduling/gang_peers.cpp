#include "scheduling/gang_peers.h"

#include "base/logging.h"

namespace rattanpond::scheduling {

namespace {

constexpr base::milliseconds kIdleTimeout{ 60'000 };

// A member must reconnect to its coordinator well within a gang lease of 4 s.
constexpr base::milliseconds kMaximumDialDelay{ 250 };

} // namespace

gang_peers::gang_peers(boost::asio::io_context& aContext, net::frame_dispatcher const& aDispatcher)
  : mContext{ aContext }
  , mDispatcher{ aDispatcher }
{
}

void gang_peers::Expire(base::time_point aNow)
{
  std::erase_if(
    mPeers, [&](auto const& aEntry) { return aNow - aEntry.second.mLastUsedAt > kIdleTimeout; });
}

net::link_ptr gang_peers::Link(std::string const& aAddress)
{
  auto const [found, isNew] = mPeers.try_emplace(aAddress);
  auto& entry = found->second;
  entry.mLastUsedAt = base::Now();
  if (isNew) {
    auto const endpoint = base::Capture([&] { return net::ParseEndpoint(aAddress); });
    if (!base::Succeeded(endpoint)) {
      base::Log("scheduling")->error("Invalid control address in a gang roster: {}.", aAddress);
      mPeers.erase(found);
      return {};
    }
    net::link_dialer::options dialerOptions;
    dialerOptions.mEndpoint = std::get<0>(endpoint);
    dialerOptions.mMaximumDelay = kMaximumDialDelay;
    dialerOptions.mHandlers.mOnFrame = [this](net::link_ptr const& aLink,
                                              net::frame const& aFrame) {
      mDispatcher.Dispatch(aLink, aFrame);
    };
    entry.mDialer = std::make_unique<net::link_dialer>(mContext, std::move(dialerOptions));
  }
  return entry.mDialer->Current();
}

} // namespace rattanpond::scheduling
