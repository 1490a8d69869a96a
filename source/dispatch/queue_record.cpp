#include "dispatch/queue_record.h"

#include "base/codec.h"

namespace rattanpond::dispatch {

namespace {

/// Keys of the store have at most this many bytes.
constexpr std::size_t kMaximumKeyBytes = 200;

struct stored_advice
{
  base::milliseconds mQueryTime{ 0 };
  base::milliseconds mQueryTimePerWorker{ 0 };
  base::milliseconds mTicketLifetime{ 0 };

  static constexpr auto Fields()
  {
    return std::make_tuple(base::Field("query_ms", &stored_advice::mQueryTime),
                           base::Field("query_worker_ms", &stored_advice::mQueryTimePerWorker),
                           base::Field("ticket_lifetime_ms", &stored_advice::mTicketLifetime));
  }
};

struct stored_queue
{
  std::string mService{};
  std::uint32_t mPriority = 0;
  std::uint32_t mMaximumAttempts = 1;
  double mStretch = 1.0;
  base::milliseconds mObjective{ 0 };
  std::optional<stored_advice> mAdvice{};

  static constexpr auto Fields()
  {
    return std::make_tuple(base::Field("service", &stored_queue::mService),
                           base::Field("priority", &stored_queue::mPriority),
                           base::Required("maximum_attempts", &stored_queue::mMaximumAttempts),
                           base::Field("stretch", &stored_queue::mStretch),
                           base::Field("objective_ms", &stored_queue::mObjective),
                           base::Field("advice", &stored_queue::mAdvice));
  }
};

} // namespace

std::optional<std::string> QueueKey(std::string const& aName)
{
  auto key = kQueuePrefix + aName;
  return key.size() <= kMaximumKeyBytes ? std::optional{ std::move(key) } : std::nullopt;
}

std::string EncodeQueue(queue const& aQueue)
{
  stored_queue stored{ .mService = aQueue.mService,
                       .mPriority = aQueue.mPriority,
                       .mMaximumAttempts = aQueue.mMaximumAttempts,
                       .mStretch = aQueue.mStretch,
                       .mObjective = aQueue.mObjective };
  if (aQueue.mAdvice) {
    stored.mAdvice = stored_advice{ .mQueryTime = aQueue.mAdvice->mQueryTime,
                                    .mQueryTimePerWorker = aQueue.mAdvice->mQueryTimePerWorker,
                                    .mTicketLifetime = aQueue.mAdvice->mTicketLifetime };
  }
  return base::Encode(stored).dump();
}

std::optional<queue> DecodeQueue(std::string const& aName, std::string const& aText)
{
  auto const decoded = base::TryDecode<stored_queue>(base::json::parse(aText, nullptr, false));
  auto const* const stored = std::get_if<stored_queue>(&decoded);
  if (stored == nullptr) {
    return std::nullopt;
  }
  queue read{ .mName = aName,
              .mService = stored->mService,
              .mPriority = stored->mPriority,
              .mMaximumAttempts = stored->mMaximumAttempts,
              .mStretch = stored->mStretch,
              .mObjective = stored->mObjective };
  if (stored->mAdvice) {
    read.mAdvice = advice_timing{ .mQueryTime = stored->mAdvice->mQueryTime,
                                  .mQueryTimePerWorker = stored->mAdvice->mQueryTimePerWorker,
                                  .mTicketLifetime = stored->mAdvice->mTicketLifetime };
  }
  return read;
}

} // namespace rattanpond::dispatch
