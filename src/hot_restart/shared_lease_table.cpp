#include "hot_restart/shared_lease_table.h"

#include <fcntl.h>
#include <sys/mman.h>
#include <sys/stat.h>

#include <atomic>
#include <cerrno>
#include <utility>

namespace granitegap::hot_restart {
namespace {

constexpr mode_t kOwnerOnly = 0600;
constexpr off_t kTableLockByte = 0, kFirstProcessLockByte = 1;  // locks need not lie within the file

off_t process_lock_byte(std::size_t slot) { return kFirstProcessLockByte + off_t(slot); }

struct flock byte_lock(short type, off_t at) {
  struct flock lock {};
  lock.l_type = type;
  lock.l_whence = SEEK_SET;
  lock.l_start = at;
  lock.l_len = 1;
  return lock;
}

bool try_lock(int fd, off_t at) {
  auto lock = byte_lock(F_WRLCK, at);
  return ::fcntl(fd, F_OFD_SETLK, &lock) == 0;
}

bool lock_or_wait(int fd, off_t at) {
  auto lock = byte_lock(F_WRLCK, at);
  return ::fcntl(fd, F_OFD_SETLKW, &lock) == 0;
}

void unlock(int fd, off_t at) {
  auto lock = byte_lock(F_UNLCK, at);
  ::fcntl(fd, F_OFD_SETLK, &lock);
}

enum class LockState : std::uint8_t { free, held, unknown };

// Returns whether another process (through its own open file description) holds the lock.
LockState lock_state(int fd, off_t at) {
  auto lock = byte_lock(F_WRLCK, at);
  if (::fcntl(fd, F_OFD_GETLK, &lock) != 0) return LockState::unknown;
  return lock.l_type == F_UNLCK ? LockState::free : LockState::held;
}

// Holds the table's lock for one operation. Never waits, because a process may have been stopped while it
// held the lock.
class TableLock {
 public:
  explicit TableLock(int fd) : fd_(fd), held_(try_lock(fd, kTableLockByte)) {}
  ~TableLock() {
    if (held_) unlock(fd_, kTableLockByte);
  }
  TableLock(const TableLock&) = delete;
  TableLock& operator=(const TableLock&) = delete;
  [[nodiscard]] bool held() const { return held_; }

