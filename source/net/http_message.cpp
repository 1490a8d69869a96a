#include "net/http_message.h"

namespace rattanpond::net {

using base::result_code;

namespace {

struct status_entry
{
  result_code mCode;
  unsigned mStatus;
};

constexpr status_entry kStatusTable[] = {
  { result_code::ok, 200 },
  { result_code::invalid_argument, 400 },
  { result_code::malformed_message, 400 },
  { result_code::message_too_large, 413 },
  { result_code::unknown_message_type, 400 },
  { result_code::unsupported_version, 400 },
  { result_code::invalid_settings, 400 },
  { result_code::invalid_declaration, 400 },
  { result_code::missing_idempotency_key, 400 },
  { result_code::unknown_workspace, 404 },
  { result_code::unknown_service, 404 },
  { result_code::not_found, 404 },
  { result_code::duplicate_name, 409 },
  { result_code::unauthorized, 401 },
  { result_code::forbidden, 403 },
  { result_code::key_reused, 422 },
  { result_code::version_conflict, 409 },
  { result_code::guarantee_does_not_fit, 422 },
  { result_code::committed_not_in_force, 202 },
  { result_code::not_synchronized, 503 },
  { result_code::store_unavailable, 503 },
  { result_code::outcome_unknown, 504 },
  { result_code::condition_failed, 409 },
  { result_code::object_not_found, 404 },
  { result_code::runner_unavailable, 503 },
  { result_code::task_lease_lost, 409 },
  { result_code::accelerators_taken, 409 },
  { result_code::job_can_never_run, 422 },
  { result_code::no_scheduler, 503 },
  { result_code::not_scheduler, 503 },
  { result_code::failed_by_target, 502 },
  { result_code::refused_not_run, 503 },
  { result_code::cancelled, 499 },
  { result_code::timed_out_not_run, 504 },
  { result_code::timed_out_may_have_run, 504 },
  { result_code::target_draining, 503 },
  { result_code::queue_full, 429 },
  { result_code::deadline_unreachable, 503 },
  { result_code::limit_exceeded, 429 },
  { result_code::no_target, 503 },
  { result_code::answer_corrupt, 502 },
  { result_code::shutting_down, 503 },
  { result_code::timed_out, 504 },
  { result_code::link_closed, 503 },
  { result_code::connect_failed, 503 },
};

} // namespace

unsigned HttpStatus(result_code aCode)
{
  for (auto const& entry : kStatusTable) {
    if (entry.mCode == aCode) {
      return entry.mStatus;
    }
  }
  return 500;
}

namespace {

constexpr char const* kJson = "application/json";

/// Serializes a document. External text may contain invalid UTF-8, which is replaced, because
/// dump() would throw an exception by default.
std::string Serialize(base::json const& aDocument)
{
  return aDocument.dump(-1, ' ', false, base::json::error_handler_t::replace);
}

} // namespace

http_request JsonRequest(std::string aMethod, std::string aTarget, base::json const& aBody)
{
  http_request request{
    .mMethod = std::move(aMethod), .mTarget = std::move(aTarget), .mHeaders = {}, .mBody = {}
  };
  if (!aBody.is_null()) {
    request.mHeaders.Add("Content-Type", kJson);
    request.mBody = Serialize(aBody);
  }
  return request;
}

http_response JsonResponse(unsigned aStatus, base::json const& aBody)
{
  http_response response{ .mStatus = aStatus, .mHeaders = {}, .mBody = {} };
  response.mHeaders.Add("Content-Type", kJson);
  response.mBody = Serialize(aBody) + "\n";
  return response;
}

http_response ErrorResponse(base::error const& aError)
{
  return JsonResponse(HttpStatus(aError.mCode), {
                                                  { "code", static_cast<unsigned>(aError.mCode) },
                                                  { "name", base::Name(aError.mCode) },
                                                  { "message", aError.mMessage },
                                                });
}

} // namespace rattanpond::net
