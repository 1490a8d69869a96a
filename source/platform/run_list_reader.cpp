#include "platform/run_list_reader.h"

#include "platform/json_reader.h"

#include <algorithm>
#include <limits>
#include <utility>

#include <boost/beast/websocket/detail/utf8_checker.hpp>
#include <boost/json/basic_parser_impl.hpp>

namespace rattanpond::platform {

namespace json = boost::json;
using base::result_code;

namespace {

/// The worker lists at most this many ends at a time.
constexpr std::size_t kMaximumListedEnds = 500;
/// Longest name or other text that is not a checkpoint.
constexpr std::size_t kMaximumTextBytes = 4096;
/// Deeper documents are malformed.
constexpr std::size_t kMaximumDepth = 64;

/// Fields of an entry of each list.
constexpr std::size_t kActiveCheckpointField = 2;
constexpr std::size_t kEndField = 3;
constexpr std::size_t kEndedCheckpointField = 4;

/// Number of objects and arrays that enclose a member of the document ("running"), an entry of a
/// run list, and a field of an entry.
constexpr std::size_t kMemberDepth = 1;
constexpr std::size_t kEntryDepth = 2;
constexpr std::size_t kFieldDepth = 3;

template<class T>
std::optional<T> Number(base::json const& aValue)
{
  if (!aValue.is_number_unsigned()) {
    return std::nullopt;
  }
  auto const number = aValue.get<std::uint64_t>();
  return std::in_range<T>(number) ? std::optional{ static_cast<T>(number) } : std::nullopt;
}

/// [task, run, checkpoint, percent, load]; the last one only where tasks share a worker.
std::optional<dispatch::listed_run> DecodeActive(base::json& aEntry)
{
  if (!aEntry.is_array() || aEntry.size() < 2 || !aEntry[0].is_string()) {
    return std::nullopt;
  }
  auto const number = Number<std::uint32_t>(aEntry[1]);
  if (!number) {
    return std::nullopt;
  }
  dispatch::listed_run run{ .mTask = aEntry[0].get<std::string>(), .mRun = *number };
  if (aEntry.size() > kActiveCheckpointField && aEntry[kActiveCheckpointField].is_string()) {
    run.mCheckpoint = std::move(aEntry[kActiveCheckpointField].get_ref<std::string&>());
  }
  if (aEntry.size() > 3 && aEntry[3].is_number()) {
    run.mPercent = static_cast<std::int64_t>(aEntry[3].get<double>());
  }
  if (aEntry.size() > 4 && aEntry[4].is_number()) {
    run.mLoad = static_cast<std::int64_t>(aEntry[4].get<double>());
  }
  return run;
}

/// [number, task, run, end, checkpoint].
std::optional<dispatch::ended_run> DecodeEnded(base::json& aEntry)
{
  if (!aEntry.is_array() || aEntry.size() <= kEndField || !aEntry[1].is_string() ||
      !aEntry[kEndField].is_string()) {
    return std::nullopt;
  }
  auto const number = Number<std::int64_t>(aEntry[0]);
  auto const run = Number<std::uint32_t>(aEntry[2]);
  auto const end =
    base::ParseEnum<dispatch::run_end>(aEntry[kEndField].get_ref<std::string const&>());
  if (!number || !run || !end) {
    return std::nullopt;
  }
  dispatch::ended_run ended{
    .mNumber = *number, .mTask = aEntry[1].get<std::string>(), .mRun = *run, .mEnd = *end
  };
  if (aEntry.size() > kEndedCheckpointField && aEntry[kEndedCheckpointField].is_string()) {
    ended.mCheckpoint = std::move(aEntry[kEndedCheckpointField].get_ref<std::string&>());
  }
  return ended;
}

bool IsUtf8(std::string const& aText)
{
  return boost::beast::websocket::detail::check_utf8(aText.data(), aText.size());
}

enum class list
{
  none,
  active,
  ended
};

/// Receives the values of the document and collects the entries of the lists.
class run_list_handler
{
public:
  static constexpr std::size_t max_object_size = std::numeric_limits<std::size_t>::max();
  static constexpr std::size_t max_array_size = std::numeric_limits<std::size_t>::max();
  static constexpr std::size_t max_key_size = std::numeric_limits<std::size_t>::max();
  static constexpr std::size_t max_string_size = std::numeric_limits<std::size_t>::max();

  explicit run_list_handler(std::size_t aFirstCheckpoint)
  {
    mLists.mFirstCheckpoint = aFirstCheckpoint;
  }

