// An exclusive lock on the state directory.
#pragma once
#include <filesystem>
#include <optional>

#include "posix/unique_fd.h"
#include "snapshot/storage_error.h"

namespace granitegap::snapshot {

// Holds an flock(2) on the directory's lock file until destruction. The operating system releases the lock
// when the process ends in any way. Without it, a previous process that is still draining could write its
// shutdown record after this process has read the directory.
//
// Makes blocking file system calls, but never waits for the lock. Not thread-safe.
class DirectoryLock {
 public:
  // Acquires the lock and creates the directory if it is missing. Fails with StorageErrc::lock_held if
  // another process holds the lock. Does nothing if this object already holds it.
  [[nodiscard]] std::optional<StorageError> acquire(const std::filesystem::path& directory);
  [[nodiscard]] bool held() const { return fd_.valid(); }

 private:
  posix::UniqueFd fd_;
};

}  // namespace granitegap::snapshot
