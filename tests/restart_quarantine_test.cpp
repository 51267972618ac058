// What a process that has lost its memory must not run, and what one life leaves to the next.
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

RestartQuarantine fresh() { return RestartQuarantine({{0s, 9s}, 2s, 1h}, kStart); }

TEST(RestartQuarantine, WithoutAnyWordTheWholeWindowFromTheStartIsInDoubt) {
  const auto m = fresh();
  EXPECT_TRUE(m.is_quarantined(kReport, kStart));
  EXPECT_TRUE(m.is_quarantined(kReport, kStart + 11s - 1us));
  EXPECT_FALSE(m.is_quarantined(kReport, kStart + 11s));
  EXPECT_FALSE(m.is_quarantined(kTile, kStart));
  EXPECT_FALSE(m.is_quarantined(ClassId(7), kStart));
}

// What reached the machine while it was in doubt stays so, however late it is read.
TEST(RestartQuarantine, ByWhenItReachedTheMachine) {
  EXPECT_TRUE(fresh().is_quarantined(kReport, kStart - 5s));
}

TEST(RestartQuarantine, AnOrderlyEndShortensTheWaitAndNothingElseDoes) {
  auto m = fresh();
  m.on_previous_incarnation({4s, false, {}}, kStart + 100ms);
  EXPECT_EQ(m.quarantined_until(kReport), kStart + 100ms - 4s + 11s);
  m.on_previous_incarnation({}, kStart + 200ms);  // a second word without one takes nothing back
  EXPECT_EQ(m.quarantined_until(kReport), kStart + 100ms - 4s + 11s);
  auto ahead = fresh();
  ahead.on_previous_incarnation({-1h, false, {}}, kStart);  // an end in the future
  EXPECT_EQ(ahead.quarantined_until(kReport), kStart + 11s);
}

TEST(RestartQuarantine, AnEndThatStaysHoldsEverythingUntilItIsGone) {
  auto m = fresh();
  m.on_previous_incarnation({std::nullopt, true, {}}, kStart);
  EXPECT_TRUE(m.is_quarantined(kReport, kStart + 24h));
  EXPECT_FALSE(m.is_quarantined(kTile, kStart));
  m.on_previous_incarnation({}, kStart + 1h);
  EXPECT_FALSE(m.is_quarantined(kReport, kStart + 1h));
}

TEST(RestartQuarantine, AnotherUnderTheNameIsWaitedOutAnew) {
  auto m = fresh();
  m.on_name_conflict(true, kStart + 1h);
  EXPECT_TRUE(m.is_quarantined(kReport, kStart + 2h));
  m.on_name_conflict(false, kStart + 3h);
  EXPECT_TRUE(m.is_quarantined(kReport, kStart + 3h + 10s));
  EXPECT_FALSE(m.is_quarantined(kReport, kStart + 3h + 11s));
  m.on_name_conflict(false, kStart + 4h);  // nothing new
  EXPECT_FALSE(m.is_quarantined(kReport, kStart + 4h));
}

