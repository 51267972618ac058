#include "snapshot/directory_lock.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>

#include <cerrno>
#include <utility>

namespace granitegap::snapshot {
namespace {

constexpr char kLockFileName[] = "lock";
constexpr mode_t kDirectoryMode = 0700, kLockFileMode = 0600;

}  // namespace

std::optional<StorageError> DirectoryLock::acquire(const std::filesystem::path& directory) {
  if (held()) return std::nullopt;
  if (::mkdir(directory.c_str(), kDirectoryMode) != 0 && errno != EEXIST)
    return errno_error(StorageStep::create_directory, directory);
  const auto path = directory / kLockFileName;
  posix::UniqueFd fd(::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kLockFileMode));
  if (!fd.valid()) return errno_error(StorageStep::open_lock_file, path);
  if (::flock(fd.get(), LOCK_EX | LOCK_NB) != 0) {
    if (errno == EWOULDBLOCK) return StorageError{StorageStep::lock_directory, StorageErrc::lock_held, path};
    return errno_error(StorageStep::lock_directory, path);
  }
  fd_ = std::move(fd);
  return std::nullopt;
}

}  // namespace granitegap::snapshot
