#include "requests/request_description.h"

#include "requests/answer_check.h"

#include <array>
#include <charconv>

namespace rattanpond::requests {

using base::Fail;
using base::result_code;

namespace {

constexpr std::int64_t kMaximumTimeoutMilliseconds = 600'000;
constexpr std::size_t kMaximumKeyBytes = 256;

// Other headers concern the connection or, like Authorization, the entry, and are not forwarded.
constexpr std::array<char const*, 6> kForwardedHeaders{ "Content-Type",    "Content-Encoding",
                                                        "Accept",          "Accept-Language",
                                                        "Idempotency-Key", "Traceparent" };

base::result<void> ReadDeadline(std::string_view aText, request_description& aDescription)
{
  if (aText.empty()) {
    return {};
  }
  std::int64_t value = 0;
  auto const [end, failure] = std::from_chars(aText.data(), aText.data() + aText.size(), value);
  if (failure != std::errc{} || end != aText.data() + aText.size() || value < 1 ||
      value > kMaximumTimeoutMilliseconds) {
    return Fail(result_code::invalid_argument,
                "X-Rattanpond-Deadline-Ms must be a number from 1 to " +
                  std::to_string(kMaximumTimeoutMilliseconds));
  }
  aDescription.mTimeout = base::milliseconds{ value };
  return {};
}

base::result<void> ReadUrgency(std::string_view aText, request_description& aDescription)
{
  if (aText.empty()) {
    return {};
  }
  auto const parsed = base::ParseEnum<configuration::urgency>(aText);
  if (!parsed) {
    return Fail(result_code::invalid_argument,
                "X-Rattanpond-Urgency must be urgent, normal or patient");
  }
  aDescription.mUrgency = *parsed;
  return {};
}

base::result<void> ReadRepeatability(std::string_view aText, request_description& aDescription)
{
  if (aText == "true") {
    aDescription.mRepeatability = repeatability::idempotent;
  } else if (!aText.empty() && aText != "false") {
    return Fail(result_code::invalid_argument, "X-Rattanpond-Idempotent must be true or false");
  }
  if (aDescription.mKey.size() > kMaximumKeyBytes) {
    return Fail(result_code::invalid_argument, "Idempotency-Key is longer than 256 bytes");
  }
  if (aDescription.mRepeatability == repeatability::non_idempotent && aDescription.mKey.empty()) {
    return Fail(result_code::missing_idempotency_key,
                "a non-idempotent request requires an Idempotency-Key header");
  }
  return {};
}

} // namespace

base::result<request_description> ParseRequest(net::routed_request aRequest,
                                               configuration::urgency aContractUrgency)
{
  auto const& headers = aRequest.mRequest.mHeaders;
  request_description description;
  description.mWorkspace = headers.Value("X-Rattanpond-Workspace");
  description.mService = aRequest.mPath["service"];
  description.mKey = headers.Value("Idempotency-Key");
  description.mUrgency = aContractUrgency;
  BOOST_LEAF_CHECK(ReadDeadline(headers.Value("X-Rattanpond-Deadline-Ms"), description));
  BOOST_LEAF_CHECK(ReadUrgency(headers.Value("X-Rattanpond-Urgency"), description));
  BOOST_LEAF_CHECK(ReadRepeatability(headers.Value("X-Rattanpond-Idempotent"), description));
  for (auto const* const name : kForwardedHeaders) {
    auto const value = headers.Value(name);
    if (!value.empty()) {
      description.mHeaders.push_back({ name, std::string{ value } });
    }
  }
  description.mBody = ToBytes(aRequest.mRequest.mBody);
  return description;
}

} // namespace rattanpond::requests