  base::result<worker_run_lists> Finish()
  {
    json_reader reader{ mMembers };
    mLists.mClockMs = reader.Integer("clock_ms");
    mLists.mIncarnationStart = reader.Integer("born");
    if (!mHasActiveList || !mHasEndedList) {
      reader.Reject("a run list is missing");
    }
    if (!mFailure.empty()) {
      reader.Reject(mFailure);
    }
    if (!reader.IsValid()) {
      return base::Fail(result_code::malformed_message, reader.Failure());
    }
    mLists.mIsComplete = mLists.mIsComplete && mLists.mEnded.size() < kMaximumListedEnds;
    return std::move(mLists);
  }

  // NOLINTBEGIN(readability-identifier-naming): the parser requires these names and signatures
  bool on_document_begin(json::error_code&) { return true; }
  bool on_document_end(json::error_code&) { return true; }
  bool on_object_begin(json::error_code&) { return Open(base::json::object()); }
  bool on_object_end(std::size_t, json::error_code&) { return Close(); }
  bool on_array_begin(json::error_code&) { return Open(base::json::array()); }
  bool on_array_end(std::size_t, json::error_code&) { return Close(); }
  bool on_key_part(json::string_view aPart, std::size_t, json::error_code&)
  {
    return Append(aPart, kMaximumTextBytes);
  }
  bool on_key(json::string_view aPart, std::size_t, json::error_code&)
  {
    Append(aPart, kMaximumTextBytes);
    auto key = TakeText();
    if (mDepth == kMemberDepth) {
      mKey = std::move(key);
    }
    return true;
  }
  bool on_string_part(json::string_view aPart, std::size_t, json::error_code&)
  {
    return Append(aPart, TextLimit());
  }
  bool on_string(json::string_view aPart, std::size_t, json::error_code&)
  {
    Append(aPart, TextLimit());
    auto const isTooLong = mIsTextTooLong;
    auto text = TakeText();
    if (IsCheckpoint()) {
      AddCheckpoint(std::move(text), isTooLong);
    } else {
      Add(isTooLong || !IsUtf8(text) ? base::json{} : base::json(std::move(text)));
    }
    return true;
  }
  bool on_number_part(json::string_view, json::error_code&) { return true; }
  bool on_int64(std::int64_t aValue, json::string_view, json::error_code&)
  {
    return Add(aValue >= 0 ? base::json(static_cast<std::uint64_t>(aValue)) : base::json(aValue));
  }
  bool on_uint64(std::uint64_t aValue, json::string_view, json::error_code&) { return Add(aValue); }
  bool on_double(double aValue, json::string_view, json::error_code&) { return Add(aValue); }
  bool on_bool(bool aValue, json::error_code&) { return Add(aValue); }
  bool on_null(json::error_code&) { return Add(nullptr); }
  bool on_comment_part(json::string_view, json::error_code&) { return true; }
  bool on_comment(json::string_view, json::error_code&) { return true; }
  // NOLINTEND(readability-identifier-naming)

private:
  bool Open(base::json aEmpty)
  {
    if (mDepth == kMemberDepth && aEmpty.is_array()) {
      mList = mKey == "running" ? list::active : mKey == "finished" ? list::ended : list::none;
      mHasActiveList = mHasActiveList || mList == list::active;
      mHasEndedList = mHasEndedList || mList == list::ended;
    } else if (mDepth == kEntryDepth) {
      mEntry = std::move(aEmpty);
    } else if (mDepth >= kFieldDepth) {
      // No field of an entry is an object or an array.
      Add(nullptr);
    } else if (mDepth == 0 && !aEmpty.is_object()) {
      mFailure = "the document is not an object";
    }
    ++mDepth;
    return true;
  }

  bool Close()
  {
    --mDepth;
    if (mDepth == kEntryDepth) {
      AddEntry();
    } else if (mDepth == kMemberDepth) {
      mList = list::none;
    }
    return true;
  }

  bool Add(base::json aValue)
  {
    if (mDepth == kMemberDepth) {
      mMembers[mKey] = std::move(aValue);
    } else if (mDepth == kEntryDepth) {
      mEntry = std::move(aValue);
      AddEntry();
    } else if (mDepth == kFieldDepth && mList != list::none && mEntry.is_array()) {
      if (IsCheckpoint()) {
        ++mLists.mUnreadableCheckpoints;
      }
      mEntry.push_back(std::move(aValue));
    }
    return true;
  }

  void AddEntry()
  {
    auto entry = std::exchange(mEntry, {});
    if (mList == list::active) {
      if (auto run = DecodeActive(entry)) {
        mLists.mRunning.push_back(std::move(*run));
      } else {
        mLists.mIsComplete = false;
      }
    } else if (mList == list::ended) {
      if (auto run = DecodeEnded(entry)) {
        mLists.mEnded.push_back(std::move(*run));
      } else if (mFailure.empty()) {
        // Acknowledging a later number would also acknowledge an end that could not be decoded, so
        // the whole answer is discarded.
        mFailure = "the end after " + std::to_string(mLists.mEnded.size()) + " others is malformed";
      }
    }
  }

