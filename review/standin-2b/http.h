#pragma once

// A minimal blocking HTTP/1.1 server and client for the stand-ins. One thread serves one
// connection.

#include <algorithm>
#include <atomic>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

using milliseconds = std::chrono::milliseconds;

/// Real elapsed time in milliseconds.
inline std::int64_t NowMs()
{
  return std::chrono::duration_cast<milliseconds>(
           std::chrono::steady_clock::now().time_since_epoch())
    .count();
}

inline void SleepMs(std::int64_t aTime)
{
  std::this_thread::sleep_for(milliseconds{ std::max<std::int64_t>(0, aTime) });
}

struct request
{
  std::string mMethod;
  std::string mTarget;
  std::map<std::string, std::string> mHeaders;
  std::string mBody;
};

struct response
{
  int mStatus = 200;
  std::string mBody;
  /// The connection is kept open and nothing is sent on it any more.
  bool mIsLost = false;
};

inline sockaddr_in Address(std::string const& aIp, std::uint16_t aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  if (inet_pton(AF_INET, aIp.c_str(), &address.sin_addr) != 1) {
    throw std::runtime_error("not an address: " + aIp);
  }
  return address;
}

/// Reads one message (its first line, headers and body) from a socket.
class message_reader
{
public:
  explicit message_reader(int aSocket)
    : mSocket{ aSocket }
  {
  }

  bool Read(std::string& aFirstLine, std::map<std::string, std::string>& aHeaders,
            std::string& aBody, std::int64_t aDeadlineMs)
  {
    std::size_t end = std::string::npos;
    while ((end = mBuffer.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(aDeadlineMs)) {
        return false;
      }
    }
    auto const head = mBuffer.substr(0, end);
    mBuffer.erase(0, end + 4);
    std::size_t position = head.find("\r\n");
    aFirstLine = head.substr(0, position);
    while (position != std::string::npos) {
      auto const start = position + 2;
      position = head.find("\r\n", start);
      auto const line = head.substr(start, position - start);
      auto const colon = line.find(':');
      if (colon == std::string::npos) {
        continue;
      }
      auto name = line.substr(0, colon);
      std::ranges::transform(name, name.begin(),
                             [](unsigned char aCharacter) { return std::tolower(aCharacter); });
      auto const value = line.find_first_not_of(' ', colon + 1);
      aHeaders[name] = value == std::string::npos ? "" : line.substr(value);
    }
    std::size_t length = 0;
    if (auto const found = aHeaders.find("content-length"); found != aHeaders.end()) {
      length = std::stoul(found->second);
    }
    while (mBuffer.size() < length) {
      if (!Fill(aDeadlineMs)) {
        return false;
      }
    }
    aBody = mBuffer.substr(0, length);
    mBuffer.erase(0, length);
    return true;
  }

private:
  bool Fill(std::int64_t aDeadlineMs)
  {
    pollfd waiting{ mSocket, POLLIN, 0 };
    auto const left = aDeadlineMs < 0 ? -1 : std::max<std::int64_t>(0, aDeadlineMs - NowMs());
    if (poll(&waiting, 1, static_cast<int>(left)) <= 0) {
      return false;
    }
    char bytes[16384];
    auto const count = recv(mSocket, bytes, sizeof bytes, 0);
    if (count <= 0) {
      return false;
    }
    mBuffer.append(bytes, static_cast<std::size_t>(count));
    return true;
  }

  int mSocket;
  std::string mBuffer;
};

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

/// Serves requests until it is closed. Close ends all connections at once, as the end of a process
/// does.
class server
{
public:
  using handler = std::function<response(request const&)>;

