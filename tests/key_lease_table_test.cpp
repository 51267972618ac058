// Tests leases on idempotency keys: the decisions in memory, and the file that processes share.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <map>
#include <optional>
#include <random>
#include <vector>

#include "hot_restart/shared_lease_table.h"
#include "standin/temporary_directory.h"

namespace granitegap::hot_restart {
namespace {

using namespace std::chrono_literals;

constexpr Duration kLease = 10s;
constexpr char kServerName[] = "n1";

UnixTime at(Duration since_start) { return UnixTime(Duration(1764576000s) + since_start); }

// ---- The table in memory ----

// Memory for a small table, and operations on it at given times.
struct TableMemory {
  LeaseTableHeader header;
  std::vector<KeyLease> slots = std::vector<KeyLease>(256);

  TableMemory() { EXPECT_TRUE(table().adopt(at(0s), kLease)); }
  KeyLeaseTable table() { return {header, slots}; }
  // Decides at `now` on an attempt that was received at `received`. `now` defaults to `received`.
  LeaseDecision acquire(const std::string& key, std::uint64_t boot_id, Duration received,
                        std::optional<Duration> now = {}) {
    return table().acquire(hash_key("report", key), at(received), kLease, boot_id, at(now.value_or(received)),
                           kLease);
  }
};

TEST(KeyLeaseTable, AKeyIsHeldByOneProcessUntilItsLeaseExpires) {
  TableMemory memory;
  EXPECT_EQ(memory.acquire("a", 1, 0s), LeaseDecision::acquired);
  EXPECT_EQ(memory.acquire("a", 2, 1s), LeaseDecision::held_by_other);
  EXPECT_EQ(memory.acquire("a", 2, 10s + 1us), LeaseDecision::acquired);
  EXPECT_EQ(memory.acquire("a", 1, 11s), LeaseDecision::held_by_other);
}

TEST(KeyLeaseTable, EitherProcessCanBeTheFirst) {
  TableMemory memory;
  EXPECT_EQ(memory.acquire("b", 2, 11s), LeaseDecision::acquired);
  EXPECT_EQ(memory.acquire("b", 1, 11s), LeaseDecision::held_by_other);
}

TEST(KeyLeaseTable, AnAttemptReceivedWithinTheLeaseIsDeniedHoweverLateItIsDecided) {
  TableMemory memory;
  EXPECT_EQ(memory.acquire("a", 1, 0s), LeaseDecision::acquired);
  EXPECT_EQ(memory.acquire("a", 2, 10s, 11s), LeaseDecision::held_by_other);
}

TEST(KeyLeaseTable, OnlyTheHolderReleasesALease) {
  TableMemory memory;
  EXPECT_EQ(memory.acquire("a", 1, 0s), LeaseDecision::acquired);
  memory.table().release(hash_key("report", "a"), 2);
  EXPECT_EQ(memory.acquire("a", 2, 1s), LeaseDecision::held_by_other);
  memory.table().release(hash_key("report", "a"), 1);
  EXPECT_EQ(memory.acquire("a", 2, 1s), LeaseDecision::acquired);
}

TEST(KeyLeaseTable, DecisionIsUnknownWhenTheTableIsFull) {
  TableMemory memory;
  int unknown = 0;
  for (int k = 0; k < 1000; ++k)
    unknown += memory.acquire(std::to_string(k), 1, 0s) == LeaseDecision::unknown;
  EXPECT_GE(unknown, 1000 - 256);
  EXPECT_LE(memory.table().count_active(at(0s)), 256u);
}

TEST(KeyLeaseTable, SlotsOfExpiredLeasesAreReused) {
  TableMemory memory;
  for (int k = 0; k < 1000; ++k) (void)memory.acquire(std::to_string(k), 1, 0s);
  EXPECT_EQ(memory.acquire("fresh", 1, 60s), LeaseDecision::acquired);
}

// Every byte of a record is damaged in turn. The record may have belonged to any key, so no lease may be
// granted on this key or another one.
TEST(KeyLeaseTable, ADamagedByteInARecordPreventsLeases) {
  for (std::size_t byte = 0; byte < sizeof(KeyLease); ++byte)
    for (const unsigned char mask : {std::uint8_t{0x01}, std::uint8_t{0x80}, std::uint8_t{0xff}}) {
      TableMemory memory;
      ASSERT_EQ(memory.acquire("a", 1, 0s), LeaseDecision::acquired);
      for (auto& slot : memory.slots)
        if (slot.checksum != 0) reinterpret_cast<unsigned char*>(&slot)[byte] ^= mask;
      EXPECT_NE(memory.acquire("a", 2, 1s), LeaseDecision::acquired) << "byte " << byte;
      EXPECT_NE(memory.acquire("other", 2, 1s), LeaseDecision::acquired) << "byte " << byte;
    }
}

TEST(KeyLeaseTable, ADamagedHeaderQuarantinesTheTableForTheLongestLease) {
  TableMemory memory;
  EXPECT_EQ(memory.acquire("a", 1, 0s), LeaseDecision::acquired);
  memory.header.magic ^= 1;
  EXPECT_FALSE(memory.table().adopt(at(1s), kLease));
  EXPECT_EQ(memory.acquire("b", 2, 2s), LeaseDecision::unknown);
  EXPECT_EQ(memory.acquire("b", 2, 11s), LeaseDecision::acquired);
}

TEST(KeyLeaseTable, ALeaseWrittenByAClockThatWasAheadQuarantinesTheTableForTheLongestLease) {
  TableMemory memory;
  EXPECT_EQ(memory.acquire("a", 1, 1h), LeaseDecision::acquired);
  EXPECT_EQ(memory.acquire("a", 2, 0s), LeaseDecision::unknown);
  EXPECT_EQ(memory.acquire("a", 2, 10s), LeaseDecision::acquired);
}

// Three processes acquire leases at random. A model of when each key ran last checks the decisions.
TEST(KeyLeaseTable, RandomHistoriesRunNoKeyTwiceWithinItsLease) {
  struct LastRun {
    Duration received;
    std::uint64_t boot_id;
  };
  for (unsigned seed = 1; seed <= 20; ++seed) {
    TableMemory memory;
    std::mt19937 random(seed);
    std::map<std::string, LastRun> last_runs;
    int granted = 0, denied = 0;
    for (Duration now{}; now < 120s; now += Duration(random() % 100000)) {
      const auto key = std::to_string(random() % 30);
      const Duration received = std::max(now - Duration(random() % 4000000), Duration{});
      const std::uint64_t boot_id = 1 + random() % 3;
      if (memory.acquire(key, boot_id, received, now) != LeaseDecision::acquired) {
        ++denied;
        continue;
      }
      ++granted;
      // Repeated attempts within one process are denied by its own idempotency table, not here.
      const auto last = last_runs.find(key);
      if (last != last_runs.end() && received <= last->second.received + kLease) {
        EXPECT_EQ(boot_id, last->second.boot_id) << "seed " << seed;
      }
      last_runs[key] = {received, boot_id};
    }
    EXPECT_GT(granted, 100);
    EXPECT_GT(denied, 100);
  }
}

// ---- The file ----

struct TableDirectory : standin::TemporaryDirectory {
  std::variant<SharedLeaseTable, LeaseTableError> open(std::uint64_t boot_id) const {
    return SharedLeaseTable::open(path().string(), kServerName, boot_id, kLease, at(0s));
  }
  std::filesystem::path file() const { return path() / "granitegap-n1.claims"; }
};

// Returns the kind of error that open() reported; nullopt if it opened the table.
std::optional<LeaseTableError::Kind> error_kind(
    const std::variant<SharedLeaseTable, LeaseTableError>& opened) {
  const auto* error = std::get_if<LeaseTableError>(&opened);
  return error ? std::optional(error->kind) : std::nullopt;
}

TEST(SharedLeaseTable, AnotherProcessServesOnlyWhileItIsAliveAndAcceptsConnections) {
  const TableDirectory directory;
  auto opened_old = directory.open(1);
  auto& old = std::get<SharedLeaseTable>(opened_old);
  old.mark_serving();
  EXPECT_FALSE(old.another_process_serves());
  {
    auto opened_replacement = directory.open(2);
    auto& replacement = std::get<SharedLeaseTable>(opened_replacement);
    EXPECT_TRUE(replacement.another_process_serves());
    EXPECT_FALSE(old.another_process_serves());  // it is alive but not serving yet
    replacement.mark_serving();
    EXPECT_TRUE(old.another_process_serves());
    replacement.mark_draining();
    EXPECT_FALSE(old.another_process_serves());
    replacement.mark_serving();
  }
  EXPECT_FALSE(old.another_process_serves());
}

TEST(SharedLeaseTable, AReusedProcessSlotStartsAsNotServing) {
  const TableDirectory directory;
  auto opened_old = directory.open(1);
  auto& old = std::get<SharedLeaseTable>(opened_old);
  {
    auto opened_second = directory.open(2);
    std::get<SharedLeaseTable>(opened_second).mark_serving();
  }
  const auto opened_third = directory.open(3);
  ASSERT_FALSE(error_kind(opened_third));
  EXPECT_FALSE(old.another_process_serves());
}

TEST(SharedLeaseTable, ALeaseOutlivesTheProcessThatHoldsIt) {
  const TableDirectory directory;
  const auto key = hash_key("report", "a");
  auto opened_old = directory.open(1);
  auto& old = std::get<SharedLeaseTable>(opened_old);
  {
    auto opened_replacement = directory.open(2);
    auto& replacement = std::get<SharedLeaseTable>(opened_replacement);
    EXPECT_EQ(replacement.acquire(key, at(0s), kLease, at(0s)), LeaseDecision::acquired);
    EXPECT_EQ(old.acquire(key, at(0s), kLease, at(0s)), LeaseDecision::held_by_other);
  }
  auto opened_third = directory.open(3);
  EXPECT_EQ(std::get<SharedLeaseTable>(opened_third).acquire(key, at(1s), kLease, at(1s)),
            LeaseDecision::held_by_other);
}

TEST(SharedLeaseTable, AnUnusableDirectoryOrNameIsAnError) {
  const TableDirectory directory;
  using Kind = LeaseTableError::Kind;
  const auto open = [](const std::string& path, const std::string& name) {
    return SharedLeaseTable::open(path, name, 1, kLease, at(0s));
  };
  EXPECT_EQ(error_kind(open("", kServerName)), Kind::directory_not_set);
  EXPECT_EQ(error_kind(open(directory.path().string() + "/missing", kServerName)), Kind::system_error);
  EXPECT_EQ(error_kind(open(directory.path().string(), "../n1")), Kind::invalid_name);
}

TEST(SharedLeaseTable, ADirectoryInPlaceOfTheFileIsAnError) {
  const TableDirectory directory;
  std::filesystem::create_directory(directory.file());
  EXPECT_EQ(error_kind(directory.open(1)), LeaseTableError::Kind::system_error);
}

TEST(SharedLeaseTable, OpeningFailsWhenAllProcessSlotsAreInUse) {
  const TableDirectory directory;
  std::vector<std::variant<SharedLeaseTable, LeaseTableError>> opened;
  for (std::size_t k = 0; k < LeaseTableHeader::kMaxProcesses; ++k) {
    opened.push_back(directory.open(1 + k));
    EXPECT_FALSE(error_kind(opened.back())) << k;
  }
  const auto one_more = directory.open(100);
  ASSERT_EQ(error_kind(one_more), LeaseTableError::Kind::too_many_processes);
  EXPECT_EQ(std::get<LeaseTableError>(one_more).message(),
            "cannot open the lease table " + directory.file().string() + ": all 8 process slots are in use");
}

TEST(SharedLeaseTable, ErrorMessagesNameTheFileOrSettingAndTheCause) {
  const TableDirectory directory;
  const auto message = [](const std::string& path, const std::string& name) {
    return std::get<LeaseTableError>(SharedLeaseTable::open(path, name, 1, kLease, at(0s))).message();
  };
  EXPECT_EQ(message("", kServerName), "cannot open the lease table: TMPDIR is not set");
  EXPECT_EQ(message(directory.path().string(), "../n1"),
            "cannot open the lease table: server name contains '/': ../n1");
  EXPECT_EQ(message("/missing", kServerName),
            "cannot open the lease table /missing/granitegap-n1.claims: No such file or directory");
}

TEST(SharedLeaseTable, AFileThatIsNotATableIsReplacedByAQuarantinedTable) {
  const TableDirectory directory;
  std::ofstream(directory.file()) << "something else";
  auto opened = directory.open(1);
  auto& table = std::get<SharedLeaseTable>(opened);
  EXPECT_TRUE(table.was_reset());
  const auto key = hash_key("report", "a");
  EXPECT_EQ(table.acquire(key, at(1s), kLease, at(1s)), LeaseDecision::unknown);
  EXPECT_EQ(table.acquire(key, at(11s), kLease, at(11s)), LeaseDecision::acquired);
}

}  // namespace
}  // namespace granitegap::hot_restart
