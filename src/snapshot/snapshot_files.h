// The snapshot files of one storage directory: two, of which the older is overwritten, so that one complete
// snapshot remains if a write is interrupted.
//
// Blocking: call these off the io thread. Errors are returned as StorageError values; any damage costs only
// warmth, as the process starts without the snapshot then.
#pragma once
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

#include "snapshot/snapshot.h"

namespace granitegap::snapshot {

// The newest valid snapshot, and why any file that exists was rejected; each error names its file.
struct NewestSnapshot {
  std::optional<Snapshot> snapshot;
  std::vector<StorageError> errors;
};

[[nodiscard]] StorageResult<Snapshot> read_snapshot_file(const std::filesystem::path& file);
[[nodiscard]] NewestSnapshot read_newest_snapshot(const std::filesystem::path& directory);
// Replaces the older of the two files by an encoded snapshot. Durable when it returns no error.
[[nodiscard]] std::optional<StorageError> write_snapshot(const std::filesystem::path& directory,
                                                         const std::string& bytes);

}  // namespace granitegap::snapshot
