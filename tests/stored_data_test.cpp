// Compatibility with files and messages of an earlier version (tests/data/stored): the current code decodes
// them, and encodes the same values to the same bytes.
#include <gtest/gtest.h>

#include <cstring>
#include <fstream>
#include <iterator>
#include <sstream>

#include "hot_restart/shared_lease_table.h"
#include "snapshot/shutdown_record.h"
#include "snapshot/snapshot_files.h"
#include "snapshot/snapshot_json.h"
#include "standin/temporary_directory.h"
#include "state_transfer/codec.h"

namespace granitegap {
namespace {

using namespace std::chrono_literals;

constexpr char kName[] = "tile-7";
constexpr std::uint64_t kBootId = 0x0123456789abcdef;
constexpr std::uint64_t kNonce = 0xfedcba9876543210;
constexpr char kKernelBootId[] = "5c0f6e1a-2b3d-4c59-a8b7-c6d5e4f30211";

std::string file_bytes(const std::filesystem::path& path) {
  std::ifstream in(path, std::ios::binary);
  EXPECT_TRUE(in) << path;
  return {std::istreambuf_iterator<char>(in), {}};
}

std::filesystem::path fixture(const std::string& name) { return std::filesystem::path(STORED_DATA) / name; }

membership::Address ipv4_member() {
  membership::Address address;
  address.ip = {192, 0, 2, 21};
  address.port = 9101;
  return address;
}

membership::Address ipv6_member() {
  membership::Address address;
  address.v6 = true;
  address.ip = {0x20, 0x01, 0x0d, 0xb8, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0x15};
  address.port = 9102;
  return address;
}

std::shared_ptr<const std::string> body(std::string bytes) {
  return std::make_shared<const std::string>(std::move(bytes));
}

// Returns the state in snapshot.bin and in transfer_response.bin.
warm_state::WarmState stored_state() {
  warm_state::WarmState state;
  state.process_name = kName;
  state.boot_id = kBootId;
  state.endpoints = {
      {"elevation.example.org", "192.0.2.10", 9001, 5s + 250us, 2, 80ms, 1500ms},
      {"elevation.example.org", "2001:db8::10", 65535, 0s, 0, 3ms + 7us, 1s},
      {"labels.example.org", "198.51.100.3", 1, 0s, 4294967295u, 0s, 0s},
  };
  state.members = {ipv4_member(), ipv6_member()};
  state.cached_responses = {
      {"elevation.example.org", "/e?r=1", body("up and down"), 3s + 1us},
      {"labels.example.org", "/l/\xc3\xa9", body(std::string("\0\x01\xff binary", 10)), 0s},
  };
  return state;
}

snapshot::ClockStamp snapshot_time() { return {kKernelBootId, 123456s + 789us, 1'764'576'000'123'456}; }
snapshot::ClockStamp shutdown_time() { return {kKernelBootId, 123460s + 5us, 1'764'576'004'000'005}; }

void expect_equal(const snapshot::ClockStamp& actual, const snapshot::ClockStamp& expected) {
  EXPECT_EQ(actual.kernel_boot_id, expected.kernel_boot_id);
  EXPECT_EQ(actual.since_boot, expected.since_boot);
  EXPECT_EQ(actual.unix_us, expected.unix_us);
}

// ---- Snapshot ----

TEST(StoredSnapshot, IsReadWithEveryValue) {
  const auto read = snapshot::read_snapshot_file(fixture("snapshot.bin"));
  ASSERT_TRUE(std::holds_alternative<snapshot::Snapshot>(read))
      << std::get<snapshot::StorageError>(read).message();
  const auto& stored = std::get<snapshot::Snapshot>(read);
  expect_equal(stored.taken_at, snapshot_time());
  EXPECT_EQ(stored.state, stored_state());
}

TEST(StoredSnapshot, IsFoundUnderEitherFileName) {
  for (const auto* name : {"learned-a", "learned-b"}) {
    const standin::TemporaryDirectory directory;
    std::filesystem::copy_file(fixture("snapshot.bin"), directory.path() / name);
    const auto newest = snapshot::read_newest_snapshot(directory.path());
    EXPECT_TRUE(newest.errors.empty()) << name;
    ASSERT_TRUE(newest.snapshot) << name;
    EXPECT_EQ(newest.snapshot->state, stored_state()) << name;
  }
}

TEST(StoredSnapshot, IsWrittenWithTheSameBytes) {
  const standin::TemporaryDirectory directory;
  const auto bytes = snapshot::encode(snapshot::Snapshot{snapshot_time(), stored_state()});
  EXPECT_EQ(bytes, file_bytes(fixture("snapshot.bin")));
  ASSERT_FALSE(snapshot::write_snapshot(directory.path(), bytes));
  EXPECT_EQ(file_bytes(directory.path() / "learned-a"), file_bytes(fixture("snapshot.bin")));
}

TEST(StoredSnapshot, IsPrintedWithTheSameFieldsAndValues) {
  const auto read = snapshot::read_snapshot_file(fixture("snapshot.bin"));
  ASSERT_TRUE(std::holds_alternative<snapshot::Snapshot>(read));
  EXPECT_EQ(snapshot::to_json(std::get<snapshot::Snapshot>(read)) + "\n",
            file_bytes(fixture("snapshot.json")));
}

// ---- Shutdown record ----

TEST(StoredShutdownRecord, IsReadWithEveryValue) {
  const standin::TemporaryDirectory directory;
  std::filesystem::copy_file(fixture("shutdown_record.bin"), directory.path() / "ended");
  const auto read = snapshot::read_shutdown_record(directory.path());
  ASSERT_TRUE(std::holds_alternative<std::optional<snapshot::ShutdownRecord>>(read))
      << std::get<snapshot::StorageError>(read).message();
  const auto& record = std::get<std::optional<snapshot::ShutdownRecord>>(read);
  ASSERT_TRUE(record);
  EXPECT_EQ(record->name, kName);
  expect_equal(record->shutdown_at, shutdown_time());
}

TEST(StoredShutdownRecord, IsWrittenWithTheSameBytes) {
  const standin::TemporaryDirectory directory;
  ASSERT_FALSE(snapshot::write_shutdown_record(directory.path(), {kName, shutdown_time()}));
  EXPECT_EQ(file_bytes(directory.path() / "ended"), file_bytes(fixture("shutdown_record.bin")));
}

// ---- Warm-state transfer messages: not stored, but exchanged between processes of different versions ----

TEST(StoredTransferQuery, IsReadWithEveryValue) {
  const auto decoded = state_transfer::decode_query(file_bytes(fixture("transfer_query.bin")));
  ASSERT_TRUE(std::holds_alternative<state_transfer::TransferQuery>(decoded));
  const auto& query = std::get<state_transfer::TransferQuery>(decoded);
  EXPECT_EQ(query.cluster, "north");
  EXPECT_EQ(query.name, "tile-8");
  EXPECT_EQ(query.nonce, kNonce);
}

TEST(StoredTransferQuery, IsWrittenWithTheSameBytes) {
  EXPECT_EQ(state_transfer::encode(state_transfer::TransferQuery{"north", "tile-8", kNonce}),
            file_bytes(fixture("transfer_query.bin")));
}

recovery::TransferResponse stored_response() {
  recovery::TransferResponse response;
  response.nonce = kNonce;
  response.donor = kName;
  response.boot_id = membership::BootId(kBootId);
  response.in_service = true;
  response.view_certain = true;
  response.view_age = 1234ms;
  response.state = stored_state();
  return response;
}

TEST(StoredTransferResponse, IsReadWithEveryValue) {
  const auto decoded = state_transfer::decode_response(file_bytes(fixture("transfer_response.bin")));
  ASSERT_TRUE(std::holds_alternative<recovery::TransferResponse>(decoded));
  const auto& response = std::get<recovery::TransferResponse>(decoded);
  const auto expected = stored_response();
  EXPECT_EQ(response.nonce, expected.nonce);
  EXPECT_EQ(response.donor, expected.donor);
  EXPECT_EQ(response.boot_id, expected.boot_id);
  EXPECT_EQ(response.in_service, expected.in_service);
  EXPECT_EQ(response.view_certain, expected.view_certain);
  EXPECT_EQ(response.view_age, expected.view_age);
  EXPECT_EQ(response.state, expected.state);
}

TEST(StoredTransferResponse, IsWrittenWithTheSameBytes) {
  EXPECT_EQ(state_transfer::encode(stored_response()), file_bytes(fixture("transfer_response.bin")));
}

// ---- Lease table ----

using hot_restart::hash_key;
using hot_restart::KeyLease;
using hot_restart::LeaseDecision;
using hot_restart::LeaseTableHeader;
using hot_restart::SharedLeaseTable;

constexpr Duration kLongLease = 602s, kShortLease = 12s;
constexpr std::uint64_t kFirstProcess = 0x1111111111111111, kSecondProcess = 0x2222222222222222;
constexpr std::uint64_t kMagic = 0x67676170636c6d31;

hot_restart::UnixTime time_at(Duration since) { return hot_restart::UnixTime(Duration(1764576000s) + since); }
std::int64_t unix_us_at(Duration since) { return time_at(since).time_since_epoch().count(); }

std::string from_hex(const std::string& digits) {
  std::string bytes;
  for (std::size_t k = 0; k + 1 < digits.size(); k += 2)
    bytes += char(std::stoi(digits.substr(k, 2), nullptr, 16));
  return bytes;
}

// Returns the complete file that a .hex fixture describes: its size, then pairs of an offset and hex digits.
// All other bytes are zero.
std::string lease_table_bytes(const std::string& name) {
  std::istringstream in(file_bytes(fixture(name)));
  std::string word, digits;
  std::size_t size = 0, offset = 0;
  in >> word >> size;
  EXPECT_EQ(word, "size");
  std::string bytes(size, '\0');
  while (in >> offset >> digits) bytes.replace(offset, digits.size() / 2, from_hex(digits));
  EXPECT_EQ(bytes.size(), size);
  return bytes;
}

// A directory with the lease table of a fixture, and a function that opens it as the process `boot_id`.
struct StoredTable {
  explicit StoredTable(const std::string& fixture_name) {
    std::ofstream(path(), std::ios::binary) << lease_table_bytes(fixture_name);
  }
  std::filesystem::path path() const { return directory.path() / "granitegap-tile-7.claims"; }
  std::variant<SharedLeaseTable, hot_restart::LeaseTableError> open(std::uint64_t boot_id,
                                                                    Duration now) const {
    return SharedLeaseTable::open(directory.path().string(), kName, boot_id, kLongLease, time_at(now));
  }
  standin::TemporaryDirectory directory;
};

TEST(StoredLeaseTable, HeaderMatchesTheStructLayout) {
  const auto bytes = lease_table_bytes("lease_table.hex");
  ASSERT_EQ(bytes.size(), SharedLeaseTable::kFileBytes);
  LeaseTableHeader header;
  std::memcpy(&header, bytes.data(), sizeof header);
  EXPECT_EQ(header.magic, kMagic);
  EXPECT_EQ(header.slots, SharedLeaseTable::kSlots);
  EXPECT_EQ(header.quarantine_until_us, 0);
  EXPECT_EQ(header.processes[0].boot_id, kFirstProcess);
  EXPECT_EQ(header.processes[0].serving, 0u);  // the first process was draining
  EXPECT_EQ(header.processes[1].boot_id, kSecondProcess);
  EXPECT_EQ(header.processes[1].serving, 1u);
  for (std::size_t k = 2; k < LeaseTableHeader::kMaxProcesses; ++k)
    EXPECT_EQ(header.processes[k].boot_id, 0u) << k;
}

TEST(StoredLeaseTable, LeasesMatchTheStructLayout) {
  const auto bytes = lease_table_bytes("lease_table.hex");
  std::vector<KeyLease> held;
  for (std::size_t offset = sizeof(LeaseTableHeader); offset < bytes.size(); offset += sizeof(KeyLease)) {
    KeyLease lease;
    std::memcpy(&lease, bytes.data() + offset, sizeof lease);
    if (lease.checksum != 0) held.push_back(lease);
  }
  const KeyLease expected[] = {
      {hash_key("sign-order", "key-a"), unix_us_at(4s), unix_us_at(4s + kShortLease), kSecondProcess, 0},
      {hash_key("trail-report", "key-b"), unix_us_at(3s + 4us), unix_us_at(3s + 4us + kLongLease),
       kSecondProcess, 0},
      {hash_key("trail-report", "key-a"), unix_us_at(2s), unix_us_at(2s + kLongLease), kFirstProcess, 0},
  };
  ASSERT_EQ(held.size(), std::size(expected));
  for (const auto& lease : expected) {
    const auto it = std::find_if(held.begin(), held.end(),
                                 [&](const auto& candidate) { return candidate.key == lease.key; });
    ASSERT_NE(it, held.end());
    EXPECT_EQ(it->received_us, lease.received_us);
    EXPECT_EQ(it->expires_us, lease.expires_us);
    EXPECT_EQ(it->boot_id, lease.boot_id);
  }
}

TEST(StoredLeaseTable, IsAdoptedAndItsLeasesAreHonoured) {
  const StoredTable stored("lease_table.hex");
  auto opened = stored.open(0x4444444444444444, 10s);
  ASSERT_TRUE(std::holds_alternative<SharedLeaseTable>(opened));
  auto& table = std::get<SharedLeaseTable>(opened);
  EXPECT_FALSE(table.was_reset());
  const auto acquire = [&](const char* request_class, const char* key, Duration received) {
    return table.acquire(hash_key(request_class, key), time_at(received), kLongLease, time_at(received));
  };
  EXPECT_EQ(acquire("trail-report", "key-a", 10s), LeaseDecision::held_by_other);
  EXPECT_EQ(acquire("trail-report", "key-b", 10s), LeaseDecision::held_by_other);
  EXPECT_EQ(acquire("sign-order", "key-a", 10s), LeaseDecision::held_by_other);
  EXPECT_EQ(acquire("trail-report", "released", 10s), LeaseDecision::acquired);
  EXPECT_EQ(acquire("sign-order", "key-a", 16s), LeaseDecision::held_by_other);
  EXPECT_EQ(acquire("sign-order", "key-a", 16s + 1us), LeaseDecision::acquired);
}

TEST(StoredLeaseTable, HolderRenewsItsLease) {
  const StoredTable stored("lease_table.hex");
  auto opened = stored.open(kFirstProcess, 10s);
  ASSERT_TRUE(std::holds_alternative<SharedLeaseTable>(opened));
  auto& table = std::get<SharedLeaseTable>(opened);
  EXPECT_EQ(table.acquire(hash_key("trail-report", "key-a"), time_at(10s), kLongLease, time_at(10s)),
            LeaseDecision::acquired);
  EXPECT_EQ(table.acquire(hash_key("trail-report", "key-b"), time_at(10s), kLongLease, time_at(10s)),
            LeaseDecision::held_by_other);
}

TEST(StoredLeaseTable, KeysAreUnknownUntilTheQuarantineEnds) {
  const StoredTable stored("quarantined_lease_table.hex");
  auto opened = stored.open(0x4444444444444444, 1s);
  ASSERT_TRUE(std::holds_alternative<SharedLeaseTable>(opened));
  auto& table = std::get<SharedLeaseTable>(opened);
  EXPECT_FALSE(table.was_reset());
  const auto key = hash_key("trail-report", "key-a");
  EXPECT_EQ(table.acquire(key, time_at(kLongLease - 1us), kLongLease, time_at(kLongLease - 1us)),
            LeaseDecision::unknown);
  EXPECT_EQ(table.acquire(key, time_at(kLongLease), kLongLease, time_at(kLongLease)),
            LeaseDecision::acquired);
}

// Repeats the operations that produced lease_table.hex.
TEST(StoredLeaseTable, IsWrittenWithTheSameBytes) {
  const standin::TemporaryDirectory directory;
  const auto open = [&](std::uint64_t boot_id, Duration now) {
    return SharedLeaseTable::open(directory.path().string(), kName, boot_id, kLongLease, time_at(now));
  };
  {
    auto opened_first = open(kFirstProcess, 0s), opened_second = open(kSecondProcess, 1s);
    auto& first = std::get<SharedLeaseTable>(opened_first);
    auto& second = std::get<SharedLeaseTable>(opened_second);
    const auto released = hash_key("trail-report", "released");
    first.mark_serving();
    second.mark_serving();
    first.mark_draining();
    EXPECT_EQ(first.acquire(hash_key("trail-report", "key-a"), time_at(2s), kLongLease, time_at(2s + 10us)),
              LeaseDecision::acquired);
    EXPECT_EQ(
        second.acquire(hash_key("trail-report", "key-b"), time_at(3s + 4us), kLongLease, time_at(3s + 20us)),
        LeaseDecision::acquired);
    EXPECT_EQ(second.acquire(hash_key("sign-order", "key-a"), time_at(4s), kShortLease, time_at(4s)),
              LeaseDecision::acquired);
    EXPECT_EQ(second.acquire(released, time_at(5s), kLongLease, time_at(5s)), LeaseDecision::acquired);
    second.release(released);
  }
  const auto written = file_bytes(directory.path() / "granitegap-tile-7.claims");
  EXPECT_TRUE(written == lease_table_bytes("lease_table.hex"));  // EXPECT_EQ would print both files
}

TEST(StoredLeaseTable, QuarantinedTableIsWrittenWithTheSameBytes) {
  const standin::TemporaryDirectory directory;
  const auto path = directory.path() / "granitegap-tile-7.claims";
  std::ofstream(path) << "no table";
  const auto opened =
      SharedLeaseTable::open(directory.path().string(), kName, 0x3333333333333333, kLongLease, time_at(0s));
  EXPECT_TRUE(std::get<SharedLeaseTable>(opened).was_reset());
  EXPECT_TRUE(file_bytes(path) == lease_table_bytes("quarantined_lease_table.hex"));
}

}  // namespace
}  // namespace granitegap
