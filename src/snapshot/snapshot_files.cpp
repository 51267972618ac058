#include "snapshot/snapshot_files.h"

#include <sys/stat.h>

#include <array>

#include "snapshot/atomic_file.h"

namespace granitegap::snapshot {
namespace {

constexpr std::array kFileNames = {"learned-a", "learned-b"};

bool is_later(const ClockStamp& a, const ClockStamp& b) {
  if (a.kernel_boot_id == b.kernel_boot_id) return a.since_boot > b.since_boot;
  return a.unix_us > b.unix_us;
}

// Returns when a file was last written, or nullopt if it does not exist.
std::optional<timespec> modification_time(const std::filesystem::path& path) {
  struct stat status {};
  if (::stat(path.c_str(), &status) != 0) return std::nullopt;
  return status.st_mtim;
}

bool is_before(const timespec& a, const timespec& b) {
  return a.tv_sec != b.tv_sec ? a.tv_sec < b.tv_sec : a.tv_nsec < b.tv_nsec;
}

// Returns the file to overwrite next: the older one, or the second if only the first exists.
const char* oldest_file_name(const std::filesystem::path& directory) {
  const auto first = modification_time(directory / kFileNames[0]);
  const auto second = modification_time(directory / kFileNames[1]);
  const bool second_is_older = first && (!second || is_before(*second, *first));
  return kFileNames[second_is_older ? 1 : 0];
}

}  // namespace

StorageResult<Snapshot> read_snapshot_file(const std::filesystem::path& file) {
  const auto bytes = read_file(file, kMaxSnapshotBytes + 1);  // one byte more detects a file that is too long
  if (const auto* error = std::get_if<StorageError>(&bytes)) return *error;
  auto snapshot = decode_snapshot(std::get<std::string>(bytes));
  if (auto* error = std::get_if<StorageError>(&snapshot)) error->path = file;
  return snapshot;
}

NewestSnapshot read_newest_snapshot(const std::filesystem::path& directory) {
  NewestSnapshot newest;
  for (const auto* name : kFileNames) {
    const auto path = directory / name;
    auto result = read_snapshot_file(path);
    if (auto* error = std::get_if<StorageError>(&result)) {
      std::error_code ignored;
      if (std::filesystem::exists(path, ignored)) newest.errors.push_back(std::move(*error));
      continue;
    }
    auto& snapshot = std::get<Snapshot>(result);
    if (!newest.snapshot || is_later(snapshot.taken_at, newest.snapshot->taken_at))
      newest.snapshot = std::move(snapshot);
  }
  return newest;
}

std::optional<StorageError> write_snapshot(const std::filesystem::path& directory, const std::string& bytes) {
  return replace_file_atomically(directory, oldest_file_name(directory), bytes);
}

}  // namespace granitegap::snapshot
