#pragma once

#include "dispatch/job.h"
#include "net/frame.h"

#include <optional>
#include <string>
#include <vector>

namespace rattanpond::dispatch {

/// An entry of a worker's list of running runs.
struct listed_run
{
  std::string mTask{};
  std::uint32_t mRun = 0;
  std::string mCheckpoint{};
  /// Progress of the run in percent; for a long-running task, its level of activity.
  std::int64_t mPercent = 0;
  /// Tail response time in milliseconds for a serving task, otherwise millicores in use.
  std::int64_t mLoad = 0;

  static constexpr auto Fields()
  {
    return std::make_tuple(
      base::Field("task", &listed_run::mTask), base::Field("run", &listed_run::mRun),
      base::Field("checkpoint", &listed_run::mCheckpoint),
      base::Field("percent", &listed_run::mPercent), base::Field("load", &listed_run::mLoad));
  }
};

enum class run_end
{
  done,
  failed,
  stopped,
  /// The lease expired.
  expired,
  /// The run was ended because another member of its gang ended.
  gang_broken,
  /// The other members of the gang did not start in time.
  gang_incomplete
};

struct ended_run
{
  /// Sequence number of the end within the worker's incarnation; an acknowledgement covers all ends
  /// up to a number.
  std::int64_t mNumber = 0;
  std::string mTask{};
  std::uint32_t mRun = 0;
  run_end mEnd = run_end::failed;
  std::string mCheckpoint{};

  static constexpr auto Fields()
  {
    return std::make_tuple(
      base::Field("number", &ended_run::mNumber), base::Field("task", &ended_run::mTask),
      base::Field("run", &ended_run::mRun), base::Field("end", &ended_run::mEnd),
      base::Field("checkpoint", &ended_run::mCheckpoint));
  }
};

enum class order_outcome
{
  /// The worker has the run, and no call to start it is open.
  started,
  /// The run did not start and never will.
  not_started,
  /// The worker lacks the free resources; the run did not start and never will.
  no_room,
  /// The worker accepted the stop; the run lists of the same report show the run while it is
  /// ending.
  stopped,
  /// A call was not answered; the worker may still carry out the order.
  unknown,
  /// The worker did not answer the start; its clock has passed the deadline of the start, and it
  /// does not have the run. The run did not start and never will.
  expired
};

struct order_result
{
  std::string mTask{};
  std::uint32_t mRun = 0;
  order_outcome mOutcome = order_outcome::unknown;
  std::string mDetail{};

  static constexpr auto Fields()
  {
    return std::make_tuple(base::Field("task", &order_result::mTask),
                           base::Field("run", &order_result::mRun),
                           base::Field("outcome", &order_result::mOutcome),
                           base::Field("detail", &order_result::mDetail));
  }
};

enum class worker_state
{
  /// No worker heartbeat has arrived yet, or the worker does not answer.
  absent,
  ready,
  draining,
  /// The worker has shut down in order.
  gone
};

/// State of a worker; sent by its side to the scheduler.
struct side_report
{
  static constexpr net::message_type kType = net::message_type::side_report;

  std::uint64_t mSequence = 0;
  std::string mNode{};
  std::string mDomain{};
  std::string mWorker{};
  std::int64_t mIncarnationStart = 0;
  std::string mService{};
  worker_state mState = worker_state::absent;
  resources mCapacity{};
  std::vector<std::string> mLabels{};
  /// Whether the run lists are valid; they were read from the worker after all results below.
  bool mHasRunLists = false;
  /// Term under which the run lists were read; the worker refuses orders of earlier terms since. 0
  /// if the lists may lack a run, so that they prove no absence.
  std::uint64_t mRunListsTerm = 0;
  std::vector<listed_run> mRunning{};
  std::vector<ended_run> mEnded{};
  std::vector<order_result> mResults{};
  /// Upper bound of the time until the worker lease expires.
  base::milliseconds mLeaseLeft{ 0 };
  /// Shortest time until a draining worker ends, if it states one.
  std::optional<base::milliseconds> mTimeLeft{};

