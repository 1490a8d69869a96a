#include "requests/claim_row.h"

#include "base/identifiers.h"
#include "net/http_router.h"

#include <boost/beast/core/detail/base64.hpp>

namespace rattanpond::requests {

namespace base64 = boost::beast::detail::base64;

std::string ClaimKey(request_description const& aDescription)
{
  // Encoded, so that a workspace with a slash in its name cannot reach the rows of another one.
  return "request/" + net::PercentEncode(aDescription.mWorkspace) + "/" +
         base::NameBasedIdentifier(aDescription.mWorkspace, aDescription.mKey);
}

std::string Fingerprint(request_description const& aDescription)
{
  std::string_view const body{ reinterpret_cast<char const*>(aDescription.mBody.data()),
                               aDescription.mBody.size() };
  return base::NameBasedIdentifier("POST " + aDescription.mService, body);
}

std::optional<stored_answer> ToStored(answer const& aAnswer)
{
  if (aAnswer.mOutcome != outcome::done || aAnswer.mBody.size() > claim_row::kMaximumStoredBody) {
    return std::nullopt;
  }
  stored_answer stored{ .mStatus = aAnswer.mStatus, .mHeaders = aAnswer.mHeaders, .mBody = {} };
  stored.mBody.resize(base64::encoded_size(aAnswer.mBody.size()));
  stored.mBody.resize(
    base64::encode(stored.mBody.data(), aAnswer.mBody.data(), aAnswer.mBody.size()));
  return stored;
}

std::optional<request_result> FromStored(stored_answer const& aStored)
{
  request_result result{ .mOutcome = outcome::done,
                         .mCode = base::result_code::ok,
                         .mMessage = {},
                         .mStatus = aStored.mStatus,
                         .mHeaders = aStored.mHeaders,
                         .mBody = {} };
  result.mBody.resize(base64::decoded_size(aStored.mBody.size()));
  auto const [written, read] =
    base64::decode(result.mBody.data(), aStored.mBody.data(), aStored.mBody.size());
  // The decoder stops at the padding, which is at most 2 characters.
  if (read + 2 < aStored.mBody.size()) {
    return std::nullopt;
  }
  result.mBody.resize(written);
  return result;
}

} // namespace rattanpond::requests
