#include "command_line/command.h"

#include "base/identifiers.h"
#include "base/toml_document.h"
#include "net/http_router.h"
#include "scheduling/job.h"

#include <boost/program_options/value_semantic.hpp>

namespace rattanpond::command_line {

namespace options = boost::program_options;
using base::json;

namespace {

void PrintJob(std::ostream& aOutput, json const& aDocument)
{
  aOutput << "job " << aDocument.value("id", std::string{}) << ": "
          << aDocument.value("state", std::string{ "unknown" }) << '\n';
}

std::string JobTarget(command_context const& aContext)
{
  return "/v1/jobs/" + net::PercentEncode(aContext.Argument(0));
}

/// Returns the idempotency key from the command line, or a new random one. Every entry that is
/// tried receives the same key.
std::string Key(command_context const& aContext)
{
  return aContext.Has("key") ? aContext.Option<std::string>("key") : base::RandomIdentifier();
}

exit_status RunJobSubmit(command_context& aContext)
{
  auto const loaded = base::Capture([&]() -> base::result<scheduling::job_specification> {
    BOOST_LEAF_AUTO(document, base::toml_document::Load(aContext.Argument(0),
                                                        base::result_code::invalid_declaration));
    return document.template As<scheduling::job_specification>();
  });
  if (!base::Succeeded(loaded)) {
    return aContext.ReportError(base::Error(loaded));
  }
  auto request = net::JsonRequest("POST", "/v1/jobs", base::Encode(std::get<0>(loaded)));
  request.mHeaders.Add("Idempotency-Key", Key(aContext));
  return aContext.Report(aContext.Call(std::move(request), repeatable::yes), &PrintJob);
}

exit_status RunJobStatus(command_context& aContext)
{
  return aContext.Report(aContext.Get(JobTarget(aContext)), &PrintJob);
}

exit_status RunJobCancel(command_context& aContext)
{
  // Repeatable: to cancel a cancelled job has no effect.
  net::http_request request{
    .mMethod = "DELETE", .mTarget = JobTarget(aContext), .mHeaders = {}, .mBody = {}
  };
  return aContext.Report(aContext.Call(std::move(request), repeatable::yes), &PrintJob);
}

exit_status RunJobList(command_context& aContext)
{
  std::string target = "/v1/jobs";
  if (aContext.Has("workspace")) {
    target += "?workspace=" + net::PercentEncode(aContext.Option<std::string>("workspace"));
  }
  return aContext.Report(aContext.Get(target), [](std::ostream& aOutput, json const& aDocument) {
    for (auto const& job : aDocument.value("jobs", json::array())) {
      PrintJob(aOutput, job);
    }
  });
}

exit_status RunRequestSend(command_context& aContext)
{
  if (!aContext.Has("workspace") || aContext.Has("idempotent") == aContext.Has("non-idempotent")) {
    return aContext.ReportError(
      { base::result_code::invalid_settings,
        "--workspace and one of --idempotent and --non-idempotent are required" });
  }
  net::http_request request{ .mMethod = "POST",
                             .mTarget = "/v1/services/" + net::PercentEncode(aContext.Argument(0)) +
                                        "/requests",
                             .mHeaders = {},
                             .mBody = aContext.Option<std::string>("body") };
  auto& headers = request.mHeaders;
  headers.Add("X-Rattanpond-Workspace", aContext.Option<std::string>("workspace"));
  headers.Add("X-Rattanpond-Deadline-Ms",
              std::to_string(aContext.Option<std::uint32_t>("deadline-ms")));
  headers.Add("X-Rattanpond-Urgency", aContext.Option<std::string>("urgency"));
  headers.Add("X-Rattanpond-Idempotent", aContext.Has("idempotent") ? "true" : "false");
  headers.Add("Idempotency-Key", Key(aContext));
  // Repeatable: each retry carries the same key, by which the system runs the request at most once.
  auto const reply = aContext.Call(std::move(request), repeatable::yes);
  if (!base::Succeeded(reply)) {
    return aContext.ReportError(base::Error(reply));
  }
  auto const& response = std::get<0>(reply);
  json const document{ { "status", response.mStatus },
                       { "outcome", response.mHeaders.Value("X-Rattanpond-Outcome") },
                       { "code", response.mHeaders.Value("X-Rattanpond-Code") },
                       { "body", response.mBody } };
  aContext.Print(document, [&](std::ostream& aOutput, json const&) {
    aOutput << response.mBody;
    if (!response.mBody.ends_with('\n')) {
      aOutput << '\n';
    }
  });
  return StatusOf(response);
}

exit_status RunStateDump(command_context& aContext)
{
  if (!aContext.Has("process")) {
    return aContext.Report(aContext.Get("/v1/state"), {});
  }
  auto const process =
    base::Capture([&] { return net::ParseEndpoint(aContext.Option<std::string>("process")); });
  if (!base::Succeeded(process)) {
    return aContext.ReportError(
      { base::result_code::invalid_settings, "--process: " + base::Error(process).mMessage });
  }
  return aContext.Report(aContext.CallProcess(std::get<0>(process), "/v1/state"), {});
}

void AddKey(options::options_description& aOptions)
{
  aOptions.add_options()("key", options::value<std::string>(),
                         "idempotency key; a random one by default");
}

void AddWorkspace(options::options_description& aOptions)
{
  aOptions.add_options()("workspace", options::value<std::string>(), "workspace of the caller");
}

void AddRequestOptions(options::options_description& aOptions)
{
  AddWorkspace(aOptions);
  AddKey(aOptions);
  aOptions.add_options()("body", options::value<std::string>()->default_value(""),
                         "body of the request")(
    "deadline-ms", options::value<std::uint32_t>()->default_value(10'000),
    "time after which the response is no longer useful")(
    "urgency", options::value<std::string>()->default_value("normal"), "urgent, normal or patient")(
    "idempotent", "the request may safely run more than once")("non-idempotent",
                                                               "the request must run at most once");
}

void AddProcess(options::options_description& aOptions)
{
  aOptions.add_options()("process", options::value<std::string>(),
                         "ADDRESS:PORT of the HTTP interface of any process");
}

constexpr command kCommands[] = {
  { "job submit", "FILE.toml", 1, "submit a job", &AddKey, &RunJobSubmit },
  { "job status", "ID", 1, "show a job", nullptr, &RunJobStatus },
  { "job cancel", "ID", 1, "cancel a job", nullptr, &RunJobCancel },
  { "job list", "", 0, "list jobs", &AddWorkspace, &RunJobList },
  { "request send", "SERVICE", 1, "send a request to a service", &AddRequestOptions,
    &RunRequestSend },
  { "state dump", "", 0, "print the state of a process", &AddProcess, &RunStateDump },
};

} // namespace

std::span<command const> WorkCommands()
{
  return kCommands;
}

} // namespace rattanpond::command_line
