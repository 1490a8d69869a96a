#pragma once

#include "requests/messages.h"

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace rattanpond::requests {

/// Records of the attempts that an agent has finished or will never start, within limits on age,
/// count and body bytes. It keeps the time of the newest discarded record, so that an attempt
/// without a record is not mistaken for one that was never started.
class attempt_history
{
public:
  struct options
  {
    base::milliseconds mRetention{ 600'000 };
    std::size_t mMaximumRecords = 100'000;
    std::size_t mMaximumBodyBytes = 32 * 1024 * 1024;
  };

  struct record
  {
    base::time_point mTime{};
    /// Null for an attempt that the agent refuses permanently.
    std::shared_ptr<answer const> mAnswer;
  };

  explicit attempt_history(options aOptions);

  void RecordFinished(std::string const& aAttempt, std::shared_ptr<answer const> aAnswer,
                      base::time_point aNow);
  void RecordRefused(std::string const& aAttempt, base::time_point aNow);

  record const* Find(std::string const& aAttempt) const;

  /// Whether the record of an attempt created at aCreated or later may have been discarded.
  bool MayHaveDiscarded(base::time_point aCreated) const;

  void Expire(base::time_point aNow);

  std::size_t Size() const { return mRecords.size(); }
  std::size_t BodyBytes() const { return mBodyBytes; }

private:
  void AddRecord(std::string const& aAttempt, record aRecord);
  void DiscardOldest();

  options mOptions;
  std::unordered_map<std::string, record> mRecords;
  std::deque<std::string> mOrder;
  std::size_t mBodyBytes = 0;
  std::optional<base::time_point> mNewestDiscardedTime;
};

} // namespace rattanpond::requests