  static constexpr auto Fields()
  {
    return std::make_tuple(
      base::Field("sequence", &side_report::mSequence), base::Field("node", &side_report::mNode),
      base::Field("domain", &side_report::mDomain), base::Field("worker", &side_report::mWorker),
      base::Field("born", &side_report::mIncarnationStart),
      base::Field("service", &side_report::mService), base::Field("state", &side_report::mState),
      base::Field("capacity", &side_report::mCapacity),
      base::Field("labels", &side_report::mLabels),
      base::Field("has_lists", &side_report::mHasRunLists),
      base::Field("lists_term", &side_report::mRunListsTerm),
      base::Field("running", &side_report::mRunning), base::Field("ended", &side_report::mEnded),
      base::Field("results", &side_report::mResults),
      base::Field("lease_left_ms", &side_report::mLeaseLeft),
      base::Field("time_left_ms", &side_report::mTimeLeft));
  }
};

struct start_order
{
  std::string mTask{};
  std::uint32_t mRun = 0;
  std::string mCommand{};
  std::string mCheckpoint{};
  std::string mTicket{};

  static constexpr auto Fields()
  {
    return std::make_tuple(base::Field("task", &start_order::mTask),
                           base::Field("run", &start_order::mRun),
                           base::Field("command", &start_order::mCommand),
                           base::Field("checkpoint", &start_order::mCheckpoint),
                           base::Field("ticket", &start_order::mTicket));
  }
};

struct stop_order
{
  std::string mTask{};
  std::uint32_t mRun = 0;

  static constexpr auto Fields()
  {
    return std::make_tuple(base::Field("task", &stop_order::mTask),
                           base::Field("run", &stop_order::mRun));
  }
};

struct pace_order
{
  std::string mTask{};
  std::uint32_t mRun = 0;
  std::uint32_t mPercent = 100;

  static constexpr auto Fields()
  {
    return std::make_tuple(base::Field("task", &pace_order::mTask),
                           base::Field("run", &pace_order::mRun),
                           base::Field("percent", &pace_order::mPercent));
  }
};

/// The scheduler's answer to a report; may contain no orders.
struct side_orders
{
  static constexpr net::message_type kType = net::message_type::side_orders;

  /// Number of the scheduler's term; the fencing token of all calls to the worker.
  std::uint64_t mTerm = 0;
  /// Sequence number of the last report that the scheduler has received.
  std::uint64_t mAnsweredReport = 0;
  /// Worker that the orders are for; the next member identifies its incarnation.
  std::string mWorker{};
  std::int64_t mIncarnationStart = 0;
  /// Run ends up to this number are committed to the store.
  std::int64_t mAcknowledged = 0;
  std::vector<start_order> mStarts{};
  std::vector<stop_order> mStops{};
  std::vector<pace_order> mPaces{};

  static constexpr auto Fields()
  {
    return std::make_tuple(base::Field("term", &side_orders::mTerm),
                           base::Field("answers", &side_orders::mAnsweredReport),
                           base::Field("worker", &side_orders::mWorker),
                           base::Field("born", &side_orders::mIncarnationStart),
                           base::Field("acknowledged", &side_orders::mAcknowledged),
                           base::Field("starts", &side_orders::mStarts),
                           base::Field("stops", &side_orders::mStops),
                           base::Field("paces", &side_orders::mPaces));
  }
};

} // namespace rattanpond::dispatch

template<>
struct rattanpond::base::enum_names<rattanpond::dispatch::run_end>
{
  using end = rattanpond::dispatch::run_end;
  static constexpr enum_name<end> kTable[] = {
    { end::done, "done" },      { end::failed, "failed" },      { end::stopped, "stopped" },
    { end::expired, "lapsed" }, { end::gang_broken, "broken" }, { end::gang_incomplete, "alone" }
  };
};

template<>
struct rattanpond::base::enum_names<rattanpond::dispatch::order_outcome>
{
  using outcome = rattanpond::dispatch::order_outcome;
  static constexpr enum_name<outcome> kTable[] = {
    { outcome::started, "started" }, { outcome::not_started, "not_started" },
    { outcome::no_room, "no_room" }, { outcome::stopped, "stopped" },
    { outcome::unknown, "unknown" }, { outcome::expired, "expired" }
  };
};

template<>
struct rattanpond::base::enum_names<rattanpond::dispatch::worker_state>
{
  using state = rattanpond::dispatch::worker_state;
  static constexpr enum_name<state> kTable[] = { { state::absent, "absent" },
                                                 { state::ready, "ready" },
                                                 { state::draining, "draining" },
                                                 { state::gone, "gone" } };
};
