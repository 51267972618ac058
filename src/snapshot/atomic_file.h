// Durable operations on small files, which are read, replaced and removed as a whole.
//
// The functions block: don't call them on the io thread. Errors are returned as StorageError values. The
// functions have no state.
#pragma once
#include <cstddef>
#include <filesystem>
#include <optional>
#include <string>

#include "snapshot/storage_error.h"

namespace granitegap::snapshot {

// Returns the first `max_bytes` bytes of a file, or all of it if it is shorter.
[[nodiscard]] StorageResult<std::string> read_file(const std::filesystem::path& path, std::size_t max_bytes);

// Writes `name`.new in the same directory, syncs it, renames it to `name` and syncs the directory, so that a
// crash at any point leaves either the old content or the new. The change is durable if no error is returned.
[[nodiscard]] std::optional<StorageError> replace_file_atomically(const std::filesystem::path& directory,
                                                                  const std::string& name,
                                                                  const std::string& bytes);

// Removes a file and syncs the directory. A missing file is no error. The removal is durable if no error is
// returned.
[[nodiscard]] std::optional<StorageError> remove_file_durably(const std::filesystem::path& directory,
                                                              const std::string& name);

}  // namespace granitegap::snapshot
