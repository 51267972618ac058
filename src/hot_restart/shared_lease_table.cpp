#include "hot_restart/shared_lease_table.h"

#include <fcntl.h>
#include <sys/mman.h>
#include <sys/stat.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <cstring>
#include <utility>

namespace granitegap::hot_restart {
namespace {

constexpr off_t kTableByte = 0, kFirstLifeByte = 1;  // of the locks, which need not lie in the file's bytes

// Locks of the open file, not of the process: they end with it, however it ends.
bool set_lock(int fd, int command, short type, off_t at, struct flock* got = nullptr) {
  struct flock lock {};
  lock.l_type = type;
  lock.l_whence = SEEK_SET;
  lock.l_start = at;
  lock.l_len = 1;
  const bool done = ::fcntl(fd, command, &lock) == 0;
  if (got) *got = lock;
  return done;
}

std::string reason(const char* what) { return std::string(what) + ": " + std::strerror(errno); }

}  // namespace

SharedLeaseTable::SharedLeaseTable(int fd, void* memory, std::uint64_t boot_id, Duration longest)
    : fd_(fd), memory_(memory), boot_id_(boot_id), longest_(longest) {}

SharedLeaseTable::SharedLeaseTable(SharedLeaseTable&& other) noexcept
    : fd_(std::exchange(other.fd_, -1)),
      memory_(std::exchange(other.memory_, nullptr)),
      boot_id_(other.boot_id_),
      longest_(other.longest_),
      row_(other.row_),
      wiped_(other.wiped_) {}

SharedLeaseTable::~SharedLeaseTable() {
  if (memory_) ::munmap(memory_, kBytes);
  if (fd_ >= 0) ::close(fd_);
}

std::span<KeyLease> SharedLeaseTable::places() const {
  return {reinterpret_cast<KeyLease*>(static_cast<char*>(memory_) + sizeof(Head)), kPlaces};
}

bool SharedLeaseTable::lock(short type) const { return set_lock(fd_, F_OFD_SETLK, type, kTableByte); }

std::variant<SharedLeaseTable, LeaseTableError> SharedLeaseTable::open(const std::string& folder,
                                                                       const std::string& name,
                                                                       std::uint64_t boot_id,
                                                                       Duration longest, UnixTime now) {
  if (folder.empty()) return LeaseTableError{"TMPDIR is not set"};
  if (name.find('/') != std::string::npos) return LeaseTableError{"the name is no file's: " + name};
  const auto path = folder + "/granitegap-" + name + ".claims";
  const int fd = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC | O_NOFOLLOW, 0600);
  if (fd < 0) return LeaseTableError{reason(path.c_str())};
  struct stat found {};
  // All of it now: guards against a write into the mapping that finds no room, which would end the process.
  const bool regular = ::fstat(fd, &found) == 0 && S_ISREG(found.st_mode);
  const int full = regular ? ::posix_fallocate(fd, 0, off_t(kBytes)) : EINVAL;
  if (full != 0) {
    ::close(fd);
    return LeaseTableError{path + ": " + std::strerror(full)};
  }
  void* memory = ::mmap(nullptr, kBytes, PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
  if (memory == MAP_FAILED) {
    auto unusable = LeaseTableError{reason(path.c_str())};
    ::close(fd);
    return unusable;
  }
  SharedLeaseTable table(fd, memory, boot_id, longest);
  // At the start it may wait: nothing is served yet, and whoever holds it does so for a claim.
  if (!set_lock(fd, F_OFD_SETLKW, F_WRLCK, kTableByte)) return LeaseTableError{reason(path.c_str())};
  table.wiped_ = !KeyLeaseTable(table.head(), table.places()).adopt(now, longest);
  for (std::size_t k = 0; k < Head::kLives && table.row_ == Head::kLives; ++k) {
    struct flock held {};
    if (!set_lock(fd, F_OFD_GETLK, F_WRLCK, kFirstLifeByte + off_t(k), &held) || held.l_type != F_UNLCK)
      continue;
    table.head().lives[k] = {boot_id,
                             0};  // before the lock: a row that is held never tells of who had it before
    if (set_lock(fd, F_OFD_SETLK, F_WRLCK, kFirstLifeByte + off_t(k))) table.row_ = k;
  }
  table.lock(F_UNLCK);
  if (table.row_ == Head::kLives) return LeaseTableError{path + ": too many processes share it"};
  return table;
}

Verdict SharedLeaseTable::claim(const Token& token, UnixTime reached, Duration span, UnixTime now) {
  // Not waited for: guards against a process stopped with the lock in its hands.
  if (!lock(F_WRLCK)) return Verdict::doubt;
  const auto verdict = KeyLeaseTable(head(), places()).claim(token, reached, span, boot_id_, now, longest_);
  lock(F_UNLCK);
  return verdict;
}

void SharedLeaseTable::never_ran(const Token& token) {
  if (!lock(F_WRLCK)) return;  // it stays claimed until its window is over
  KeyLeaseTable(head(), places()).never_ran(token, boot_id_);
  lock(F_UNLCK);
}

void SharedLeaseTable::serves() { std::atomic_ref(head().lives[row_].serves).store(1); }

void SharedLeaseTable::leaves() { std::atomic_ref(head().lives[row_].serves).store(0); }

bool SharedLeaseTable::another_serves() const {
  for (std::size_t k = 0; k < Head::kLives; ++k) {
    if (k == row_) continue;
    struct flock held {};
    if (!set_lock(fd_, F_OFD_GETLK, F_WRLCK, kFirstLifeByte + off_t(k), &held)) continue;
    if (held.l_type != F_UNLCK && std::atomic_ref(head().lives[k].serves).load() != 0) return true;
  }
  return false;
}

}  // namespace granitegap::hot_restart
