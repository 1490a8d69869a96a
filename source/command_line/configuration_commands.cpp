#include "command_line/command.h"

#include "configuration/change_plan.h"
#include "net/http_router.h"

#include <boost/program_options/value_semantic.hpp>

namespace rattanpond::command_line {

namespace options = boost::program_options;
using base::json;

namespace {

net::http_request Post(std::string aTarget, json const& aBody)
{
  return net::JsonRequest("POST", std::move(aTarget), aBody);
}

/// Sends a GET request and decodes a successful response. Prints any other result and returns its
/// exit code.
template<class T>
std::variant<T, exit_status> Fetch(command_context& aContext, std::string aTarget)
{
  auto const reply = aContext.Get(std::move(aTarget));
  if (!base::Succeeded(reply) || StatusOf(std::get<0>(reply)) != exit_status::success) {
    return aContext.Report(reply, {});
  }
  auto decoded = base::Capture([&] { return base::DecodeText<T>(std::get<0>(reply).mBody); });
  if (!base::Succeeded(decoded)) {
    aContext.ReportError(base::Error(decoded));
    return exit_status::failure;
  }
  return std::get<0>(std::move(decoded));
}

std::variant<configuration::change_plan, exit_status> MakePlan(command_context& aContext)
{
  auto const declared =
    base::Capture([&] { return configuration::LoadDeclarations(aContext.Argument(0)); });
  if (!base::Succeeded(declared)) {
    return aContext.ReportError(base::Error(declared));
  }
  auto const fetched = Fetch<configuration::configuration_snapshot>(aContext, "/v1/configuration");
  if (auto const* const status = std::get_if<exit_status>(&fetched)) {
    return *status;
  }
  return configuration::Plan(std::get<0>(declared), std::get<0>(fetched));
}

void PrintOutcome(std::ostream& aOutput, json const& aDocument)
{
  aOutput << "version " << aDocument.value("version", std::uint64_t{ 0 }) << ": "
          << aDocument.value("result", std::string{ "unknown" }) << '\n';
}

exit_status RunPlan(command_context& aContext)
{
  auto const plan = MakePlan(aContext);
  if (auto const* const status = std::get_if<exit_status>(&plan)) {
    return *status;
  }
  auto const& changes = std::get<0>(plan);
  aContext.Print(ToJson(changes),
                 [&](std::ostream& aOutput, json const&) { aOutput << ToText(changes); });
  return exit_status::success;
}

exit_status RunApply(command_context& aContext)
{
  auto const plan = MakePlan(aContext);
  if (auto const* const status = std::get_if<exit_status>(&plan)) {
    return *status;
  }
  auto const& changes = std::get<0>(plan);
  if (changes.mBatch.IsEmpty()) {
    json const document{ { "version", changes.mBaseVersion }, { "result", "no change" } };
    aContext.Print(document, &PrintOutcome);
    return exit_status::success;
  }
  // Not repeatable: a retry at another entry would be refused as a conflict with the change that
  // the first attempt committed.
  auto const reply =
    aContext.Call(Post("/v1/configuration", base::Encode(changes.mBatch)), repeatable::no);
  return aContext.Report(reply, [&](std::ostream& aOutput, json const& aDocument) {
    aOutput << ToText(changes);
    PrintOutcome(aOutput, aDocument);
  });
}

exit_status RunContractList(command_context& aContext)
{
  return aContext.Report(
    aContext.Get("/v1/contracts"), [](std::ostream& aOutput, json const& aDocument) {
      for (auto const& contract : aDocument.value("contracts", json::array())) {
        std::uint64_t guaranteed = 0;
        for (auto const& shape : contract.value("guarantee", json::array())) {
          guaranteed += shape.value("accelerators", std::uint64_t{ 0 });
        }
        aOutput << contract.value("workspace", std::string{}) << ": " << guaranteed
                << " accelerators guaranteed, quota "
                << contract.value("accelerator_quota", std::uint64_t{ 0 }) << ", share "
                << contract.value("share", 1.0) << '\n';
      }
    });
}

exit_status RunContractShow(command_context& aContext)
{
  return aContext.Report(aContext.Get("/v1/contracts/" + net::PercentEncode(aContext.Argument(0))),
                         {});
}

exit_status RunDomainList(command_context& aContext)
{
  return aContext.Report(aContext.Get("/v1/domains"),
                         [](std::ostream& aOutput, json const& aDocument) {
                           for (auto const& domain : aDocument.value("domains", json::array())) {
                             aOutput << domain.value("domain", std::string{}) << ": "
                                     << domain.value("state", std::string{}) << '\n';
                           }
                         });
}

exit_status ChangeDomain(command_context& aContext, configuration::domain_state aState)
{
  auto const fetched = Fetch<configuration::configuration_snapshot>(aContext, "/v1/configuration");
  if (auto const* const status = std::get_if<exit_status>(&fetched)) {
    return *status;
  }
  json body{ { "state", base::Name(aState) }, { "base_version", std::get<0>(fetched).mVersion } };
  if (aContext.Has("notice-ms")) {
    body["notice_ms"] = aContext.Option<std::int64_t>("notice-ms");
  }
  auto const target = "/v1/domains/" + net::PercentEncode(aContext.Argument(0));
  return aContext.Report(aContext.Call(Post(target, body), repeatable::no), &PrintOutcome);
}

exit_status RunDomainOut(command_context& aContext)
{
  return ChangeDomain(aContext, configuration::domain_state::out_of_service);
}

exit_status RunDomainReturn(command_context& aContext)
{
  return ChangeDomain(aContext, configuration::domain_state::in_service);
}

void AddNotice(options::options_description& aOptions)
{
  aOptions.add_options()("notice-ms", options::value<std::int64_t>(),
                         "time in which running tasks can checkpoint before they are stopped");
}

constexpr command kCommands[] = {
  { "plan", "DIR", 1, "show what apply would change", nullptr, &RunPlan },
  { "apply", "DIR", 1, "make the configuration equal to the declarations", nullptr, &RunApply },
  { "contract list", "", 0, "list the contracts", nullptr, &RunContractList },
  { "contract show", "NAME", 1, "print one contract", nullptr, &RunContractShow },
  { "domain list", "", 0, "list the failure domains that were ever set", nullptr, &RunDomainList },
  { "domain out", "NAME", 1, "take a failure domain out of service", &AddNotice, &RunDomainOut },
  { "domain return", "NAME", 1, "return a failure domain to service", &AddNotice,
    &RunDomainReturn },
};

} // namespace

std::span<command const> ConfigurationCommands()
{
  return kCommands;
}

} // namespace rattanpond::command_line
