#pragma once

#include <atomic>
#include <chrono>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

// Blocking HTTP/1.1 for the stand-ins of the review: one thread for each connection.

namespace review {

using steady = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;

/// Milliseconds since the start of the trial.
inline std::int64_t NowMs()
{
  static auto const sStart = steady::now();
  return std::chrono::duration_cast<milliseconds>(steady::now() - sStart).count();
}

inline void SleepMs(std::int64_t aTime)
{
  std::this_thread::sleep_for(milliseconds{ aTime });
}

struct address
{
  std::string mIp;
  std::uint16_t mPort = 0;

  std::string Text() const { return mIp + ":" + std::to_string(mPort); }

  sockaddr_in Native() const
  {
    sockaddr_in native{};
    native.sin_family = AF_INET;
    native.sin_port = htons(mPort);
    inet_pton(AF_INET, mIp.c_str(), &native.sin_addr);
    return native;
  }
};

/// Returns a port of the address that is free now, from aFrom on.
inline std::uint16_t FreePort(std::string const& aIp, std::uint16_t aFrom)
{
  for (std::uint16_t port = aFrom; port < 32000; ++port) {
    auto const probe = socket(AF_INET, SOCK_STREAM, 0);
    auto const native = address{ aIp, port }.Native();
    auto const isFree = bind(probe, reinterpret_cast<sockaddr const*>(&native), sizeof native) == 0;
    close(probe);
    if (isFree) {
      return port;
    }
  }
  throw std::runtime_error{ "no free port on " + aIp };
}

struct request
{
  std::string mMethod;
  std::string mTarget;
  /// Header names are in lower case.
  std::map<std::string, std::string> mHeaders;
  std::string mBody;
};

struct response
{
  /// 0 if there was no answer.
  int mStatus = 0;
  std::string mBody;
};

/// Reads bytes of one connection.
class byte_stream
{
public:
  explicit byte_stream(int aSocket)
    : mSocket{ aSocket }
  {
  }

  /// Returns the head of a message with its empty line, or nothing at the end of the stream.
  std::optional<std::string> Head()
  {
    while (true) {
      if (auto const end = mBytes.find("\r\n\r\n"); end != std::string::npos) {
        auto head = mBytes.substr(0, end + 2);
        mBytes.erase(0, end + 4);
        return head;
      }
      if (!Fill()) {
        return std::nullopt;
      }
    }
  }

  std::optional<std::string> Body(std::size_t aCount)
  {
    while (mBytes.size() < aCount) {
      if (!Fill()) {
        return std::nullopt;
      }
    }
    auto body = mBytes.substr(0, aCount);
    mBytes.erase(0, aCount);
    return body;
  }

private:
  bool Fill()
  {
    char buffer[16384];
    auto const count = recv(mSocket, buffer, sizeof buffer, 0);
    if (count <= 0) {
      return false;
    }
    mBytes.append(buffer, static_cast<std::size_t>(count));
    return true;
  }

  int mSocket;
  std::string mBytes;
};

inline std::map<std::string, std::string> ParseHeaders(std::string const& aHead)
{
  std::map<std::string, std::string> headers;
  auto position = aHead.find("\r\n") + 2;
  while (position < aHead.size()) {
    auto const end = aHead.find("\r\n", position);
    auto const colon = aHead.find(':', position);
    if (colon < end) {
      auto name = aHead.substr(position, colon - position);
      for (auto& character : name) {
        character = static_cast<char>(std::tolower(character));
      }
      auto const start = aHead.find_first_not_of(' ', colon + 1);
      headers[name] = aHead.substr(start, end - start);
    }
    position = end + 2;
  }
  return headers;
}

inline std::size_t BodySize(std::map<std::string, std::string> const& aHeaders)
{
  auto const found = aHeaders.find("content-length");
  return found == aHeaders.end() ? 0 : std::stoul(found->second);
}

inline bool SendAll(int aSocket, std::string const& aText)
{
  std::size_t sent = 0;
  while (sent < aText.size()) {
    auto const count = send(aSocket, aText.data() + sent, aText.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

/// Serves until the process ends. A handler that returns nothing closes the connection.
class server
{
public:
  using handler = std::function<std::optional<response>(request const&)>;

  server(std::string const& aIp, handler aHandler)
    : mHandler{ std::move(aHandler) }
  {
    mListener = socket(AF_INET, SOCK_STREAM, 0);
    mAddress = { aIp, 0 };
    auto native = mAddress.Native();
    if (bind(mListener, reinterpret_cast<sockaddr const*>(&native), sizeof native) != 0 ||
        listen(mListener, 256) != 0) {
      throw std::runtime_error{ "cannot listen on " + aIp };
    }
    socklen_t size = sizeof native;
    getsockname(mListener, reinterpret_cast<sockaddr*>(&native), &size);
    mAddress.mPort = ntohs(native.sin_port);
    std::thread{ [this] { Accept(); } }.detach();
  }

  address const& Address() const { return mAddress; }

private:
  void Accept()
  {
    while (true) {
      auto const accepted = accept(mListener, nullptr, nullptr);
      if (accepted < 0) {
        SleepMs(20);
        continue;
      }
      int const yes = 1;
      setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
      std::thread{ [this, accepted] { Serve(accepted); } }.detach();
    }
  }

  void Serve(int aSocket)
  {
    byte_stream stream{ aSocket };
    while (auto const head = stream.Head()) {
      request received;
      received.mMethod = head->substr(0, head->find(' '));
      auto const start = received.mMethod.size() + 1;
      received.mTarget = head->substr(start, head->find(' ', start) - start);
      received.mHeaders = ParseHeaders(*head);
      auto body = stream.Body(BodySize(received.mHeaders));
      if (!body) {
        break;
      }
      received.mBody = std::move(*body);
      auto const answer = mHandler(received);
      if (!answer) {
        break;
      }
      auto const text = "HTTP/1.1 " + std::to_string(answer->mStatus) +
                        " X\r\nContent-Type: application/json\r\nContent-Length: " +
                        std::to_string(answer->mBody.size()) + "\r\n\r\n" + answer->mBody;
      if (!SendAll(aSocket, text)) {
        break;
      }
    }
    close(aSocket);
  }

  handler mHandler;
  int mListener = -1;
  address mAddress;
};

/// One call on a connection of its own; status 0 without an answer within aTimeout.
inline response Call(address const& aTo, std::string const& aMethod, std::string const& aTarget,
                     std::map<std::string, std::string> const& aHeaders, std::string const& aBody,
                     std::int64_t aTimeout)
{
  auto const connection = socket(AF_INET, SOCK_STREAM, 0);
  timeval const limit{ aTimeout / 1000, (aTimeout % 1000) * 1000 };
  setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  setsockopt(connection, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  int const yes = 1;
  setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
  auto const native = aTo.Native();
  response answer;
  if (connect(connection, reinterpret_cast<sockaddr const*>(&native), sizeof native) == 0) {
    auto text = aMethod + " " + aTarget + " HTTP/1.1\r\n";
    for (auto const& [name, value] : aHeaders) {
      text += name + ": " + value + "\r\n";
    }
    text += "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
    byte_stream stream{ connection };
    if (SendAll(connection, text)) {
      if (auto const head = stream.Head()) {
        if (auto body = stream.Body(BodySize(ParseHeaders(*head)))) {
          answer.mStatus = std::stoi(head->substr(head->find(' ') + 1));
          answer.mBody = std::move(*body);
        }
      }
    }
  }
  close(connection);
  return answer;
}

} // namespace review
