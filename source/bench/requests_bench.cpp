#include "bench/bench.h"

#include "base/program.h"

namespace rattanpond::bench {

int RunRequestsBench(std::vector<std::string> const& /*aArguments*/)
{
  // FIXME: The measurement is written together with the code that it measures.
  std::cerr << "rattanpond-bench: requests is not available yet\n";
  return static_cast<int>(base::exit_code::failure);
}

} // namespace rattanpond::bench
