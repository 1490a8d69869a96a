#pragma once

#include "base/codec.h"
#include "net/message_type.h"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace rattanpond::net {

inline constexpr std::uint8_t kProtocolVersion = 1;

/// Maximum size of a request or response body.
inline constexpr std::size_t kMaximumBodyBytes = 4 * 1024 * 1024;

/// Maximum size of a frame: one body, and 64 KiB for the other fields of the message.
inline constexpr std::size_t kMaximumFrameBytes = kMaximumBodyBytes + 64 * 1024;

/// A received message: its type and its positional fields.
struct frame
{
  message_type mType = message_type::hello;
  base::json mFields;
};

/// A described struct with a constant kType, its message type.
template<class T>
concept message = base::described<T> && requires
{
  {
    T::kType
    } -> std::convertible_to<message_type>;
};

/// Encodes a frame: 4-byte big-endian length, then the msgpack array [version, type, fields].
base::bytes EncodeFrame(message_type aType, base::json aFields);

template<message T>
base::bytes EncodeFrame(T const& aMessage)
{
  return EncodeFrame(T::kType, base::Encode(aMessage, base::layout::positional));
}

template<message T>
base::result<T> DecodeMessage(frame const& aFrame)
{
  return base::Decode<T>(aFrame.mFields, base::layout::positional);
}

/// Splits a byte stream into frames. The stream cannot be resynchronized after an error.
class frame_decoder
{
public:
  void Append(std::span<std::uint8_t const> aBytes);

  /// Returns the next complete frame, an empty optional if more bytes are needed, or an error.
  base::result<std::optional<frame>> Next();

private:
  base::bytes mBuffer;
  std::size_t mOffset = 0;
};

} // namespace rattanpond::net
