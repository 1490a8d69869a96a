#include "dispatch/silent_sides.h"

#include "base/codec.h"

#include <optional>
#include <random>
#include <vector>

#include <boost/test/unit_test.hpp>

namespace rattanpond::dispatch {

namespace {

/// A row of the store. Writes take effect at any time after they were sent, in any order, while the
/// row has the version that they expect.
struct row_model
{
  struct write
  {
    std::uint64_t mVersion = 0;
    std::string mText;
  };

  /// Returns the new version if the write takes effect.
  std::optional<std::uint64_t> Apply(write const& aWrite)
  {
    if (aWrite.mVersion != mVersion) {
      return std::nullopt;
    }
    mText = aWrite.mText;
    return mVersion = ++mCounter;
  }

  bool MayList(std::string const& aNode) const
  {
    auto const lists = [&](std::string const& aText) {
      auto const list = base::json::parse(aText, nullptr, false);
      return list.is_object() && list.contains(aNode);
    };
    if (lists(mText)) {
      return true;
    }
    for (auto const& write : mLate) {
      if (write.mVersion == mVersion && lists(write.mText)) {
        return true;
      }
    }
    return false;
  }

  std::string mText;
  std::uint64_t mVersion = 0;
  std::uint64_t mCounter = 0;
  /// Writes without an answer that have not taken effect.
  std::vector<write> mLate;
};

} // namespace

BOOST_AUTO_TEST_SUITE(silent_sides_test)

// Guards against a second run beside one that still works: a side is answered, and renews its
// leases, while the store lists it as silent or a late write may still list it.
BOOST_AUTO_TEST_CASE(a_side_that_the_store_may_list_is_never_answered)
{
  std::vector<std::string> const nodes{ "side-0", "side-1", "side-2" };
  for (unsigned seed = 1; seed <= 300; ++seed) {
    std::minstd_rand random{ seed };
    auto const choose = [&](int aCount) {
      return std::uniform_int_distribution<int>{ 0, aCount - 1 }(random);
    };
    row_model row;
    silent_sides sides;
    sides.Adopt("", 0);
    std::int64_t now = 0;
    for (int step = 0; step < 200; ++step) {
      ++now;
      auto const& node = nodes[static_cast<std::size_t>(choose(3))];
      switch (choose(5)) {
        case 0:
          sides.Add(node, now);
          break;
        case 1:
          sides.Remove(node);
          break;
        case 2: {
          if (row.mLate.empty()) {
            break;
          }
          auto const index = choose(static_cast<int>(row.mLate.size()));
          row.Apply(row.mLate[static_cast<std::size_t>(index)]);
          row.mLate.erase(row.mLate.begin() + index);
          break;
        }
        case 3:
          // Another holder: it knows only the row. Writes of the former one depend on its term.
          if (choose(5) == 0) {
            row.mLate.clear();
            sides = {};
            for (auto const& each : nodes) {
              BOOST_TEST(!sides.MayAnswer(each));
            }
            sides.Adopt(row.mText, row.mVersion);
          }
          break;
        default: {
          if (!sides.MustWrite()) {
            break;
          }
          auto const version = sides.Version();
          row_model::write const write{ version, sides.BeginWrite() };
          BOOST_TEST(!sides.MustWrite());
          auto const outcome = choose(3);
          if (outcome == 0) {
            row.mLate.push_back(write);
            sides.WriteUnanswered();
          } else if (auto const written = row.Apply(write); !written) {
            sides.WriteConflicted(row.mVersion);
          } else if (outcome == 1) {
            sides.WriteUnanswered();
          } else {
            sides.WriteCommitted(*written);
          }
          break;
        }
      }
      for (auto const& each : nodes) {
        BOOST_TEST((!sides.MayAnswer(each) || !row.MayList(each)));
      }
    }
    // With answers, every side that reports is answered in the end.
    for (auto const& each : nodes) {
      sides.Remove(each);
    }
    for (int attempt = 0; attempt < 3 && sides.MustWrite(); ++attempt) {
      auto const version = sides.Version();
      auto const written = row.Apply({ version, sides.BeginWrite() });
      written ? sides.WriteCommitted(*written) : sides.WriteConflicted(row.mVersion);
    }
    for (auto const& each : nodes) {
      BOOST_TEST(sides.MayAnswer(each));
      BOOST_TEST(!row.MayList(each));
    }
  }
}

// Guards against an entry that is moved to a later time, or lost, at a change of the holder.
BOOST_AUTO_TEST_CASE(the_next_holder_reads_what_was_listed)
{
  silent_sides former;
  former.Adopt("", 0);
  former.Add("side-0", 1000);
  former.Add("side-0", 2500);
  auto const text = former.BeginWrite();
  former.WriteCommitted(7);
  silent_sides next;
  next.Adopt(text, 7);
  BOOST_TEST(next.Wanted().at("side-0") == 1000);
  next.Add("side-0", 4000);
  BOOST_TEST(next.Wanted().at("side-0") == 1000);
  BOOST_TEST(!next.MustWrite());
}

// Guards against rows that another program wrote.
BOOST_AUTO_TEST_CASE(an_unreadable_list_is_empty)
{
  for (auto const* const text :
       { "", "{", "[1]", "7", R"({"side-0":"x"})", R"({"side-0":null})" }) {
    silent_sides sides;
    sides.Adopt(text, 3);
    BOOST_TEST(sides.Wanted().empty());
    BOOST_TEST(sides.MayAnswer("side-0"));
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace rattanpond::dispatch
