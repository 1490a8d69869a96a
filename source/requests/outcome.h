#pragma once

#include "base/enum_names.h"
#include "base/result_code.h"

namespace rattanpond::requests {

/// How a request ended. Every caller receives exactly one of these.
enum class outcome
{
  done,
  failed_by_target,
  refused_not_run,
  cancelled,
  timed_out_not_run,
  timed_out_may_have_run
};

/// Whether an attempt may have run. never_started guarantees that the attempt was not started and
/// never will be.
enum class run_proof
{
  never_started,
  may_have_run
};

/// Whether a request may be run more than once.
enum class repeatability
{
  idempotent,
  non_idempotent
};

/// Result code of an outcome for which no more specific code is known.
constexpr base::result_code CodeOf(outcome aOutcome)
{
  switch (aOutcome) {
    case outcome::done:
      return base::result_code::ok;
    case outcome::failed_by_target:
      return base::result_code::failed_by_target;
    case outcome::refused_not_run:
      return base::result_code::refused_not_run;
    case outcome::cancelled:
      return base::result_code::cancelled;
    case outcome::timed_out_not_run:
      return base::result_code::timed_out_not_run;
    case outcome::timed_out_may_have_run:
      return base::result_code::timed_out_may_have_run;
  }
  return base::result_code::internal;
}

/// HTTP status of an outcome. Refusals are 429 when the caller sends too much (a limit is exceeded
/// or a queue is full) and 503 otherwise. For done, the caller receives the executor's status.
constexpr unsigned StatusOf(outcome aOutcome, base::result_code aCode)
{
  switch (aOutcome) {
    case outcome::done:
      return 200;
    case outcome::failed_by_target:
      return 502;
    case outcome::refused_not_run:
      return aCode == base::result_code::limit_exceeded || aCode == base::result_code::queue_full
               ? 429
               : 503;
    case outcome::cancelled:
      return 499;
    case outcome::timed_out_not_run:
    case outcome::timed_out_may_have_run:
      return 504;
  }
  return 500;
}

} // namespace rattanpond::requests

namespace rattanpond::base {

template<>
struct enum_names<requests::outcome>
{
  using type = requests::outcome;
  static constexpr enum_name<type> kTable[] = {
    { type::done, "done" },
    { type::failed_by_target, "failed_by_target" },
    { type::refused_not_run, "refused_not_run" },
    { type::cancelled, "cancelled" },
    { type::timed_out_not_run, "timed_out_not_run" },
    { type::timed_out_may_have_run, "timed_out_may_have_run" },
  };
};

template<>
struct enum_names<requests::run_proof>
{
  using type = requests::run_proof;
  static constexpr enum_name<type> kTable[] = { { type::never_started, "never_started" },
                                                { type::may_have_run, "may_have_run" } };
};

template<>
struct enum_names<requests::repeatability>
{
  using type = requests::repeatability;
  static constexpr enum_name<type> kTable[] = { { type::idempotent, "idempotent" },
                                                { type::non_idempotent, "non_idempotent" } };
};

} // namespace rattanpond::base
