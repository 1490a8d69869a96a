#pragma once

#include "command_line/entry_client.h"
#include "command_line/exit_status.h"

#include <functional>
#include <ostream>
#include <string>
#include <vector>

#include <boost/program_options/variables_map.hpp>

namespace rattanpond::command_line {

enum class output_format
{
  text,
  json
};

/// Context of a running command: its arguments and options, the entries and the output streams.
class command_context
{
public:
  struct options
  {
    std::vector<std::string> mArguments;
    boost::program_options::variables_map mOptions;
    entry_client::options mEntries;
    output_format mFormat = output_format::text;
  };

  using printer = std::function<void(std::ostream&, base::json const&)>;

  command_context(options aOptions, std::ostream& aOutput, std::ostream& aErrors);

  std::string const& Argument(std::size_t aIndex) const { return mOptions.mArguments[aIndex]; }
  bool Has(std::string const& aOption) const { return mOptions.mOptions.contains(aOption); }
  template<class T>
  T Option(std::string const& aOption) const
  {
    return mOptions.mOptions[aOption].as<T>();
  }

  base::reply<net::http_response> Get(std::string aTarget) const;
  base::reply<net::http_response> Call(net::http_request aRequest, repeatable aRepeatable) const;
  /// Sends a GET request to one process instead of the entries.
  base::reply<net::http_response> CallProcess(net::tcp::endpoint aProcess,
                                              std::string aTarget) const;

  /// Prints the response, or the error if there is none, and returns the exit code.
  exit_status Report(base::reply<net::http_response> const& aReply, printer const& aPrint) const;
  exit_status ReportError(base::error const& aError) const;
  /// Prints a document that the command itself created.
  void Print(base::json const& aDocument, printer const& aPrint) const;
  std::ostream& Output() const { return mOutput; }

private:
  options mOptions;
  std::ostream& mOutput;
  std::ostream& mErrors;
};

} // namespace rattanpond::command_line
