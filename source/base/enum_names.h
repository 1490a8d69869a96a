#pragma once

#include <optional>
#include <string_view>

namespace rattanpond::base {

/// Pairs an enumerator with its public name.
template<class Enum>
struct enum_name
{
  Enum mValue;
  std::string_view mName;
};

/// Specialized for each named enumeration with a constexpr array `kTable` of enum_name.
template<class Enum>
struct enum_names;

template<class Enum>
concept named_enum = requires
{
  enum_names<Enum>::kTable[0].mName;
};

/// Returns the name of a value, or "unknown" for a number outside the table.
template<named_enum Enum>
constexpr std::string_view Name(Enum aValue)
{
  for (auto const& entry : enum_names<Enum>::kTable) {
    if (entry.mValue == aValue) {
      return entry.mName;
    }
  }
  return "unknown";
}

template<named_enum Enum>
constexpr std::optional<Enum> ParseEnum(std::string_view aName)
{
  for (auto const& entry : enum_names<Enum>::kTable) {
    if (entry.mName == aName) {
      return entry.mValue;
    }
  }
  return std::nullopt;
}

} // namespace rattanpond::base
