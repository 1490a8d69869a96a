#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace rattanpond::base {

/// Returns a version 4 UUID, which is unique across processes and incarnations.
std::string RandomIdentifier();

/// Returns the SHA-1 name-based UUID of a name within a scope. Equal inputs give equal results in
/// every process.
std::string NameBasedIdentifier(std::string_view aScope, std::string_view aName);

/// Returns the CRC-32C (Castagnoli) checksum of a block of bytes.
std::uint32_t Crc32c(void const* aData, std::size_t aSize);

/// Compares secrets in a time that depends on the length of aExpected only, so that the time does
/// not reveal how many bytes match.
bool AreSecretsEqual(std::string_view aExpected, std::string_view aGiven);

} // namespace rattanpond::base
