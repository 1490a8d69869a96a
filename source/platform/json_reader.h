#pragma once

#include "base/codec.h"

#include <string>

namespace rattanpond::platform {

/// Reads members of a JSON object that another program wrote. Unknown members are ignored; a member
/// of the wrong type, or a missing required member, makes the whole object invalid.
class json_reader
{
public:
  explicit json_reader(base::json const& aObject)
    : mObject{ aObject }
  {
    if (!aObject.is_object()) {
      Reject("value is not a JSON object");
    }
  }

  std::string Text(char const* aName) { return Read<std::string>(aName, {}); }
  std::string RequiredText(char const* aName)
  {
    Require(aName);
    return Text(aName);
  }

  std::int64_t Integer(char const* aName, std::int64_t aDefault = 0)
  {
    auto const value = Read<double>(aName, static_cast<double>(aDefault));
    if (std::abs(value) > kLargestInteger || value != std::floor(value)) {
      Reject(std::string{ aName } + " is not an integer");
      return aDefault;
    }
    return static_cast<std::int64_t>(value);
  }
  std::int64_t RequiredInteger(char const* aName)
  {
    Require(aName);
    return Integer(aName);
  }

  double Number(char const* aName, double aDefault) { return Read<double>(aName, aDefault); }
  bool Flag(char const* aName) { return Read<bool>(aName, false); }

  /// Returns a member of any type, in particular an object or array; null when absent.
  base::json const& Member(char const* aName) const
  {
    static base::json const sAbsent;
    if (!mObject.is_object()) {
      return sAbsent;
    }
    auto const found = mObject.find(aName);
    return found == mObject.end() ? sAbsent : *found;
  }

  void Reject(std::string aReason)
  {
    if (mFailure.empty()) {
      mFailure = std::move(aReason);
    }
  }
  bool IsValid() const { return mFailure.empty(); }
  std::string const& Failure() const { return mFailure; }

private:
  /// Doubles represent integers exactly up to 2^53.
  static constexpr double kLargestInteger = 9007199254740992.0;

  void Require(char const* aName)
  {
    if (Member(aName).is_null()) {
      Reject(std::string{ aName } + " is missing");
    }
  }

  template<class T>
  T Read(char const* aName, T aDefault)
  {
    auto const& member = Member(aName);
    if (member.is_null()) {
      return aDefault;
    }
    bool const matches = std::same_as<T, bool>     ? member.is_boolean()
                         : std::same_as<T, double> ? member.is_number()
                                                   : member.is_string();
    if (!matches) {
      Reject(std::string{ aName } + " has the wrong type");
      return aDefault;
    }
    return member.get<T>();
  }

  base::json const& mObject;
  std::string mFailure;
};

} // namespace rattanpond::platform
