#include "base/identifiers.h"

#include <boost/crc.hpp>
#include <boost/uuid/name_generator_sha1.hpp>
#include <boost/uuid/random_generator.hpp>
#include <boost/uuid/uuid_io.hpp>

namespace rattanpond::base {

std::string RandomIdentifier()
{
  thread_local boost::uuids::random_generator generator;
  return boost::uuids::to_string(generator());
}

std::string NameBasedIdentifier(std::string_view aScope, std::string_view aName)
{
  // The length prefix makes the input unambiguous: ("ab", "c") and ("a", "bc") differ.
  auto const text =
    std::to_string(aScope.size()) + ":" + std::string{ aScope } + std::string{ aName };
  boost::uuids::name_generator_sha1 generator{ boost::uuids::ns::oid() };
  return boost::uuids::to_string(generator(text));
}

std::uint32_t Crc32c(void const* aData, std::size_t aSize)
{
  boost::crc_optimal<32, 0x1EDC6F41, 0xFFFFFFFF, 0xFFFFFFFF, true, true> crc;
  crc.process_bytes(aData, aSize);
  return crc.checksum();
}

bool AreSecretsEqual(std::string_view aExpected, std::string_view aGiven)
{
  unsigned difference = aExpected.size() == aGiven.size() ? 0U : 1U;
  for (std::size_t index = 0; index < aExpected.size(); ++index) {
    auto const given =
      aGiven.empty() ? 0U : static_cast<unsigned char>(aGiven[index % aGiven.size()]);
    difference |= static_cast<unsigned char>(aExpected[index]) ^ given;
  }
  return difference == 0;
}

} // namespace rattanpond::base
