#pragma once

#include <limits>
#include <optional>
#include <string_view>
#include <tuple>

namespace rattanpond::base {

/// Inclusive bounds of a numeric field.
struct range
{
  double mLow = -std::numeric_limits<double>::infinity();
  double mHigh = std::numeric_limits<double>::infinity();
};

enum class presence
{
  required,
  optional
};

/// Describes one member of a struct: its public name, pointer to member, presence and value range.
template<class Object, class Member>
struct field
{
  std::string_view mName;
  Member Object::*mMember;
  presence mPresence = presence::optional;
  range mRange = {};
};

/// Describes an optional member, which keeps its default value if the document omits it.
template<class Object, class Member>
constexpr field<Object, Member> Field(std::string_view aName, Member Object::*aMember,
                                      range aRange = {})
{
  return { aName, aMember, presence::optional, aRange };
}

/// Describes a member that the document must contain.
template<class Object, class Member>
constexpr field<Object, Member> Required(std::string_view aName, Member Object::*aMember,
                                         range aRange = {})
{
  return { aName, aMember, presence::required, aRange };
}

/// A type with a static constexpr function Fields() that returns a tuple of fields.
template<class T>
concept described = requires
{
  std::tuple_size<decltype(T::Fields())>::value;
};

template<described T, class Function>
constexpr void ForEachField(Function&& aFunction)
{
  std::apply([&](auto const&... aFields) { (aFunction(aFields), ...); }, T::Fields());
}

template<described T>
constexpr std::size_t kFieldCount = std::tuple_size_v<decltype(T::Fields())>;

} // namespace rattanpond::base
