#include "http.h"

#include <algorithm>
#include <chrono>
#include <cstring>
#include <stdexcept>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

constexpr std::size_t kReadBytes = 65536;

auto const kStart = std::chrono::steady_clock::now();

sockaddr_in Endpoint(std::string const& aAddress, int aPort)
{
  sockaddr_in endpoint{};
  endpoint.sin_family = AF_INET;
  endpoint.sin_port = htons(static_cast<std::uint16_t>(aPort));
  inet_pton(AF_INET, aAddress.c_str(), &endpoint.sin_addr);
  return endpoint;
}

bool SendAll(int aSocket, std::string const& aBytes)
{
  std::size_t sent = 0;
  while (sent < aBytes.size()) {
    auto const count = send(aSocket, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

std::string Lower(std::string aText)
{
  std::ranges::transform(aText, aText.begin(),
                         [](unsigned char aLetter) { return std::tolower(aLetter); });
  return aText;
}

/// A message whose body has a Content-Length.
struct message
{
  std::string mFirstLine;
  std::map<std::string, std::string> mHeaders;
  std::string mBody;
};

/// Reads one message; aBuffer keeps what follows it. Returns false at the end of the connection or
/// at the deadline.
bool ReadMessage(int aSocket, std::string& aBuffer, message& aMessage, std::int64_t aDeadlineMs)
{
  std::size_t headerEnd = std::string::npos;
  std::size_t bodyBytes = 0;
  while (true) {
    if (headerEnd == std::string::npos) {
      headerEnd = aBuffer.find("\r\n\r\n");
      if (headerEnd != std::string::npos) {
        auto position = aBuffer.find("\r\n");
        aMessage.mFirstLine = aBuffer.substr(0, position);
        while (position < headerEnd) {
          auto const next = aBuffer.find("\r\n", position + 2);
          auto const line = aBuffer.substr(position + 2, next - position - 2);
          auto const colon = line.find(':');
          if (colon != std::string::npos) {
            auto const value = line.find_first_not_of(' ', colon + 1);
            aMessage.mHeaders[Lower(line.substr(0, colon))] =
              value == std::string::npos ? std::string{} : line.substr(value);
          }
          position = next;
        }
        auto const length = aMessage.mHeaders.find("content-length");
        bodyBytes = length == aMessage.mHeaders.end() ? 0 : std::stoul(length->second);
      }
    }
    if (headerEnd != std::string::npos && aBuffer.size() >= headerEnd + 4 + bodyBytes) {
      aMessage.mBody = aBuffer.substr(headerEnd + 4, bodyBytes);
      aBuffer.erase(0, headerEnd + 4 + bodyBytes);
      return true;
    }
    auto const left = aDeadlineMs - NowMs();
    pollfd waiting{ .fd = aSocket, .events = POLLIN, .revents = 0 };
    if (left <= 0 || poll(&waiting, 1, static_cast<int>(left)) <= 0) {
      return false;
    }
    std::vector<char> bytes(kReadBytes);
    auto const count = recv(aSocket, bytes.data(), bytes.size(), 0);
    if (count <= 0) {
      return false;
    }
    aBuffer.append(bytes.data(), static_cast<std::size_t>(count));
  }
}

char const* Reason(int aStatus)
{
  return aStatus == 200 ? "OK" : "Other";
}

} // namespace

std::int64_t NowMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() -
                                                               kStart)
    .count();
}

void SleepMs(std::int64_t aMilliseconds)
{
  std::this_thread::sleep_for(std::chrono::milliseconds{ aMilliseconds });
}

std::string http_request::Query(std::string const& aName) const
{
  auto const start = mTarget.find('?');
  if (start == std::string::npos) {
    return {};
  }
  auto query = "&" + mTarget.substr(start + 1) + "&";
  auto const found = query.find("&" + aName + "=");
  if (found == std::string::npos) {
    return {};
  }
  auto const from = found + aName.size() + 2;
  auto const text = query.substr(from, query.find('&', from) - from);
  std::string decoded;
  for (std::size_t index = 0; index < text.size(); ++index) {
    if (text[index] == '%' && index + 2 < text.size()) {
      decoded += static_cast<char>(std::stoi(text.substr(index + 1, 2), nullptr, 16));
      index += 2;
    } else {
      decoded += text[index];
    }
  }
  return decoded;
}

struct http_server::shared
{
  handler mHandler;
  int mListener = -1;
  std::atomic<bool> mIsOpen = true;
  std::mutex mMutex;
  std::set<int> mSockets;
  std::atomic<int> mHandlers = 0;

