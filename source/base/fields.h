#pragma once

#include <limits>
#include <optional>
#include <string_view>
#include <tuple>

namespace rattanpond::base {

/// Inclusive bounds of a number.
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

/// Describes one member of a struct: its public name, where it is, and what values it takes.
template<class Object, class Member>
struct field
{
  std::string_view mName;
  Member Object::*mMember;
  presence mPresence = presence::optional;
  range mRange = {};
};

/// A member that keeps its default when the document leaves it out.
template<class Object, class Member>
constexpr field<Object, Member> Field(std::string_view aName, Member Object::*aMember,
                                      range aRange = {})
{
  return { aName, aMember, presence::optional, aRange };
}

/// A member that the document must give.
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
