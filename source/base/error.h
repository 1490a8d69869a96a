#pragma once

#include "base/result_code.h"

#include <boost/leaf.hpp>

#include <string>
#include <utility>
#include <variant>

namespace rattanpond::base {

/// An error code with a human-readable message.
struct error
{
  result_code mCode = result_code::internal;
  std::string mMessage;

  bool operator==(error const&) const = default;
};

/// Result of a synchronous function that may fail; propagated with BOOST_LEAF_AUTO or
/// BOOST_LEAF_CHECK.
template<class T>
using result = boost::leaf::result<T>;

/// Result of an asynchronous operation. It holds the error by value, because LEAF keeps error
/// objects in a handling scope of the current thread, which a completion that crosses threads or
/// suspension points does not have.
template<class T>
using reply = std::variant<T, error>;

/// Value type of a reply to an operation without a return value.
using done = std::monostate;

inline boost::leaf::error_id Fail(result_code aCode, std::string aMessage)
{
  return boost::leaf::new_error(error{ .mCode = aCode, .mMessage = std::move(aMessage) });
}

/// Converts an error of an asynchronous operation to a failed result.
inline boost::leaf::error_id Fail(error aError)
{
  return boost::leaf::new_error(std::move(aError));
}

template<class T>
bool Succeeded(reply<T> const& aReply)
{
  return std::holds_alternative<T>(aReply);
}

template<class T>
error const& Error(reply<T> const& aReply)
{
  return std::get<error>(aReply);
}

namespace detail {

template<class Result>
struct result_value;

template<class T>
struct result_value<result<T>>
{
  using type = T;
};

} // namespace detail

/// Calls a function that returns result<T> and returns its value or error as a reply<T>.
template<class Function>
auto Capture(Function&& aFunction)
{
  using value_type = typename detail::result_value<decltype(aFunction())>::type;
  using captured = std::conditional_t<std::is_void_v<value_type>, done, value_type>;
  return boost::leaf::try_handle_all(
    [&]() -> result<reply<captured>> {
      if constexpr (std::is_void_v<value_type>) {
        BOOST_LEAF_CHECK(aFunction());
        return reply<captured>{ done{} };
      } else {
        BOOST_LEAF_AUTO(value, aFunction());
        return reply<captured>{ std::in_place_index<0>, std::move(value) };
      }
    },
    [](error const& aError) {
      return reply<captured>{ std::in_place_index<1>, aError };
    },
    [] {
      return reply<captured>{ std::in_place_index<1>, error{ .mCode = result_code::internal,
                                                             .mMessage = "unspecified error" } };
    });
}

} // namespace rattanpond::base
