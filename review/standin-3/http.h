#pragma once

#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <thread>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

/// A small blocking HTTP/1.1 server and client for the stand-ins of this review.
namespace standin {

using steady = std::chrono::steady_clock;

/// Milliseconds of the steady clock.
inline std::int64_t NowMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(steady::now().time_since_epoch())
    .count();
}

inline std::int64_t UnixMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

inline void SleepMs(std::int64_t aTime)
{
  std::this_thread::sleep_for(std::chrono::milliseconds{ aTime });
}

struct address
{
  std::string mIp;
  int mPort = 0;

  std::string Text() const { return mIp + ":" + std::to_string(mPort); }
};

struct request
{
  std::string mMethod;
  std::string mTarget;
  std::map<std::string, std::string> mHeaders;
  std::string mBody;

  std::string Header(std::string const& aName) const
  {
    auto const found = mHeaders.find(aName);
    return found == mHeaders.end() ? std::string{} : found->second;
  }
};

struct response
{
  int mStatus = 200;
  std::string mBody;
};

inline std::string Lower(std::string aText)
{
  for (auto& character : aText) {
    character = static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
  }
  return aText;
}

inline sockaddr_in SocketAddress(address const& aAddress)
{
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(static_cast<std::uint16_t>(aAddress.mPort));
  inet_pton(AF_INET, aAddress.mIp.c_str(), &result.sin_addr);
  return result;
}

/// Reads from a socket until the deadline. Returns false on the end, an error or the deadline.
inline bool ReadMore(int aSocket, std::string& aBuffer, std::int64_t aDeadlineMs)
{
  pollfd waiting{ .fd = aSocket, .events = POLLIN, .revents = 0 };
  auto const left = aDeadlineMs - NowMs();
  if (left <= 0 || ::poll(&waiting, 1, static_cast<int>(left)) <= 0) {
    return false;
  }
  char bytes[16384];
  auto const count = ::recv(aSocket, bytes, sizeof bytes, 0);
  if (count <= 0) {
    return false;
  }
  aBuffer.append(bytes, static_cast<std::size_t>(count));
  return true;
}

/// A message head and its body; the first line is kept as it is.
struct message
{
  std::string mFirstLine;
  std::map<std::string, std::string> mHeaders;
  std::string mBody;
};

inline std::optional<message> ReadMessage(int aSocket, std::string& aBuffer,
                                          std::int64_t aDeadlineMs)
{
  std::size_t end = 0;
  while ((end = aBuffer.find("\r\n\r\n")) == std::string::npos) {
    if (!ReadMore(aSocket, aBuffer, aDeadlineMs)) {
      return std::nullopt;
    }
  }
  message read;
  std::size_t position = aBuffer.find("\r\n");
  read.mFirstLine = aBuffer.substr(0, position);
  while (position < end) {
    auto const begin = position + 2;
    position = aBuffer.find("\r\n", begin);
    auto const line = aBuffer.substr(begin, position - begin);
    auto const colon = line.find(':');
    if (colon == std::string::npos) {
      continue;
    }
    auto const value = line.find_first_not_of(' ', colon + 1);
    read.mHeaders[Lower(line.substr(0, colon))] =
      value == std::string::npos ? std::string{} : line.substr(value);
  }
  std::size_t length = 0;
  if (auto const found = read.mHeaders.find("content-length"); found != read.mHeaders.end()) {
    length = std::stoul(found->second);
  }
  while (aBuffer.size() < end + 4 + length) {
    if (!ReadMore(aSocket, aBuffer, aDeadlineMs)) {
      return std::nullopt;
    }
  }
  read.mBody = aBuffer.substr(end + 4, length);
  aBuffer.erase(0, end + 4 + length);
  return read;
}

