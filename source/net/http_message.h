#pragma once

#include "base/codec.h"

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace rattanpond::net {

/// Header fields in insertion order. Names are case-insensitive.
class http_headers
{
public:
  void Add(std::string aName, std::string aValue)
  {
    mFields.emplace_back(std::move(aName), std::move(aValue));
  }

  /// Replaces all fields of this name by one.
  void Set(std::string aName, std::string aValue)
  {
    std::erase_if(mFields, [&](auto const& aField) { return SameName(aField.first, aName); });
    Add(std::move(aName), std::move(aValue));
  }

  /// Returns the first value of a header field, or an empty string.
  std::string_view Value(std::string_view aName) const
  {
    for (auto const& [name, value] : mFields) {
      if (SameName(name, aName)) {
        return value;
      }
    }
    return {};
  }

  auto begin() const { return mFields.begin(); }
  auto end() const { return mFields.end(); }

private:
  static bool SameName(std::string_view aLeft, std::string_view aRight)
  {
    auto const lower = [](char aCharacter) {
      return aCharacter >= 'A' && aCharacter <= 'Z' ? static_cast<char>(aCharacter + ('a' - 'A'))
                                                    : aCharacter;
    };
    return std::ranges::equal(aLeft, aRight, {}, lower, lower);
  }

  std::vector<std::pair<std::string, std::string>> mFields;
};

struct http_request
{
  std::string mMethod = "GET";
  /// Request target of HTTP: path and query.
  std::string mTarget = "/";
  http_headers mHeaders{};
  std::string mBody{};
};

/// How much of a response is sent. After sending nothing, or the header and half of the body, the
/// server closes the connection; stand-ins use this to simulate lost and truncated responses.
enum class response_transfer
{
  complete,
  truncated,
  none
};

struct http_response
{
  unsigned mStatus = 200;
  http_headers mHeaders{};
  std::string mBody{};
  response_transfer mTransfer = response_transfer::complete;
};

/// Creates a request with a JSON body; the body is empty if aBody is null.
http_request JsonRequest(std::string aMethod, std::string aTarget, base::json const& aBody = {});

http_response JsonResponse(unsigned aStatus, base::json const& aBody);

/// Returns the HTTP status of a result code, as listed in docs/errors.md.
unsigned HttpStatus(base::result_code aCode);

/// Creates a response with the body {"code": number, "name": text, "message": text} and the HTTP
/// status of the code.
http_response ErrorResponse(base::error const& aError);

} // namespace rattanpond::net
