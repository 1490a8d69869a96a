#include "requests/executor_call.h"

#include "requests/answer_check.h"

#include <algorithm>
#include <array>

namespace rattanpond::requests {

using base::result_code;

namespace {

// Headers that apply to a single connection or that the entry's HTTP server sets itself.
constexpr std::array<std::string_view, 6> kConnectionHeaders{ "connection",        "keep-alive",
                                                              "content-length",    "upgrade",
                                                              "transfer-encoding", "trailer" };

bool IsConnectionHeader(std::string const& aName)
{
  std::string lower = aName;
  std::ranges::transform(lower, lower.begin(), [](char aCharacter) {
    return aCharacter >= 'A' && aCharacter <= 'Z' ? static_cast<char>(aCharacter + ('a' - 'A'))
                                                  : aCharacter;
  });
  return std::ranges::find(kConnectionHeaders, lower) != kConnectionHeaders.end();
}

/// Without a Content-Length or a Transfer-Encoding the body ends when the connection closes, and a
/// broken connection cannot be distinguished from one that the executor closed at the end.
bool HasDelimitedBody(net::http_response const& aResponse)
{
  return aResponse.mStatus == 204 || aResponse.mStatus == 304 ||
         !aResponse.mHeaders.Value("Content-Length").empty() ||
         !aResponse.mHeaders.Value("Transfer-Encoding").empty();
}

answer MakeAnswer(outcome aOutcome, run_proof aProof, result_code aCode, std::string_view aMessage)
{
  answer made;
  made.mOutcome = aOutcome;
  made.mProof = aProof;
  made.mCode = aCode;
  made.mMessage = aMessage;
  return made;
}

answer MakeLostAnswer(repeatability aRepeatability, std::string_view aMessage)
{
  return aRepeatability == repeatability::idempotent
           ? MakeAnswer(outcome::failed_by_target, run_proof::may_have_run,
                        result_code::failed_by_target, aMessage)
           : MakeAnswer(outcome::timed_out_may_have_run, run_proof::may_have_run,
                        result_code::timed_out_may_have_run, aMessage);
}

answer FromError(repeatability aRepeatability, base::error const& aError)
{
  switch (aError.mCode) {
    case result_code::connect_failed:
    case result_code::queue_full:
      // With these codes the HTTP client guarantees that it has sent no byte of the request.
      return MakeAnswer(outcome::refused_not_run, run_proof::never_started, aError.mCode,
                        aError.mMessage);
    case result_code::timed_out:
      return MakeAnswer(outcome::timed_out_may_have_run, run_proof::may_have_run,
                        result_code::timed_out_may_have_run, "the executor did not answer in time");
    case result_code::message_too_large:
      return MakeAnswer(outcome::failed_by_target, run_proof::may_have_run,
                        result_code::message_too_large,
                        "the response of the executor is too large");
    default:
      return MakeLostAnswer(aRepeatability,
                            "the response of the executor was cut off: " + aError.mMessage);
  }
}

} // namespace

net::http_request ToExecutorRequest(dispatch const& aDispatch, std::string const& aPath,
                                    base::milliseconds aRemaining)
{
  net::http_request request{
    .mMethod = "POST", .mTarget = aPath, .mHeaders = {}, .mBody = ToText(aDispatch.mBody)
  };
  for (auto const& header : aDispatch.mHeaders) {
    request.mHeaders.Add(header.mName, header.mValue);
  }
  std::pair<std::string_view, std::string> const own[] = {
    { "X-Rattanpond-Attempt", aDispatch.mAttempt },
    { "X-Rattanpond-Workspace", aDispatch.mWorkspace },
    { "X-Rattanpond-Deadline-Ms", std::to_string(aRemaining.count()) },
  };
  for (auto const& [name, value] : own) {
    request.mHeaders.Add(std::string{ name }, value);
  }
  return request;
}

answer FromExecutorReply(repeatability aRepeatability, base::reply<net::http_response> aReply)
{
  if (!base::Succeeded(aReply)) {
    return FromError(aRepeatability, base::Error(aReply));
  }
  auto& response = std::get<0>(aReply);
  if (!HasDelimitedBody(response)) {
    return MakeLostAnswer(
      aRepeatability, "the response of the executor has neither a length nor a transfer encoding");
  }
  auto made = MakeAnswer(outcome::done, run_proof::may_have_run, result_code::ok, "");
  made.mStatus = response.mStatus;
  for (auto const& [name, value] : response.mHeaders) {
    if (!IsConnectionHeader(name)) {
      made.mHeaders.push_back({ name, value });
    }
  }
  made.mBody = ToBytes(response.mBody);
  SetBodyChecksum(made);
  return made;
}

} // namespace rattanpond::requests
