#pragma once

#include "base/enum_names.h"

#include <cstdint>

namespace rattanpond::base {

/// Result codes of the public interface. A number is never reused for another meaning. The
/// user-facing table is docs/errors.md.
enum class result_code : std::uint16_t
{
  ok = 0,

  // Input, 1xx.
  invalid_argument = 100,
  malformed_message = 101,
  message_too_large = 102,
  unknown_message_type = 103,
  unsupported_version = 104,
  invalid_settings = 105,
  invalid_declaration = 106,
  missing_idempotency_key = 107,
  unknown_workspace = 108,
  unknown_service = 109,
  not_found = 110,
  duplicate_name = 111,
  unauthorized = 112,
  forbidden = 113,
  key_reused = 114,

  // Configuration, 2xx.
  version_conflict = 200,
  guarantee_does_not_fit = 201,
  committed_not_in_force = 202,
  not_synchronized = 203,

  // Platform, 3xx.
  store_unavailable = 300,
  outcome_unknown = 301,
  condition_failed = 302,
  object_not_found = 303,
  runner_unavailable = 304,
  task_lease_lost = 305,

  // Scheduling, 4xx.
  stale_term = 400,
  not_scheduler = 401,
  accelerators_taken = 402,
  start_gate_closed = 403,
  reservation_expired = 404,
  job_can_never_run = 405,
  gang_broken = 406,
  worker_quarantined = 407,
  no_scheduler = 408,

  // Requests, 5xx.
  failed_by_target = 500,
  refused_not_run = 501,
  cancelled = 502,
  timed_out_not_run = 503,
  timed_out_may_have_run = 504,
  target_draining = 505,
  queue_full = 506,
  deadline_unreachable = 507,
  limit_exceeded = 508,
  no_target = 509,
  answer_corrupt = 510,
  stale_incarnation = 511,
  attempt_refused = 512,

  // Transport and process, 6xx.
  link_closed = 600,
  connect_failed = 601,
  timed_out = 602,
  shutting_down = 603,
  internal = 699,
};

template<>
struct enum_names<result_code>
{
  static constexpr enum_name<result_code> kTable[] = {
    { result_code::ok, "ok" },
    { result_code::invalid_argument, "invalid_argument" },
    { result_code::malformed_message, "malformed_message" },
    { result_code::message_too_large, "message_too_large" },
    { result_code::unknown_message_type, "unknown_message_type" },
    { result_code::unsupported_version, "unsupported_version" },
    { result_code::invalid_settings, "invalid_settings" },
    { result_code::invalid_declaration, "invalid_declaration" },
    { result_code::missing_idempotency_key, "missing_idempotency_key" },
    { result_code::unknown_workspace, "unknown_workspace" },
    { result_code::unknown_service, "unknown_service" },
    { result_code::not_found, "not_found" },
    { result_code::duplicate_name, "duplicate_name" },
    { result_code::unauthorized, "unauthorized" },
    { result_code::forbidden, "forbidden" },
    { result_code::key_reused, "key_reused" },
    { result_code::version_conflict, "version_conflict" },
    { result_code::guarantee_does_not_fit, "guarantee_does_not_fit" },
    { result_code::committed_not_in_force, "committed_not_in_force" },
    { result_code::not_synchronized, "not_synchronized" },
    { result_code::store_unavailable, "store_unavailable" },
    { result_code::outcome_unknown, "outcome_unknown" },
    { result_code::condition_failed, "condition_failed" },
    { result_code::object_not_found, "object_not_found" },
    { result_code::runner_unavailable, "runner_unavailable" },
    { result_code::task_lease_lost, "task_lease_lost" },
    { result_code::stale_term, "stale_term" },
    { result_code::not_scheduler, "not_scheduler" },
    { result_code::accelerators_taken, "accelerators_taken" },
    { result_code::start_gate_closed, "start_gate_closed" },
    { result_code::reservation_expired, "reservation_expired" },
    { result_code::job_can_never_run, "job_can_never_run" },
    { result_code::gang_broken, "gang_broken" },
    { result_code::worker_quarantined, "worker_quarantined" },
    { result_code::no_scheduler, "no_scheduler" },
    { result_code::failed_by_target, "failed_by_target" },
    { result_code::refused_not_run, "refused_not_run" },
    { result_code::cancelled, "cancelled" },
    { result_code::timed_out_not_run, "timed_out_not_run" },
    { result_code::timed_out_may_have_run, "timed_out_may_have_run" },
    { result_code::target_draining, "target_draining" },
    { result_code::queue_full, "queue_full" },
    { result_code::deadline_unreachable, "deadline_unreachable" },
    { result_code::limit_exceeded, "limit_exceeded" },
    { result_code::no_target, "no_target" },
    { result_code::answer_corrupt, "answer_corrupt" },
    { result_code::stale_incarnation, "stale_incarnation" },
    { result_code::attempt_refused, "attempt_refused" },
    { result_code::link_closed, "link_closed" },
    { result_code::connect_failed, "connect_failed" },
    { result_code::timed_out, "timed_out" },
    { result_code::shutting_down, "shutting_down" },
    { result_code::internal, "internal" },
  };
};

} // namespace rattanpond::base
