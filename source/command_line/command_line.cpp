#include "command_line/command_line.h"

#include "base/program.h"
#include "command_line/command.h"

#include <fstream>
#include <optional>

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>
#include <boost/program_options.hpp>

namespace rattanpond::command_line {

namespace options = boost::program_options;
using base::Fail;
using base::result_code;

namespace {

constexpr std::string_view kExitCodes =
  "\nExit codes:\n"
  "  0  success\n"
  "  1  failure\n"
  "  2  wrong usage, declaration or settings; nothing was sent\n"
  "  3  refused by the system; nothing was changed and nothing ran\n"
  "  4  version conflict: another operator changed the configuration first\n"
  "  5  no entry could be reached\n"
  "  6  committed, but not yet in force everywhere\n"
  "  7  outcome unknown: the change may be committed, or the request may have run\n";

/// A command and the arguments that follow its name.
struct invocation
{
  command mCommand;
  std::vector<std::string> mRest;
};

std::vector<command> Commands()
{
  std::vector<command> commands;
  for (auto const part : { ConfigurationCommands(), WorkCommands() }) {
    commands.insert(commands.end(), part.begin(), part.end());
  }
  return commands;
}

void PrintOverview(std::ostream& aOutput)
{
  aOutput << "Usage: rattanpondctl COMMAND [options]\n\nCommands:\n";
  for (auto const& known : Commands()) {
    aOutput << "  " << known.mName << (known.mArguments.empty() ? "" : " ") << known.mArguments
            << "\n      " << known.mSummary << '\n';
  }
  aOutput << "  version\n      print the version\n"
             "\nrattanpondctl COMMAND --help shows the options of a command.\n"
          << kExitCodes;
}

std::optional<invocation> FindCommand(std::vector<std::string> const& aArguments)
{
  auto const firstTwoWords =
    aArguments.size() > 1 ? aArguments[0] + " " + aArguments[1] : std::string{};
  for (auto const& known : Commands()) {
    if (known.mName == aArguments[0] || known.mName == firstTwoWords) {
      auto const words = known.mName == firstTwoWords ? 2 : 1;
      return invocation{ known, { aArguments.begin() + words, aArguments.end() } };
    }
  }
  return std::nullopt;
}

options::options_description DescribeOptions(command const& aCommand)
{
  options::options_description description{ "Options" };
  description.add_options()("help,h", "print this text and exit")("json",
                                                                  "print one JSON document")(
    "entry", options::value<std::vector<std::string>>(),
    "ADDRESS:PORT of an entry; repeat the option for more entries, "
    "which are tried in order (RATTANPOND_ENTRIES)")("token-file", options::value<std::string>(),
                                                     "file with the token (RATTANPOND_TOKEN)")(
    "timeout-ms", options::value<std::uint32_t>()->default_value(15'000),
    "time to wait for the response of one entry");
  if (aCommand.mAddOptions != nullptr) {
    aCommand.mAddOptions(description);
  }
  return description;
}

base::result<options::variables_map> Parse(invocation const& aInvocation,
                                           options::options_description const& aDescription,
                                           std::vector<std::string>& aPositional)
{
  options::options_description all;
  all.add(aDescription).add_options()("argument", options::value<std::vector<std::string>>());
  options::positional_options_description positional;
  positional.add("argument", -1);
  options::variables_map parsed;
  try {
    options::store(
      options::command_line_parser(aInvocation.mRest).options(all).positional(positional).run(),
      parsed);
    options::notify(parsed);
  } catch (options::error const& failure) {
    return Fail(result_code::invalid_settings, failure.what());
  }
  if (parsed.contains("argument")) {
    aPositional = parsed["argument"].as<std::vector<std::string>>();
  }
  if (!parsed.contains("help") && aPositional.size() != aInvocation.mCommand.mArgumentCount) {
    return Fail(result_code::invalid_settings,
                std::string{ aInvocation.mCommand.mName } + " takes " +
                  std::to_string(aInvocation.mCommand.mArgumentCount) + " arguments, not " +
                  std::to_string(aPositional.size()));
  }
  return parsed;
}

base::result<std::vector<net::tcp::endpoint>> Entries(options::variables_map const& aOptions,
                                                      environment const& aEnvironment)
{
  std::vector<std::string> texts;
  if (aOptions.contains("entry")) {
    texts = aOptions["entry"].as<std::vector<std::string>>();
  } else if (!aEnvironment.mEntries.empty()) {
    boost::split(texts, aEnvironment.mEntries, boost::is_any_of(","));
  }
  std::vector<net::tcp::endpoint> entries;
  for (auto const& text : texts) {
    BOOST_LEAF_AUTO(endpoint, net::ParseEndpoint(text));
    entries.push_back(endpoint);
  }
  return entries;
}

base::result<std::string> Token(options::variables_map const& aOptions,
                                environment const& aEnvironment)
{
  if (!aOptions.contains("token-file")) {
    return aEnvironment.mToken;
  }
  auto const name = aOptions["token-file"].as<std::string>();
  std::ifstream file{ name };
  std::string token;
  if (!std::getline(file, token)) {
    return Fail(result_code::invalid_settings, "token file '" + name + "' cannot be read");
  }
  boost::trim(token);
  return token;
}

base::result<command_context::options> PrepareContext(options::variables_map const& aOptions,
                                                      environment const& aEnvironment,
                                                      std::vector<std::string> aPositional)
{
  command_context::options prepared;
  BOOST_LEAF_ASSIGN(prepared.mEntries.mEntries, Entries(aOptions, aEnvironment));
  BOOST_LEAF_ASSIGN(prepared.mEntries.mToken, Token(aOptions, aEnvironment));
  prepared.mEntries.mTimeout = base::milliseconds{ aOptions["timeout-ms"].as<std::uint32_t>() };
  if (prepared.mEntries.mEntries.empty() && !aOptions.contains("process")) {
    return Fail(result_code::invalid_settings,
                "no entry is specified: use --entry or RATTANPOND_ENTRIES");
  }
  prepared.mArguments = std::move(aPositional);
  prepared.mOptions = aOptions;
  prepared.mFormat = aOptions.contains("json") ? output_format::json : output_format::text;
  return prepared;
}

int ReportUsage(base::error const& aError, std::ostream& aErrors)
{
  aErrors << "rattanpondctl: " << aError.mMessage << '\n';
  return static_cast<int>(exit_status::usage);
}

int Execute(invocation const& aInvocation, environment const& aEnvironment, std::ostream& aOutput,
            std::ostream& aErrors)
{
  auto const description = DescribeOptions(aInvocation.mCommand);
  std::vector<std::string> positional;
  auto const parsed = base::Capture([&] { return Parse(aInvocation, description, positional); });
  if (!base::Succeeded(parsed)) {
    return ReportUsage(base::Error(parsed), aErrors);
  }
  if (std::get<0>(parsed).contains("help")) {
    aOutput << "Usage: rattanpondctl " << aInvocation.mCommand.mName << ' '
            << aInvocation.mCommand.mArguments << " [options]\n\n"
            << aInvocation.mCommand.mSummary << "\n\n"
            << description << kExitCodes;
    return static_cast<int>(exit_status::success);
  }
  auto prepared = base::Capture(
    [&] { return PrepareContext(std::get<0>(parsed), aEnvironment, std::move(positional)); });
  if (!base::Succeeded(prepared)) {
    return ReportUsage(base::Error(prepared), aErrors);
  }
  command_context context{ std::get<0>(std::move(prepared)), aOutput, aErrors };
  return static_cast<int>(aInvocation.mCommand.mRun(context));
}

} // namespace

int RunCommandLine(std::vector<std::string> const& aArguments, environment const& aEnvironment,
                   std::ostream& aOutput, std::ostream& aErrors)
{
  if (aArguments.empty()) {
    PrintOverview(aErrors);
    return static_cast<int>(exit_status::usage);
  }
  auto const& first = aArguments.front();
  if (first == "--help" || first == "-h") {
    PrintOverview(aOutput);
    return static_cast<int>(exit_status::success);
  }
  if (first == "version" || first == "--version") {
    if (std::ranges::find(aArguments, "--json") != aArguments.end()) {
      aOutput << base::json{ { "version", base::kVersion } }.dump(2) << '\n';
    } else {
      aOutput << "rattanpondctl " << base::kVersion << '\n';
    }
    return static_cast<int>(exit_status::success);
  }
  auto const found = FindCommand(aArguments);
  if (!found) {
    return ReportUsage({ result_code::invalid_settings,
                         "unknown command '" + first + "'; see rattanpondctl --help" },
                       aErrors);
  }
  return Execute(*found, aEnvironment, aOutput, aErrors);
}

} // namespace rattanpond::command_line
