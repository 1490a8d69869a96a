#include "requests/attempt_history.h"

namespace rattanpond::requests {

attempt_history::attempt_history(options aOptions)
  : mOptions{ aOptions }
{
}

void attempt_history::RecordFinished(std::string const& aAttempt,
                                     std::shared_ptr<answer const> aAnswer, base::time_point aNow)
{
  AddRecord(aAttempt, { .mTime = aNow, .mAnswer = std::move(aAnswer) });
}

void attempt_history::RecordRefused(std::string const& aAttempt, base::time_point aNow)
{
  AddRecord(aAttempt, { .mTime = aNow, .mAnswer = nullptr });
}

attempt_history::record const* attempt_history::Find(std::string const& aAttempt) const
{
  auto const found = mRecords.find(aAttempt);
  return found == mRecords.end() ? nullptr : &found->second;
}

bool attempt_history::MayHaveDiscarded(base::time_point aCreated) const
{
  return mNewestDiscardedTime && aCreated <= *mNewestDiscardedTime;
}

void attempt_history::Expire(base::time_point aNow)
{
  while (!mOrder.empty() && mRecords.at(mOrder.front()).mTime + mOptions.mRetention < aNow) {
    DiscardOldest();
  }
}

void attempt_history::AddRecord(std::string const& aAttempt, record aRecord)
{
  auto const bytes = aRecord.mAnswer ? aRecord.mAnswer->mBody.size() : 0;
  if (!mRecords.emplace(aAttempt, std::move(aRecord)).second) {
    return;
  }
  mOrder.push_back(aAttempt);
  mBodyBytes += bytes;
  while (mRecords.size() > mOptions.mMaximumRecords ||
         (mBodyBytes > mOptions.mMaximumBodyBytes && mRecords.size() > 1)) {
    DiscardOldest();
  }
}

void attempt_history::DiscardOldest()
{
  auto const found = mRecords.find(mOrder.front());
  mNewestDiscardedTime = found->second.mTime;
  mBodyBytes -= found->second.mAnswer ? found->second.mAnswer->mBody.size() : 0;
  mRecords.erase(found);
  mOrder.pop_front();
}

} // namespace rattanpond::requests
