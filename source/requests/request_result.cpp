#include "requests/request_result.h"

#include "requests/answer_check.h"

namespace rattanpond::requests {

request_result MakeResult(outcome aOutcome, base::result_code aCode, std::string aMessage)
{
  request_result result;
  result.mOutcome = aOutcome;
  result.mCode = aCode;
  result.mMessage = std::move(aMessage);
  return result;
}

request_result FromAnswer(answer aAnswer)
{
  return { .mOutcome = aAnswer.mOutcome,
           .mCode = aAnswer.mCode,
           .mMessage = std::move(aAnswer.mMessage),
           .mStatus = aAnswer.mStatus,
           .mHeaders = std::move(aAnswer.mHeaders),
           .mBody = std::move(aAnswer.mBody) };
}

net::http_response ToResponse(request_result aResult)
{
  net::http_response response;
  if (aResult.mOutcome == outcome::done) {
    response.mStatus = aResult.mStatus;
    for (auto& header : aResult.mHeaders) {
      response.mHeaders.Add(std::move(header.mName), std::move(header.mValue));
    }
    response.mBody = ToText(aResult.mBody);
  } else {
    response = net::ErrorResponse({ aResult.mCode, std::move(aResult.mMessage) });
    // Errors in the request itself keep the HTTP status of their code, e.g. 422 for a reused key.
    auto const isInput = static_cast<unsigned>(aResult.mCode) < 200;
    if (!isInput) {
      response.mStatus = StatusOf(aResult.mOutcome, aResult.mCode);
    }
  }
  std::pair<std::string_view, std::string> const own[] = {
    { "X-Rattanpond-Outcome", std::string{ base::Name(aResult.mOutcome) } },
    { "X-Rattanpond-Code", std::to_string(static_cast<unsigned>(aResult.mCode)) },
  };
  for (auto const& [name, value] : own) {
    response.mHeaders.Add(std::string{ name }, value);
  }
  return response;
}

} // namespace rattanpond::requests
