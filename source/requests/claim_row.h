#pragma once

#include "requests/messages.h"
#include "requests/request_description.h"
#include "requests/request_result.h"

#include <optional>
#include <string>

namespace rattanpond::requests {

enum class claim_state
{
  /// Only the row's target and incarnation may run the request, and only as the row's attempt.
  claimed,
  /// The request has provably not run; the key may be claimed again.
  not_run,
  finished
};

} // namespace rattanpond::requests

template<>
struct rattanpond::base::enum_names<rattanpond::requests::claim_state>
{
  using type = rattanpond::requests::claim_state;
  static constexpr enum_name<type> kTable[] = { { type::claimed, "claimed" },
                                                { type::not_run, "not_run" },
                                                { type::finished, "finished" } };
};

namespace rattanpond::requests {

/// An answer as stored in a claim row. Rows are JSON, so the body is base64-encoded.
struct stored_answer
{
  std::uint32_t mStatus = 0;
  std::vector<header_field> mHeaders;
  std::string mBody;

  static constexpr auto Fields()
  {
    return std::make_tuple(base::Required("status", &stored_answer::mStatus),
                           base::Required("headers", &stored_answer::mHeaders),
                           base::Required("body", &stored_answer::mBody));
  }
};

/// The row request/<workspace>/<key hash>.
struct claim_row
{
  static constexpr std::size_t kMaximumStoredBody = 16 * 1024;

  claim_state mState = claim_state::claimed;
  std::string mAttempt;
  std::string mTarget;
  std::string mIncarnation;
  /// Lower bound of the agent's clock at the time of the claim.
  base::milliseconds mAgentClock{ 0 };
  /// Hash of service and body; detects a key that is reused for another request.
  std::string mFingerprint;
  std::int64_t mWrittenAt = 0;
  std::optional<stored_answer> mAnswer;

  static constexpr auto Fields()
  {
    return std::make_tuple(base::Required("state", &claim_row::mState),
                           base::Required("attempt", &claim_row::mAttempt),
                           base::Required("target", &claim_row::mTarget),
                           base::Required("incarnation", &claim_row::mIncarnation),
                           base::Required("agent_clock_ms", &claim_row::mAgentClock),
                           base::Required("fingerprint", &claim_row::mFingerprint),
                           base::Required("written_at_ms", &claim_row::mWrittenAt),
                           base::Field("answer", &claim_row::mAnswer));
  }
};

std::string ClaimKey(request_description const& aDescription);
std::string Fingerprint(request_description const& aDescription);

/// Returns nothing if the outcome is not done or the body exceeds kMaximumStoredBody.
std::optional<stored_answer> ToStored(answer const& aAnswer);
std::optional<request_result> FromStored(stored_answer const& aStored);

} // namespace rattanpond::requests
