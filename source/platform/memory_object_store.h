#pragma once

#include "platform/availability.h"
#include "platform/object_store.h"

#include <map>

namespace rattanpond::platform {

/// In-memory object store that can be made unavailable.
class memory_object_store : public object_store
{
public:
  boost::asio::awaitable<base::reply<base::done>> Put(std::string aKey,
                                                      std::string aContent) override;
  boost::asio::awaitable<base::reply<std::string>> Get(std::string aKey) override;

  void Inject(availability aAvailability) { mAvailability = aAvailability; }
  availability Availability() const { return mAvailability; }

private:
  std::map<std::string, std::string> mObjects;
  availability mAvailability = availability::up;
};

} // namespace rattanpond::platform