  /// Whether the next value is the checkpoint of an entry.
  bool IsCheckpoint() const
  {
    return mDepth == kFieldDepth && mEntry.is_array() &&
           ((mList == list::active && mEntry.size() == kActiveCheckpointField) ||
            (mList == list::ended && mEntry.size() == kEndedCheckpointField));
  }

  /// Whether the next value is a checkpoint that nothing will use.
  bool IsUnusedCheckpoint() const
  {
    return mList == list::active ? mLists.mRunning.size() < mLists.mFirstCheckpoint
                                 : mEntry[kEndField] == "done";
  }

  std::size_t TextLimit() const
  {
    if (!IsCheckpoint()) {
      return kMaximumTextBytes;
    }
    return IsUnusedCheckpoint() ? 0 : mList == list::active ? mActiveBytesLeft : mEndedBytesLeft;
  }

  void AddCheckpoint(std::string aText, bool aIsTooLong)
  {
    if (aIsTooLong && !IsUnusedCheckpoint()) {
      OmitCheckpoint();
    } else if (!IsUtf8(aText)) {
      ++mLists.mUnreadableCheckpoints;
      aText.clear();
    }
    auto& left = mList == list::active ? mActiveBytesLeft : mEndedBytesLeft;
    left -= aText.size();
    mEntry.push_back(std::move(aText));
  }

  void OmitCheckpoint()
  {
    if (mList == list::ended) {
      ++mLists.mOmittedCheckpoints;
    } else if (mLists.mNextCheckpoint == 0) {
      // One that is longer than the whole limit is passed over by the next list.
      auto const position = mLists.mRunning.size();
      mLists.mNextCheckpoint = position > mLists.mFirstCheckpoint ? position : position + 1;
      // The next list continues here, so shorter ones that follow need not be kept.
      mActiveBytesLeft = 0;
    }
  }

  /// Appends a part of a text; a text that exceeds the limit is dropped.
  bool Append(json::string_view aPart, std::size_t aLimit)
  {
    mIsTextTooLong = mIsTextTooLong || mText.size() + aPart.size() > aLimit;
    if (mIsTextTooLong) {
      mText.clear();
    } else {
      mText.append(aPart.data(), aPart.size());
    }
    return true;
  }

  std::string TakeText()
  {
    mIsTextTooLong = false;
    return std::exchange(mText, {});
  }

  std::size_t mActiveBytesLeft = run_list_reader::kActiveCheckpointBytes;
  std::size_t mEndedBytesLeft = run_list_reader::kEndedCheckpointBytes;
  /// Number of objects and arrays that are open.
  std::size_t mDepth = 0;
  /// The list whose entries are being read.
  list mList = list::none;
  bool mHasActiveList = false;
  bool mHasEndedList = false;
  /// Last member name, and the members that are neither objects nor arrays.
  std::string mKey;
  base::json mMembers = base::json::object();
  base::json mEntry;
  std::string mText;
  bool mIsTextTooLong = false;
  std::string mFailure;
  worker_run_lists mLists;
};

json::parse_options Options()
{
  json::parse_options options;
  options.max_depth = kMaximumDepth;
  // A checkpoint may contain any bytes. It must not make the other runs unreadable.
  options.allow_invalid_utf8 = true;
  return options;
}

} // namespace

class run_list_reader::parser
{
public:
  explicit parser(std::size_t aFirstCheckpoint)
    : mParser{ Options(), aFirstCheckpoint }
  {
  }

  void Append(std::string_view aPiece)
  {
    // The parser keeps the first error.
    if (!mError) {
      mParser.write_some(true, aPiece.data(), aPiece.size(), mError);
    }
  }

  base::result<worker_run_lists> Finish()
  {
    if (!mError) {
      mParser.write_some(false, nullptr, 0, mError);
    }
    if (mError) {
      return base::Fail(result_code::malformed_message, "malformed JSON: " + mError.message());
    }
    return mParser.handler().Finish();
  }

private:
  json::basic_parser<run_list_handler> mParser;
  json::error_code mError;
};

run_list_reader::run_list_reader(std::size_t aFirstCheckpoint)
  : mParser{ std::make_unique<parser>(aFirstCheckpoint) }
{
}

run_list_reader::~run_list_reader() = default;

void run_list_reader::Append(std::string_view aPiece)
{
  mParser->Append(aPiece);
}

base::result<worker_run_lists> run_list_reader::Finish()
{
  return mParser->Finish();
}

} // namespace rattanpond::platform
