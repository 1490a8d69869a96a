#include "configuration/access_control.h"

#include "base/identifiers.h"

namespace rattanpond::configuration {

using base::Fail;
using base::result_code;

namespace {

std::string_view Token(std::string_view aAuthorization)
{
  constexpr std::string_view kScheme = "Bearer ";
  return aAuthorization.starts_with(kScheme) ? aAuthorization.substr(kScheme.size())
                                             : std::string_view{};
}

} // namespace

access_control::access_control(std::string aOperatorToken)
  : mOperatorToken{ std::move(aOperatorToken) }
{
}

base::result<void> access_control::CheckOperator(std::string_view aAuthorization) const
{
  // An empty token in the settings rejects every caller instead of admitting every caller.
  if (mOperatorToken.empty() || !base::AreSecretsEqual(mOperatorToken, Token(aAuthorization))) {
    return Fail(result_code::unauthorized, "the operator token is required");
  }
  return {};
}

base::result<void> access_control::CheckCaller(std::string_view aAuthorization,
                                               contract const& aContract) const
{
  auto const token = Token(aAuthorization);
  if (token.empty()) {
    return Fail(result_code::unauthorized, "a bearer token is required");
  }
  auto const isOperator = !mOperatorToken.empty() && base::AreSecretsEqual(mOperatorToken, token);
  auto const hash = base::NameBasedIdentifier("caller-token", token);
  auto const isCaller =
    !aContract.mCallerTokenHash.empty() && base::AreSecretsEqual(aContract.mCallerTokenHash, hash);
  if (!isOperator && !isCaller) {
    return Fail(result_code::forbidden, "the token is not valid for this workspace");
  }
  return {};
}

} // namespace rattanpond::configuration
