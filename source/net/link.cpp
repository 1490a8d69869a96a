#include "net/link.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

namespace rattanpond::net {

namespace asio = boost::asio;
using base::error;
using base::result_code;

namespace {

constexpr std::size_t kReadBufferBytes = 64 * 1024;

} // namespace

link_ptr link::Start(tcp::socket aSocket, link_handlers aHandlers)
{
  link_ptr started{ new link{ std::move(aSocket), std::move(aHandlers) } };
  // The first read is posted, so that the caller can store the link before a frame is handled.
  asio::post(started->mSocket.get_executor(), [started] { started->Read(); });
  return started;
}

link::link(tcp::socket aSocket, link_handlers aHandlers)
  : mSocket{ std::move(aSocket) }
  , mHandlers{ std::move(aHandlers) }
  , mReadBuffer(kReadBufferBytes)
{
  boost::system::error_code ignored;
  mSocket.set_option(tcp::no_delay{ true }, ignored);
  auto const remote = mSocket.remote_endpoint(ignored);
  mPeer = ToString(remote);
}

void link::SendBytes(base::bytes aFrame)
{
  if (!mIsOpen) {
    return;
  }
  if (mQueued.size() + aFrame.size() > kMaximumBacklogBytes) {
    Close({ .mCode = result_code::link_closed,
            .mMessage = "write backlog exceeds the limit; the peer reads too slowly" });
    return;
  }
  if (mQueued.empty()) {
    mQueued = std::move(aFrame);
  } else {
    mQueued.insert(mQueued.end(), aFrame.begin(), aFrame.end());
  }
  if (mWriting.empty()) {
    Write();
  }
}

void link::Close(error aReason)
{
  if (!mIsOpen) {
    return;
  }
  mIsOpen = false;
  boost::system::error_code ignored;
  mSocket.close(ignored);
  asio::post(mSocket.get_executor(), [self = link_ptr{ this }, reason = std::move(aReason)] {
    // The handlers may hold references to the link. They are released here to break the cycle.
    auto const handlers = std::move(self->mHandlers);
    self->mHandlers = {};
    if (handlers.mOnClose) {
      handlers.mOnClose(self, reason);
    }
  });
}

void link::Read()
{
  if (!mIsOpen) {
    return;
  }
  mSocket.async_read_some(
    asio::buffer(mReadBuffer),
    [self = link_ptr{ this }](boost::system::error_code aFailure, std::size_t aCount) {
      if (aFailure) {
        self->Close({ .mCode = result_code::link_closed, .mMessage = aFailure.message() });
        return;
      }
      self->HandleBytes(aCount);
      self->Read();
    });
}

void link::HandleBytes(std::size_t aCount)
{
  mBytesReceived += aCount;
  mDecoder.Append(std::span{ mReadBuffer }.first(aCount));
  while (mIsOpen) {
    auto next = base::Capture([&] { return mDecoder.Next(); });
    if (!base::Succeeded(next)) {
      Close(base::Error(next));
      return;
    }
    auto& received = std::get<0>(next);
    if (!received) {
      return;
    }
    if (mHandlers.mOnFrame) {
      mHandlers.mOnFrame(link_ptr{ this }, std::move(*received));
    }
  }
}

void link::Write()
{
  // All frames that were queued during the previous write are sent with one write.
  std::swap(mWriting, mQueued);
  asio::async_write(
    mSocket, asio::buffer(mWriting),
    [self = link_ptr{ this }](boost::system::error_code aFailure, std::size_t aCount) {
      self->mBytesSent += aCount;
      self->mWriting.clear();
      if (aFailure) {
        self->Close({ .mCode = result_code::link_closed, .mMessage = aFailure.message() });
        return;
      }
      if (!self->mQueued.empty() && self->mIsOpen) {
        self->Write();
      }
    });
}

} // namespace rattanpond::net
