#include "base/nonblocking_sink.h"

#include <fcntl.h>
#include <unistd.h>

namespace rattanpond::base {

nonblocking_sink::nonblocking_sink(int aDescriptor)
  : mDescriptor{ aDescriptor }
{
  auto const flags = fcntl(aDescriptor, F_GETFL);
  if (flags >= 0) {
    fcntl(aDescriptor, F_SETFL, flags | O_NONBLOCK);
  }
}

bool nonblocking_sink::Write(std::string_view aText)
{
  auto const written = write(mDescriptor, aText.data(), aText.size());
  if (written <= 0) {
    return false;
  }
  mUnwritten = aText.substr(static_cast<std::size_t>(written));
  return true;
}

void nonblocking_sink::sink_it_(spdlog::details::log_msg const& aMessage)
{
  if (!mUnwritten.empty()) {
    auto const unwritten = std::move(mUnwritten);
    mUnwritten.clear();
    if (!Write(unwritten)) {
      mUnwritten = unwritten;
    }
  }
  if (!mUnwritten.empty()) {
    ++mDropped;
    return;
  }
  if (mDropped > 0) {
    auto const notice = "log lines dropped=" + std::to_string(mDropped) + "\n";
    if (!Write(notice) || !mUnwritten.empty()) {
      ++mDropped;
      return;
    }
    mDropped = 0;
  }
  spdlog::memory_buf_t line;
  formatter_->format(aMessage, line);
  if (!Write({ line.data(), line.size() })) {
    ++mDropped;
  }
}

} // namespace rattanpond::base
