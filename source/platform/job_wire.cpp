#include "platform/job_wire.h"

#include "platform/json_reader.h"

#include <algorithm>

namespace rattanpond::platform {

using base::milliseconds;
using dispatch::kMaximumSteps;
using dispatch::kMaximumTasks;

namespace {

constexpr std::size_t kJobIdDigits = 16;
constexpr std::int64_t kMaximumOccurrences = 1000;

std::int64_t NonNegative(json_reader& aReader, char const* aName)
{
  auto const value = aReader.Integer(aName);
  if (value < 0) {
    aReader.Reject(std::string{ aName } + " is negative");
  }
  return value;
}

dispatch::job_step DecodeStep(json_reader& aReader, std::size_t aPosition)
{
  dispatch::job_step step;
  auto const count = aReader.Integer("count", 1);
  if (count < 1 || count > kMaximumTasks) {
    aReader.Reject("count is not between 1 and 20000");
  }
  step.mCount = static_cast<std::uint32_t>(std::clamp<std::int64_t>(count, 1, kMaximumTasks));
  step.mDemand = { .mMillicores = NonNegative(aReader, "cpu"),
                   .mMemoryMebibytes = NonNegative(aReader, "mem_mb"),
                   .mAccelerators = NonNegative(aReader, "gpu") };
  step.mEstimate = milliseconds{ NonNegative(aReader, "estimate_ms") };
  auto const& after = aReader.Member("after");
  if (after.is_array()) {
    for (auto const& earlier : after) {
      if (!earlier.is_number_unsigned() || earlier.get<std::size_t>() >= aPosition) {
        aReader.Reject("after refers to a step that is not an earlier one");
        break;
      }
      step.mDependencies.push_back(earlier.get<std::uint32_t>());
    }
  } else if (!after.is_null()) {
    aReader.Reject("after has the wrong type");
  }
  step.mIsCheckpointable = aReader.Flag("checkpointable");
  step.mIsGang = aReader.Flag("gang");
  step.mIsSameRack = aReader.Flag("same_rack");
  step.mRequiredLabel = aReader.Text("required_label");
  step.mDataRack = aReader.Text("data_rack");
  step.mMaximumPerWorker = static_cast<std::uint32_t>(NonNegative(aReader, "max_per_server"));
  step.mIsSpeculative = aReader.Flag("speculative");
  step.mIsLongRunning = aReader.Flag("long_running");
  step.mMaximumMissing = static_cast<std::uint32_t>(NonNegative(aReader, "max_missing"));
  step.mImage = aReader.Text("image");
  step.mServingTarget = milliseconds{ NonNegative(aReader, "target_ms") };
  step.mIsBestEffort = aReader.Flag("fills");
  return step;
}

} // namespace

bool IsJobId(std::string_view aText)
{
  return aText.size() == kJobIdDigits && std::ranges::all_of(aText, [](char aCharacter) {
           return (aCharacter >= '0' && aCharacter <= '9') ||
                  (aCharacter >= 'a' && aCharacter <= 'f') ||
                  (aCharacter >= 'A' && aCharacter <= 'F');
         });
}

base::result<dispatch::job_description> ParseSubmission(std::string const& aBody)
{
  auto const document = base::json::parse(aBody, nullptr, false);
  json_reader reader{ document };
  dispatch::job_description job{ .mCommand = reader.Text("spec") };
  // `times` is the number of occurrences, not a list of times.
  auto const occurrences = NonNegative(reader, "times");
  if (occurrences > kMaximumOccurrences) {
    reader.Reject("times is greater than 1000");
  }
  job.mOccurrences = static_cast<std::uint32_t>(std::min(occurrences, kMaximumOccurrences));
  job.mFirstDueWallMs = reader.Integer("start_at_ms");
  job.mInterval = milliseconds{ NonNegative(reader, "interval_ms") };
  auto const& steps = reader.Member("steps");
  if (!steps.is_array() || steps.empty() || steps.size() > kMaximumSteps) {
    reader.Reject("steps is not a list of 1 to 200 steps");
  } else {
    std::int64_t tasks = 0;
    for (auto const& entry : steps) {
      json_reader step{ entry };
      job.mSteps.push_back(DecodeStep(step, job.mSteps.size()));
      tasks += job.mSteps.back().mCount;
      if (!step.IsValid()) {
        reader.Reject("step " + std::to_string(job.mSteps.size() - 1) + ": " + step.Failure());
      }
    }
    if (tasks * job.Runs() > kMaximumTasks) {
      reader.Reject("the job has more than 20000 tasks over all its occurrences");
    }
  }
  if (!reader.IsValid()) {
    return base::Fail(base::result_code::malformed_message, reader.Failure());
  }
  return job;
}

std::string EncodeJobState(dispatch::job_phase aPhase)
{
  return base::json{ { "state", std::string{ base::Name(aPhase) } } }.dump();
}

std::string EncodePending(std::size_t aCount)
{
  return base::json{ { "pending", aCount } }.dump();
}

} // namespace rattanpond::platform
