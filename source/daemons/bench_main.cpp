#include "base/program.h"
#include "bench/bench.h"

namespace rattanpond {

namespace {

struct measurement
{
  std::string_view mName;
  int (*mRun)(std::vector<std::string> const&);
  std::string_view mSummary;
};

constexpr measurement kMeasurements[] = {
  { "policy", &bench::RunPolicyBench, "placement policies against a table of arrivals" },
  { "requests", &bench::RunRequestsBench, "request policies against a table of arrivals" },
  { "path", &bench::RunPathBench, "a real entry and agent on loopback against a bare echo" },
};

int PrintUsage(std::ostream& aOutput, base::exit_code aCode)
{
  aOutput << "Usage: rattanpond-bench MEASUREMENT [options]\n\nMeasurements:\n";
  for (auto const& entry : kMeasurements) {
    aOutput << "  " << entry.mName << "  " << entry.mSummary << '\n';
  }
  return static_cast<int>(aCode);
}

int Run(std::vector<std::string> aArguments)
{
  if (aArguments.empty()) {
    return PrintUsage(std::cerr, base::exit_code::invalid_settings);
  }
  auto const name = aArguments.front();
  if (name == "--help" || name == "-h") {
    return PrintUsage(std::cout, base::exit_code::success);
  }
  if (name == "--version") {
    std::cout << "rattanpond-bench " << base::kVersion << '\n';
    return 0;
  }
  for (auto const& entry : kMeasurements) {
    if (entry.mName == name) {
      aArguments.erase(aArguments.begin());
      return entry.mRun(aArguments);
    }
  }
  return PrintUsage(std::cerr, base::exit_code::invalid_settings);
}

} // namespace

} // namespace rattanpond

int main(int aCount, char** aArguments)
{
  return rattanpond::Run({ aArguments + 1, aArguments + aCount });
}
