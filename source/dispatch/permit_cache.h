#pragma once

#include "base/time.h"
#include "dispatch/operator_configuration.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace rattanpond::dispatch {

/// Caches permits and denials of the advice service and chooses the next query. A step of a queue
/// with advice starts only on workers with a permit, and each start carries the permit's ticket.
///
/// Load pattern: many steps wait at the same time, while the service handles one query at a time
/// and needs longer for each worker named. A query therefore names few workers, those with the most
/// free resources first, and further ones are queried only while tasks still wait.
class permit_cache
{
public:
  /// One start of a worker process.
  struct worker_incarnation
  {
    std::string mNode{};
    std::string mWorker{};
    std::int64_t mIncarnationStart = 0;
  };

  /// A step with waiting tasks, and the workers that could run it, those with the most free
  /// resources first.
  struct demand
  {
    std::string mStep{};
    std::size_t mTasks = 0;
    std::vector<worker_incarnation> mCandidates{};
    advice_timing mTiming{};
  };

  struct query
  {
    std::string mStep{};
    std::vector<worker_incarnation> mWorkers{};
    base::milliseconds mTimeout{ 0 };
    base::milliseconds mTicketLifetime{ 0 };
    base::time_point mSentAt{};
  };

  /// Returns the next query, or nothing while one is active, during the retry delay, or if no
  /// demand lacks an answer. aDemands: most urgent first.
  std::optional<query> NextQuery(std::vector<demand> const& aDemands, base::time_point aNow);
  /// aTickets: the tickets of the permitted workers, by worker name.
  void RecordAnswer(query const& aQuery, std::map<std::string, std::string> const& aTickets);
  void Failed(base::time_point aNow);

  /// Returns the ticket for a start, or nothing without an unexpired permit.
  std::optional<std::string> Ticket(std::string const& aStep, worker_incarnation const& aWorker,
                                    base::time_point aNow) const;
  /// Discards the permit after the worker refused a start.
  void Refused(std::string const& aStep, std::string const& aNode);
  void RemoveJob(std::string const& aJob);

private:
  struct permit
  {
    std::int64_t mIncarnationStart = 0;
    bool mIsGranted = false;
    std::string mTicket{};
    base::time_point mExpiresAt{};
  };

  bool IsCurrent(std::string const& aStep, worker_incarnation const& aWorker,
                 base::time_point aNow) const;

  /// Keyed by step, then node.
  std::map<std::string, std::map<std::string, permit>> mPermits;
  bool mIsQueryActive = false;
  base::time_point mRetryAt{};
};

} // namespace rattanpond::dispatch
