#pragma once

#include "base/error.h"
#include "base/fields.h"
#include "base/time.h"

#include <nlohmann/json.hpp>

#include <cmath>
#include <concepts>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

// Encodes described structs as JSON documents and decodes them. The named layout (objects,
// enumerators by name) is used for JSON and TOML. The positional layout (arrays, enumerators by
// number) is used for the frames between the processes of the system, where field names would add
// bytes to every message.

namespace rattanpond::base {

using json = nlohmann::json;

/// Raw bytes; encoded as the msgpack binary type.
using bytes = std::vector<std::uint8_t>;

enum class layout
{
  named,
  positional
};

/// Thrown inside the decoder only; TryDecode catches it.
struct decode_failure
{
  std::string mPath;
  std::string mReason;
};

namespace detail {

template<class T>
inline constexpr bool kIsOptional = false;
template<class T>
inline constexpr bool kIsOptional<std::optional<T>> = true;
template<class T>
inline constexpr bool kIsVector = false;
template<class T>
inline constexpr bool kIsVector<std::vector<T>> = true;
template<class T>
inline constexpr bool kIsSet = false;
template<class T>
inline constexpr bool kIsSet<std::set<T>> = true;
template<class T>
inline constexpr bool kIsMap = false;
template<class T>
inline constexpr bool kIsMap<std::map<std::string, T>> = true;

template<class T>
json EncodeValue(T const& aValue, layout aLayout)
{
  if constexpr (std::same_as<T, json>) {
    return aValue;
  } else if constexpr (std::same_as<T, bytes>) {
    return json::binary(aValue);
  } else if constexpr (std::same_as<T, milliseconds>) {
    return aValue.count();
  } else if constexpr (named_enum<T>) {
    if (aLayout == layout::named) {
      return std::string{ Name(aValue) };
    }
    return static_cast<std::int64_t>(aValue);
  } else if constexpr (described<T>) {
    json document = aLayout == layout::named ? json::object() : json::array();
    ForEachField<T>([&](auto const& aField) {
      json value = EncodeValue(aValue.*aField.mMember, aLayout);
      if (aLayout == layout::positional) {
        document.push_back(std::move(value));
      } else if (!value.is_null()) {
        document[std::string{ aField.mName }] = std::move(value);
      }
    });
    return document;
  } else if constexpr (kIsOptional<T>) {
    return aValue ? EncodeValue(*aValue, aLayout) : json{};
  } else if constexpr (kIsVector<T> || kIsSet<T>) {
    json document = json::array();
    for (auto const& element : aValue) {
      document.push_back(EncodeValue(element, aLayout));
    }
    return document;
  } else if constexpr (kIsMap<T>) {
    json document = json::object();
    for (auto const& [key, element] : aValue) {
      document[key] = EncodeValue(element, aLayout);
    }
    return document;
  } else {
    return aValue;
  }
}

inline std::string JoinPath(std::string const& aPath, std::string_view aName)
{
  return aPath.empty() ? std::string{ aName } : aPath + "." + std::string{ aName };
}

[[noreturn]] inline void Reject(std::string const& aPath, std::string aReason)
{
  throw decode_failure{ aPath, std::move(aReason) };
}

template<class T>
void DecodeValue(json const& aDocument, T& aValue, layout aLayout, std::string const& aPath);

template<class T>
void DecodeNumber(json const& aDocument, T& aValue, std::string const& aPath)
{
  if constexpr (std::floating_point<T>) {
    if (!aDocument.is_number()) {
      Reject(aPath, "expected a number");
    }
    aValue = aDocument.get<T>();
    if (!std::isfinite(aValue)) {
      Reject(aPath, "expected a finite number");
    }
  } else if (aDocument.is_number_unsigned()) {
    auto const number = aDocument.get<std::uint64_t>();
    if (!std::in_range<T>(number)) {
      Reject(aPath, "number is out of range");
    }
    aValue = static_cast<T>(number);
  } else if (aDocument.is_number_integer()) {
    auto const number = aDocument.get<std::int64_t>();
    if (!std::in_range<T>(number)) {
      Reject(aPath, "number is out of range");
    }
    aValue = static_cast<T>(number);
  } else {
    Reject(aPath, "expected an integer");
  }
}

template<class Member>
void CheckRange(Member const& aValue, range const& aRange, std::string const& aPath)
{
  double number = 0;
  if constexpr (std::same_as<Member, milliseconds>) {
    number = static_cast<double>(aValue.count());
  } else if constexpr (std::is_arithmetic_v<Member> && !std::same_as<Member, bool>) {
    number = static_cast<double>(aValue);
  } else {
    return;
  }
  if (number < aRange.mLow || number > aRange.mHigh) {
    auto const text = [](double aBound) { return json(aBound).dump(); };
    Reject(aPath, "value must lie between " + text(aRange.mLow) + " and " + text(aRange.mHigh));
  }
}

template<described T>
void DecodeObject(json const& aDocument, T& aValue, std::string const& aPath)
{
  if (!aDocument.is_object()) {
    Reject(aPath, "expected a table");
  }
  std::size_t known = 0;
  ForEachField<T>([&](auto const& aField) {
    auto const path = JoinPath(aPath, aField.mName);
    auto const found = aDocument.find(std::string{ aField.mName });
    if (found == aDocument.end()) {
      if (aField.mPresence == presence::required) {
        Reject(path, "key is missing");
      }
      return;
    }
    ++known;
    DecodeValue(*found, aValue.*aField.mMember, layout::named, path);
    CheckRange(aValue.*aField.mMember, aField.mRange, path);
  });
  if (known == aDocument.size()) {
    return;
  }
  for (auto const& item : aDocument.items()) {
    bool isKnown = false;
    ForEachField<T>([&](auto const& aField) { isKnown = isKnown || aField.mName == item.key(); });
    if (!isKnown) {
      Reject(JoinPath(aPath, item.key()), "unknown key");
    }
  }
}

template<described T>
void DecodeArray(json const& aDocument, T& aValue, std::string const& aPath)
{
  if (!aDocument.is_array() || aDocument.size() != kFieldCount<T>) {
    Reject(aPath, "expected an array of " + std::to_string(kFieldCount<T>) + " fields");
  }
  std::size_t index = 0;
  ForEachField<T>([&](auto const& aField) {
    auto const path = JoinPath(aPath, aField.mName);
    DecodeValue(aDocument[index++], aValue.*aField.mMember, layout::positional, path);
    CheckRange(aValue.*aField.mMember, aField.mRange, path);
  });
}

template<class T>
void DecodeEnum(json const& aDocument, T& aValue, layout aLayout, std::string const& aPath)
{
  if (aLayout == layout::named) {
    auto const parsed =
      aDocument.is_string() ? ParseEnum<T>(aDocument.get_ref<std::string const&>()) : std::nullopt;
    if (!parsed) {
      std::string names;
      for (auto const& entry : enum_names<T>::kTable) {
        names += (names.empty() ? "" : ", ") + std::string{ entry.mName };
      }
      Reject(aPath, "expected one of: " + names);
    }
    aValue = *parsed;
    return;
  }
  std::int64_t number = 0;
  DecodeNumber(aDocument, number, aPath);
  for (auto const& entry : enum_names<T>::kTable) {
    if (static_cast<std::int64_t>(entry.mValue) == number) {
      aValue = entry.mValue;
      return;
    }
  }
  Reject(aPath, "unknown enumerator " + std::to_string(number));
}

template<class T>
void DecodeSequence(json const& aDocument, T& aValue, layout aLayout, std::string const& aPath)
{
  if (!aDocument.is_array()) {
    Reject(aPath, "expected an array");
  }
  aValue.clear();
  std::size_t index = 0;
  for (auto const& element : aDocument) {
    typename T::value_type decoded{};
    DecodeValue(element, decoded, aLayout, aPath + "[" + std::to_string(index++) + "]");
    aValue.insert(aValue.end(), std::move(decoded));
  }
}

template<class T>
void DecodeValue(json const& aDocument, T& aValue, layout aLayout, std::string const& aPath)
{
  if constexpr (std::same_as<T, json>) {
    aValue = aDocument;
  } else if constexpr (std::same_as<T, bytes>) {
    if (!aDocument.is_binary()) {
      Reject(aPath, "expected bytes");
    }
    aValue = static_cast<bytes const&>(aDocument.get_binary());
  } else if constexpr (std::same_as<T, milliseconds>) {
    std::int64_t count = 0;
    DecodeNumber(aDocument, count, aPath);
    aValue = milliseconds{ count };
  } else if constexpr (named_enum<T>) {
    DecodeEnum(aDocument, aValue, aLayout, aPath);
  } else if constexpr (described<T>) {
    if (aLayout == layout::named) {
      DecodeObject(aDocument, aValue, aPath);
    } else {
      DecodeArray(aDocument, aValue, aPath);
    }
  } else if constexpr (kIsOptional<T>) {
    if (aDocument.is_null()) {
      aValue.reset();
    } else {
      DecodeValue(aDocument, aValue.emplace(), aLayout, aPath);
    }
  } else if constexpr (kIsVector<T> || kIsSet<T>) {
    DecodeSequence(aDocument, aValue, aLayout, aPath);
  } else if constexpr (kIsMap<T>) {
    if (!aDocument.is_object()) {
      Reject(aPath, "expected a table");
    }
    aValue.clear();
    for (auto const& item : aDocument.items()) {
      DecodeValue(item.value(), aValue[item.key()], aLayout, JoinPath(aPath, item.key()));
    }
  } else if constexpr (std::same_as<T, bool>) {
    if (!aDocument.is_boolean()) {
      Reject(aPath, "expected true or false");
    }
    aValue = aDocument.get<bool>();
  } else if constexpr (std::same_as<T, std::string>) {
    if (!aDocument.is_string()) {
      Reject(aPath, "expected a string");
    }
    aValue = aDocument.get<std::string>();
  } else {
    DecodeNumber(aDocument, aValue, aPath);
  }
}

} // namespace detail

template<class T>
json Encode(T const& aValue, layout aLayout = layout::named)
{
  return detail::EncodeValue(aValue, aLayout);
}

/// Like Decode, but returns the failure with its document path, for callers that can report a
/// source position.
template<class T>
std::variant<T, decode_failure> TryDecode(json const& aDocument, layout aLayout = layout::named)
{
  try {
    T value{};
    detail::DecodeValue(aDocument, value, aLayout, "");
    return value;
  } catch (decode_failure const& failure) {
    return failure;
  }
}

/// Decodes a value. Unknown keys, missing required keys, wrong types and numbers outside their
/// range fail with aCode.
template<class T>
result<T> Decode(json const& aDocument, layout aLayout = layout::named,
                 result_code aCode = result_code::malformed_message)
{
  auto decoded = TryDecode<T>(aDocument, aLayout);
  if (auto const* const failure = std::get_if<decode_failure>(&decoded)) {
    return Fail(aCode, (failure->mPath.empty() ? "" : failure->mPath + ": ") + failure->mReason);
  }
  return std::get<T>(std::move(decoded));
}

/// Parses JSON text and decodes it. Text that is not valid JSON also fails with aCode.
template<class T>
result<T> DecodeText(std::string_view aText, result_code aCode = result_code::malformed_message)
{
  auto const document = json::parse(aText, nullptr, false);
  if (document.is_discarded()) {
    return Fail(aCode, "the text is not valid JSON");
  }
  return Decode<T>(document, layout::named, aCode);
}

} // namespace rattanpond::base
