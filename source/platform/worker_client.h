#pragma once

#include "dispatch/messages.h"
#include "net/http_client.h"
#include "platform/run_list_reader.h"

#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>

namespace rattanpond::platform {

/// Content of a worker heartbeat.
struct worker_heartbeat
{
  std::string mWorker{};
  /// Wall-clock time in milliseconds at which this incarnation started.
  std::int64_t mIncarnationStart = 0;
  std::int64_t mSequence = 0;
  std::string mService{};
  std::string mDomain{};
  dispatch::worker_state mState = dispatch::worker_state::ready;
  dispatch::resources mCapacity{};
  std::vector<std::string> mLabels{};
  std::int64_t mClockMs = 0;
  /// Shortest time until a draining worker ends, from the moment of the heartbeat; absent if the
  /// worker does not state a usable one.
  std::optional<base::milliseconds> mTimeLeft{};
};

base::result<worker_heartbeat> ParseHeartbeat(std::string const& aWorker, std::string const& aBody);

struct order_answer
{
  dispatch::order_outcome mOutcome = dispatch::order_outcome::unknown;
  /// The worker's reason for a refusal, or a status or error message in its place.
  std::string mDetail{};
  /// Worker clock; 0 if the answer does not carry it.
  std::int64_t mClockMs = 0;
  /// Another incarnation than the expected one answered.
  bool mIsOtherIncarnation = false;
};

/// Calls the worker on the same instance. Used on one thread.
class worker_client
{
public:
  worker_client(boost::asio::io_context& aContext, net::tcp::endpoint aEndpoint);

  /// Values of one start; the deadline is on the worker's clock.
  struct start_values
  {
    std::uint64_t mFence = 0;
    std::int64_t mDeadlineMs = 0;
  };

  boost::asio::awaitable<order_answer> Start(std::string aWorker, dispatch::start_order aOrder,
                                             start_values aValues);
  boost::asio::awaitable<order_answer> Stop(std::string aWorker, dispatch::stop_order aOrder,
                                            std::uint64_t aFence);
  boost::asio::awaitable<order_answer> Pace(std::string aWorker, dispatch::pace_order aOrder,
                                            std::uint64_t aFence);

  struct poll_request
  {
    std::uint64_t mFence = 0;
    std::int64_t mAcknowledged = 0;
    /// Extends the worker lease when not 0.
    std::int64_t mDeadlineMs = 0;
    /// The worker holds its answer back for at most this long, until a run ends.
    base::milliseconds mWait{ 0 };
    /// Position of the first active run whose checkpoint is read, see run_list_reader.
    std::size_t mFirstCheckpoint = 0;
  };

  struct poll_answer
  {
    std::optional<worker_run_lists> mLists;
    bool mIsOtherIncarnation = false;
    /// The worker has answered with lists that cannot be used.
    bool mIsUnreadable = false;
    /// Why there are no lists.
    std::string mFailure{};
  };

  boost::asio::awaitable<poll_answer> PollRuns(std::string aWorker, poll_request aRequest);

private:
  boost::asio::awaitable<order_answer> SendOrder(std::string aTarget, std::string aWorker,
                                                 base::json aBody);

  net::http_client mClient;
};

} // namespace rattanpond::platform