inline bool WriteAll(int aSocket, std::string const& aText)
{
  std::size_t sent = 0;
  while (sent < aText.size()) {
    auto const count = ::send(aSocket, aText.data() + sent, aText.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

/// Serves each connection on a thread of its own. A handler that returns nothing leaves the call
/// without an answer and closes the connection.
class server
{
public:
  using handler = std::function<std::optional<response>(request const&)>;

  server(address aAddress, handler aHandler)
    : mAddress{ std::move(aAddress) }
    , mHandler{ std::move(aHandler) }
  {
  }

  bool Start()
  {
    auto const listening = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int const on = 1;
    ::setsockopt(listening, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto const own = SocketAddress(mAddress);
    if (::bind(listening, reinterpret_cast<sockaddr const*>(&own), sizeof own) != 0 ||
        ::listen(listening, 64) != 0) {
      ::close(listening);
      return false;
    }
    mListening = listening;
    std::thread{
      [this, listening] {
        while (true) {
          auto const accepted = ::accept4(listening, nullptr, nullptr, SOCK_CLOEXEC);
          if (accepted < 0) {
            return;
          }
          std::thread{ [this, accepted] { Serve(accepted); } }.detach();
        }
      }
    }.detach();
    return true;
  }

  /// Accepts no more connections; those that stand are closed by the next call on them.
  void Stop()
  {
    if (mListening >= 0) {
      ::shutdown(mListening, SHUT_RDWR);
      ::close(mListening);
      mListening = -1;
    }
  }

private:
  void Serve(int aSocket)
  {
    int const on = 1;
    ::setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    std::string buffer;
    while (true) {
      auto const read = ReadMessage(aSocket, buffer, NowMs() + 60'000);
      if (!read) {
        break;
      }
      request call{
        .mMethod = {}, .mTarget = {}, .mHeaders = read->mHeaders, .mBody = read->mBody
      };
      auto const first = read->mFirstLine.find(' ');
      auto const second = read->mFirstLine.find(' ', first + 1);
      call.mMethod = read->mFirstLine.substr(0, first);
      call.mTarget = read->mFirstLine.substr(first + 1, second - first - 1);
      auto const answer = mHandler(call);
      if (!answer) {
        break;
      }
      if (!WriteAll(aSocket, "HTTP/1.1 " + std::to_string(answer->mStatus) +
                               " X\r\nContent-Type: application/json\r\nContent-Length: " +
                               std::to_string(answer->mBody.size()) + "\r\n\r\n" + answer->mBody)) {
        break;
      }
    }
    ::close(aSocket);
  }

  address mAddress;
  handler mHandler;
  std::atomic<int> mListening = -1;
};

/// Sends one call on a connection of its own. Returns nothing if no complete answer arrives.
inline std::optional<response> Call(address const& aTo, request const& aRequest,
                                    std::int64_t aTimeoutMs)
{
  auto const deadline = NowMs() + aTimeoutMs;
  auto const connected = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  timeval const limit{ .tv_sec = aTimeoutMs / 1000, .tv_usec = (aTimeoutMs % 1000) * 1000 };
  ::setsockopt(connected, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  auto const peer = SocketAddress(aTo);
  std::optional<response> answer;
  if (::connect(connected, reinterpret_cast<sockaddr const*>(&peer), sizeof peer) == 0) {
    auto text = aRequest.mMethod + " " + aRequest.mTarget + " HTTP/1.1\r\n";
    for (auto const& [name, value] : aRequest.mHeaders) {
      text += name + ": " + value + "\r\n";
    }
    if (!aRequest.mHeaders.contains("Host")) {
      text += "Host: " + aTo.Text() + "\r\n";
    }
    text += "Connection: close\r\nContent-Length: " + std::to_string(aRequest.mBody.size()) +
            "\r\n\r\n" + aRequest.mBody;
    std::string buffer;
    if (WriteAll(connected, text)) {
      if (auto const read = ReadMessage(connected, buffer, deadline)) {
        answer =
          response{ .mStatus = std::stoi(read->mFirstLine.substr(9, 3)), .mBody = read->mBody };
      }
    }
  }
  ::close(connected);
  return answer;
}

} // namespace standin
