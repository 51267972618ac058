// Day-to-day operation without processes: the lifecycle, the operators' calls as lines, the claims of two
// processes in one table, and the file that holds it.
#include <gtest/gtest.h>
#include <sys/stat.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <random>

#include "admin/codec.h"
#include "hot_restart/shared_lease_table.h"
#include "lifecycle/lifecycle.h"

namespace granitegap {
namespace {

using namespace std::chrono_literals;
using hot_restart::KeyLeaseTable;
using hot_restart::LeaseDecision;
using hot_restart::SharedLeaseTable;
using lifecycle::Lifecycle;
using lifecycle::Phase;

// ---- Lifecycle ----

enum class Event { up, quiesce, resume, drain, hand_over };
constexpr Event kEvents[] = {Event::up, Event::quiesce, Event::resume, Event::drain, Event::hand_over};

bool tell(Lifecycle& boot_id, Event event) {
  switch (event) {
    case Event::up:
      boot_id.kernel_up();
      return true;
    case Event::quiesce:
      return boot_id.quiesce();
    case Event::resume:
      return boot_id.resume();
    case Event::drain:
      boot_id.stop(false);
      return true;
    case Event::hand_over:
      boot_id.stop(true);
      return true;
  }
  return false;
}

// What it must be after any two events, told from the rules and not from the code: a stop wins and the first
// stop counts; else the last of quiesce and resume; else whether the kernel has been up.
TEST(BootId, EveryOrderedPairOfEvents) {
  for (const auto first : kEvents)
    for (const auto second : kEvents) {
      Lifecycle boot_id;
      const bool one = tell(boot_id, first), two = tell(boot_id, second);
      const auto stops = [](Event e) { return e == Event::drain || e == Event::hand_over; };
      const auto was = [&](Event e) { return first == e || second == e; };
      const auto stop = stops(first) ? first : second;
      const bool stopped = stops(first) || stops(second);
      const bool quiesced = second == Event::quiesce || (first == Event::quiesce && second != Event::resume);
      const auto expected = stopped          ? Phase::stopping
                            : quiesced       ? Phase::quiesced
                            : was(Event::up) ? Phase::serving
                                             : Phase::starting;
      SCOPED_TRACE(std::to_string(int(first)) + " then " + std::to_string(int(second)));
      EXPECT_EQ(boot_id.phase(), expected);
      EXPECT_EQ(boot_id.up(), was(Event::up));
      EXPECT_EQ(boot_id.welcomes(), stopped ? stop == Event::hand_over : !quiesced);
      EXPECT_EQ(boot_id.reports(), !(stopped && stop == Event::hand_over));
      EXPECT_TRUE(one);
      // After a stop nothing leads back, and the caller hears so.
      EXPECT_EQ(two, !(stops(first) && (second == Event::quiesce || second == Event::resume)));
    }
}

// ---- The operators' calls ----

std::string answer_to(std::string_view line) {
  const auto call = admin::parse_command(line);
  const auto* bad = std::get_if<admin::CommandError>(&call);
  return bad ? std::string("ERR ") + admin::text_of(*bad)
             : "call " + std::to_string(int(std::get<admin::Command>(call)));
}

TEST(Admin, LinesThatAreCallsAndLinesThatAreNot) {
  EXPECT_EQ(answer_to("health"), "call 0");
  EXPECT_EQ(answer_to("quiesce\r"), "call 1");
  EXPECT_EQ(answer_to("resume"), "call 2");
  for (const auto* line : {"", "\r", "Health", "healthy", " health", "health ", "resume now", "quiesce\r\r"})
    EXPECT_TRUE(answer_to(line).starts_with("ERR ")) << line;
  EXPECT_EQ(answer_to(std::string_view("he\0lth", 6)), "ERR bytes that are no text");
  EXPECT_EQ(answer_to("h\xc3\xa9"), "ERR bytes that are no text");
  EXPECT_EQ(admin::encode({true, "serving"}), "OK serving\n");
  EXPECT_EQ(admin::encode({false, ""}), "ERR\n");
}

TEST(Admin, BytesComeInAnyPiecesAndALineHasAnEnd) {
  admin::CommandReader pieces;
  EXPECT_FALSE(pieces.add("hea"));
  EXPECT_FALSE(pieces.add("lth\r"));
  const auto call = pieces.add("\nquiesce\n");  // one line a connection
  ASSERT_TRUE(call);
  EXPECT_EQ(std::get<admin::Command>(*call), admin::Command::health);
  admin::CommandReader endless;
  std::size_t given = 0;
  std::optional<admin::CommandResult> told;
  for (; !told && given < 10 * admin::kMaxLineBytes; given += 10) told = endless.add("xxxxxxxxxx");
  ASSERT_TRUE(told);
  EXPECT_STREQ(admin::text_of(std::get<admin::CommandError>(*told)), "line too long");
  EXPECT_LE(given, admin::kMaxLineBytes + 20);
}

// ---- KeyLeaseTable ----

constexpr Duration kSpan = 10s;
hot_restart::UnixTime at(Duration since) { return hot_restart::UnixTime(Duration(1764576000s) + since); }

struct Memory {
  hot_restart::LeaseTableHeader head;
  std::vector<hot_restart::KeyLease> slots = std::vector<hot_restart::KeyLease>(256);
  KeyLeaseTable claims() { return {head, slots}; }
  Memory() { EXPECT_TRUE(claims().adopt(at(0s), kSpan)); }
  LeaseDecision acquire(const std::string& token, std::uint64_t boot_id, Duration reached,
                        std::optional<Duration> now = {}) {
    return claims().acquire(hot_restart::hash_key("report", token), at(reached), kSpan, boot_id,
                            at(now.value_or(reached)), kSpan);
  }
};

TEST(KeyLeaseTable, ATokenIsOneProcesssForItsWindowInEitherOrder) {
  Memory m;
  EXPECT_EQ(m.acquire("a", 1, 0s), LeaseDecision::acquired);
  EXPECT_EQ(m.acquire("a", 2, 1s), LeaseDecision::held_by_other);
  EXPECT_EQ(m.acquire("a", 2, 10s, 11s),
            LeaseDecision::held_by_other);  // came in the window, was read after it
  EXPECT_EQ(m.acquire("a", 2, 10s + 1us), LeaseDecision::acquired);
  EXPECT_EQ(m.acquire("a", 1, 11s), LeaseDecision::held_by_other);
  EXPECT_EQ(m.acquire("b", 2, 11s), LeaseDecision::acquired);
  EXPECT_EQ(m.acquire("b", 1, 11s), LeaseDecision::held_by_other);
}

TEST(KeyLeaseTable, WhatTheKernelNeverRanIsGivenBackByWhoeverClaimedIt) {
  Memory m;
  m.acquire("a", 1, 0s);
  m.claims().release(hot_restart::hash_key("report", "a"), 2);
  EXPECT_EQ(m.acquire("a", 2, 1s), LeaseDecision::held_by_other);
  m.claims().release(hot_restart::hash_key("report", "a"), 1);
  EXPECT_EQ(m.acquire("a", 2, 1s), LeaseDecision::acquired);
}

TEST(KeyLeaseTable, AFullTableIsDoubtAndAgedClaimsMakeRoom) {
  Memory m;
  int doubts = 0;
  for (int i = 0; i < 1000; ++i) doubts += m.acquire(std::to_string(i), 1, 0s) == LeaseDecision::unknown;
  EXPECT_GE(doubts, 1000 - 256);
  EXPECT_LE(m.claims().count_active(at(0s)), 256u);
  EXPECT_EQ(m.acquire("fresh", 1, 60s), LeaseDecision::acquired);
}

// Every byte of a record spoilt in turn: whatever it makes of it, the token does not run again.
TEST(KeyLeaseTable, NoDamageLetsATokenRunAgain) {
  for (std::size_t byte = 0; byte < sizeof(hot_restart::KeyLease); ++byte)
    for (const unsigned char flip : {std::uint8_t{0x01}, std::uint8_t{0x80}, std::uint8_t{0xff}}) {
      Memory m;
      ASSERT_EQ(m.acquire("a", 1, 0s), LeaseDecision::acquired);
      for (auto& slot : m.slots)
        if (slot.checksum != 0) reinterpret_cast<unsigned char*>(&slot)[byte] ^= flip;
      EXPECT_NE(m.acquire("a", 2, 1s), LeaseDecision::acquired) << "byte " << byte;
      EXPECT_NE(m.acquire("other", 2, 1s), LeaseDecision::acquired)
          << "what stood there could have been it; byte " << byte;
    }
}

TEST(KeyLeaseTable, AfterDamageAllWaitsForOneWindowAndNoLonger) {
  Memory m;
  m.acquire("a", 1, 0s);
  m.head.magic ^= 1;
  EXPECT_FALSE(m.claims().adopt(at(1s), kSpan));
  EXPECT_EQ(m.acquire("b", 2, 2s), LeaseDecision::unknown);
  EXPECT_EQ(m.acquire("b", 2, 11s), LeaseDecision::acquired);
  Memory back;  // a clock that was far ahead, and is right again
  back.acquire("a", 1, 1h);
  EXPECT_EQ(back.acquire("a", 2, 0s), LeaseDecision::unknown);
  EXPECT_EQ(back.acquire("a", 2, 10s), LeaseDecision::acquired);
}

// Two processes and an earlier life at random, against a model that knows when each token ran last.
TEST(KeyLeaseTable, RandomHistoriesRunNoTokenTwiceInAWindow) {
  for (unsigned seed = 1; seed <= 20; ++seed) {
    Memory m;
    std::mt19937 random(seed);
    std::map<std::string, std::pair<Duration, std::uint64_t>> ran;  // reached, and by which life
    int runs = 0, refused = 0;
    for (Duration now{}; now < 120s; now += Duration(random() % 100000)) {
      const auto token = std::to_string(random() % 30);
      const Duration reached = std::max(now - Duration(random() % 4000000), Duration{});
      const std::uint64_t boot_id = 1 + random() % 3;
      if (m.acquire(token, boot_id, reached, now) != LeaseDecision::acquired) {
        ++refused;
        continue;
      }
      ++runs;
      // A life's own repeats are its own table of keys' to refuse.
      const auto last = ran.find(token);
      if (last != ran.end() && reached <= last->second.first + kSpan) {
        EXPECT_EQ(boot_id, last->second.second) << "seed " << seed;
      }
      ran[token] = {reached, boot_id};
    }
    EXPECT_GT(runs, 100);
    EXPECT_GT(refused, 100);
  }
}

// ---- The file ----

struct Folder {
  Folder() {
    auto pattern = (std::filesystem::temp_directory_path() / "granitegap_claims_XXXXXX").string();
    path = ::mkdtemp(pattern.data());
  }
  ~Folder() { std::filesystem::remove_all(path); }
  std::variant<SharedLeaseTable, hot_restart::LeaseTableError> open(std::uint64_t boot_id) const {
    return SharedLeaseTable::open(path, "n1", boot_id, kSpan, at(0s));
  }
  std::string path;
};

TEST(SharedTables, TellWhoServesWhileItLives) {
  Folder f;
  auto one = f.open(1);
  auto& old = std::get<SharedLeaseTable>(one);
  old.mark_serving();
  EXPECT_FALSE(old.another_process_serves());
  {
    auto two = f.open(2);
    auto& fresh = std::get<SharedLeaseTable>(two);
    EXPECT_TRUE(fresh.another_process_serves());
    EXPECT_FALSE(old.another_process_serves());  // it is there, and can't serve yet
    fresh.mark_serving();
    EXPECT_TRUE(old.another_process_serves());
    const auto token = hot_restart::hash_key("report", "a");
    EXPECT_EQ(fresh.acquire(token, at(0s), kSpan, at(0s)), LeaseDecision::acquired);
    EXPECT_EQ(old.acquire(token, at(0s), kSpan, at(0s)), LeaseDecision::held_by_other);
  }
  EXPECT_FALSE(old.another_process_serves());
  auto three = f.open(3);  // takes the row of the one that went
  EXPECT_FALSE(old.another_process_serves());
  EXPECT_EQ(
      std::get<SharedLeaseTable>(three).acquire(hot_restart::hash_key("report", "a"), at(1s), kSpan, at(1s)),
      LeaseDecision::held_by_other);
}

TEST(SharedTables, SayWhatIsWrongWithTheFolderAndMendAFileThatIsNoTable) {
  Folder f;
  EXPECT_TRUE(std::holds_alternative<hot_restart::LeaseTableError>(
      SharedLeaseTable::open("", "n1", 1, kSpan, at(0s))));
  EXPECT_TRUE(std::holds_alternative<hot_restart::LeaseTableError>(
      SharedLeaseTable::open(f.path + "/gone", "n1", 1, kSpan, at(0s))));
  EXPECT_TRUE(std::holds_alternative<hot_restart::LeaseTableError>(
      SharedLeaseTable::open(f.path, "../n1", 1, kSpan, at(0s))));
  std::filesystem::create_directory(f.path + "/granitegap-n1.claims");
  EXPECT_TRUE(std::holds_alternative<hot_restart::LeaseTableError>(f.open(1)));
  std::filesystem::remove(f.path + "/granitegap-n1.claims");
  std::ofstream(f.path + "/granitegap-n1.claims") << "something else";
  auto opened = f.open(1);
  auto& table = std::get<SharedLeaseTable>(opened);
  EXPECT_TRUE(table.was_reset());
  EXPECT_EQ(table.acquire(hot_restart::hash_key("report", "a"), at(1s), kSpan, at(1s)),
            LeaseDecision::unknown);
  EXPECT_EQ(table.acquire(hot_restart::hash_key("report", "a"), at(11s), kSpan, at(11s)),
            LeaseDecision::acquired);
}

}  // namespace
}  // namespace granitegap
