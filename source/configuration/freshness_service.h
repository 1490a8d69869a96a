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

/// How far a committed version has come.
enum class force_state
{
  /// In each region a majority of the entries hold it, so no agent can start work on an older one.
  in_force,
  committed
};

/// Tells agents and other entries which version this entry holds and how fresh it is, and follows
/// which entries hold which version. Used on the control thread; must outlive the run of its
/// io_context.
class freshness_service
{
public:
  struct options
  {
    /// Process id of this entry, as in its hello.
    std::string mProcess;
    /// Entries of this region in the settings, this one included.
    std::size_t mListedEntries = 1;
    /// Number of entries in the settings for each other region. Agents count the entries of their
    /// own region, so a version is in force only with a majority in each region.
    std::map<std::string, std::size_t> mOtherRegions = {};
    base::milliseconds mConfirmPeriod{ 500 };
    /// Age up to which a read or a sign of life counts as fresh.
    base::milliseconds mFreshnessLimit{ 3000 };
    /// Time without fresh reads and without a majority after which the entry is not ready.
    base::milliseconds mNotReadyAfter{ 5000 };
    /// How long AwaitInForce waits.
    base::milliseconds mForceLimit{ 3000 };
  };

  using readiness_observer = std::function<void(bool)>;

  freshness_service(boost::asio::io_context& aContext, configuration_store& aStore,
                    membership::target_registry& aTargets, membership::entry_links& aEntries,
                    options aOptions);

  /// Handles confirm, config_push and config_held. Call for the dispatcher of accepted links and
  /// for that of aEntries when they differ.
  void Register(net::frame_dispatcher& aDispatcher);
  void Register(base::state_dump& aDump);

  /// To be called with every hello, of accepted links and of links to other entries: identities of
  /// processes come from it.
  void HelloReceived(net::link_ptr const& aLink, membership::hello aHello);

  /// Starts to send. Call before the links open.
  void Start();

  /// False until the first load, and when the entry has been cut off for too long.
  bool IsReady() const { return mIsReady; }
  void ObserveReadiness(readiness_observer aObserver)
  {
    mReadinessObservers.push_back(std::move(aObserver));
  }

  /// Whether the read of the table is fresh.
  bool IsStoreFresh(base::time_point aNow) const;
  /// Whether a majority of the region's entries answered lately, this one included.
  bool HasMajority(base::time_point aNow) const;

  /// Waits until a majority of the entries of each region hold aVersion, or until the limit.
  boost::asio::awaitable<force_state> AwaitInForce(std::uint64_t aVersion);

private:
  /// What is known of the process behind a link.
  struct peer
  {
    std::optional<membership::hello> mHello;
    std::optional<std::uint64_t> mPushed;
    std::optional<std::int64_t> mStamp;
  };

  /// What is known of another listed entry, by process id.
  struct listed_entry
  {
    std::string mRegion;
    std::uint64_t mHeld = 0;
    base::time_point mLastHeld{};
  };

  enum class recipient
  {
    agent,
    entry
  };

  boost::asio::awaitable<void> Run();
  void SendAll();
  void SendTo(net::link_ptr const& aLink, recipient aRecipient);
  base::bytes const& PushFrame(recipient aRecipient);
  confirm Confirmation() const;
  void Prune();
  void Evaluate(base::time_point aNow);
  bool IsEntry(net::link_ptr const& aLink) const;
  bool IsListed(net::link_ptr const& aLink) const;
  bool IsInForce(std::uint64_t aVersion) const;
  void ConfirmReceived(net::link_ptr const& aLink, confirm const& aMessage);
  void PushReceived(net::link_ptr const& aLink, config_push const& aMessage);
  void HeldReceived(net::link_ptr const& aLink, config_held const& aMessage);
  void SendHeld(net::link_ptr const& aLink);

  boost::asio::io_context& mContext;
  configuration_store& mStore;
  membership::target_registry& mTargets;
  membership::entry_links& mEntries;
  options mOptions;
  boost::asio::steady_timer mTimer;
  /// Keeps links alive until they are pruned, so that a new link never inherits a stamp of another.
  std::map<net::link_ptr, peer> mPeers;
  std::map<std::string, listed_entry> mListed;
  std::map<recipient, base::bytes> mPushFrames;
  std::set<boost::asio::steady_timer*> mForceWaits;
  std::vector<readiness_observer> mReadinessObservers;
  base::time_point mLastConnected{};
  bool mIsReady = false;
};

} // namespace rattanpond::configuration
