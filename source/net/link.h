#pragma once

#include "net/endpoint.h"
#include "net/frame.h"

#include <functional>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

namespace rattanpond::net {

class link;
using link_ptr = boost::intrusive_ptr<link>;

/// Called on the thread of the link. No handler is called after mOnClose.
struct link_handlers
{
  std::function<void(link_ptr const&, frame)> mOnFrame;
  std::function<void(link_ptr const&, base::error const&)> mOnClose;
};

/// A TCP connection that carries frames in both directions. Used on the thread of its Asio executor
/// only.
class link : public boost::intrusive_ref_counter<link>
{
public:
  /// The link is closed when more bytes than this are queued for a slow peer, which bounds the
  /// memory use.
  static constexpr std::size_t kMaximumBacklogBytes = 32 * 1024 * 1024;

  /// Creates a link from a connected socket and starts reading.
  static link_ptr Start(tcp::socket aSocket, link_handlers aHandlers);

  template<message T>
  void Send(T const& aMessage)
  {
    SendBytes(EncodeFrame(aMessage));
  }

  /// Sends an encoded frame; used to encode a frame once for several links.
  void SendBytes(base::bytes aFrame);

  /// Closes the link and posts a call of mOnClose with aReason.
  void Close(base::error aReason);

  bool IsOpen() const { return mIsOpen; }
  /// Returns whether all sent frames have been written to the socket.
  bool IsFlushed() const { return mWriting.empty() && mQueued.empty(); }
  std::string const& Peer() const { return mPeer; }
  std::uint64_t BytesSent() const { return mBytesSent; }
  std::uint64_t BytesReceived() const { return mBytesReceived; }
  boost::asio::any_io_executor Executor() { return mSocket.get_executor(); }

private:
  link(tcp::socket aSocket, link_handlers aHandlers);

  void Read();
  void HandleBytes(std::size_t aCount);
  void Write();

  tcp::socket mSocket;
  link_handlers mHandlers;
  std::string mPeer;
  frame_decoder mDecoder;
  base::bytes mReadBuffer;
  base::bytes mQueued;
  base::bytes mWriting;
  bool mIsOpen = true;
  std::uint64_t mBytesSent = 0;
  std::uint64_t mBytesReceived = 0;
};

} // namespace rattanpond::net
