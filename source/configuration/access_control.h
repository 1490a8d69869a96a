#pragma once

#include "base/error.h"
#include "configuration/contract.h"

#include <string>
#include <string_view>

namespace rattanpond::configuration {

/// Checks the value of Authorization headers ("Bearer <token>"). Tokens are compared in constant
/// time and are never logged.
class access_control
{
public:
  explicit access_control(std::string aOperatorToken);

  /// Fails with unauthorized.
  base::result<void> CheckOperator(std::string_view aAuthorization) const;

  /// Admits the callers of the workspace and operators. Fails with unauthorized if there is no
  /// token, and with forbidden if the token is neither the workspace's nor the operators'.
  base::result<void> CheckCaller(std::string_view aAuthorization, contract const& aContract) const;

private:
  std::string mOperatorToken;
};

} // namespace rattanpond::configuration
