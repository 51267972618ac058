#include "snapshot/atomic_file.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>

#include "posix/unique_fd.h"

namespace granitegap::snapshot {
namespace {

constexpr mode_t kOwnerOnly = 0600;

posix::UniqueFd open_file(const std::filesystem::path& path, int flags) {
  return posix::UniqueFd(::open(path.c_str(), flags | O_CLOEXEC, kOwnerOnly));
}

std::optional<StorageError> sync_directory(const std::filesystem::path& directory) {
  const auto fd = open_file(directory, O_RDONLY | O_DIRECTORY);
  if (!fd.valid()) return errno_error(StorageStep::open_directory, directory);
  if (::fsync(fd.get()) != 0) return errno_error(StorageStep::sync_directory, directory);
  return std::nullopt;
}

std::optional<StorageError> write_synced(const std::filesystem::path& path, const std::string& bytes) {
  const auto fd = open_file(path, O_WRONLY | O_CREAT | O_TRUNC);
  if (!fd.valid()) return errno_error(StorageStep::create_file, path);
  std::size_t written = 0;
  while (written < bytes.size()) {
    const auto count = ::write(fd.get(), bytes.data() + written, bytes.size() - written);
    if (count < 0 && errno == EINTR) continue;
    if (count < 0) return errno_error(StorageStep::write_file, path);
    written += std::size_t(count);
  }
  if (::fsync(fd.get()) != 0) return errno_error(StorageStep::sync_file, path);
  return std::nullopt;
}

}  // namespace

StorageResult<std::string> read_file(const std::filesystem::path& path, std::size_t max_bytes) {
  const auto fd = open_file(path, O_RDONLY);
  if (!fd.valid()) return errno_error(StorageStep::open_file, path);
  std::string bytes(max_bytes, '\0');
  std::size_t filled = 0;
  while (filled < bytes.size()) {
    const auto count = ::read(fd.get(), bytes.data() + filled, bytes.size() - filled);
    if (count < 0 && errno == EINTR) continue;
    if (count < 0) return errno_error(StorageStep::read_file, path);
    if (count == 0) break;
    filled += std::size_t(count);
  }
  bytes.resize(filled);
  return bytes;
}

std::optional<StorageError> replace_file_atomically(const std::filesystem::path& directory,
                                                    const std::string& name, const std::string& bytes) {
  const auto temporary = directory / (name + ".new");
  if (auto error = write_synced(temporary, bytes)) return error;
  if (::rename(temporary.c_str(), (directory / name).c_str()) != 0)
    return errno_error(StorageStep::rename_file, directory / name);
  return sync_directory(directory);
}

std::optional<StorageError> remove_file_durably(const std::filesystem::path& directory,
                                                const std::string& name) {
  const auto path = directory / name;
  if (::unlink(path.c_str()) != 0 && errno != ENOENT) return errno_error(StorageStep::remove_file, path);
  return sync_directory(directory);
}

}  // namespace granitegap::snapshot
