#include "platform/operator_rows.h"

#include "platform/json_reader.h"

namespace rattanpond::platform {

using base::milliseconds;

namespace {

/// Returns a list, which is empty if the member is absent. A member of another type makes the
/// object invalid.
base::json const& ListOrEmpty(json_reader& aReader, char const* aName)
{
  static base::json const sEmpty = base::json::array();
  auto const& value = aReader.Member(aName);
  if (!value.is_array() && !value.is_null()) {
    aReader.Reject(std::string{ aName } + " is not a list");
  }
  return value.is_array() ? value : sEmpty;
}

/// Returns an object, or null if the member is absent. A member of another type makes the object
/// invalid.
base::json const& ObjectOrNull(json_reader& aReader, char const* aName)
{
  auto const& value = aReader.Member(aName);
  if (!value.is_object() && !value.is_null()) {
    aReader.Reject(std::string{ aName } + " is not an object");
  }
  return value;
}

/// Keeps the first failure found in nested objects.
struct nested_failure
{
  std::string mText;

  void Record(json_reader const& aReader, std::string const& aWhere)
  {
    if (!aReader.IsValid() && mText.empty()) {
      mText = aWhere + ": " + aReader.Failure();
    }
  }
};

dispatch::queue DecodeQueue(base::json const& aObject, nested_failure& aFailure)
{
  json_reader reader{ aObject };
  dispatch::queue queue{ .mName = reader.RequiredText("name"),
                         .mHost = reader.RequiredText("host"),
                         .mPrefix = reader.RequiredText("prefix"),
                         .mService = reader.Text("service") };
  queue.mPriority =
    static_cast<std::uint32_t>(std::max<std::int64_t>(0, reader.Integer("priority")));
  queue.mMaximumAttempts =
    static_cast<std::uint32_t>(std::max<std::int64_t>(1, reader.Integer("max_attempts", 1)));
  queue.mStretch = reader.Number("stretch", 1.0);
  queue.mObjective = milliseconds{ reader.Integer("target_duration_ms") };
  queue.mIsPublic = reader.Flag("public");
  auto const& advice = ObjectOrNull(reader, "advice");
  if (advice.is_object()) {
    json_reader terms{ advice };
    queue.mAdvice =
      dispatch::advice_timing{ .mQueryTime = milliseconds{ terms.Integer("decide_ms") },
                               .mQueryTimePerWorker = milliseconds{ terms.Integer("period_ms") },
                               .mTicketLifetime = milliseconds{ terms.Integer("valid_ms") } };
    aFailure.Record(terms, "advice");
  }
  aFailure.Record(reader, "route");
  return queue;
}

dispatch::workspace DecodeWorkspace(base::json const& aObject, nested_failure& aFailure)
{
  json_reader reader{ aObject };
  dispatch::workspace workspace{ .mName = reader.RequiredText("name") };
  for (auto const& key : ListOrEmpty(reader, "keys")) {
    if (key.is_string()) {
      workspace.mKeys.insert(key.get<std::string>());
    } else {
      reader.Reject("keys contains a value that is not a string");
    }
  }
  auto const& guaranteed = ObjectOrNull(reader, "guaranteed");
  if (guaranteed.is_object()) {
    json_reader resources{ guaranteed };
    workspace.mGuaranteedAccelerators = resources.Integer("gpu");
    aFailure.Record(resources, "guaranteed");
  }
  aFailure.Record(reader, "tenant");
  return workspace;
}

} // namespace

base::result<dispatch::operator_configuration> ParseConfiguration(std::string const& aText)
{
  auto const document = base::json::parse(aText, nullptr, false);
  json_reader reader{ document };
  dispatch::operator_configuration configuration;
  configuration.mVersion = static_cast<std::uint64_t>(reader.RequiredInteger("version"));
  nested_failure failure;
  if (reader.Member("routes").is_null()) {
    reader.Reject("routes is missing");
  }
  for (auto const& entry : ListOrEmpty(reader, "routes")) {
    configuration.mQueues.push_back(DecodeQueue(entry, failure));
  }
  for (auto const& entry : ListOrEmpty(reader, "tenants")) {
    configuration.mWorkspaces.push_back(DecodeWorkspace(entry, failure));
  }
  auto const& limits = ObjectOrNull(reader, "limits");
  if (limits.is_object()) {
    json_reader sizes{ limits };
    configuration.mMaximumBodyBytes = static_cast<std::size_t>(
      sizes.Integer("max_body_bytes", static_cast<std::int64_t>(configuration.mMaximumBodyBytes)));
    failure.Record(sizes, "limits");
  }
  failure.Record(reader, "configuration");
  if (!failure.mText.empty()) {
    return base::Fail(base::result_code::invalid_declaration, failure.mText);
  }
  return configuration;
}

} // namespace rattanpond::platform