TEST(RestartQuarantine, AClockSetBackNeverShortensAndAWrongOneDoesNotHoldForEver) {
  auto m = fresh();
  m.on_previous_incarnation({std::nullopt, false, 60s}, kStart);
  EXPECT_EQ(m.quarantined_until(kReport), kStart + 71s);
  m.on_previous_incarnation({std::nullopt, false, 10s}, kStart);
  EXPECT_EQ(m.quarantined_until(kReport), kStart + 71s);
  m.on_previous_incarnation({std::nullopt, false, 24h * 365}, kStart);
  EXPECT_EQ(m.quarantined_until(kReport), kStart + 1h + 11s);
  auto other = fresh();
  other.on_previous_incarnation({std::nullopt, false, -60s},
                                kStart);  // the clock ran ahead: nothing to be made up for
  EXPECT_EQ(other.quarantined_until(kReport), kStart + 11s);
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

// The file was looked for, and is not there.
bool has_no_record(const std::filesystem::path& directory) {
  const auto read = read_shutdown_record(directory);
  const auto* record = std::get_if<std::optional<ShutdownRecord>>(&read);
  return record && !*record;
}

const ShutdownRecord kShutdownRecord{"n1", {"boot-1", 5000s, 1'700'000'000'000'000}};

TEST(ShutdownRecord, IsReadAsItWasWrittenAndTakenOnce) {
  Folder f;
  EXPECT_TRUE(has_no_record(f.path));
  EXPECT_FALSE(write_shutdown_record(f.path, kShutdownRecord));
  const auto back = read_shutdown_record(f.path);
  ASSERT_TRUE(std::holds_alternative<std::optional<ShutdownRecord>>(back));
  const auto& record = std::get<std::optional<ShutdownRecord>>(back);
  ASSERT_TRUE(record);
  EXPECT_EQ(record->name, "n1");
  EXPECT_EQ(record->shutdown_at.since_boot, 5000s);
  EXPECT_FALSE(remove_shutdown_record(f.path));
  EXPECT_TRUE(has_no_record(f.path));
  EXPECT_FALSE(remove_shutdown_record(f.path));
}

// Cut at each byte, each byte changed, something after it: believed only whole.
TEST(ShutdownRecord, DamageOfAnyByteIsNoticed) {
  const auto whole = encode(kShutdownRecord);
  ASSERT_TRUE(std::holds_alternative<ShutdownRecord>(decode_shutdown_record(whole)));
  for (std::size_t n = 0; n < whole.size(); ++n) {
    EXPECT_TRUE(std::holds_alternative<StorageError>(decode_shutdown_record(whole.substr(0, n)))) << n;
    for (int bit = 0; bit < 8; ++bit) {
      auto flipped = whole;
      flipped[n] = char(flipped[n] ^ (1 << bit));
      EXPECT_TRUE(std::holds_alternative<StorageError>(decode_shutdown_record(flipped))) << n;
    }
  }
  EXPECT_TRUE(std::holds_alternative<StorageError>(decode_shutdown_record(whole + "x")));
  EXPECT_TRUE(std::holds_alternative<StorageError>(decode_shutdown_record(std::string(10000, 'x'))));
  auto version = whole;
  version[3] = '2';
  EXPECT_EQ(std::get<StorageError>(decode_shutdown_record(version)).cause, StorageErrc::other_version);
  EXPECT_EQ(std::get<StorageError>(decode_shutdown_record(version)).message(),
            "reading it: of another version");
}

TEST(ShutdownRecord, OnlyOneBootsClockTellsHowLongAgo) {
  EXPECT_EQ(
      previous_incarnation(kShutdownRecord, {"boot-1", 5004s, 1'700'000'004'000'000}).clean_shutdown_age, 4s);
  EXPECT_EQ(previous_incarnation(kShutdownRecord, {"boot-1", 5004s, 1'700'000'004'000'000}).clock_setback,
            0s);
  EXPECT_FALSE(
      previous_incarnation(kShutdownRecord, {"boot-2", 5004s, 1'700'000'004'000'000}).clean_shutdown_age);
  EXPECT_FALSE(previous_incarnation(kShutdownRecord, {"", 5004s, 1'700'000'004'000'000}).clean_shutdown_age);
  EXPECT_FALSE(
      previous_incarnation(kShutdownRecord, {"boot-1", 4000s, 1'700'000'004'000'000}).clean_shutdown_age);
  // The Unix clock a day ahead does not make the end older, and one set back is seen by as much.
  EXPECT_EQ(
      previous_incarnation(kShutdownRecord, {"boot-1", 5004s, 1'700'086'404'000'000}).clean_shutdown_age, 4s);
  EXPECT_EQ(previous_incarnation(kShutdownRecord, {"boot-1", 5004s, 1'699'999'944'000'000}).clock_setback,
            60s);
  EXPECT_EQ(previous_incarnation(kShutdownRecord, {"boot-2", 4s, 1'699'999'944'000'000}).clock_setback, 56s);
}

TEST(ShutdownRecord, WhatCanNotBeWrittenOrTakenSaysSo) {
  Folder f;
  const auto unwritten = write_shutdown_record(f.path / "none", kShutdownRecord);
  ASSERT_TRUE(unwritten);
  EXPECT_EQ(unwritten->step, StorageStep::create_file);
  EXPECT_EQ(unwritten->message(), "creating it: No such file or directory");
  EXPECT_TRUE(remove_shutdown_record(f.path / "none"));
  std::ofstream(f.path / "file") << "x";
  DirectoryLock lock;
  EXPECT_TRUE(lock.acquire(f.path / "file" / "below"));
  EXPECT_TRUE(lock.acquire(f.path / "file"));
  EXPECT_FALSE(lock.held());
  // A directory where the file should be: neither read nor taken.
  std::filesystem::create_directory(f.path / "ended");
  EXPECT_TRUE(std::holds_alternative<StorageError>(read_shutdown_record(f.path)));
  EXPECT_TRUE(remove_shutdown_record(f.path));
}

TEST(ShutdownRecord, ADirectoryHasOneOwner) {
  Folder f;
  DirectoryLock first, second;
  EXPECT_FALSE(first.acquire(f.path / "state"));
  const auto refused = second.acquire(f.path / "state");
  ASSERT_TRUE(refused);
  EXPECT_EQ(refused->cause, StorageErrc::lock_held);
  EXPECT_EQ(refused->message(), "locking the directory: another process holds it");
  EXPECT_FALSE(first.acquire(f.path / "state"));
}

// ---- What was learned ----

warm_state::WarmState some() {
  warm_state::WarmState what;
  what.process_name = "n1";
  what.boot_id = 7;
  what.endpoints = {{"e.example.org", "127.0.0.1", 9001, 5s, 2, 80ms, 1s},
                    {"e.example.org", "127.0.0.1", 9002, 0s, 0, 3ms, 1s}};
  membership::Address a;
  a.ip = {127, 0, 0, 1};
  a.port = 9101;
  what.members = {a};
  what.cached_responses = {
      {"e.example.org", "/e?r=1", std::make_shared<const std::string>("up and down"), 3s}};
  return what;
}

Snapshot snapshot_of(const std::string& boot, Duration since_boot, std::int64_t unix_us,
                     warm_state::WarmState what) {
  Snapshot s;
  s.taken_at.kernel_boot_id = boot;
  s.taken_at.since_boot = since_boot;
  s.taken_at.unix_us = unix_us;
  s.state = std::move(what);
  return s;
}

TEST(Snapshot, IsReadAsItWasWrittenAndDamageOfAnyByteIsNoticed) {
  const auto made = snapshot_of("boot", 5s, 77, some());
  const auto whole = encode(made);
  const auto back = decode_snapshot(whole);
  ASSERT_TRUE(std::holds_alternative<Snapshot>(back));
  EXPECT_EQ(std::get<Snapshot>(back).state, some());
  EXPECT_EQ(std::get<Snapshot>(back).taken_at.unix_us, 77);
  for (std::size_t n = 0; n < whole.size(); ++n) {
    EXPECT_TRUE(std::holds_alternative<StorageError>(decode_snapshot(whole.substr(0, n)))) << n;
    for (int bit = 0; bit < 8; ++bit) {
      auto flipped = whole;
      flipped[n] = char(flipped[n] ^ (1 << bit));
      EXPECT_TRUE(std::holds_alternative<StorageError>(decode_snapshot(flipped))) << n;
    }
  }
  auto version = whole;
  version[3] = '9';
  EXPECT_EQ(std::get<StorageError>(decode_snapshot(version)).cause, StorageErrc::other_version);
  EXPECT_EQ(std::get<StorageError>(decode_snapshot(version)).message(), "reading it: of another version");
  EXPECT_TRUE(std::holds_alternative<StorageError>(decode_snapshot(std::string(kMaxSnapshotBytes + 1, 'g'))));
}

TEST(Snapshot, TheLargestThatCanBeLearnedStaysWithinItsBound) {
  warm_state::WarmState what;
  for (std::size_t n = 0; n < 5000; ++n) {
    what.endpoints.push_back({std::string(253, 'd'), "2001:db8:ffff:ffff:ffff:ffff:ffff:ffff",
                              std::uint16_t(1 + n), 30s, 9, 1s, 1s});
    membership::Address a;
    a.v6 = true;
    a.port = std::uint16_t(1 + n);
    what.members.push_back(a);
    what.cached_responses.push_back({std::string(253, 'd'), std::string(1 + n % 1100, 'p'),
                                     std::make_shared<const std::string>(n * 37 % 20000, 'b'), 1s});
  }
  const auto made = snapshot_of(std::string(36, 'b'), 5s, 77, what);
  const auto bytes = encode(made);
  EXPECT_LE(bytes.size(), kMaxSnapshotBytes);
  ASSERT_TRUE(std::holds_alternative<Snapshot>(decode_snapshot(bytes)));
  EXPECT_EQ(std::get<Snapshot>(decode_snapshot(bytes)).state.members.size(), warm_state::kMaxMembers);
}

TEST(Snapshot, TheNewerWholeOneOfTwoCounts) {
  Folder f;
  EXPECT_FALSE(read_newest_snapshot(f.path).snapshot);
  EXPECT_TRUE(read_newest_snapshot(f.path).errors.empty());
  for (int n = 1; n <= 3; ++n) {
    auto what = some();
    what.boot_id = std::uint64_t(n);
    const auto made = snapshot_of("boot", Duration(n), n, what);
    EXPECT_FALSE(write_snapshot(f.path, encode(made)));
    EXPECT_EQ(read_newest_snapshot(f.path).snapshot->state.boot_id, std::uint64_t(n));
  }
  // The newest is damaged: the one before it counts, and what is wrong is named.
  for (const char* name : {"learned-a", "learned-b"}) {
    const auto read = read_snapshot_file(f.path / name);
    if (std::get<Snapshot>(read).state.boot_id == 3) std::filesystem::resize_file(f.path / name, 20);
  }
  const auto newest = read_newest_snapshot(f.path);
  EXPECT_EQ(newest.snapshot->state.boot_id, 2u);
  EXPECT_EQ(newest.errors.size(), 1u);
  const auto unwritten = write_snapshot(f.path / "none", "x");
  ASSERT_TRUE(unwritten);
  EXPECT_EQ(unwritten->step, StorageStep::create_file);
  EXPECT_EQ(unwritten->message(), "creating it: No such file or directory");
}

TEST(Snapshot, ItsAgeIsKnownByOneBootOrAUnixClockThatDoesNotStandBehind) {
  const ClockStamp then{"boot", 100s, 1'000'000'000};
  EXPECT_EQ(age_of(then, {"boot", 104s, 5}), 4s);
  EXPECT_EQ(age_of(then, {"other", 1s, 1'060'000'000}), 60s);
  EXPECT_FALSE(age_of(then, {"other", 1s, 999'999'999}));
}

TEST(WarmState, FadesByKindAndAnUnknownAgeIsTooOld) {
  const auto soon = warm_state::age_by(some(), 2s);
  EXPECT_EQ(soon.endpoints[0].ejected_for, 3s);
  EXPECT_EQ(soon.endpoints[0].latency_age, 3s);
  EXPECT_EQ(warm_state::age_by(some(), 10s).endpoints[0].ejected_for, 0s);
  EXPECT_TRUE(warm_state::age_by(some(), 1h).endpoints.empty());
  EXPECT_EQ(warm_state::age_by(some(), 1h).members.size(), 1u);
  EXPECT_TRUE(warm_state::age_by(some(), 25h).members.empty());
  EXPECT_TRUE(warm_state::age_by(some(), std::nullopt).endpoints.empty());
  EXPECT_EQ(warm_state::age_by(some(), std::nullopt).members.size(), 1u);
}

// ---- Endpoints that an earlier life knew ----

deps::DependencySpec two_endpoints() {
  deps::DependencySpec d;
  d.name = "e.example.org";
  d.endpoints = {{"127.0.0.1", 9001}, {"127.0.0.1", 9002}};
  return d;
}

// How often the first of two is chosen.
int chosen(deps::EndpointSet& set, TimePoint now) {
  int first = 0;
  std::mt19937_64 random(1);
  std::uniform_real_distribution<double> roll(0, 1);
  for (int k = 0; k < 100; ++k) first += set.pick(now, roll(random), roll(random)) == 0u;
  return first;
}

TEST(LearnedEndpoints, AnEjectedOneIsLeftAloneForTheRestOfItsTimeAndNoLonger) {
  const TimePoint now(1000s);
  deps::EndpointSet before(two_endpoints());
  for (int k = 0; k < 5; ++k) {
    before.on_call_started(0);
    before.on_failure(0, now);
  }
  const auto known = before.stats(0, now);
  ASSERT_TRUE(known);
  EXPECT_GT(known->ejected_for, 0s);
  deps::EndpointSet blind(two_endpoints()), told(two_endpoints()), late(two_endpoints());
  EXPECT_TRUE(told.restore(0, *known, now));
  EXPECT_GT(chosen(blind, now), 20);
  EXPECT_EQ(chosen(told, now), 0);
  EXPECT_EQ(told.pick(now + known->ejected_for, 0.5, 0.5), 0u);  // its time is over: one call through
  auto old = *known;
  old.ejected_for = {};
  EXPECT_TRUE(late.restore(0, old, now));
  EXPECT_GT(chosen(late, now), 0);
}

TEST(LearnedEndpoints, OwnEvidenceOverrulesWhatWasLearned) {
  const TimePoint now(1000s);
  deps::EndpointSet set(two_endpoints());
  set.on_call_started(0);
  set.on_success(0, 1ms, now);
  EXPECT_FALSE(set.restore(0, {10s, 1s, 0s, 3}, now));
  EXPECT_FALSE(set.is_ejected(0));
}

TEST(LearnedEndpoints, NeverMoreAreLeftAloneThanMayBeEjected) {
  const TimePoint now(1000s);
  deps::EndpointSet set(two_endpoints());
  EXPECT_TRUE(set.restore(0, {10s, 1s, 0s, 3}, now));
  EXPECT_TRUE(set.restore(1, {10s, 1s, 0s, 3}, now));
  EXPECT_EQ(set.ejected_count(), 1u);
}

TEST(LearnedEndpoints, ASlowOneIsAvoidedAtOnce) {
  const TimePoint now(1000s);
  deps::EndpointSet blind(two_endpoints()), told(two_endpoints());
  EXPECT_TRUE(told.restore(0, {0s, 800ms, 100ms, 0}, now));
  EXPECT_TRUE(told.restore(1, {0s, 5ms, 100ms, 0}, now));
  EXPECT_GT(chosen(blind, now), 20);
  EXPECT_EQ(chosen(told, now), 0);
}

}  // namespace
}  // namespace granitegap
