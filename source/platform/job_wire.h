#pragma once

#include "base/error.h"
#include "dispatch/job.h"

#include <string>
#include <string_view>

namespace rattanpond::platform {

/// Header with the time that the caller waits for an answer, in milliseconds.
inline constexpr char const* kDeadlineHeader = "X-Deadline-Ms";
/// Header with an API key of the job's workspace.
inline constexpr char const* kKeyHeader = "Api-Key";

/// Whether aText is a job identifier as callers choose it: 16 hexadecimal digits.
bool IsJobId(std::string_view aText);

/// Decodes the body of a submission. It leaves out queue, workspace and acceptance, which the
/// calling code sets.
base::result<dispatch::job_description> ParseSubmission(std::string const& aBody);

std::string EncodeJobState(dispatch::job_phase aPhase);
std::string EncodePending(std::size_t aCount);

} // namespace rattanpond::platform
