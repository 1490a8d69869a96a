#pragma once

#include "requests/messages.h"

#include <string_view>

namespace rattanpond::requests {

/// Fills in length and checksum of the body.
void Seal(answer& aAnswer);

/// Tells whether the body is the one that was sealed.
bool IsIntact(answer const& aAnswer);

base::bytes ToBytes(std::string_view aText);
std::string ToText(base::bytes const& aBytes);

} // namespace rattanpond::requests
