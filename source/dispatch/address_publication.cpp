#include "dispatch/address_publication.h"

#include "base/logging.h"
#include "dispatch/replica.h"
#include "net/sleep.h"

#include <random>

namespace rattanpond::dispatch {

namespace asio = boost::asio;
using base::milliseconds;

namespace {

constexpr milliseconds kTimeout{ 1000 };
constexpr int kMinimumRetryDelayMs = 200;
constexpr int kMaximumRetryDelayMs = 600;

platform::row_transaction AddressTransaction(std::string const& aKey, std::string const& aAddress)
{
  platform::row_transaction transaction;
  address_record const record{ .mAddress = aAddress };
  transaction.mChanges.push_back({ kDispatchTable, aKey, base::Encode(record).dump() });
  return transaction;
}

} // namespace

asio::awaitable<void> PublishAddress(platform::row_store& aStore, std::string aKey,
                                     std::string aAddress)
{
  std::minstd_rand random{ std::random_device{}() };
  std::uniform_int_distribution<int> delay{ kMinimumRetryDelayMs, kMaximumRetryDelayMs };
  while (true) {
    auto transaction = AddressTransaction(aKey, aAddress);
    auto const result = co_await aStore.Commit(std::move(transaction), kTimeout);
    if (result.mOutcome == platform::commit_outcome::committed) {
      base::Log("process")->info("announced key={} address={} version={}", aKey, aAddress,
                                 result.mVersion);
      co_return;
    }
    co_await net::Sleep(milliseconds{ delay(random) });
  }
}

} // namespace rattanpond::dispatch