 private:
  int fd_;
  bool held_;
};

LeaseTableError system_error(const std::string& path, int number) {
  return {LeaseTableError::Kind::system_error, path, std::error_code(number, std::generic_category())};
}

// Allocates the file in full. Returns 0 or an errno value; EINVAL if it is not a regular file.
int allocate(int fd, std::size_t bytes) {
  struct stat status {};
  const bool is_regular = ::fstat(fd, &status) == 0 && S_ISREG(status.st_mode);
  return is_regular ? ::posix_fallocate(fd, 0, off_t(bytes)) : EINVAL;
}

}  // namespace

std::string LeaseTableError::message() const {
  switch (kind) {
    case Kind::directory_not_set:
      return "cannot open the lease table: TMPDIR is not set";
    case Kind::invalid_name:
      return "cannot open the lease table: server name contains '/': " + subject;
    case Kind::system_error:
      return "cannot open the lease table " + subject + ": " + system_error.message();
    case Kind::too_many_processes:
      return "cannot open the lease table " + subject + ": all " +
             std::to_string(LeaseTableHeader::kMaxProcesses) + " process slots are in use";
  }
  return "cannot open the lease table: unknown error";
}

// ---- MappedMemory ----

MappedMemory::MappedMemory(int fd, std::size_t bytes) : bytes_(bytes) {
  void* address = ::mmap(nullptr, bytes, PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
  if (address != MAP_FAILED) address_ = address;
}

MappedMemory::MappedMemory(MappedMemory&& other) noexcept
    : address_(std::exchange(other.address_, nullptr)), bytes_(other.bytes_) {}

MappedMemory& MappedMemory::operator=(MappedMemory&& other) noexcept {
  std::swap(address_, other.address_);
  std::swap(bytes_, other.bytes_);
  return *this;
}

MappedMemory::~MappedMemory() {
  if (address_) ::munmap(address_, bytes_);
}

// ---- SharedLeaseTable ----

SharedLeaseTable::SharedLeaseTable(posix::UniqueFd fd, MappedMemory memory, std::uint64_t boot_id,
                                   Duration max_lease)
    : fd_(std::move(fd)), memory_(std::move(memory)), boot_id_(boot_id), max_lease_(max_lease) {}

LeaseTableHeader& SharedLeaseTable::header() const {
  return *reinterpret_cast<LeaseTableHeader*>(memory_.data());
}

std::span<KeyLease> SharedLeaseTable::slots() const {
  return {reinterpret_cast<KeyLease*>(memory_.data() + sizeof(LeaseTableHeader)), kSlots};
}

std::variant<SharedLeaseTable, LeaseTableError> SharedLeaseTable::open(const std::string& directory,
                                                                       const std::string& name,
                                                                       std::uint64_t boot_id,
                                                                       Duration max_lease, UnixTime now) {
  if (directory.empty()) return LeaseTableError{LeaseTableError::Kind::directory_not_set};
  if (name.find('/') != std::string::npos) return LeaseTableError{LeaseTableError::Kind::invalid_name, name};
  const auto path = directory + "/granitegap-" + name + ".claims";
  posix::UniqueFd fd(::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC | O_NOFOLLOW, kOwnerOnly));
  if (!fd.valid()) return system_error(path, errno);
  if (const int failure = allocate(fd.get(), kFileBytes); failure != 0) return system_error(path, failure);
  MappedMemory memory(fd.get(), kFileBytes);
  if (!memory.valid()) return system_error(path, errno);
  SharedLeaseTable shared(std::move(fd), std::move(memory), boot_id, max_lease);
  // Waiting is acceptable: nothing is served yet, and others hold the lock for one operation only.
  if (!lock_or_wait(shared.fd_.get(), kTableLockByte)) return system_error(path, errno);
  shared.was_reset_ = !shared.table().adopt(now, max_lease);
  const bool has_slot = shared.take_process_slot();
  unlock(shared.fd_.get(), kTableLockByte);
  if (!has_slot) return LeaseTableError{LeaseTableError::Kind::too_many_processes, path};
  return shared;
}

bool SharedLeaseTable::take_process_slot() {
  for (std::size_t slot = 0; slot < LeaseTableHeader::kMaxProcesses; ++slot) {
    if (lock_state(fd_.get(), process_lock_byte(slot)) != LockState::free) continue;
    // Written before the lock is taken, so that a held slot never shows the state of its previous process.
    header().processes[slot] = {boot_id_, 0};
    if (!try_lock(fd_.get(), process_lock_byte(slot))) continue;
    process_slot_ = slot;
    return true;
  }
  return false;
}

LeaseDecision SharedLeaseTable::acquire(const KeyHash& key, UnixTime received, Duration lease, UnixTime now) {
  const TableLock lock(fd_.get());
  if (!lock.held()) return LeaseDecision::unknown;
  return table().acquire(key, received, lease, boot_id_, now, max_lease_);
}

void SharedLeaseTable::release(const KeyHash& key) {
  const TableLock lock(fd_.get());
  if (lock.held()) table().release(key, boot_id_);
}

void SharedLeaseTable::set_serving(bool serving) {
  std::atomic_ref(header().processes[process_slot_].serving).store(serving ? 1 : 0);
}

void SharedLeaseTable::mark_serving() { set_serving(true); }

void SharedLeaseTable::mark_draining() { set_serving(false); }

bool SharedLeaseTable::another_process_serves() const {
  for (std::size_t slot = 0; slot < LeaseTableHeader::kMaxProcesses; ++slot) {
    if (slot == process_slot_) continue;
    if (lock_state(fd_.get(), process_lock_byte(slot)) != LockState::held) continue;
    if (std::atomic_ref(header().processes[slot].serving).load() != 0) return true;
  }
  return false;
}

}  // namespace granitegap::hot_restart
