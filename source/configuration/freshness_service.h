#pragma once

#include "base/state_dump.h"
#include "configuration/configuration_store.h"
#include "configuration/messages.h"
#include "membership/entry_links.h"
#include "membership/target_registry.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace rattanpond::configuration {

/// How far a committed version has been distributed.
enum class force_state
{
  /// In each region a majority of the entries hold the version, so no agent starts work under an
  /// older one once the freshness limit has passed.
  in_force,
  committed
};

/// Reports to agents and other entries which version this entry holds and how old its last read of
/// the table is, and tracks which version each other entry holds. Used on the control thread; must
/// outlive the run of its io_context.
class freshness_service
{
public:
  struct options
  {
    /// Process id of this entry; the same as in its hello.
    std::string mProcess;
    /// Number of entries of this region in the settings, including this one.
    std::size_t mListedEntries = 1;
    /// Number of entries in the settings for each other region. Agents count the entries of their
    /// own region, so a version is in force only with a majority in each region.
    std::map<std::string, std::size_t> mOtherRegions = {};
    base::milliseconds mConfirmPeriod{ 500 };
    /// Maximum age of a read of the table, or of the last config_held of another entry, that counts
    /// as fresh.
    base::milliseconds mFreshnessLimit{ 3000 };
    /// The entry is not ready after this time without a fresh read and without a majority.
    base::milliseconds mNotReadyAfter{ 5000 };
    /// Maximum wait of AwaitInForce.
    base::milliseconds mInForceTimeout{ 3000 };
  };

  using readiness_observer = std::function<void(bool)>;

  freshness_service(boost::asio::io_context& aContext, configuration_store& aStore,
                    membership::target_registry& aTargets, membership::entry_links& aEntries,
                    options aOptions);

  /// Handles confirm, config_push and config_held. Must be called for the dispatcher of accepted
  /// links, and for the dispatcher of aEntries if that is another one.
  void Register(net::frame_dispatcher& aDispatcher);
  void Register(base::state_dump& aDump);

  /// Must be called with every hello, on accepted links and on links to other entries. It
  /// identifies the process at the other end.
  void HelloReceived(net::link_ptr const& aLink, membership::hello aHello);

  /// Starts to send confirmations. Must be called before the links open.
  void Start();

  /// False until the first load, and after options::mNotReadyAfter without a fresh read of the
  /// table and without a majority.
  bool IsReady() const { return mIsReady; }
  void ObserveReadiness(readiness_observer aObserver)
  {
    mReadinessObservers.push_back(std::move(aObserver));
  }

  /// Whether the last read of the table is within the freshness limit.
  bool IsStoreFresh(base::time_point aNow) const;
  /// Whether a majority of the region's entries, including this one, answered within the freshness
  /// limit.
  bool HasMajority(base::time_point aNow) const;

  /// Waits until a majority of the entries of each region hold aVersion, or until
  /// options::mInForceTimeout has passed.
  boost::asio::awaitable<force_state> AwaitInForce(std::uint64_t aVersion);

private:
  /// The process at the other end of a link.
  struct peer
  {
    std::optional<membership::hello> mHello;
    /// The last version that was sent in a config_push.
    std::optional<std::uint64_t> mPushedVersion;
    /// The newest config_held::mStamp that was received.
    std::optional<std::int64_t> mStamp;
  };

  /// Another entry that the settings list.
  struct listed_entry
  {
    std::string mRegion;
    std::uint64_t mHeldVersion = 0;
    base::time_point mLastAnswerAt{};
  };

  enum class recipient
  {
    agent,
    entry
  };

  boost::asio::awaitable<void> ConfirmLoop();
  void SendAll();
  void SendTo(net::link_ptr const& aLink, recipient aRecipient);
  base::bytes const& PushFrame(recipient aRecipient);
  confirm Confirmation() const;
  void RemoveClosedLinks();
  void UpdateReadiness(base::time_point aNow);
  bool IsEntry(net::link_ptr const& aLink) const;
  bool IsListed(net::link_ptr const& aLink) const;
  bool IsInForce(std::uint64_t aVersion) const;
  void ConfirmReceived(net::link_ptr const& aLink, confirm const& aMessage);
  void PushReceived(net::link_ptr const& aLink, config_push const& aMessage);
  void HeldVersionReceived(net::link_ptr const& aLink, config_held const& aMessage);
  void SendHeldVersion(net::link_ptr const& aLink);

  boost::asio::io_context& mContext;
  configuration_store& mStore;
  membership::target_registry& mTargets;
  membership::entry_links& mEntries;
  options mOptions;
  boost::asio::steady_timer mTimer;
  /// Keeps closed links allocated until RemoveClosedLinks, so that a new link cannot reuse the
  /// address of an old one and take over its stamp.
  std::map<net::link_ptr, peer> mPeers;
  /// Keyed by process id.
  std::map<std::string, listed_entry> mOtherEntries;
  std::map<recipient, base::bytes> mPushFrames;
  /// Timers of the AwaitInForce calls that are waiting.
  std::set<boost::asio::steady_timer*> mInForceTimers;
  std::vector<readiness_observer> mReadinessObservers;
  base::time_point mLastConnectedAt{};
  bool mIsReady = false;
};

} // namespace rattanpond::configuration
