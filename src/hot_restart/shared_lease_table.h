// The lease table of key_lease_table.h in a file that the processes of one tile server map into memory during
// a hot restart. The file also records which of them accept connections.
//
// File: $TMPDIR/granitegap-NAME.claims, a LeaseTableHeader and kSlots records in the machine's byte order. It
// is allocated in full when it is opened, so that no later write can fail for lack of space. Byte-range locks
// of the open file (fcntl F_OFD_SETLK) protect it; the system releases them however a process ends:
//   byte 0        the table, held for a single operation
//   byte 1 + k    process slot k of the header, held while its process is alive
//
// Not thread-safe within a process. open() reports errors as LeaseTableError. Later operations that can't be
// decided return LeaseDecision::unknown.
#pragma once
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <system_error>
#include <variant>

#include "hot_restart/key_lease_table.h"
#include "posix/unique_fd.h"

namespace granitegap::hot_restart {

// Why the table can't be opened. Without the table no request with an idempotency key may run.
struct LeaseTableError {
  enum class Kind : std::uint8_t {
    directory_not_set,   // TMPDIR is not set
    invalid_name,        // the server's name contains '/' and can't be part of a file name
    system_error,        // a system call on the file at `subject` failed
    too_many_processes,  // all process slots of the file at `subject` are in use
  };
  Kind kind{};
  std::string subject{};  // the server's name, or the file's path
  std::error_code system_error{};
  // Returns a description of the error in one line.
  [[nodiscard]] std::string message() const;
};

// A shared, writable mapping of a file; unmapped on destruction. Move-only.
class MappedMemory {
 public:
  MappedMemory() = default;
  // Maps the first `bytes` bytes of a file; not valid() on failure, with errno set.
  MappedMemory(int fd, std::size_t bytes);
  MappedMemory(MappedMemory&& other) noexcept;
  MappedMemory& operator=(MappedMemory&& other) noexcept;
  MappedMemory(const MappedMemory&) = delete;
  MappedMemory& operator=(const MappedMemory&) = delete;
  ~MappedMemory();
  [[nodiscard]] bool valid() const { return address_ != nullptr; }
  [[nodiscard]] std::byte* data() const { return static_cast<std::byte*>(address_); }

 private:
  void* address_ = nullptr;
  std::size_t bytes_ = 0;
};

// One process's access to the shared table.
class SharedLeaseTable {
 public:
  // Opens or creates the table of the server `name` in `directory` ($TMPDIR) and takes a process slot in it.
  // May wait for another process's operation. `max_lease`: the longest window plus margin of any class.
  [[nodiscard]] static std::variant<SharedLeaseTable, LeaseTableError> open(const std::string& directory,
                                                                            const std::string& name,
                                                                            std::uint64_t boot_id,
                                                                            Duration max_lease, UnixTime now);

  // As KeyLeaseTable::acquire() and release(), without waiting. While another process holds the table's lock,
  // acquire() returns LeaseDecision::unknown and release() does nothing; the lease then expires by itself.
  [[nodiscard]] LeaseDecision acquire(const KeyHash& key, UnixTime received, Duration lease, UnixTime now);
  void release(const KeyHash& key);

  // Record for the other processes that this one accepts connections, or no longer does.
  void mark_serving();
  void mark_draining();
  // Whether another live process accepts connections on the same socket.
  [[nodiscard]] bool another_process_serves() const;

  // Whether open() found invalid content, and therefore emptied and quarantined the table.
  [[nodiscard]] bool was_reset() const { return was_reset_; }

  static constexpr std::size_t kSlots = 16384;
  static constexpr std::size_t kFileBytes = sizeof(LeaseTableHeader) + kSlots * sizeof(KeyLease);

 private:
  SharedLeaseTable(posix::UniqueFd fd, MappedMemory memory, std::uint64_t boot_id, Duration max_lease);
  LeaseTableHeader& header() const;
  std::span<KeyLease> slots() const;
  KeyLeaseTable table() const { return {header(), slots()}; }
  bool take_process_slot();
  void set_serving(bool serving);

  posix::UniqueFd fd_;
  MappedMemory memory_;
  std::uint64_t boot_id_;
  Duration max_lease_;
  std::size_t process_slot_ = LeaseTableHeader::kMaxProcesses;
  bool was_reset_ = false;
};

}  // namespace granitegap::hot_restart
