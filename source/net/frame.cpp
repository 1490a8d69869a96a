#include "net/frame.h"

#include <boost/endian/conversion.hpp>

namespace rattanpond::net {

using base::Fail;
using base::result_code;

namespace {

constexpr std::size_t kLengthBytes = 4;

base::result<frame> ParseFrame(std::span<std::uint8_t const> aPayload)
{
  auto document = base::json::from_msgpack(aPayload.begin(), aPayload.end(), true, false);
  if (document.is_discarded() || !document.is_array() || document.size() != 3 ||
      !document[0].is_number_unsigned() || !document[1].is_number_unsigned()) {
    return Fail(result_code::malformed_message,
                "frame payload is not an array [version, type, fields]");
  }
  if (document[0].get<std::uint64_t>() != kProtocolVersion) {
    return Fail(result_code::unsupported_version,
                "protocol version " + document[0].dump() + " is not supported");
  }
  auto const number = document[1].get<std::uint64_t>();
  auto const type = static_cast<message_type>(number);
  if (number > UINT16_MAX || base::Name(type) == "unknown") {
    return Fail(result_code::unknown_message_type,
                "message type " + document[1].dump() + " is unknown");
  }
  return frame{ .mType = type, .mFields = std::move(document[2]) };
}

} // namespace

base::bytes EncodeFrame(message_type aType, base::json aFields)
{
  base::json document = base::json::array();
  document.push_back(kProtocolVersion);
  document.push_back(static_cast<std::uint64_t>(aType));
  document.push_back(std::move(aFields));
  base::bytes encoded(kLengthBytes);
  base::json::to_msgpack(document, encoded);
  boost::endian::store_big_u32(encoded.data(),
                               static_cast<std::uint32_t>(encoded.size() - kLengthBytes));
  return encoded;
}

void frame_decoder::Append(std::span<std::uint8_t const> aBytes)
{
  // Decoded bytes are erased here rather than in Next, so that a burst of small frames moves the
  // remaining buffer content once, not once per frame.
  mBuffer.erase(mBuffer.begin(), mBuffer.begin() + static_cast<std::ptrdiff_t>(mOffset));
  mOffset = 0;
  mBuffer.insert(mBuffer.end(), aBytes.begin(), aBytes.end());
}

base::result<std::optional<frame>> frame_decoder::Next()
{
  auto const available = mBuffer.size() - mOffset;
  if (available < kLengthBytes) {
    return std::optional<frame>{};
  }
  std::size_t const length = boost::endian::load_big_u32(mBuffer.data() + mOffset);
  if (length > kMaximumFrameBytes) {
    return Fail(result_code::message_too_large,
                "frame of " + std::to_string(length) + " bytes exceeds the size limit");
  }
  if (available < kLengthBytes + length) {
    return std::optional<frame>{};
  }
  auto const payload = std::span{ mBuffer }.subspan(mOffset + kLengthBytes, length);
  mOffset += kLengthBytes + length;
  BOOST_LEAF_AUTO(parsed, ParseFrame(payload));
  return std::optional<frame>{ std::move(parsed) };
}

} // namespace rattanpond::net
