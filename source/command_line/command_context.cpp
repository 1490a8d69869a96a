#include "command_line/command_context.h"

namespace rattanpond::command_line {

namespace {

base::json ParseBody(net::http_response const& aResponse)
{
  return base::json::parse(aResponse.mBody, nullptr, false);
}

} // namespace

command_context::command_context(options aOptions, std::ostream& aOutput, std::ostream& aErrors)
  : mOptions{ std::move(aOptions) }
  , mOutput{ aOutput }
  , mErrors{ aErrors }
{
}

base::reply<net::http_response> command_context::Get(std::string aTarget) const
{
  net::http_request request;
  request.mTarget = std::move(aTarget);
  return Call(std::move(request), repeatable::yes);
}

base::reply<net::http_response> command_context::Call(net::http_request aRequest,
                                                      repeatable aRepeatable) const
{
  return entry_client{ mOptions.mEntries }.Call(std::move(aRequest), aRepeatable);
}

base::reply<net::http_response> command_context::CallProcess(net::tcp::endpoint aProcess,
                                                             std::string aTarget) const
{
  auto options = mOptions.mEntries;
  options.mEntries = { std::move(aProcess) };
  net::http_request request;
  request.mTarget = std::move(aTarget);
  return entry_client{ std::move(options) }.Call(std::move(request), repeatable::yes);
}

exit_status command_context::Report(base::reply<net::http_response> const& aReply,
                                    printer const& aPrint) const
{
  if (!base::Succeeded(aReply)) {
    return ReportError(base::Error(aReply));
  }
  auto const& response = std::get<0>(aReply);
  auto const status = StatusOf(response);
  auto const body = ParseBody(response);
  if (status == exit_status::success || status == exit_status::not_in_force_yet) {
    Print(body, aPrint);
    return status;
  }
  if (mOptions.mFormat == output_format::json && body.is_object()) {
    mOutput << body.dump(2) << '\n';
  } else if (body.is_object()) {
    mErrors << "rattanpondctl: error " << body.value("code", 0) << " ("
            << body.value("name", std::string{ "unknown" })
            << "): " << body.value("message", std::string{}) << '\n';
  } else {
    mErrors << "rattanpondctl: unexpected response with HTTP status " << response.mStatus << '\n';
  }
  return status;
}

exit_status command_context::ReportError(base::error const& aError) const
{
  auto const code = static_cast<int>(aError.mCode);
  if (mOptions.mFormat == output_format::json) {
    base::json const document{ { "code", code },
                               { "name", base::Name(aError.mCode) },
                               { "message", aError.mMessage } };
    mOutput << document.dump(2, ' ', false, base::json::error_handler_t::replace) << '\n';
  } else {
    mErrors << "rattanpondctl: error " << code << " (" << base::Name(aError.mCode)
            << "): " << aError.mMessage << '\n';
  }
  return StatusOf(aError.mCode);
}

void command_context::Print(base::json const& aDocument, printer const& aPrint) const
{
  if (mOptions.mFormat == output_format::json || !aPrint) {
    mOutput << aDocument.dump(2, ' ', false, base::json::error_handler_t::replace) << '\n';
  } else {
    aPrint(mOutput, aDocument);
  }
}

} // namespace rattanpond::command_line
