#pragma once

#include <mutex>
#include <string>

#include <spdlog/sinks/base_sink.h>

namespace rattanpond::base {

/// Writes log lines to a file descriptor and never blocks on its reader. Lines that cannot be
/// written are dropped and counted; the next successful write reports the count first.
class nonblocking_sink : public spdlog::sinks::base_sink<std::mutex>
{
public:
  explicit nonblocking_sink(int aDescriptor);

protected:
  void sink_it_(spdlog::details::log_msg const& aMessage) override;
  void flush_() override {}

private:
  /// Returns false if no byte was written. After a partial write, the remainder is in mUnwritten.
  bool Write(std::string_view aText);

  int mDescriptor;
  /// Remainder of a line that was written only in part.
  std::string mUnwritten;
  std::size_t mDropped = 0;
};

} // namespace rattanpond::base
