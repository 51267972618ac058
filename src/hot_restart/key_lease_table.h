// Leases on idempotency keys, shared by the processes of one tile server during a hot restart.
//
// The old and the new process accept from the same socket. Before either runs a request with an idempotency
// key it acquires a lease on the key in this table, so that no key runs twice within its window, whichever
// process its attempts reach. A lease is held by the process that ran the request, known by its boot ID.
//
// Whenever the table can't decide, the decision is LeaseDecision::unknown and the request must not run. A
// damaged record may have belonged to any key, so damage quarantines the whole table for the longest lease.
//
// This module works on plain memory, without a file, a lock or a clock. The caller holds the lock that
// protects the memory and passes the time. The structs below define the file format; see shared_lease_table.h
// for the file.
#pragma once
#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

#include "granitegap/policy.h"

namespace granitegap::hot_restart {

using UnixTime = std::chrono::sys_time<Duration>;

// A 128-bit hash of a request class and an idempotency key.
struct KeyHash {
  std::uint64_t high = 0, low = 0;
  bool operator==(const KeyHash&) const = default;
};
[[nodiscard]] KeyHash hash_key(std::string_view request_class, std::string_view idempotency_key);

// One record of the table. Times are in microseconds since the Unix epoch.
struct KeyLease {
  KeyHash key;
  std::int64_t received_us = 0;  // when the attempt that ran reached the machine
  std::int64_t expires_us = 0;   // the end of the key's window and margin
  std::uint64_t boot_id = 0;     // of the holder
  std::uint64_t checksum = 0;    // of all fields above; 0 in a free slot
};
static_assert(sizeof(KeyLease) == 48, "KeyLease is part of the file format: 48 bytes");

// The start of the table, followed by the records.
struct LeaseTableHeader {
  std::uint64_t magic = 0;
  std::uint64_t slots = 0;               // number of records that follow
  std::int64_t quarantine_until_us = 0;  // no lease is granted before this time
  // One of the processes that share the table.
  struct ProcessSlot {
    std::uint64_t boot_id = 0;
    std::uint64_t serving = 0;  // 1 while the process that holds this slot's lock accepts connections
  };
  static constexpr std::size_t kMaxProcesses = 8;
  std::array<ProcessSlot, kMaxProcesses> processes{};
  std::uint64_t checksum = 0;  // of magic and slots
};
static_assert(sizeof(LeaseTableHeader) == 160, "LeaseTableHeader is part of the file format: 160 bytes");

// Whether a request may run.
enum class LeaseDecision : std::uint8_t {
  acquired,       // recorded: the request may run
  held_by_other,  // another process ran the key within its window
  unknown,        // quarantined, no free slot, or no lock: the request must not run
};

// A view of a table in memory that the caller owns; it must outlive the view.
class KeyLeaseTable {
 public:
  KeyLeaseTable(LeaseTableHeader& header, std::span<KeyLease> slots) : header_(header), slots_(slots) {}

  // Checks memory that another process may have written, and initializes it if it is all zero. Returns false
  // if the content was not valid: the table is then emptied and quarantined until `now + max_lease`.
  [[nodiscard]] bool adopt(UnixTime now, Duration max_lease);

  // Decides whether the process `boot_id` may run a request with the key. `received` is when the attempt
  // reached the machine; the lease lasts for `lease` (the window and its margin) from then on. A lease that
  // the same process holds is renewed, because its own idempotency table has admitted the attempt. An attempt
  // received after the recorded lease expired may run, whatever `now` is. `max_lease` is the longest lease of
  // any class.
  [[nodiscard]] LeaseDecision acquire(const KeyHash& key, UnixTime received, Duration lease,
                                      std::uint64_t boot_id, UnixTime now, Duration max_lease);
  // Releases a lease that the process `boot_id` holds, because the request did not run.
  void release(const KeyHash& key, std::uint64_t boot_id);
  // Returns the number of leases that have not expired.
  [[nodiscard]] std::size_t count_active(UnixTime now) const;

 private:
  static constexpr std::size_t kMaxProbes = 64;  // slots examined for one key (linear probing)

  // The slots for one key: the one that contains it, and the first one that may be overwritten. Null: none.
  struct SlotSearch {
    KeyLease* holding = nullptr;
    KeyLease* reusable = nullptr;
  };
  SlotSearch find_slots(const KeyHash& key, UnixTime now, Duration max_lease);
  KeyLease& probe(const KeyHash& key, std::size_t attempt) const;
  std::size_t probe_count() const;
  bool header_is_valid() const;
  void initialize();
  void quarantine(UnixTime now, Duration max_lease);

  LeaseTableHeader& header_;
  std::span<KeyLease> slots_;
};

}  // namespace granitegap::hot_restart
