// The two snapshot files of a state directory. Each write replaces the older one, so that one complete
// snapshot remains if a write is interrupted.
//
// The functions block: don't call them on the io thread. Errors are returned as StorageError values. A
// damaged file is not fatal: the process starts without that snapshot.
#pragma once
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

#include "snapshot/snapshot.h"

namespace granitegap::snapshot {

// The newest valid snapshot, and one error with a path for each existing file that was rejected.
struct NewestSnapshot {
  std::optional<Snapshot> snapshot;
  std::vector<StorageError> errors;
};

[[nodiscard]] StorageResult<Snapshot> read_snapshot_file(const std::filesystem::path& file);
[[nodiscard]] NewestSnapshot read_newest_snapshot(const std::filesystem::path& directory);
// Replaces the older of the two files with an encoded snapshot. The write is durable if no error is returned.
[[nodiscard]] std::optional<StorageError> write_snapshot(const std::filesystem::path& directory,
                                                         const std::string& bytes);

}  // namespace granitegap::snapshot
