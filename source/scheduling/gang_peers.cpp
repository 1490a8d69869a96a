#include "scheduling/gang_peers.h"

#include "base/logging.h"

namespace rattanpond::scheduling {

namespace {

constexpr base::milliseconds kIdleTime{ 60'000 };

// A member has to reach its coordinator again well within a lease of 4 s.
constexpr base::milliseconds kLongestDialDelay{ 250 };

} // namespace

gang_peers::gang_peers(boost::asio::io_context& aContext, net::frame_dispatcher const& aDispatcher)
  : mContext{ aContext }
  , mDispatcher{ aDispatcher }
{
}

void gang_peers::Expire(base::time_point aNow)
{
  std::erase_if(mPeers, [&](auto const& aEntry) { return aNow - aEntry.second.mUsed > kIdleTime; });
}

net::link_ptr gang_peers::Link(std::string const& aAddress)
{
  auto const [found, isNew] = mPeers.try_emplace(aAddress);
  auto& wanted = found->second;
  wanted.mUsed = base::Now();
  if (isNew) {
    auto const endpoint = base::Capture([&] { return net::ParseEndpoint(aAddress); });
    if (!base::Succeeded(endpoint)) {
      base::Log("scheduling")->error("The roster has a wrong address: {}.", aAddress);
      mPeers.erase(found);
      return {};
    }
    net::link_dialer::options dialing;
    dialing.mEndpoint = std::get<0>(endpoint);
    dialing.mLongestDelay = kLongestDialDelay;
    dialing.mHandlers.mOnFrame = [this](net::link_ptr const& aLink, net::frame const& aFrame) {
      mDispatcher.Dispatch(aLink, aFrame);
    };
    wanted.mDialer = std::make_unique<net::link_dialer>(mContext, std::move(dialing));
  }
  return wanted.mDialer->Current();
}

} // namespace rattanpond::scheduling