  server(std::string const& aIp, std::uint16_t aPort, handler aHandler)
    : mState{ std::make_shared<state>() }
  {
    mState->mHandler = std::move(aHandler);
    mState->mListener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int const on = 1;
    setsockopt(mState->mListener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto const address = Address(aIp, aPort);
    if (bind(mState->mListener, reinterpret_cast<sockaddr const*>(&address), sizeof address) != 0 ||
        listen(mState->mListener, 128) != 0) {
      throw std::runtime_error("cannot listen on " + aIp + ":" + std::to_string(aPort) + ": " +
                               std::strerror(errno));
    }
    std::thread([state = mState] { Accept(state); }).detach();
  }

  /// Closes the server and waits until no request is being handled.
  ~server()
  {
    Close();
    std::unique_lock lock{ mState->mMutex };
    mState->mEnded.wait(lock, [&] { return mState->mOpen.empty(); });
  }

  void Close()
  {
    std::lock_guard const lock{ mState->mMutex };
    if (mState->mIsClosed) {
      return;
    }
    mState->mIsClosed = true;
    shutdown(mState->mListener, SHUT_RDWR);
    for (auto const open : mState->mOpen) {
      linger const reset{ 1, 0 };
      setsockopt(open, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
      shutdown(open, SHUT_RDWR);
    }
  }

private:
  struct state
  {
    handler mHandler;
    int mListener = -1;
    std::mutex mMutex;
    std::condition_variable mEnded;
    std::set<int> mOpen;
    bool mIsClosed = false;
  };

  static void Accept(std::shared_ptr<state> const& aState)
  {
    while (true) {
      auto const accepted = accept4(aState->mListener, nullptr, nullptr, SOCK_CLOEXEC);
      std::lock_guard const lock{ aState->mMutex };
      if (aState->mIsClosed) {
        if (accepted >= 0) {
          close(accepted);
        }
        close(aState->mListener);
        return;
      }
      if (accepted < 0) {
        continue;
      }
      int const on = 1;
      setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      aState->mOpen.insert(accepted);
      std::thread([aState, accepted] { Serve(aState, accepted); }).detach();
    }
  }

  static void Serve(std::shared_ptr<state> const& aState, int aSocket)
  {
    message_reader reader{ aSocket };
    while (true) {
      request received;
      std::string line;
      if (!reader.Read(line, received.mHeaders, received.mBody, -1)) {
        break;
      }
      auto const space = line.find(' ');
      received.mMethod = line.substr(0, space);
      received.mTarget = line.substr(space + 1, line.rfind(' ') - space - 1);
      auto const answer = aState->mHandler(received);
      if (answer.mIsLost) {
        // A connection on which an answer was lost delivers nothing further.
        char bytes[1024];
        while (recv(aSocket, bytes, sizeof bytes, 0) > 0) {
        }
        break;
      }
      auto const text = "HTTP/1.1 " + std::to_string(answer.mStatus) +
                        " Status\r\nContent-Type: application/json\r\nContent-Length: " +
                        std::to_string(answer.mBody.size()) + "\r\n\r\n" + answer.mBody;
      if (!SendAll(aSocket, text)) {
        break;
      }
    }
    std::lock_guard const lock{ aState->mMutex };
    aState->mOpen.erase(aSocket);
    close(aSocket);
    aState->mEnded.notify_all();
  }

  std::shared_ptr<state> mState;
};

struct answer
{
  /// 0 if there was no complete answer.
  int mStatus = 0;
  std::string mBody;
};

/// Sends one request on a connection of its own.
inline answer Call(std::string const& aIp, std::uint16_t aPort, std::string const& aMethod,
                   std::string const& aTarget, std::map<std::string, std::string> const& aHeaders,
                   std::string const& aBody, std::int64_t aTimeoutMs)
{
  auto const deadline = NowMs() + aTimeoutMs;
  answer result;
  auto const opened = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  timeval const limit{ aTimeoutMs / 1000, (aTimeoutMs % 1000) * 1000 };
  setsockopt(opened, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  auto const address = Address(aIp, aPort);
  if (connect(opened, reinterpret_cast<sockaddr const*>(&address), sizeof address) == 0) {
    std::string text = aMethod + " " + aTarget + " HTTP/1.1\r\n";
    for (auto const& [name, value] : aHeaders) {
      text += name + ": " + value + "\r\n";
    }
    if (!aHeaders.contains("Host")) {
      text += "Host: " + aIp + "\r\n";
    }
    text += "Content-Type: application/json\r\nContent-Length: " + std::to_string(aBody.size()) +
            "\r\n\r\n" + aBody;
    std::string line;
    std::map<std::string, std::string> headers;
    message_reader reader{ opened };
    if (SendAll(opened, text) && reader.Read(line, headers, result.mBody, deadline)) {
      result.mStatus = std::atoi(line.substr(line.find(' ') + 1).c_str());
    }
  }
  close(opened);
  return result;
}

} // namespace review
