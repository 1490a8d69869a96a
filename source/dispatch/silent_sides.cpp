#include "dispatch/silent_sides.h"

#include "base/codec.h"

namespace rattanpond::dispatch {

namespace {

silent_sides::entries Decode(std::string const& aText)
{
  silent_sides::entries entries;
  auto const document = base::json::parse(aText, nullptr, false);
  if (!document.is_object()) {
    return entries;
  }
  for (auto const& [node, since] : document.items()) {
    if (since.is_number_integer()) {
      entries[node] = since.get<std::int64_t>();
    }
  }
  return entries;
}

} // namespace

void silent_sides::Adopt(std::string const& aText, std::uint64_t aVersion)
{
  mIsAdopted = true;
  mVersion = aVersion;
  mStored = Decode(aText);
  mWanted = mStored;
  for (auto const& entry : mStored) {
    mMayBeListed.insert(entry.first);
  }
}

void silent_sides::Add(std::string const& aNode, std::int64_t aSinceMs)
{
  mWanted.try_emplace(aNode, aSinceMs);
}

bool silent_sides::MayAnswer(std::string const& aNode) const
{
  return mIsAdopted && !mWanted.contains(aNode) && !mMayBeListed.contains(aNode);
}

bool silent_sides::MustWrite() const
{
  return mIsAdopted && !mIsWriting && (mIsUncertain || mWanted != mStored);
}

std::string silent_sides::BeginWrite()
{
  mIsWriting = true;
  mSent = mWanted;
  for (auto const& entry : mSent) {
    mMayBeListed.insert(entry.first);
  }
  return base::json(mSent).dump();
}

void silent_sides::WriteCommitted(std::uint64_t aVersion)
{
  mIsWriting = false;
  mIsUncertain = false;
  mVersion = aVersion;
  mStored = mSent;
  mMayBeListed.clear();
  for (auto const& entry : mStored) {
    mMayBeListed.insert(entry.first);
  }
}

void silent_sides::WriteConflicted(std::uint64_t aVersion)
{
  WriteUnanswered();
  mVersion = aVersion;
}

void silent_sides::WriteUnanswered()
{
  mIsWriting = false;
  mIsUncertain = true;
}

} // namespace rattanpond::dispatch
