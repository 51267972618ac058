// Small files that are read, replaced and removed as a whole, durably.
//
// Blocking: call these off the io thread. Errors are returned as StorageError values. No state is kept.
#pragma once
#include <cstddef>
#include <filesystem>
#include <optional>
#include <string>

#include "snapshot/storage_error.h"

namespace granitegap::snapshot {

// The first `max_bytes` bytes of a file, or all of it where it is shorter.
[[nodiscard]] StorageResult<std::string> read_file(const std::filesystem::path& path, std::size_t max_bytes);

// Writes `name`.new beside the file, syncs it, renames it into place and syncs the directory, so that a
// crash at any point leaves either the old content or the new. Durable when it returns no error.
[[nodiscard]] std::optional<StorageError> replace_file_atomically(const std::filesystem::path& directory,
                                                                  const std::string& name,
                                                                  const std::string& bytes);

// Removes a file, which may be missing already, and syncs the directory. Durable when it returns no error.
[[nodiscard]] std::optional<StorageError> remove_file_durably(const std::filesystem::path& directory,
                                                              const std::string& name);

}  // namespace granitegap::snapshot
