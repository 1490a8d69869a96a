#include "command_line/exit_status.h"

#include <charconv>

namespace rattanpond::command_line {

using base::result_code;

namespace {

struct status_entry
{
  result_code mCode;
  exit_status mStatus;
};

constexpr status_entry kTable[] = {
  { result_code::ok, exit_status::success },
  { result_code::invalid_settings, exit_status::usage },
  { result_code::invalid_declaration, exit_status::usage },
  { result_code::version_conflict, exit_status::version_conflict },
  { result_code::committed_not_in_force, exit_status::not_in_force_yet },
  { result_code::connect_failed, exit_status::not_reachable },
  { result_code::outcome_unknown, exit_status::outcome_unknown },
  { result_code::timed_out_may_have_run, exit_status::outcome_unknown },
  { result_code::timed_out, exit_status::outcome_unknown },
  { result_code::link_closed, exit_status::outcome_unknown },
  // A failure rather than an unknown outcome: the target may have run the request, but there will
  // certainly be no response.
  { result_code::failed_by_target, exit_status::failure },
  { result_code::cancelled, exit_status::failure },
  { result_code::answer_corrupt, exit_status::outcome_unknown },
  { result_code::internal, exit_status::outcome_unknown },
};

result_code CodeOf(net::http_response const& aResponse)
{
  auto const document = base::json::parse(aResponse.mBody, nullptr, false);
  auto number = 0;
  if (document.is_object() && document.contains("code") && document["code"].is_number()) {
    number = document["code"].get<int>();
  } else {
    auto const header = aResponse.mHeaders.Value("X-Rattanpond-Code");
    std::from_chars(header.data(), header.data() + header.size(), number);
  }
  return static_cast<result_code>(number);
}

} // namespace

exit_status StatusOf(result_code aCode)
{
  for (auto const& entry : kTable) {
    if (entry.mCode == aCode) {
      return entry.mStatus;
    }
  }
  return exit_status::refused;
}

exit_status StatusOf(net::http_response const& aResponse)
{
  if (aResponse.mStatus >= 200 && aResponse.mStatus < 300 && aResponse.mStatus != 202) {
    return exit_status::success;
  }
  auto const code = CodeOf(aResponse);
  if (aResponse.mStatus == 202) {
    // The response to an accepted job also has status 202, but not this result code.
    return code == result_code::committed_not_in_force ? exit_status::not_in_force_yet
                                                       : exit_status::success;
  }
  if (code != result_code::ok) {
    return StatusOf(code);
  }
  return aResponse.mStatus >= 500 ? exit_status::outcome_unknown : exit_status::refused;
}

} // namespace rattanpond::command_line
