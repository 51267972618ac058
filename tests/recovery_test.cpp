// What a process that has lost its memory must not run, and what one life leaves to the next.
#include <gtest/gtest.h>
#include <sys/stat.h>
#include <unistd.h>

#include <fstream>

#include "recovery/lost_memory.h"
#include "snapshot/life_file.h"

namespace granitegap {
namespace {

using namespace std::chrono_literals;
using recovery::EarlierLife;
using recovery::LostMemory;

constexpr TimePoint kStart(100s);
constexpr ClassId kTile{0}, kReport{1};

LostMemory fresh() { return LostMemory({{0s, 9s}, 2s, 1h}, kStart); }

TEST(LostMemory, WithoutAnyWordTheWholeWindowFromTheStartIsInDoubt) {
  const auto m = fresh();
  EXPECT_TRUE(m.in_doubt(kReport, kStart));
  EXPECT_TRUE(m.in_doubt(kReport, kStart + 11s - 1us));
  EXPECT_FALSE(m.in_doubt(kReport, kStart + 11s));
  EXPECT_FALSE(m.in_doubt(kTile, kStart));
  EXPECT_FALSE(m.in_doubt(ClassId(7), kStart));
}

// What reached the machine while it was in doubt stays so, however late it is read.
TEST(LostMemory, ByWhenItReachedTheMachine) { EXPECT_TRUE(fresh().in_doubt(kReport, kStart - 5s)); }

TEST(LostMemory, AnOrderlyEndShortensTheWaitAndNothingElseDoes) {
  auto m = fresh();
  m.learn({4s, false, {}}, kStart + 100ms);
  EXPECT_EQ(m.until(kReport), kStart + 100ms - 4s + 11s);
  m.learn({}, kStart + 200ms);  // a second word without one takes nothing back
  EXPECT_EQ(m.until(kReport), kStart + 100ms - 4s + 11s);
  auto ahead = fresh();
  ahead.learn({-1h, false, {}}, kStart);  // an end in the future
  EXPECT_EQ(ahead.until(kReport), kStart + 11s);
}

TEST(LostMemory, AnEndThatStaysHoldsEverythingUntilItIsGone) {
  auto m = fresh();
  m.learn({std::nullopt, true, {}}, kStart);
  EXPECT_TRUE(m.in_doubt(kReport, kStart + 24h));
  EXPECT_FALSE(m.in_doubt(kTile, kStart));
  m.learn({}, kStart + 1h);
  EXPECT_FALSE(m.in_doubt(kReport, kStart + 1h));
}

TEST(LostMemory, AnotherUnderTheNameIsWaitedOutAnew) {
  auto m = fresh();
  m.another_lives(true, kStart + 1h);
  EXPECT_TRUE(m.in_doubt(kReport, kStart + 2h));
  m.another_lives(false, kStart + 3h);
  EXPECT_TRUE(m.in_doubt(kReport, kStart + 3h + 10s));
  EXPECT_FALSE(m.in_doubt(kReport, kStart + 3h + 11s));
  m.another_lives(false, kStart + 4h);  // nothing new
  EXPECT_FALSE(m.in_doubt(kReport, kStart + 4h));
}

TEST(LostMemory, AClockSetBackNeverShortensAndAWrongOneDoesNotHoldForEver) {
  auto m = fresh();
  m.learn({std::nullopt, false, 60s}, kStart);
  EXPECT_EQ(m.until(kReport), kStart + 71s);
  m.learn({std::nullopt, false, 10s}, kStart);
  EXPECT_EQ(m.until(kReport), kStart + 71s);
  m.learn({std::nullopt, false, 24h * 365}, kStart);
  EXPECT_EQ(m.until(kReport), kStart + 1h + 11s);
  auto other = fresh();
  other.learn({std::nullopt, false, -60s}, kStart);  // the clock ran ahead: nothing to be made up for
  EXPECT_EQ(other.until(kReport), kStart + 11s);
}

// ---- The file ----

using namespace snapshot;

struct Folder {
  std::filesystem::path path;
  Folder() {
    auto pattern = (std::filesystem::temp_directory_path() / "granitegap_life_XXXXXX").string();
    path = ::mkdtemp(pattern.data());
  }
  ~Folder() { std::filesystem::remove_all(path); }
};

const Ended kEnded{"n1", {"boot-1", 5000s, 1'700'000'000'000'000}};

TEST(LifeFile, IsReadAsItWasWrittenAndTakenOnce) {
  Folder f;
  EXPECT_TRUE(std::holds_alternative<Nothing>(read_ended(f.path)));
  EXPECT_FALSE(write_ended(f.path, kEnded));
  const auto back = read_ended(f.path);
  ASSERT_TRUE(std::holds_alternative<Ended>(back));
  EXPECT_EQ(std::get<Ended>(back).name, "n1");
  EXPECT_EQ(std::get<Ended>(back).at.since_boot, 5000s);
  EXPECT_FALSE(take_ended(f.path));
  EXPECT_TRUE(std::holds_alternative<Nothing>(read_ended(f.path)));
  EXPECT_FALSE(take_ended(f.path));
}

// Cut at each byte, each byte changed, something after it: believed only whole.
TEST(LifeFile, DamageOfAnyByteIsNoticed) {
  const auto whole = encode(kEnded);
  ASSERT_TRUE(std::holds_alternative<Ended>(decode(whole)));
  for (std::size_t n = 0; n < whole.size(); ++n) {
    EXPECT_TRUE(std::holds_alternative<Fault>(decode(whole.substr(0, n)))) << n;
    for (int bit = 0; bit < 8; ++bit) {
      auto flipped = whole;
      flipped[n] = char(flipped[n] ^ (1 << bit));
      EXPECT_TRUE(std::holds_alternative<Fault>(decode(flipped))) << n;
    }
  }
  EXPECT_TRUE(std::holds_alternative<Fault>(decode(whole + "x")));
  EXPECT_TRUE(std::holds_alternative<Fault>(decode(std::string(10000, 'x'))));
  auto version = whole;
  version[3] = '2';
  EXPECT_EQ(std::get<Fault>(decode(version)).why, "of another version");
}

TEST(LifeFile, OnlyOneBootsClockTellsHowLongAgo) {
  EXPECT_EQ(earlier_life(kEnded, {"boot-1", 5004s, 1'700'000'004'000'000}).ended_in_order, 4s);
  EXPECT_EQ(earlier_life(kEnded, {"boot-1", 5004s, 1'700'000'004'000'000}).clock_behind, 0s);
  EXPECT_FALSE(earlier_life(kEnded, {"boot-2", 5004s, 1'700'000'004'000'000}).ended_in_order);
  EXPECT_FALSE(earlier_life(kEnded, {"", 5004s, 1'700'000'004'000'000}).ended_in_order);
  EXPECT_FALSE(earlier_life(kEnded, {"boot-1", 4000s, 1'700'000'004'000'000}).ended_in_order);
  // The Unix clock a day ahead does not make the end older, and one set back is seen by as much.
  EXPECT_EQ(earlier_life(kEnded, {"boot-1", 5004s, 1'700'086'404'000'000}).ended_in_order, 4s);
  EXPECT_EQ(earlier_life(kEnded, {"boot-1", 5004s, 1'699'999'944'000'000}).clock_behind, 60s);
  EXPECT_EQ(earlier_life(kEnded, {"boot-2", 4s, 1'699'999'944'000'000}).clock_behind, 56s);
}

TEST(LifeFile, WhatCanNotBeWrittenOrTakenSaysSo) {
  Folder f;
  EXPECT_EQ(write_ended(f.path / "none", kEnded)->step, "creating it");
  EXPECT_TRUE(take_ended(f.path / "none"));
  std::ofstream(f.path / "file") << "x";
  FolderLock lock;
  EXPECT_TRUE(lock.take(f.path / "file" / "below"));
  EXPECT_TRUE(lock.take(f.path / "file"));
  EXPECT_FALSE(lock.held());
  // A directory where the file should be: neither read nor taken.
  std::filesystem::create_directory(f.path / "ended");
  EXPECT_TRUE(std::holds_alternative<Fault>(read_ended(f.path)));
  EXPECT_TRUE(take_ended(f.path));
}

TEST(LifeFile, ADirectoryHasOneOwner) {
  Folder f;
  FolderLock first, second;
  EXPECT_FALSE(first.take(f.path / "state"));
  EXPECT_EQ(second.take(f.path / "state")->why, "another process holds it");
  EXPECT_FALSE(first.take(f.path / "state"));
}

}  // namespace
}  // namespace granitegap
