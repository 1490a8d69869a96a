#pragma once

#include "net/link.h"

#include <functional>
#include <map>

namespace rattanpond::net {

/// Passes each received frame to the handler of its message type. A frame without a handler, or one
/// that cannot be decoded, closes its link; other links are not affected.
class frame_dispatcher
{
public:
  template<message T>
  void On(std::function<void(link_ptr const&, T)> aHandler)
  {
    mHandlers[T::kType] = [handler = std::move(aHandler)](link_ptr const& aLink,
                                                          frame const& aFrame) {
      auto decoded = base::Capture([&] { return DecodeMessage<T>(aFrame); });
      if (!base::Succeeded(decoded)) {
        aLink->Close(base::Error(decoded));
        return;
      }
      handler(aLink, std::get<0>(std::move(decoded)));
    };
  }

  void Dispatch(link_ptr const& aLink, frame const& aFrame) const
  {
    auto const found = mHandlers.find(aFrame.mType);
    if (found == mHandlers.end()) {
      aLink->Close({ .mCode = base::result_code::unknown_message_type,
                     .mMessage = "no handler is registered for the message type" });
      return;
    }
    found->second(aLink, aFrame);
  }

private:
  std::map<message_type, std::function<void(link_ptr const&, frame const&)>> mHandlers;
};

} // namespace rattanpond::net
