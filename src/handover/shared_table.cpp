#include "handover/shared_table.h"

#include <fcntl.h>
#include <sys/mman.h>
#include <sys/stat.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <cstring>
#include <utility>

namespace granitegap::handover {
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

SharedTable::SharedTable(int fd, void* memory, std::uint64_t life, Duration longest)
    : fd_(fd), memory_(memory), life_(life), longest_(longest) {}

SharedTable::SharedTable(SharedTable&& other) noexcept
    : fd_(std::exchange(other.fd_, -1)),
      memory_(std::exchange(other.memory_, nullptr)),
      life_(other.life_),
      longest_(other.longest_),
      row_(other.row_),
      wiped_(other.wiped_) {}

SharedTable::~SharedTable() {
  if (memory_) ::munmap(memory_, kBytes);
  if (fd_ >= 0) ::close(fd_);
}

std::span<Claim> SharedTable::places() const {
  return {reinterpret_cast<Claim*>(static_cast<char*>(memory_) + sizeof(Head)), kPlaces};
}

bool SharedTable::lock(short type) const { return set_lock(fd_, F_OFD_SETLK, type, kTableByte); }

std::variant<SharedTable, Unusable> SharedTable::open(const std::string& folder, const std::string& name,
                                                      std::uint64_t life, Duration longest, UnixTime now) {
  if (folder.empty()) return Unusable{"TMPDIR is not set"};
  if (name.find('/') != std::string::npos) return Unusable{"the name is no file's: " + name};
  const auto path = folder + "/granitegap-" + name + ".claims";
  const int fd = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC | O_NOFOLLOW, 0600);
  if (fd < 0) return Unusable{reason(path.c_str())};
  struct stat found {};
  // All of it now: guards against a write into the mapping that finds no room, which would end the process.
  const bool regular = ::fstat(fd, &found) == 0 && S_ISREG(found.st_mode);
  const int full = regular ? ::posix_fallocate(fd, 0, off_t(kBytes)) : EINVAL;
  if (full != 0) {
    ::close(fd);
    return Unusable{path + ": " + std::strerror(full)};
  }
  void* memory = ::mmap(nullptr, kBytes, PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
  if (memory == MAP_FAILED) {
    auto unusable = Unusable{reason(path.c_str())};
    ::close(fd);
    return unusable;
  }
  SharedTable table(fd, memory, life, longest);
  // At the start it may wait: nothing is served yet, and whoever holds it does so for a claim.
  if (!set_lock(fd, F_OFD_SETLKW, F_WRLCK, kTableByte)) return Unusable{reason(path.c_str())};
  table.wiped_ = !Claims(table.head(), table.places()).adopt(now, longest);
  for (std::size_t k = 0; k < Head::kLives && table.row_ == Head::kLives; ++k) {
    struct flock held {};
    if (!set_lock(fd, F_OFD_GETLK, F_WRLCK, kFirstLifeByte + off_t(k), &held) || held.l_type != F_UNLCK)
      continue;
    table.head().lives[k] = {life,
                             0};  // before the lock: a row that is held never tells of who had it before
    if (set_lock(fd, F_OFD_SETLK, F_WRLCK, kFirstLifeByte + off_t(k))) table.row_ = k;
  }
  table.lock(F_UNLCK);
  if (table.row_ == Head::kLives) return Unusable{path + ": too many processes share it"};
  return table;
}

Verdict SharedTable::claim(const Token& token, UnixTime reached, Duration span, UnixTime now) {
  // Not waited for: guards against a process stopped with the lock in its hands.
  if (!lock(F_WRLCK)) return Verdict::doubt;
  const auto verdict = Claims(head(), places()).claim(token, reached, span, life_, now, longest_);
  lock(F_UNLCK);
  return verdict;
}

void SharedTable::never_ran(const Token& token) {
  if (!lock(F_WRLCK)) return;  // it stays claimed until its window is over
  Claims(head(), places()).never_ran(token, life_);
  lock(F_UNLCK);
}

void SharedTable::serves() { std::atomic_ref(head().lives[row_].serves).store(1); }

void SharedTable::leaves() { std::atomic_ref(head().lives[row_].serves).store(0); }

bool SharedTable::another_serves() const {
  for (std::size_t k = 0; k < Head::kLives; ++k) {
    if (k == row_) continue;
    struct flock held {};
    if (!set_lock(fd_, F_OFD_GETLK, F_WRLCK, kFirstLifeByte + off_t(k), &held)) continue;
    if (held.l_type != F_UNLCK && std::atomic_ref(head().lives[k].serves).load() != 0) return true;
  }
  return false;
}

}  // namespace granitegap::handover
