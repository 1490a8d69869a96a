#pragma once

#include "base/time.h"

#include <cstdint>
#include <optional>

namespace rattanpond::platform {

/// Converts between the store's steady clock, in milliseconds, and base::Now. Each answer of the
/// store bounds the difference between the two: the store read its clock at some time between the
/// call and the answer.
class store_clock
{
public:
  struct answer
  {
    base::time_point mSentAt{};
    base::time_point mReceivedAt{};
    std::int64_t mStoreMs = 0;
  };

  void RecordAnswer(answer const& aAnswer)
  {
    // The fastest answer gives the closest bounds.
    if (!mAnswer || RoundTrip(aAnswer) <= RoundTrip(*mAnswer) ||
        aAnswer.mReceivedAt - mAnswer->mReceivedAt > kMaximumAnswerAge) {
      mAnswer = aAnswer;
    }
  }

  /// The latest time on the store's clock that aTime may be; empty before the first answer.
  std::optional<std::int64_t> LatestStoreTime(base::time_point aTime) const
  {
    if (!mAnswer) {
      return std::nullopt;
    }
    return mAnswer->mStoreMs + (aTime - mAnswer->mSentAt + kRounding).count();
  }

  /// The latest time of base::Now that a time on the store's clock may be.
  std::optional<base::time_point> LatestOwnTime(std::int64_t aStoreMs) const
  {
    if (!mAnswer) {
      return std::nullopt;
    }
    return mAnswer->mReceivedAt + base::milliseconds{ aStoreMs - mAnswer->mStoreMs } + kRounding;
  }

private:
  /// Limits the drift between the two clocks.
  static constexpr base::milliseconds kMaximumAnswerAge{ 10'000 };
  /// Both clocks are read in whole milliseconds.
  static constexpr base::milliseconds kRounding{ 2 };

  static base::milliseconds RoundTrip(answer const& aAnswer)
  {
    return aAnswer.mReceivedAt - aAnswer.mSentAt;
  }

  std::optional<answer> mAnswer;
};

} // namespace rattanpond::platform
