// Tests the quarantine of requests with an idempotency key after a restart, the shutdown record and snapshots
// that a process leaves for its next incarnation, and the use of restored warm state.
#include "recovery/restart_quarantine.h"

#include <gtest/gtest.h>
#include <sys/stat.h>
#include <unistd.h>

#include <fstream>

#include "deps/scatter_gather.h"
#include "snapshot/directory_lock.h"
#include "snapshot/shutdown_record.h"
#include "snapshot/snapshot_files.h"

namespace granitegap {
namespace {

using namespace std::chrono_literals;
using recovery::PreviousIncarnation;
using recovery::RestartQuarantine;

constexpr TimePoint kStart(100s);
constexpr ClassId kTile{0}, kReport{1};

// Returns a quarantine for two classes, of which only kReport has an idempotency window.
RestartQuarantine new_quarantine() { return RestartQuarantine({{0s, 9s}, 2s, 1h}, kStart); }

TEST(RestartQuarantine, LastsForTheWindowAndMarginFromTheStartByDefault) {
  const auto quarantine = new_quarantine();
  EXPECT_TRUE(quarantine.is_quarantined(kReport, kStart));
  EXPECT_TRUE(quarantine.is_quarantined(kReport, kStart + 11s - 1us));
  EXPECT_FALSE(quarantine.is_quarantined(kReport, kStart + 11s));
  EXPECT_FALSE(quarantine.is_quarantined(kTile, kStart));
  EXPECT_FALSE(quarantine.is_quarantined(ClassId(7), kStart));
}

// A request that reached the machine during the quarantine stays quarantined, however late it is read.
TEST(RestartQuarantine, DependsOnWhenTheRequestReachedTheMachine) {
  EXPECT_TRUE(new_quarantine().is_quarantined(kReport, kStart - 5s));
}

TEST(RestartQuarantine, OnlyACleanShutdownShortensTheQuarantine) {
  auto quarantine = new_quarantine();
  quarantine.on_previous_incarnation({4s, false, {}}, kStart + 100ms);
  EXPECT_EQ(quarantine.quarantined_until(kReport), kStart + 100ms - 4s + 11s);
  // A later report without a shutdown changes nothing.
  quarantine.on_previous_incarnation({}, kStart + 200ms);
  EXPECT_EQ(quarantine.quarantined_until(kReport), kStart + 100ms - 4s + 11s);
  auto ahead = new_quarantine();
  ahead.on_previous_incarnation({-1h, false, {}}, kStart);  // a shutdown in the future
  EXPECT_EQ(ahead.quarantined_until(kReport), kStart + 11s);
}

TEST(RestartQuarantine, DoesNotEndWhileAShutdownRecordRemains) {
  auto quarantine = new_quarantine();
  quarantine.on_previous_incarnation({std::nullopt, true, {}}, kStart);
  EXPECT_TRUE(quarantine.is_quarantined(kReport, kStart + 24h));
  EXPECT_FALSE(quarantine.is_quarantined(kTile, kStart));
  quarantine.on_previous_incarnation({}, kStart + 1h);
  EXPECT_FALSE(quarantine.is_quarantined(kReport, kStart + 1h));
}

TEST(RestartQuarantine, RestartsWhenANameConflictEnds) {
  auto quarantine = new_quarantine();
  quarantine.on_name_conflict(true, kStart + 1h);
  EXPECT_TRUE(quarantine.is_quarantined(kReport, kStart + 2h));
  quarantine.on_name_conflict(false, kStart + 3h);
  EXPECT_TRUE(quarantine.is_quarantined(kReport, kStart + 3h + 10s));
  EXPECT_FALSE(quarantine.is_quarantined(kReport, kStart + 3h + 11s));
  quarantine.on_name_conflict(false, kStart + 4h);  // no change
  EXPECT_FALSE(quarantine.is_quarantined(kReport, kStart + 4h));
}

TEST(RestartQuarantine, AClockSetbackProlongsTheQuarantineUpToALimit) {
  auto quarantine = new_quarantine();
  quarantine.on_previous_incarnation({std::nullopt, false, 60s}, kStart);
  EXPECT_EQ(quarantine.quarantined_until(kReport), kStart + 71s);
  quarantine.on_previous_incarnation({std::nullopt, false, 10s}, kStart);
  EXPECT_EQ(quarantine.quarantined_until(kReport), kStart + 71s);
  quarantine.on_previous_incarnation({std::nullopt, false, 24h * 365}, kStart);
  EXPECT_EQ(quarantine.quarantined_until(kReport), kStart + 1h + 11s);
  auto other = new_quarantine();
  // A clock that is ahead does not prolong the quarantine.
  other.on_previous_incarnation({std::nullopt, false, -60s}, kStart);
  EXPECT_EQ(other.quarantined_until(kReport), kStart + 11s);
}

// ---- The shutdown record ----

using namespace snapshot;

// A temporary directory, removed on destruction.
struct StateDirectory {
  std::filesystem::path path;
  StateDirectory() {
    auto pattern = (std::filesystem::temp_directory_path() / "granitegap_life_XXXXXX").string();
    path = ::mkdtemp(pattern.data());
  }
  ~StateDirectory() { std::filesystem::remove_all(path); }
};

// Whether the directory could be read and contains no record.
bool has_no_record(const std::filesystem::path& directory) {
  const auto read = read_shutdown_record(directory);
  const auto* record = std::get_if<std::optional<ShutdownRecord>>(&read);
  return record && !*record;
}

const ShutdownRecord kShutdownRecord{"n1", {"boot-1", 5000s, 1'700'000'000'000'000}};

TEST(ShutdownRecord, IsReadAsWrittenAndIsGoneOnceRemoved) {
  StateDirectory directory;
  EXPECT_TRUE(has_no_record(directory.path));
  EXPECT_FALSE(write_shutdown_record(directory.path, kShutdownRecord));
  const auto read = read_shutdown_record(directory.path);
  ASSERT_TRUE(std::holds_alternative<std::optional<ShutdownRecord>>(read));
  const auto& record = std::get<std::optional<ShutdownRecord>>(read);
  ASSERT_TRUE(record);
  EXPECT_EQ(record->name, "n1");
  EXPECT_EQ(record->shutdown_at.since_boot, 5000s);
  EXPECT_FALSE(remove_shutdown_record(directory.path));
  EXPECT_TRUE(has_no_record(directory.path));
  EXPECT_FALSE(remove_shutdown_record(directory.path));
}

// Records that are truncated at any byte, have any bit flipped or are followed by more bytes are rejected.
TEST(ShutdownRecord, AnyDamagedByteIsDetected) {
  const auto encoded = encode(kShutdownRecord);
  ASSERT_TRUE(std::holds_alternative<ShutdownRecord>(decode_shutdown_record(encoded)));
  for (std::size_t n = 0; n < encoded.size(); ++n) {
    EXPECT_TRUE(std::holds_alternative<StorageError>(decode_shutdown_record(encoded.substr(0, n)))) << n;
    for (int bit = 0; bit < 8; ++bit) {
      auto flipped = encoded;
      flipped[n] = char(flipped[n] ^ (1 << bit));
      EXPECT_TRUE(std::holds_alternative<StorageError>(decode_shutdown_record(flipped))) << n;
    }
  }
  EXPECT_TRUE(std::holds_alternative<StorageError>(decode_shutdown_record(encoded + "x")));
  EXPECT_TRUE(std::holds_alternative<StorageError>(decode_shutdown_record(std::string(10000, 'x'))));
  auto other_version = encoded;
  other_version[3] = '2';
  EXPECT_EQ(std::get<StorageError>(decode_shutdown_record(other_version)).cause, StorageErrc::other_version);
  EXPECT_EQ(std::get<StorageError>(decode_shutdown_record(other_version)).message(),
            "reading the file: unsupported format version");
}

TEST(ShutdownRecord, ItsAgeIsKnownOnlyWithinOneBootOfTheMachine) {
  EXPECT_EQ(
      previous_incarnation(kShutdownRecord, {"boot-1", 5004s, 1'700'000'004'000'000}).clean_shutdown_age, 4s);
  EXPECT_EQ(previous_incarnation(kShutdownRecord, {"boot-1", 5004s, 1'700'000'004'000'000}).clock_setback,
            0s);
  EXPECT_FALSE(
      previous_incarnation(kShutdownRecord, {"boot-2", 5004s, 1'700'000'004'000'000}).clean_shutdown_age);
  EXPECT_FALSE(previous_incarnation(kShutdownRecord, {"", 5004s, 1'700'000'004'000'000}).clean_shutdown_age);
  EXPECT_FALSE(
      previous_incarnation(kShutdownRecord, {"boot-1", 4000s, 1'700'000'004'000'000}).clean_shutdown_age);
  // A Unix clock that is a day ahead does not make the shutdown older. A clock that is behind is reported
  // with its difference.
  EXPECT_EQ(
      previous_incarnation(kShutdownRecord, {"boot-1", 5004s, 1'700'086'404'000'000}).clean_shutdown_age, 4s);
  EXPECT_EQ(previous_incarnation(kShutdownRecord, {"boot-1", 5004s, 1'699'999'944'000'000}).clock_setback,
            60s);
  EXPECT_EQ(previous_incarnation(kShutdownRecord, {"boot-2", 4s, 1'699'999'944'000'000}).clock_setback, 56s);
}

TEST(ShutdownRecord, FailedStepsAreReportedAsErrors) {
  StateDirectory directory;
  const auto error = write_shutdown_record(directory.path / "none", kShutdownRecord);
  ASSERT_TRUE(error);
  EXPECT_EQ(error->step, StorageStep::create_file);
  EXPECT_EQ(error->message(), "creating the file: No such file or directory");
  EXPECT_TRUE(remove_shutdown_record(directory.path / "none"));
  std::ofstream(directory.path / "file") << "x";
  DirectoryLock lock;
  EXPECT_TRUE(lock.acquire(directory.path / "file" / "below"));
  EXPECT_TRUE(lock.acquire(directory.path / "file"));
  EXPECT_FALSE(lock.held());
  // A directory in place of the file can neither be read nor removed.
  std::filesystem::create_directory(directory.path / "ended");
  EXPECT_TRUE(std::holds_alternative<StorageError>(read_shutdown_record(directory.path)));
  EXPECT_TRUE(remove_shutdown_record(directory.path));
}

TEST(ShutdownRecord, AStateDirectoryIsLockedByOneProcess) {
  StateDirectory directory;
  DirectoryLock first, second;
  EXPECT_FALSE(first.acquire(directory.path / "state"));
  const auto error = second.acquire(directory.path / "state");
  ASSERT_TRUE(error);
  EXPECT_EQ(error->cause, StorageErrc::lock_held);
  EXPECT_EQ(error->message(), "acquiring the directory lock: held by another process");
  EXPECT_FALSE(first.acquire(directory.path / "state"));
}

// ---- Snapshots of warm state ----

// Returns a warm state with an ejected and an available endpoint, a member and a cached response.
warm_state::WarmState example_state() {
  warm_state::WarmState state;
  state.process_name = "n1";
  state.boot_id = 7;
  state.endpoints = {{"e.example.org", "127.0.0.1", 9001, 5s, 2, 80ms, 1s},
                     {"e.example.org", "127.0.0.1", 9002, 0s, 0, 3ms, 1s}};
  membership::Address a;
  a.ip = {127, 0, 0, 1};
  a.port = 9101;
  state.members = {a};
  state.cached_responses = {
      {"e.example.org", "/e?r=1", std::make_shared<const std::string>("up and down"), 3s}};
  return state;
}

Snapshot make_snapshot(const std::string& boot, Duration since_boot, std::int64_t unix_us,
                       warm_state::WarmState state) {
  Snapshot snapshot;
  snapshot.taken_at.kernel_boot_id = boot;
  snapshot.taken_at.since_boot = since_boot;
  snapshot.taken_at.unix_us = unix_us;
  snapshot.state = std::move(state);
  return snapshot;
}

TEST(Snapshot, IsReadAsWrittenAndAnyDamagedByteIsDetected) {
  const auto snapshot = make_snapshot("boot", 5s, 77, example_state());
  const auto encoded = encode(snapshot);
  const auto decoded = decode_snapshot(encoded);
  ASSERT_TRUE(std::holds_alternative<Snapshot>(decoded));
  EXPECT_EQ(std::get<Snapshot>(decoded).state, example_state());
  EXPECT_EQ(std::get<Snapshot>(decoded).taken_at.unix_us, 77);
  for (std::size_t n = 0; n < encoded.size(); ++n) {
    EXPECT_TRUE(std::holds_alternative<StorageError>(decode_snapshot(encoded.substr(0, n)))) << n;
    for (int bit = 0; bit < 8; ++bit) {
      auto flipped = encoded;
      flipped[n] = char(flipped[n] ^ (1 << bit));
      EXPECT_TRUE(std::holds_alternative<StorageError>(decode_snapshot(flipped))) << n;
    }
  }
  auto other_version = encoded;
  other_version[3] = '9';
  EXPECT_EQ(std::get<StorageError>(decode_snapshot(other_version)).cause, StorageErrc::other_version);
  EXPECT_EQ(std::get<StorageError>(decode_snapshot(other_version)).message(),
            "reading the file: unsupported format version");
  EXPECT_TRUE(std::holds_alternative<StorageError>(decode_snapshot(std::string(kMaxSnapshotBytes + 1, 'g'))));
}

TEST(Snapshot, TheLargestWarmStateFitsIntoTheMaximumSize) {
  warm_state::WarmState state;
  for (std::size_t n = 0; n < 5000; ++n) {
    state.endpoints.push_back({std::string(253, 'd'), "2001:db8:ffff:ffff:ffff:ffff:ffff:ffff",
                               std::uint16_t(1 + n), 30s, 9, 1s, 1s});
    membership::Address a;
    a.v6 = true;
    a.port = std::uint16_t(1 + n);
    state.members.push_back(a);
    state.cached_responses.push_back({std::string(253, 'd'), std::string(1 + n % 1100, 'p'),
                                      std::make_shared<const std::string>(n * 37 % 20000, 'b'), 1s});
  }
  const auto snapshot = make_snapshot(std::string(36, 'b'), 5s, 77, state);
  const auto bytes = encode(snapshot);
  EXPECT_LE(bytes.size(), kMaxSnapshotBytes);
  ASSERT_TRUE(std::holds_alternative<Snapshot>(decode_snapshot(bytes)));
  EXPECT_EQ(std::get<Snapshot>(decode_snapshot(bytes)).state.members.size(), warm_state::kMaxMembers);
}

TEST(Snapshot, TheNewestValidOneIsRead) {
  StateDirectory directory;
  EXPECT_FALSE(read_newest_snapshot(directory.path).snapshot);
  EXPECT_TRUE(read_newest_snapshot(directory.path).errors.empty());
  for (int n = 1; n <= 3; ++n) {
    auto state = example_state();
    state.boot_id = std::uint64_t(n);
    const auto snapshot = make_snapshot("boot", Duration(n), n, state);
    EXPECT_FALSE(write_snapshot(directory.path, encode(snapshot)));
    EXPECT_EQ(read_newest_snapshot(directory.path).snapshot->state.boot_id, std::uint64_t(n));
  }
  // The newest is damaged: the one before it is read, and the error is reported.
  for (const char* name : {"learned-a", "learned-b"}) {
    const auto read = read_snapshot_file(directory.path / name);
    if (std::get<Snapshot>(read).state.boot_id == 3) std::filesystem::resize_file(directory.path / name, 20);
  }
  const auto newest = read_newest_snapshot(directory.path);
  EXPECT_EQ(newest.snapshot->state.boot_id, 2u);
  EXPECT_EQ(newest.errors.size(), 1u);
  const auto error = write_snapshot(directory.path / "none", "x");
  ASSERT_TRUE(error);
  EXPECT_EQ(error->step, StorageStep::create_file);
  EXPECT_EQ(error->message(), "creating the file: No such file or directory");
}

TEST(Snapshot, ItsAgeIsKnownWithinOneBootOrByAUnixClockThatIsNotBehind) {
  const ClockStamp taken_at{"boot", 100s, 1'000'000'000};
  EXPECT_EQ(age_of(taken_at, {"boot", 104s, 5}), 4s);
  EXPECT_EQ(age_of(taken_at, {"other", 1s, 1'060'000'000}), 60s);
  EXPECT_FALSE(age_of(taken_at, {"other", 1s, 999'999'999}));
}

TEST(WarmState, ItemsDecayByKindAndOnlyMembersRemainWhenTheAgeIsUnknown) {
  const auto aged = warm_state::age_by(example_state(), 2s);
  EXPECT_EQ(aged.endpoints[0].ejected_for, 3s);
  EXPECT_EQ(aged.endpoints[0].latency_age, 3s);
  EXPECT_EQ(warm_state::age_by(example_state(), 10s).endpoints[0].ejected_for, 0s);
  EXPECT_TRUE(warm_state::age_by(example_state(), 1h).endpoints.empty());
  EXPECT_EQ(warm_state::age_by(example_state(), 1h).members.size(), 1u);
  EXPECT_TRUE(warm_state::age_by(example_state(), 25h).members.empty());
  EXPECT_TRUE(warm_state::age_by(example_state(), std::nullopt).endpoints.empty());
  EXPECT_EQ(warm_state::age_by(example_state(), std::nullopt).members.size(), 1u);
}

// ---- Restored endpoints ----

deps::DependencySpec two_endpoints() {
  deps::DependencySpec dependency;
  dependency.name = "e.example.org";
  dependency.endpoints = {{"127.0.0.1", 9001}, {"127.0.0.1", 9002}};
  return dependency;
}

// Returns how often the first of two endpoints is picked in 100 calls.
int count_picks_of_first(deps::EndpointSet& set, TimePoint now) {
  int first = 0;
  std::mt19937_64 random(1);
  std::uniform_real_distribution<double> roll(0, 1);
  for (int k = 0; k < 100; ++k) first += set.pick(now, roll(random), roll(random)) == 0u;
  return first;
}

TEST(RestoredEndpoints, AnEjectedOneIsNotPickedUntilItsEjectionEnds) {
  const TimePoint now(1000s);
  deps::EndpointSet before(two_endpoints());
  for (int k = 0; k < 5; ++k) {
    before.on_call_started(0);
    before.on_failure(0, now);
  }
  const auto ejected = before.stats(0, now);
  ASSERT_TRUE(ejected);
  EXPECT_GT(ejected->ejected_for, 0s);
  deps::EndpointSet unrestored(two_endpoints()), restored(two_endpoints()), restored_late(two_endpoints());
  EXPECT_TRUE(restored.restore(0, *ejected, now));
  EXPECT_GT(count_picks_of_first(unrestored, now), 20);
  EXPECT_EQ(count_picks_of_first(restored, now), 0);
  // The ejection has ended: one call is let through.
  EXPECT_EQ(restored.pick(now + ejected->ejected_for, 0.5, 0.5), 0u);
  auto ended = *ejected;
  ended.ejected_for = {};
  EXPECT_TRUE(restored_late.restore(0, ended, now));
  EXPECT_GT(count_picks_of_first(restored_late, now), 0);
}

TEST(RestoredEndpoints, OwnObservationsTakePrecedence) {
  const TimePoint now(1000s);
  deps::EndpointSet set(two_endpoints());
  set.on_call_started(0);
  set.on_success(0, 1ms, now);
  EXPECT_FALSE(set.restore(0, {10s, 1s, 0s, 3}, now));
  EXPECT_FALSE(set.is_ejected(0));
}

TEST(RestoredEndpoints, EjectionsStayWithinTheLimit) {
  const TimePoint now(1000s);
  deps::EndpointSet set(two_endpoints());
  EXPECT_TRUE(set.restore(0, {10s, 1s, 0s, 3}, now));
  EXPECT_TRUE(set.restore(1, {10s, 1s, 0s, 3}, now));
  EXPECT_EQ(set.ejected_count(), 1u);
}

TEST(RestoredEndpoints, ASlowOneIsAvoidedFromTheFirstCall) {
  const TimePoint now(1000s);
  deps::EndpointSet unrestored(two_endpoints()), restored(two_endpoints());
  EXPECT_TRUE(restored.restore(0, {0s, 800ms, 100ms, 0}, now));
  EXPECT_TRUE(restored.restore(1, {0s, 5ms, 100ms, 0}, now));
  EXPECT_GT(count_picks_of_first(unrestored, now), 20);
  EXPECT_EQ(count_picks_of_first(restored, now), 0);
}

}  // namespace
}  // namespace granitegap
