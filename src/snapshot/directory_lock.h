// Exclusive ownership of the storage directory among processes.
#pragma once
#include <filesystem>
#include <optional>

#include "posix/unique_fd.h"
#include "snapshot/storage_error.h"

namespace granitegap::snapshot {

// Holds an flock(2) on the directory's lock file until destruction; the system releases it however the
// process ends. It guards against a predecessor that is still draining and would write its shutdown record
// after this process has read the directory.
//
// Blocking (file system calls only, it never waits for the lock) and not thread-safe.
class DirectoryLock {
 public:
  // Creates the directory if it is missing. StorageErrc::lock_held where another process holds the lock; no
  // error where this object holds it already.
  [[nodiscard]] std::optional<StorageError> acquire(const std::filesystem::path& directory);
  [[nodiscard]] bool held() const { return fd_.valid(); }

 private:
  posix::UniqueFd fd_;
};

}  // namespace granitegap::snapshot
