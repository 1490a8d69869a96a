#pragma once

#include "requests/messages.h"

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace rattanpond::requests {

/// Attempts that an agent has finished or will never start, in bounded memory. Forgetting a record
/// moves the horizon, so that "unknown here" is never taken for "never started".
class attempt_memory
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
    /// Null for an attempt that is refused for ever.
    std::shared_ptr<answer const> mAnswer;
  };

  explicit attempt_memory(options aOptions);

  void RememberFinished(std::string const& aAttempt, std::shared_ptr<answer const> aAnswer,
                        base::time_point aNow);
  void RememberRefused(std::string const& aAttempt, base::time_point aNow);

  record const* Find(std::string const& aAttempt) const;

  /// Tells whether a record may have been dropped that belongs to an attempt created at aCreated or
  /// later.
  bool MayHaveForgotten(base::time_point aCreated) const;

  void Expire(base::time_point aNow);

  std::size_t Size() const { return mRecords.size(); }
  std::size_t BodyBytes() const { return mBodyBytes; }

private:
  void Remember(std::string const& aAttempt, record aRecord);
  void DropOldest();

  options mOptions;
  std::unordered_map<std::string, record> mRecords;
  std::deque<std::string> mOrder;
  std::size_t mBodyBytes = 0;
  std::optional<base::time_point> mHorizon;
};

} // namespace rattanpond::requests
