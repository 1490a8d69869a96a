#include "platform/run_list_reader.h"

#include "base/codec.h"

#include <set>

#include <boost/test/unit_test.hpp>

namespace rattanpond::platform {

namespace {

using base::json;

base::reply<worker_run_lists> Read(std::string const& aText, std::size_t aPieceBytes,
                                   std::size_t aFirstCheckpoint = 0)
{
  run_list_reader reader{ aFirstCheckpoint };
  for (std::size_t position = 0; position < aText.size(); position += aPieceBytes) {
    reader.Append(std::string_view{ aText }.substr(position, aPieceBytes));
  }
  return base::Capture([&] { return reader.Finish(); });
}

worker_run_lists Lists(std::string const& aText, std::size_t aFirstCheckpoint = 0)
{
  auto read = Read(aText, 64 * 1024, aFirstCheckpoint);
  BOOST_REQUIRE(base::Succeeded(read));
  return std::get<0>(std::move(read));
}

json Document(json aActive, json aEnded)
{
  return { { "clock_ms", 482113 },
           { "born", 1767269633428 },
           { "running", std::move(aActive) },
           { "finished", std::move(aEnded) } };
}

std::string ActiveRuns(std::size_t aCount, std::size_t aCheckpointBytes)
{
  auto active = json::array();
  for (std::size_t index = 0; index < aCount; ++index) {
    active.push_back({ "t" + std::to_string(index), 1, std::string(aCheckpointBytes, 'c'), 50, 0 });
  }
  return Document(std::move(active), json::array()).dump();
}

std::string EndedRuns(std::size_t aCount, std::string const& aEnd, std::size_t aCheckpointBytes)
{
  auto ended = json::array();
  for (std::size_t index = 1; index <= aCount; ++index) {
    ended.push_back(
      { index, "t" + std::to_string(index), 1, aEnd, std::string(aCheckpointBytes, 'c') });
  }
  return Document(json::array(), std::move(ended)).dump();
}

} // namespace

BOOST_AUTO_TEST_SUITE(run_list_reader_test)

// Guards against values that depend on where a document is divided.
BOOST_AUTO_TEST_CASE(pieces_of_any_length_have_the_same_content)
{
  auto const text =
    Document({ { "t.0.1.17", 2, "caf\xc3\xa9", 41, 700 }, { "t.0.1.18", 4294967295U, "", 0 } },
             { { 58, "t.0.1.9", 1, "stopped", "000\"\\u" } })
      .dump();
  for (std::size_t const bytes : { std::size_t{ 1 }, std::size_t{ 7 }, text.size() }) {
    auto const read = Read(text, bytes);
    BOOST_REQUIRE(base::Succeeded(read));
    auto const& lists = std::get<0>(read);
    BOOST_TEST(lists.mClockMs == 482113);
    BOOST_TEST(lists.mIncarnationStart == 1767269633428);
    BOOST_REQUIRE(lists.mRunning.size() == 2U);
    BOOST_TEST(lists.mRunning[0].mTask == "t.0.1.17");
    BOOST_TEST(lists.mRunning[0].mRun == 2U);
    BOOST_TEST(lists.mRunning[0].mCheckpoint == "caf\xc3\xa9");
    BOOST_TEST(lists.mRunning[0].mPercent == 41);
    BOOST_TEST(lists.mRunning[0].mLoad == 700);
    BOOST_TEST(lists.mRunning[1].mRun == 4294967295U);
    BOOST_REQUIRE(lists.mEnded.size() == 1U);
    BOOST_TEST(lists.mEnded[0].mNumber == 58);
    BOOST_TEST((lists.mEnded[0].mEnd == dispatch::run_end::stopped));
    BOOST_TEST(lists.mEnded[0].mCheckpoint == "000\"\\u");
    BOOST_TEST(lists.mIsComplete);
  }
}

// Guards against a side that needs as much memory as its worker has checkpoints, and against runs
// whose checkpoint is never reported.
BOOST_AUTO_TEST_CASE(successive_lists_supply_all_checkpoints)
{
  constexpr std::size_t kRuns = 120;
  auto const text = ActiveRuns(kRuns, 60'000);
  std::set<std::string> supplied;
  std::size_t first = 0;
  int lists = 0;
  do {
    auto const read = Lists(text, first);
    BOOST_TEST(read.mRunning.size() == kRuns);
    BOOST_TEST(read.mIsComplete);
    std::size_t bytes = 0;
    for (auto const& run : read.mRunning) {
      bytes += run.mCheckpoint.size();
      if (!run.mCheckpoint.empty()) {
        supplied.insert(run.mTask);
      }
    }
    BOOST_TEST(bytes <= run_list_reader::kActiveCheckpointBytes);
    first = read.mNextCheckpoint;
    ++lists;
  } while (first != 0 && lists < 100);
  BOOST_TEST(supplied.size() == kRuns);
  BOOST_TEST(lists == 8);
}

// Guards against one checkpoint that holds up all others.
BOOST_AUTO_TEST_CASE(a_checkpoint_that_no_list_has_room_for_is_passed_over)
{
  auto const huge = std::string(run_list_reader::kActiveCheckpointBytes + 1, 'c');
  auto const text =
    Document({ { "a", 1, "1", 50 }, { "b", 1, huge, 50 }, { "c", 1, "3", 50 } }, json::array())
      .dump();
  auto const before = Lists(text);
  BOOST_TEST(before.mRunning[0].mCheckpoint == "1");
  BOOST_TEST(before.mNextCheckpoint == 1U);
  auto const at = Lists(text, before.mNextCheckpoint);
  BOOST_TEST(at.mRunning[1].mCheckpoint.empty());
  BOOST_TEST(at.mNextCheckpoint == 2U);
  auto const behind = Lists(text, at.mNextCheckpoint);
  BOOST_TEST(behind.mRunning[2].mCheckpoint == "3");
  BOOST_TEST(behind.mNextCheckpoint == 0U);
}

// Guards against ends that are lost for the length of their checkpoints.
BOOST_AUTO_TEST_CASE(all_ends_are_kept)
{
  auto const stopped = Lists(EndedRuns(499, "stopped", 60'000));
  BOOST_TEST(stopped.mEnded.size() == 499U);
  BOOST_TEST(stopped.mIsComplete);
  BOOST_TEST(stopped.mEnded[0].mCheckpoint.size() == 60'000U);
  BOOST_TEST(stopped.mOmittedCheckpoints == 499U - run_list_reader::kEndedCheckpointBytes / 60'000);
  // A task that is done never starts again, so the reader drops its checkpoint.
  auto const done = Lists(EndedRuns(499, "done", 60'000));
  BOOST_TEST(done.mEnded.size() == 499U);
  BOOST_TEST(done.mEnded[0].mCheckpoint.empty());
  BOOST_TEST(done.mOmittedCheckpoints == 0U);
  // The worker may have more ends than it lists at a time.
  BOOST_TEST(!Lists(EndedRuns(500, "done", 0)).mIsComplete);
}

// Guards against a checkpoint that makes the other runs of its worker unreadable, or that no
// message can carry.
BOOST_AUTO_TEST_CASE(checkpoints_that_are_no_text_are_left_out)
{
  auto const lists =
    Lists(R"({"clock_ms":1,"born":2,"running":[["a",1,7,50,0],["b",1,null,50],["c",1,["x"],50],)"
          "[\"d\",1,\"\xff\xfe\",50],[\"e\",1,\"text\",50],[\"f\",1]],\"finished\":"
          "[[1,\"g\",1,\"failed\",{\"x\":[1]}]]}");
  BOOST_TEST(lists.mIsComplete);
  BOOST_REQUIRE(lists.mRunning.size() == 6U);
  for (auto const& run : lists.mRunning) {
    BOOST_TEST(run.mCheckpoint == (run.mTask == "e" ? "text" : ""));
  }
  BOOST_REQUIRE(lists.mEnded.size() == 1U);
  BOOST_TEST(lists.mUnreadableCheckpoints == 5U);
}

// Guards against runs that are taken for others, or for absent, since an entry cannot be decoded.
BOOST_AUTO_TEST_CASE(malformed_active_runs_make_the_lists_incomplete)
{
  for (std::string const entry :
       { "7", "null", "{}", "[]", R"([1,2])", R"(["a"])", R"(["a",-1])", R"(["a",1.5])",
         R"(["a",4294967296])", R"([["a"],1])", "[\"\xff\",1]" }) {
    auto const lists =
      Lists(R"({"clock_ms":1,"born":2,"finished":[],"running":[["b",1,"",50,0],)" + entry + "]}");
    BOOST_TEST(lists.mRunning.size() == 1U, entry);
    BOOST_TEST(!lists.mIsComplete, entry);
  }
}

// Guards against an acknowledgement that covers an end which could not be decoded.
BOOST_AUTO_TEST_CASE(documents_that_are_no_lists_have_a_reason)
{
  std::string const ended = R"({"clock_ms":1,"born":2,"running":[],"finished":[)";
  for (auto const& text :
       { std::string{}, std::string{ "[]" }, std::string{ "7" }, std::string{ "{" },
         std::string{ R"({"clock_ms":1,"born":2,"running":[]})" },
         std::string{ R"({"clock_ms":"x","born":2,"running":[],"finished":[]})" },
         std::string{ R"({"clock_ms":1,"born":2,"running":{},"finished":[]})" },
         std::string{ R"({"clock_ms":1,"born":2,"running":[],"finished":[]}})" },
         ended + R"([1,"a",1,"unknown",""]]})", ended + R"([1.5,"a",1,"done",""]]})",
         ended + R"([1,"a",4294967296,"done",""]]})", ended + "[]]}",
         std::string(1000, '[') + std::string(1000, ']') }) {
    auto const read = Read(text, 5);
    BOOST_TEST(!base::Succeeded(read), text);
    if (!base::Succeeded(read)) {
      BOOST_TEST(!base::Error(read).mMessage.empty());
    }
  }
}

// Guards against workers of a later version that cannot be used: they may say more.
BOOST_AUTO_TEST_CASE(unknown_members_are_ignored)
{
  auto const lists = Lists(R"({"later":{"running":[["a",1]],"clock_ms":9},"running":[["b",1]],)"
                           R"("more":[["c",1]],"clock_ms":1,"born":2,"finished":[]})");
  BOOST_TEST(lists.mClockMs == 1);
  BOOST_REQUIRE(lists.mRunning.size() == 1U);
  BOOST_TEST(lists.mRunning[0].mTask == "b");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace rattanpond::platform