  void Serve(int aSocket)
  {
    std::string buffer;
    constexpr std::int64_t kIdleMs = 600'000;
    while (mIsOpen) {
      message received;
      if (!ReadMessage(aSocket, buffer, received, NowMs() + kIdleMs)) {
        break;
      }
      http_request request;
      auto const methodEnd = received.mFirstLine.find(' ');
      auto const targetEnd = received.mFirstLine.find(' ', methodEnd + 1);
      request.mMethod = received.mFirstLine.substr(0, methodEnd);
      request.mTarget = received.mFirstLine.substr(methodEnd + 1, targetEnd - methodEnd - 1);
      request.mHeaders = std::move(received.mHeaders);
      request.mBody = std::move(received.mBody);
      ++mHandlers;
      auto const response =
        mIsOpen ? mHandler(request) : http_response{ .mStatus = 0, .mBody = {} };
      --mHandlers;
      if (response.mStatus == 0 || !mIsOpen ||
          !SendAll(aSocket,
                   "HTTP/1.1 " + std::to_string(response.mStatus) + ' ' + Reason(response.mStatus) +
                     "\r\nContent-Type: application/json\r\nContent-Length: " +
                     std::to_string(response.mBody.size()) + "\r\n\r\n" + response.mBody)) {
        break;
      }
    }
    std::lock_guard const lock{ mMutex };
    mSockets.erase(aSocket);
    close(aSocket);
  }
};

http_server::http_server(std::string const& aAddress, int aPort, handler aHandler)
  : mShared{ std::make_shared<shared>() }
{
  mShared->mHandler = std::move(aHandler);
  auto const listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int const on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  auto const endpoint = Endpoint(aAddress, aPort);
  if (bind(listener, reinterpret_cast<sockaddr const*>(&endpoint), sizeof endpoint) != 0 ||
      listen(listener, 256) != 0) {
    close(listener);
    throw std::runtime_error{ "cannot listen on " + aAddress + ":" + std::to_string(aPort) };
  }
  mShared->mListener = listener;
  std::thread{
    [shared = mShared] {
      while (true) {
        auto const accepted = accept4(shared->mListener, nullptr, nullptr, SOCK_CLOEXEC);
        if (!shared->mIsOpen) {
          if (accepted >= 0) {
            close(accepted);
          }
          return;
        }
        if (accepted < 0) {
          SleepMs(1);
          continue;
        }
        int const noDelay = 1;
        setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &noDelay, sizeof noDelay);
        {
          std::lock_guard const lock{ shared->mMutex };
          shared->mSockets.insert(accepted);
        }
        std::thread{ [shared, accepted] { shared->Serve(accepted); } }.detach();
      }
    }
  }.detach();
}

http_server::~http_server()
{
  Stop();
}

void http_server::AwaitHandlers() const
{
  while (mShared->mHandlers > 0) {
    SleepMs(1);
  }
}

void http_server::Stop()
{
  if (!mShared->mIsOpen.exchange(false)) {
    return;
  }
  shutdown(mShared->mListener, SHUT_RDWR);
  close(mShared->mListener);
  std::lock_guard const lock{ mShared->mMutex };
  for (auto const open : mShared->mSockets) {
    shutdown(open, SHUT_RDWR);
  }
}

http_response Call(std::string const& aAddress, int aPort, std::string const& aMethod,
                   std::string const& aTarget, std::map<std::string, std::string> const& aHeaders,
                   std::string const& aBody, std::int64_t aTimeoutMs)
{
  http_response const none{ .mStatus = 0, .mBody = {} };
  auto const deadline = NowMs() + aTimeoutMs;
  auto const opened = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  auto const endpoint = Endpoint(aAddress, aPort);
  connect(opened, reinterpret_cast<sockaddr const*>(&endpoint), sizeof endpoint);
  pollfd waiting{ .fd = opened, .events = POLLOUT, .revents = 0 };
  int failure = 0;
  socklen_t size = sizeof failure;
  if (poll(&waiting, 1, static_cast<int>(aTimeoutMs)) <= 0 ||
      getsockopt(opened, SOL_SOCKET, SO_ERROR, &failure, &size) != 0 || failure != 0) {
    close(opened);
    return none;
  }
  std::string text = aMethod + ' ' + aTarget + " HTTP/1.1\r\nContent-Type: application/json\r\n";
  if (!aHeaders.contains("Host")) {
    text += "Host: " + aAddress + "\r\n";
  }
  for (auto const& [name, value] : aHeaders) {
    text += name + ": " + value + "\r\n";
  }
  text += "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
  std::string buffer;
  message received;
  auto const isAnswered = SendAll(opened, text) && ReadMessage(opened, buffer, received, deadline);
  close(opened);
  if (!isAnswered) {
    return none;
  }
  return { .mStatus = std::stoi(received.mFirstLine.substr(received.mFirstLine.find(' ') + 1)),
           .mBody = std::move(received.mBody) };
}

} // namespace review
