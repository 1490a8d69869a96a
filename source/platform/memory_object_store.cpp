#include "platform/memory_object_store.h"

namespace rattanpond::platform {

namespace asio = boost::asio;
using base::done;
using base::error;
using base::reply;
using base::result_code;

namespace {

error const kDown{ result_code::store_unavailable, "the object store is down" };

} // namespace

asio::awaitable<reply<done>> memory_object_store::Put(std::string aKey, std::string aContent)
{
  if (mAvailability == availability::down) {
    co_return kDown;
  }
  mObjects[std::move(aKey)] = std::move(aContent);
  co_return done{};
}

asio::awaitable<reply<std::string>> memory_object_store::Get(std::string aKey)
{
  if (mAvailability == availability::down) {
    co_return kDown;
  }
  auto const found = mObjects.find(aKey);
  if (found == mObjects.end()) {
    co_return error{ result_code::object_not_found, "no object has the key '" + aKey + "'" };
  }
  co_return found->second;
}

} // namespace rattanpond::platform
