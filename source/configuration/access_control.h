#pragma once

#include "base/error.h"
#include "configuration/contract.h"

#include <string>
#include <string_view>

namespace rattanpond::configuration {

/// Checks the value of Authorization headers ("Bearer <token>"). Tokens are compared in constant
/// time and never logged.
class access_control
{
public:
  explicit access_control(std::string aOperatorToken);

  /// Fails with unauthorized.
  base::result<void> CheckOperator(std::string_view aAuthorization) const;

  /// Admits the workspace's own callers, and operators. Fails with unauthorized without a token and
  /// with forbidden for another token.
  base::result<void> CheckCaller(std::string_view aAuthorization, contract const& aContract) const;

private:
  std::string mOperatorToken;
};

} // namespace rattanpond::configuration
