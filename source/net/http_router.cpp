#include "net/http_router.h"

#include <charconv>
#include <optional>

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>

namespace rattanpond::net {

namespace asio = boost::asio;

namespace {

std::vector<std::string> Split(std::string_view aText, char aSeparator)
{
  std::vector<std::string> parts;
  boost::split(parts, aText, [=](char aCharacter) { return aCharacter == aSeparator; });
  return parts;
}

std::string PercentDecode(std::string_view aText)
{
  std::string decoded;
  for (std::size_t index = 0; index < aText.size(); ++index) {
    unsigned value = 0;
    auto const* const digits = aText.data() + index + 1;
    if (aText[index] == '%' && index + 2 < aText.size() &&
        std::from_chars(digits, digits + 2, value, 16).ptr == digits + 2) {
      decoded += static_cast<char>(value);
      index += 2;
    } else {
      decoded += aText[index];
    }
  }
  return decoded;
}

std::map<std::string, std::string> ParseQuery(std::string_view aQuery)
{
  std::map<std::string, std::string> parameters;
  for (auto const& part : Split(aQuery, '&')) {
    auto const equals = part.find('=');
    if (!part.empty()) {
      auto const value = equals == std::string::npos ? "" : part.substr(equals + 1);
      parameters[PercentDecode(part.substr(0, equals))] = PercentDecode(value);
    }
  }
  return parameters;
}

std::optional<std::map<std::string, std::string>> Match(std::vector<std::string> const& aPattern,
                                                        std::vector<std::string> const& aPath)
{
  if (aPattern.size() != aPath.size()) {
    return std::nullopt;
  }
  std::map<std::string, std::string> values;
  for (std::size_t index = 0; index < aPath.size(); ++index) {
    auto const& segment = aPattern[index];
    if (segment.size() > 2 && segment.front() == '{') {
      values[segment.substr(1, segment.size() - 2)] = PercentDecode(aPath[index]);
    } else if (segment != aPath[index]) {
      return std::nullopt;
    }
  }
  return values;
}

} // namespace

void http_router::Add(std::string aMethod, std::string_view aPattern, handler aHandler)
{
  mRoutes.push_back({ std::move(aMethod), Split(aPattern, '/'), std::move(aHandler) });
}

asio::awaitable<http_response> http_router::Handle(http_request aRequest) const
{
  auto const queryMark = aRequest.mTarget.find('?');
  auto const path = Split(std::string_view{ aRequest.mTarget }.substr(0, queryMark), '/');
  bool isKnownPath = false;
  for (auto const& candidate : mRoutes) {
    auto values = Match(candidate.mSegments, path);
    if (!values) {
      continue;
    }
    isKnownPath = true;
    if (candidate.mMethod != aRequest.mMethod) {
      continue;
    }
    routed_request routed;
    if (queryMark != std::string::npos) {
      routed.mQuery = ParseQuery(std::string_view{ aRequest.mTarget }.substr(queryMark + 1));
    }
    routed.mPath = std::move(*values);
    routed.mRequest = std::move(aRequest);
    co_return co_await candidate.mHandler(std::move(routed));
  }
  auto response = ErrorResponse({ base::result_code::not_found, "no such resource" });
  if (isKnownPath) {
    response.mStatus = 405;
  }
  co_return response;
}

std::string PercentEncode(std::string_view aText)
{
  constexpr std::string_view kHexDigits = "0123456789ABCDEF";
  constexpr std::string_view kUnreserved =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
  std::string encoded;
  for (auto const character : aText) {
    if (kUnreserved.find(character) != std::string_view::npos) {
      encoded += character;
    } else {
      auto const value = static_cast<unsigned char>(character);
      encoded += { '%', kHexDigits[value >> 4U], kHexDigits[value & 15U] };
    }
  }
  return encoded;
}

} // namespace rattanpond::net
