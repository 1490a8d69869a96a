#pragma once

#include <mutex>
#include <string>

#include <spdlog/sinks/base_sink.h>

namespace rattanpond::base {

/// Writes log lines to a descriptor and never waits for its reader: lines that find no room are
/// dropped and counted, and the next line that fits says how many.
class nonblocking_sink : public spdlog::sinks::base_sink<std::mutex>
{
public:
  explicit nonblocking_sink(int aDescriptor);

protected:
  void sink_it_(spdlog::details::log_msg const& aMessage) override;
  void flush_() override {}

private:
  /// Returns false if the text was not taken at all.
  bool Write(std::string_view aText);

  int mDescriptor;
  /// Rest of a line of which only a part was taken.
  std::string mRest;
  std::size_t mDropped = 0;
};

} // namespace rattanpond::base
