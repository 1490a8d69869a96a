#pragma once

#include "requests/messages.h"

#include <string_view>

namespace rattanpond::requests {

/// Sets the length and the checksum fields from the body.
void SetBodyChecksum(answer& aAnswer);

/// Whether the body matches the length and the checksum of the answer.
bool IsIntact(answer const& aAnswer);

base::bytes ToBytes(std::string_view aText);
std::string ToText(base::bytes const& aBytes);

} // namespace rattanpond::requests
