#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace review {

/// Milliseconds on the steady clock since the start of this process.
std::int64_t NowMs();
void SleepMs(std::int64_t aMilliseconds);

struct http_request
{
  std::string mMethod;
  std::string mTarget;
  /// Names in lower case.
  std::map<std::string, std::string> mHeaders;
  std::string mBody;

  std::string Path() const { return mTarget.substr(0, mTarget.find('?')); }
  /// Value of a query parameter; empty if there is none.
  std::string Query(std::string const& aName) const;
};

struct http_response
{
  /// 0: the connection ends without an answer.
  int mStatus = 200;
  std::string mBody;
};

/// HTTP/1.1 server with one thread for each connection.
class http_server
{
public:
  using handler = std::function<http_response(http_request const&)>;

  http_server(std::string const& aAddress, int aPort, handler aHandler);
  ~http_server();

  /// Closes the listener and all connections; handlers that run go on.
  void Stop();
  /// Waits until no handler runs, after Stop.
  void AwaitHandlers() const;

  http_server(http_server const&) = delete;
  http_server& operator=(http_server const&) = delete;

private:
  struct shared;
  std::shared_ptr<shared> mShared;
};

/// One request on a connection of its own. The status is 0 if no complete answer arrives in time.
http_response Call(std::string const& aAddress, int aPort, std::string const& aMethod,
                   std::string const& aTarget, std::map<std::string, std::string> const& aHeaders,
                   std::string const& aBody, std::int64_t aTimeoutMs);

} // namespace review
